// Limits the memory that the responses of a process take together: those that its client is
// receiving, and those that its server is sending. Each response is limited by itself as well, but
// a server in trouble may answer many requests without end at once.
//
//   auto share = response_memory::share{process_response_memory(),
//                                       {response_direction::received, from}, close_connection};
//   if (!share.resize(bytes)) { ... }    // the response has to give way
//
// When the limit is exceeded, the response gives way that holds most among those of the server
// whose responses hold most; the responses of other servers go on. If it is the callers who hold
// most, since they read slowly, the response gives way that has been sent for the longest time.

#ifndef LINNETLANE_RUNTIME_RESPONSE_MEMORY_H_
#define LINNETLANE_RUNTIME_RESPONSE_MEMORY_H_

#include <compare>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/units.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::runtime {

// What a response is held for.
enum class response_direction { received, sent };

// Responses that are weighed together against others. Those that are sent are one group.
struct response_group {
    response_direction direction = response_direction::received;
    // The server that sends the responses; empty if this process does.
    base::endpoint from = {};

    friend auto operator<=>(response_group const&, response_group const&)
        -> std::strong_ordering = default;
};

// Thread-safe. Outlives its shares.
class response_memory {
public:
    // If all responses together exceed the limit, either those that are received or those that are
    // sent give way: the ones that hold more than half of it.
    explicit response_memory(base::byte_count most);
    response_memory(response_memory const&) = delete;
    auto operator=(response_memory const&) -> response_memory& = delete;
    response_memory(response_memory&&) = delete;
    auto operator=(response_memory&&) -> response_memory& = delete;
    ~response_memory() = default;

    // Applies from the next change of a share on.
    auto set_limit(base::byte_count most) -> void;
    // Called when a response has to give way, with what it held, on the thread that needs the
    // memory. Must neither block nor use this object or a share. A later call replaces the
    // function.
    using observer = std::function<void(response_group const&, base::byte_count)>;
    auto on_give_way(observer wanted) -> void;
    // The sum of all shares that have not given way.
    [[nodiscard]] auto in_use() const -> base::byte_count;

    class share;

private:
    struct held_response {
        base::byte_count bytes;
        bool gave_way = false;
        std::function<void()> give_way;
    };
    // In the order in which they began.
    using held_responses = std::list<held_response>;
    struct group_state {
        base::byte_count bytes;
        held_responses responses;
    };
    using groups_by_key = std::map<response_group, group_state>;

    // The following need `mutex`.
    auto change(groups_by_key::value_type& group, held_response& held, base::byte_count to) -> void;
    [[nodiscard]] auto sum(response_direction direction) -> base::byte_count&;
    auto make_one_give_way() -> void;

    mutable std::mutex mutex;
    // Guarded by `mutex`, as are the following.
    base::byte_count limit;
    base::byte_count received;
    base::byte_count sent;
    groups_by_key groups;
    observer notice;
};

// The memory that one response holds, zero at first. Not thread-safe; different shares may be used
// by different threads.
class response_memory::share {
public:
    // `give_way` is called at most once, on any thread, if the response has to give way. It must
    // neither block nor use a share, and the response must then free its memory.
    share(response_memory& shared, response_group group, std::function<void()> give_way);
    share(share const&) = delete;
    auto operator=(share const&) -> share& = delete;
    share(share&&) = delete;
    auto operator=(share&&) -> share& = delete;
    ~share();

    // Sets the size. Others may have to give way, or this one: returns false if it has.
    auto resize(base::byte_count bytes) -> bool;

private:
    response_memory* memory;
    groups_by_key::iterator group;
    held_responses::iterator held;
};

// The memory of all responses of this process: 128 MiB unless `set_limit` was called.
[[nodiscard]] auto process_response_memory() -> response_memory&;

// A complete response that is kept for later use. Used on one worker only.
class kept_response {
public:
    kept_response(base::endpoint const& from, http_response response);

    // Returns the response, or nothing if it had to give way to others.
    [[nodiscard]] auto take() -> std::optional<http_response>;

private:
    std::shared_ptr<std::optional<http_response>> kept;
    std::unique_ptr<response_memory::share> share;
};

}  // namespace linnetlane::runtime

#endif  // LINNETLANE_RUNTIME_RESPONSE_MEMORY_H_

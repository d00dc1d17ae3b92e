// The software versions that the streams of this host are bound to, and the records of them that
// wait to be written to the registry, so that any host can resume a stream after this one is lost.
// A host that can't write its records hands them over to others, which keep and record them.
//
//   auto origins = stream_origins{};
//   // Before the first send:
//   auto const version = origins.bind({request, upstream.software}, now);
//   origins.find(request);   // that version
//   // In the recorder's fiber:
//   auto const batch = origins.await_unrecorded(most);
//   origins.note_recorded(batch);   // or put_back

#ifndef LINNETLANE_ROUTER_STREAM_ORIGINS_H_
#define LINNETLANE_ROUTER_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/fiber/condition_variable.hpp>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class stream_origins {
public:
    // The number of records that wait at most; older ones are dropped.
    static constexpr auto max_unrecorded = std::size_t{1024};
    // The number of versions that are kept for other hosts at most; older ones are dropped.
    static constexpr auto max_kept = std::size_t{4096};
    static constexpr auto max_id_bytes = std::size_t{128};
    // Returns whether streams of the request are recorded: whether its id is neither empty nor
    // longer than `max_id_bytes`.
    [[nodiscard]] static auto is_recordable(base::caller_request_id const& request) -> bool;

    // Binds a request to the version that begins its stream, unless it is bound already, and
    // returns the version. All upstreams that the request is sent to must have it: a record that
    // another host reads is then right, whenever it was written.
    auto bind(stream_origin const& origin, base::time_point now) -> base::software_version;
    // Keeps and records a version that another host handed over, unless the request is bound here.
    auto keep(stream_origin const& origin, base::time_point now) -> void;
    // Returns the version that `request` is bound to, here or at a host that handed it over;
    // nothing if it isn't known.
    [[nodiscard]] auto find(base::caller_request_id const& request) const
        -> std::optional<base::software_version>;

    // Returns the number of records that wait to be written.
    [[nodiscard]] auto unrecorded_count() const -> std::size_t {
        return this->unrecorded.size() + this->unrecorded_of_others.size();
    }

    // Waits until there are records to write and takes at most `most` of them, the oldest first and
    // those of this host before those that it keeps for others. Suspends the calling fiber.
    [[nodiscard]] auto await_unrecorded(std::size_t most) -> std::vector<stream_origin>;
    // Records that the registry has these.
    auto note_recorded(std::vector<stream_origin> const& written) -> void;
    // Returns records that could not be written. They are written before those that came later.
    auto put_back(std::vector<stream_origin> const& failed) -> void;
    // Lets all records be written again, after the registry has lost some.
    auto record_again() -> void;

    // Returns at most `most` origins that are neither recorded nor handed over, the oldest first:
    // those of this host, and for `all` also those that it keeps for others.
    [[nodiscard]] auto not_handed_over(std::size_t most, bool all) const
        -> std::vector<stream_origin>;
    // Records that other hosts keep these.
    auto note_handed_over(std::vector<stream_origin> const& kept_elsewhere) -> void;

private:
    struct binding {
        base::software_version software;
        // Kept for another host.
        bool of_other = false;
        // Its record waits to be written.
        bool queued = false;
        bool recorded = false;
        bool handed_over = false;
    };
    using bindings = std::map<base::caller_request_id, binding>;
    struct expiry {
        base::caller_request_id request;
        base::time_point at;
    };

    auto expire(base::time_point now) -> void;
    // Adds a binding that is to be recorded, unless there is one. Returns the one that there is.
    auto add(stream_origin const& origin, bool of_other, base::time_point now) -> binding const&;
    auto forget(base::caller_request_id const& request) -> void;
    // Adds a binding, if there is one, to the records that wait to be written, before or after
    // them.
    auto enqueue(bindings::iterator place, bool first) -> void;
    auto limit_unrecorded() -> void;

    bindings known;
    std::deque<expiry> expiries;
    // What is kept for other hosts, the oldest first.
    std::deque<base::caller_request_id> kept;
    // The records that wait to be written.
    std::deque<base::caller_request_id> unrecorded;
    std::deque<base::caller_request_id> unrecorded_of_others;
    // Required by the condition variable. All fibers run on one worker, so the mutex protects
    // nothing else.
    std::mutex mutex;
    boost::fibers::condition_variable_any added;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_ORIGINS_H_

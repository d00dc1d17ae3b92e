// The software versions that the streams of this host are bound to, and the records of them that
// wait to be written to the registry, so that any host can resume a stream after this one is lost.
//
//   auto origins = stream_origins{};
//   auto const version = origins.bind({request, upstream.software}, now);   // before the first
//   send origins.find(request);                       // that version auto const batch =
//   origins.await_unrecorded(most);   // in the recorder's fiber

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
    static constexpr auto max_id_bytes = std::size_t{128};
    // Returns whether streams of the request are recorded: whether its id is neither empty nor
    // longer than `max_id_bytes`.
    [[nodiscard]] static auto is_recordable(base::caller_request_id const& request) -> bool;

    // Binds a request to the version that begins its stream, unless it is bound already, and
    // returns the version. All upstreams that the request is sent to must have it: a record that
    // another host reads is then right, whenever it was written.
    auto bind(stream_origin const& origin, base::time_point now) -> base::software_version;
    // Returns the version that `request` is bound to, if that was done at this host.
    [[nodiscard]] auto find(base::caller_request_id const& request) const
        -> std::optional<base::software_version>;

    // Returns the number of records that wait to be written.
    [[nodiscard]] auto unrecorded_count() const -> std::size_t { return this->unrecorded.size(); }

    // Waits until there are records to write and takes at most `most` of them, the oldest first.
    // Suspends the calling fiber.
    [[nodiscard]] auto await_unrecorded(std::size_t most) -> std::vector<stream_origin>;
    // Returns records that could not be written. They are written before those that came later.
    auto put_back(std::vector<stream_origin> const& failed) -> void;
    // Lets all records be written again, after the registry has lost some.
    auto record_again() -> void;

private:
    struct expiry {
        base::caller_request_id request;
        base::time_point at;
    };

    auto expire(base::time_point now) -> void;
    [[nodiscard]] auto is_unrecorded(base::caller_request_id const& request) const -> bool;
    auto limit_unrecorded() -> void;

    std::map<base::caller_request_id, base::software_version> known;
    std::deque<expiry> expiries;
    std::deque<base::caller_request_id> unrecorded;
    // Required by the condition variable. All fibers run on one worker, so the mutex protects
    // nothing else.
    std::mutex mutex;
    boost::fibers::condition_variable_any added;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_ORIGINS_H_

// The software versions that began the streams of this host, and the records of them that wait to
// be written to the registry, so that any host can resume a stream after this one is lost.
//
//   auto origins = stream_origins{};
//   origins.note({request, version}, record, now);   // when an upstream is chosen
//   auto const version = origins.find(request);
//   auto const batch = origins.await_unrecorded(most);   // in the recorder's fiber

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
    // Longer request ids are not recorded.
    static constexpr auto max_id_bytes = std::size_t{128};

    // Records that an upstream of that version was chosen to begin a stream. A later upstream of
    // the same request replaces it. If `record` is set, other hosts are to know it too.
    auto note(stream_origin const& origin, bool record, base::time_point now) -> void;
    // Returns the version that began the stream that answered `request`, if it began at this host.
    [[nodiscard]] auto find(base::caller_request_id const& request) const
        -> std::optional<base::software_version>;

    // Waits until there are records to write and takes at most `most` of them, the oldest first.
    // Suspends the calling fiber.
    [[nodiscard]] auto await_unrecorded(std::size_t most) -> std::vector<stream_origin>;
    // Returns records that could not be written, unless newer ones replace them.
    auto put_back(std::vector<stream_origin> const& failed) -> void;

private:
    struct expiry {
        base::caller_request_id request;
        base::time_point at;
    };

    auto expire(base::time_point now) -> void;

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

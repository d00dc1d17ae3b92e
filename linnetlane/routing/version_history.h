// The software versions that the upstreams of a service had lately, to find the version that began
// a stream.
//
// Versions are incompatible: a stream may go on only at the version that began it, which its record
// states. The history helps if there is no record: while there was one version only, that one began
// the stream. It knows what this host was told since it started, and nothing of the time before. A
// caller makes sure that the host's view is current before it relies on the history.
//
//   auto versions = version_history{};
//   versions.note_present({v1}, now);
//   versions.certain_version(now);                     // nothing: another one may have just left
//   versions.certain_version(now + stream_lifetime);   // v1
//   versions.note_present({v1, v2}, later);            // a rollout begins
//   versions.certain_version(later);                   // nothing

#ifndef LINNETLANE_ROUTING_VERSION_HISTORY_H_
#define LINNETLANE_ROUTING_VERSION_HISTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The longest time from the begin of a stream until a caller resumes it.
inline constexpr auto stream_lifetime = std::chrono::seconds{30};

// Not thread-safe; must be used on one worker only. There is one instance for each service.
class version_history {
public:
    // Records the versions of the upstreams that are known now. Call after each change.
    auto note_present(std::set<base::software_version> const& present, base::time_point now)
        -> void;
    // Records that changes up to now may have been missed: a version may have come and left.
    auto note_missed_changes(base::time_point now) -> void;
    // Returns the only version that this host has known for as long as a stream can be resumed;
    // nothing if there were several, or if it hasn't known the upstreams for that long.
    [[nodiscard]] auto certain_version(base::time_point now) const
        -> std::optional<base::software_version>;
    // Records what another host stated just before this one first knew the upstreams: `version` was
    // the only one for as long as a stream can be resumed. Has no effect if there are others.
    auto note_stated(base::software_version const& version, base::time_point now) -> void;

private:
    // Returns whether this host has known the upstreams for as long as a stream can be resumed.
    [[nodiscard]] auto has_observed_long_enough(base::time_point now) const -> bool;
    // Returns the only version that may have begun a stream that is resumed now, as far as this
    // host has known the upstreams.
    [[nodiscard]] auto only_recent_version(base::time_point now) const
        -> std::optional<base::software_version>;

    // Until when each version was present; the maximum while it is.
    std::map<base::software_version, base::time_point> present_until;
    std::optional<base::time_point> observed_since;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_VERSION_HISTORY_H_

// The software versions that the upstreams of a service had lately, to find the version that began
// a stream.
//
// Versions are incompatible: a stream may go on only at the version that began it, which its record
// states. The history helps if there is no record: while there was one version only, that one began
// the stream. It knows what this host was told, so a caller makes sure that the host's view is
// current before it relies on the history.
//
//   auto versions = version_history{};
//   versions.note_present({{v1, 10min}}, now);
//   versions.version_without_record(now);                    // v1
//   versions.note_present({{v1, 20min}, {v2, 1s}}, later);   // a rollout begins
//   versions.version_without_record(later);                  // nothing

#ifndef LINNETLANE_ROUTING_VERSION_HISTORY_H_
#define LINNETLANE_ROUTING_VERSION_HISTORY_H_

#include <chrono>
#include <map>
#include <optional>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The longest time from the begin of a stream until a caller resumes it.
inline constexpr auto stream_lifetime = std::chrono::seconds{30};
// The longest time from the start of an upstream until all hosts know it, and the error of clocks.
inline constexpr auto registration_lag = std::chrono::seconds{10};

// Not thread-safe; must be used on one worker only. There is one instance for each service.
class version_history {
public:
    // Records the versions of the upstreams that are known now, with the time for which the oldest
    // upstream of each has run; zero if that isn't known. Call after each change.
    auto note_present(std::map<base::software_version, base::duration> const& present,
                      base::time_point now) -> void;
    // Records that changes up to now may have been missed: a version may have come and left.
    auto note_missed_changes(base::time_point now) -> void;
    // Returns the only version that this host has known for as long as a stream can be resumed;
    // nothing if there were several, or if it hasn't known the upstreams for that long.
    [[nodiscard]] auto certain_version(base::time_point now) const
        -> std::optional<base::software_version>;
    // As `certain_version`, and also if upstreams of the only version have run for longer than a
    // stream can be resumed, unless changes were missed within that time.
    [[nodiscard]] auto version_without_record(base::time_point now) const
        -> std::optional<base::software_version>;

private:
    struct presence {
        // When its oldest upstream started.
        base::time_point running_since;
        // The maximum while the version is present.
        base::time_point until;
    };

    // Returns whether this host has known the upstreams for as long as a stream can be resumed.
    [[nodiscard]] auto has_observed_long_enough(base::time_point now) const -> bool;
    [[nodiscard]] static auto is_recent(presence const& one, base::time_point now) -> bool;
    // Returns the versions that may have begun a stream that is resumed now.
    [[nodiscard]] auto recent(base::time_point now) const
        -> std::map<base::software_version, presence>;

    std::map<base::software_version, presence> versions;
    std::optional<base::time_point> observed_since;
    base::time_point changes_missed_at = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_VERSION_HISTORY_H_

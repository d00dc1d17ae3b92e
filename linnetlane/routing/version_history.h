// The software versions that the upstreams of a service had lately, to find the version that began
// a stream.
//
// Versions are incompatible: a stream may go on only at the version that began it. Hosts record the
// version of each stream while there are several. While there is only one, streams need no record.
//
//   auto versions = version_history{};
//   versions.note_present({v1}, now);
//   versions.note_present({v1, v2}, later);   // a rollout begins
//   versions.is_mixed(later);                 // true: streams are recorded

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
    // Returns whether streams of several versions may be resumed now or may begin.
    [[nodiscard]] auto is_mixed(base::time_point now) const -> bool;
    // Returns the only version that can have begun a stream that is resumed now, without regard to
    // records of streams; nothing if there may be several, or if this host hasn't known the
    // upstreams for long enough.
    [[nodiscard]] auto certain_version(base::time_point now) const
        -> std::optional<base::software_version>;
    // Returns the version of a resumed stream that has no record; nothing if there may be several.
    // A stream that began before a rollout has no record, since there was one version only.
    [[nodiscard]] auto version_without_record(base::time_point now) const
        -> std::optional<base::software_version>;

private:
    struct presence {
        base::time_point since;
        // The maximum while the version is present.
        base::time_point until;
    };

    [[nodiscard]] static auto is_recent(presence const& one, base::time_point now) -> bool;
    // Returns the versions that may have begun a stream that is resumed now.
    [[nodiscard]] auto recent(base::time_point now) const
        -> std::map<base::software_version, presence>;

    std::map<base::software_version, presence> versions;
    std::optional<base::time_point> observed_since;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_VERSION_HISTORY_H_

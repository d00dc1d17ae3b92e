// Until when a host knows that the configuration in force is the newest one.
//
// The proof is an answer of the registry, or of a host that has one. It proves what held when the
// question was sent, since the answer may have been under way for any time. On the boot clock,
// which also counts the time for which the machine was suspended.
//
//   auto const asked_at = base::boot_clock::now();
//   ... the registry answers that nothing is newer ...
//   freshness.note_newest(asked_at);
//   if (freshness.is_within(bound, base::boot_clock::now())) { ... }

#ifndef LINNETLANE_ROUTING_CONFIGURATION_FRESHNESS_H_
#define LINNETLANE_ROUTING_CONFIGURATION_FRESHNESS_H_

#include <chrono>
#include <optional>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only.
class configuration_freshness {
public:
    using time_point = base::boot_clock::time_point;

    // Records that the configuration in force was the newest one at `moment`, as `told_by` stated;
    // empty for the registry.
    auto note_newest(time_point moment, base::host_id const& told_by = {}) -> void {
        if (!this->newest_at || *this->newest_at < moment) {
            this->newest_at = moment;
            this->source = told_by;
        }
    }
    // Drops all proofs, such as those from before a restoration of the registry.
    auto forget() -> void { this->newest_at.reset(); }
    // Returns the time since the last moment at which the configuration was known to be the newest
    // one, or nothing if it never was.
    [[nodiscard]] auto age(time_point now) const -> std::optional<base::duration> {
        return this->newest_at ? std::optional{std::chrono::duration_cast<base::duration>(
                                     now - *this->newest_at)}
                               : std::nullopt;
    }
    // Returns the last moment at which the configuration was known to be the newest one, if any.
    [[nodiscard]] auto last_proven() const -> std::optional<time_point> { return this->newest_at; }
    // Returns the host that stated the last proof; empty if it was the registry or there is none.
    [[nodiscard]] auto told_by() const -> base::host_id const& { return this->source; }
    // Returns whether that moment is no longer ago than `bound`.
    [[nodiscard]] auto is_within(base::duration bound, time_point now) const -> bool {
        return this->newest_at && now - *this->newest_at <= bound;
    }

private:
    std::optional<time_point> newest_at;
    base::host_id source;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_CONFIGURATION_FRESHNESS_H_

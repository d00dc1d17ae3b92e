// The registered upstreams known to this host. They are kept during registry outages.
//
//   auto known = upstream_set{};
//   known.replace_all(listed, now);       // after a full listing
//   known.put(record);                    // after a change
//   known.remove(id, now);
//   known.expire(now);
//
// The record of a crashed process stays registered for some seconds. It is dropped as soon as a
// process that started later registers with the same address.
//
// A record that is missing right after an outage of the registry is kept for a grace period, since
// live upstreams need some time to register again. Upstreams that were leaving get no grace period.
// If only this host had lost the registry, no record has lapsed, and the missing ones are dropped.
//
// Leaving is final for a process. A registry that was restored from an older copy may show it as
// ready again.

#ifndef LINNETLANE_ROUTING_UPSTREAM_SET_H_
#define LINNETLANE_ROUTING_UPSTREAM_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The part of a generation that an engine executes.
enum class engine_stage { prefill, decode };

// The registered record of an upstream.
struct upstream_record {
    base::upstream_id id;
    base::service_id service;
    base::endpoint address;
    base::data_centre_id data_centre;
    // Empty if the registry doesn't state it. Differs between the processes of a service during a
    // rollout.
    base::software_version software;
    // When the process started, in Unix milliseconds; 0 if the registry doesn't state it.
    // Distinguishes processes with the same id or address.
    base::incarnation started;
    // The number of requests that the upstream runs concurrently.
    std::size_t slots = 1;
    // The upstream finishes its requests and accepts no new ones.
    bool leaving = false;
    // Not set for upstreams that are not engines.
    std::optional<engine_stage> stage;

    friend auto operator==(upstream_record const&, upstream_record const&) -> bool = default;
};

// Returns whether `newer`, with the id of `known`, is of a later process: it has another address or
// another start. A record without a start doesn't tell.
[[nodiscard]] inline auto has_restarted(upstream_record const& known, upstream_record const& newer)
    -> bool {
    auto const states_another_start = newer.started.value != 0 && known.started != newer.started;
    return states_another_start || !(known.address == newer.address);
}

// The effect of a record on the set. `restarted`: the start or the address of a known upstream
// changed. `updated`: only other fields changed. `ignored`: the record is outdated.
enum class record_change { none, added, restarted, updated, ignored };

// How long a missing record is kept after the registry has recovered. Upstreams register again
// within two seconds, plus the jitter of one heartbeat.
inline constexpr auto reregistration_grace = std::chrono::milliseconds{2200};

// How long the registry may show a process that has left as ready after a restoration.
inline constexpr auto departure_memory = std::chrono::seconds{60};

// Not thread-safe; must be used on one worker only.
class upstream_set {
public:
    // Records that the registry can't be read.
    auto note_outage() -> void;
    // Records that the registry can be read. After an outage, begins the grace period. Returns
    // whether there was an outage.
    auto note_available(base::time_point now) -> bool;
    // Starts the grace period, in which missing records are kept.
    auto begin_grace(base::time_point now) -> void;
    // Records that the registry was available all the while, so that no record has lapsed: ends the
    // grace period, also one that an outage would begin. `expire` then drops the missing records.
    auto end_grace(base::time_point now) -> void;
    // Returns how much longer missing records are kept, at least 0.
    [[nodiscard]] auto grace_left(base::time_point now) const -> base::duration {
        return now < this->grace_until ? this->grace_until - now : base::duration::zero();
    }
    // Keeps missing records for `left`, the rest of another host's grace period. An outage that
    // this host noticed itself counts as ended if there is such a rest.
    auto extend_grace(base::time_point now, base::duration left) -> void;
    // Applies a full listing; after an outage, begins the grace period first. Returns the upstreams
    // that were dropped because the listing lacks them, without those that `put` replaced by a
    // later process at the same address.
    auto replace_all(std::vector<upstream_record> const& listed, base::time_point now)
        -> std::vector<base::upstream_id>;
    // Adds or updates `record`, and drops the record that it supersedes. Ignores `record` if one
    // with another id has the same address and a later start.
    auto put(upstream_record const& record) -> record_change;
    // Records that an upstream said itself that it leaves, before the registry shows it. Holds
    // until the process restarts or its record is removed. Returns whether that is new.
    auto note_leaving(base::upstream_id const& id) -> bool;
    // Returns whether the process of `record` was leaving when its record was dropped.
    [[nodiscard]] auto has_left(upstream_record const& record) const -> bool;
    // Returns a record with another id, the same address as `record` and an earlier start, or null.
    [[nodiscard]] auto superseded_by(upstream_record const& record) const -> upstream_record const*;
    // Handles the removal of a record from the registry. Returns whether the upstream was dropped
    // at once rather than kept for the grace period.
    auto remove(base::upstream_id const& id, base::time_point now) -> bool;
    // Drops the records whose grace period has ended and returns their ids.
    auto expire(base::time_point now) -> std::vector<base::upstream_id>;

    // Returns the record of an upstream, or null.
    [[nodiscard]] auto find(base::upstream_id const& id) const -> upstream_record const*;
    [[nodiscard]] auto all() const -> std::map<base::upstream_id, upstream_record> const& {
        return this->records;
    }
    // Returns whether the process that `chosen` describes takes requests in the same stage, as far
    // as is known now. Check that before each send, since the record was chosen earlier.
    [[nodiscard]] auto takes_requests(upstream_record const& chosen) const -> bool;
    // Returns the records that are registered, without those that are kept for the grace period.
    [[nodiscard]] auto registered() const -> std::vector<upstream_record>;
    // Returns whether a full listing has been applied.
    [[nodiscard]] auto has_listing() const -> bool { return this->listed_once; }

private:
    std::map<base::upstream_id, upstream_record> records;
    // Upstreams that said themselves that they leave.
    std::set<base::upstream_id> announced;
    // The times at which missing records are dropped.
    std::map<base::upstream_id, base::time_point> drop_at;
    struct departure {
        base::incarnation started;
        base::time_point forget_at;
    };
    // Processes that were leaving when their records were dropped.
    std::map<base::upstream_id, departure> departed;
    // The end of the grace period for missing records.
    base::time_point grace_until = base::time_point::min();
    bool outage = false;
    bool listed_once = false;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UPSTREAM_SET_H_

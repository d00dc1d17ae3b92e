// Picks an upstream of a plain service for each request: the one that is expected to finish first.
//
// The estimate combines the requests of this host at the upstream, its last load report (which
// covers the other hosts), the time that its answers take, and the last reported pace of its
// machine.

#ifndef LINNETLANE_ROUTING_PLAIN_POOL_H_
#define LINNETLANE_ROUTING_PLAIN_POOL_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/data_centre_reachability.h"
#include "linnetlane/routing/load_report.h"
#include "linnetlane/routing/upstream_health.h"
#include "linnetlane/routing/upstream_pauses.h"
#include "linnetlane/routing/upstream_set.h"

namespace linnetlane::routing {

// The result of a request to a plain upstream.
struct plain_result {
    exchange_outcome outcome = exchange_outcome::answered;
    // The time from sending the request to the end of its answer.
    base::duration took{};
    std::optional<load_report> load;
};

// Not thread-safe; must be used on one worker only. There is one instance for each service.
class plain_pool {
public:
    // The weight of the newest answer in the moving mean of an upstream's answer times.
    static constexpr auto newest_weight = 0.2;
    // Load reports of upstreams expire after this time.
    static constexpr auto load_report_validity = std::chrono::milliseconds{500};

    // `shared_reachability` must outlive the pool.
    explicit plain_pool(data_centre_reachability& shared_reachability)
        : reachability{&shared_reachability} {}
    // Keeps to the limits in `shared`, which must outlive the pool.
    auto set_rate_limits(upstream_rate_limits const& shared) -> void {
        this->pauses.set_rate_limits(shared);
    }

    // Replaces the upstreams of the service. Call `forget` first for upstreams that have restarted.
    auto set_members(std::vector<upstream_record> const& records) -> void;
    auto forget(base::upstream_id const& id) -> void {
        this->members.erase(id);
        this->pauses.forget(id);
    }
    // Records that an upstream wants nothing from this host until `until`. It is not picked before.
    auto note_pause(base::upstream_id const& id, base::time_point until, base::time_point now)
        -> void {
        this->pauses.note(id, until, now);
    }
    // Returns how much longer no upstream takes a request of this host, because of pauses and rate
    // limits; zero if one does, or if there is none.
    [[nodiscard]] auto paused_for(base::time_point now) const -> base::duration;
    // Returns the best upstream outside of `tried`, or nothing if there is none. Ejected upstreams
    // and those in suspect data centres are used only if no other is left. `draw` from [0, 1)
    // breaks ties. If `required` is set, only upstreams of that software version are considered.
    [[nodiscard]] auto pick(
        std::set<base::upstream_id> const& tried, double draw, base::time_point now,
        std::optional<base::software_version> const& required = std::nullopt) const
        -> std::optional<base::upstream_id>;
    // Returns the expected time of a request that is sent now if every upstream has a queue; zero
    // if one may have a free slot. Upstreams that were slow but have no queue now are tried, or
    // nothing would show that they have recovered.
    [[nodiscard]] auto time_behind_queues(base::time_point now,
                                          std::optional<base::software_version> const& required =
                                              std::nullopt) const -> base::duration;
    // Returns whether every upstream has a full queue, as far as is known: it holds as many
    // requests as when it last rejected one.
    [[nodiscard]] auto is_full(
        base::time_point now,
        std::optional<base::software_version> const& required = std::nullopt) const -> bool;
    // Record that a request was sent to an upstream, and its result.
    auto started(base::upstream_id const& id) -> void;
    auto ended(base::upstream_id const& id, plain_result const& result, base::time_point now)
        -> void;
    // Returns the number of upstreams.
    [[nodiscard]] auto size() const -> std::size_t { return this->members.size(); }

private:
    struct member {
        std::size_t slots = 1;
        base::data_centre_id data_centre;
        base::software_version software;
        bool leaving = false;
        std::size_t under_way = 0;
        // The requests at the upstream, running and waiting, when it rejected one; 0 if it has not.
        std::size_t most_requests = 0;
        // It has rejected a request, and isn't expected to take one before.
        base::time_point full_until = base::time_point::min();
        std::size_t rejections_in_a_row = 0;
        // The moving mean of the time that a request takes at the usual pace, in seconds; 0 before
        // the first answer.
        double mean_seconds = 0;
        other_hosts_load others;
        machine_pace pace;
        upstream_health health;
    };

    auto update_mean(member& one, plain_result const& result, base::time_point now) -> void;
    // Returns whether requests may be sent to the upstream.
    [[nodiscard]] auto is_candidate(base::upstream_id const& id, member const& one,
                                    base::time_point now,
                                    std::optional<base::software_version> const& required) const
        -> bool {
        return !one.leaving && !this->pauses.is_blocked(id, now) &&
               (!required || one.software == *required);
    }
    [[nodiscard]] auto is_usable(member const& one, base::time_point now) const -> bool {
        return one.health.usable(now) && !this->reachability->is_suspect(one.data_centre, now);
    }
    [[nodiscard]] static auto has_full_queue(member const& one, base::time_point now) -> bool {
        auto const requests = one.under_way + one.others.at(now);
        return now < one.full_until || (one.most_requests > 0 && requests >= one.most_requests);
    }
    // Returns the expected time of a request that is sent to the upstream now.
    [[nodiscard]] auto expected_seconds(member const& one, base::time_point now) const -> double;
    // Returns the requests at the upstream, as far as known, with one that is sent now, in
    // multiples of its slots.
    [[nodiscard]] static auto load_per_slot(member const& one, base::time_point now) -> double {
        return static_cast<double>(one.under_way + one.others.at(now) + 1) /
               static_cast<double>(one.slots);
    }
    // Returns the time that a request takes at an idle upstream, at the pace of its machine.
    [[nodiscard]] auto work_seconds(member const& one, base::time_point now) const -> double;

    data_centre_reachability* reachability;
    std::map<base::upstream_id, member> members;
    upstream_pauses pauses;
    // The moving mean over all upstreams, for those that have not answered yet, in seconds.
    double overall_mean_seconds = 0;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_PLAIN_POOL_H_

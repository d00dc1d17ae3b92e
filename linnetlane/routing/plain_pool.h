// Picks the upstream of a plain service for each request: the one where it is expected to end
// first.
//
// The estimate joins what the host has under way there, what the upstream last said of its load
// (which covers the other hosts), and how long its answers take.

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
#include "linnetlane/routing/upstream_set.h"

namespace linnetlane::routing {

// How a request to a plain upstream ended.
struct plain_ending {
    exchange_outcome outcome = exchange_outcome::answered;
    // From sending to the whole answer.
    base::duration took{};
    std::optional<load_report> load;
};

// Belongs to one worker. One for each service.
class plain_pool {
public:
    // Weight of the newest answer in an upstream's learned time.
    static constexpr auto newest_weight = 0.2;
    // After this, what an upstream said of its load says nothing about the other hosts any more.
    static constexpr auto load_report_validity = std::chrono::milliseconds{500};

    // `ways` outlives the pool.
    explicit plain_pool(data_centre_reach& ways) : reach{&ways} {}

    // Takes the upstreams of the service; those that restarted are forgotten first by `forget`.
    auto set_members(std::vector<upstream_record> const& records) -> void;
    auto forget(base::upstream_id const& id) -> void { this->members.erase(id); }
    // The best upstream outside of `tried`, or none. One that rests is taken only if none else is
    // left. `draw` from [0, 1) parts equals.
    [[nodiscard]] auto pick(std::set<base::upstream_id> const& tried, double draw,
                            base::time_point now) const -> std::optional<base::upstream_id>;
    auto started(base::upstream_id const& id) -> void;
    auto ended(base::upstream_id const& id, plain_ending const& ending, base::time_point now)
        -> void;
    [[nodiscard]] auto size() const -> std::size_t { return this->members.size(); }

private:
    struct member {
        std::size_t slots = 1;
        base::data_centre_id data_centre;
        bool leaving = false;
        std::size_t under_way = 0;
        // Seconds for one request on an idle upstream.
        double learned_seconds = 0;
        load_of_others others;
        upstream_health health;
    };

    auto learn_time(member& one, plain_ending const& ending) -> void;
    [[nodiscard]] auto expected_seconds(member const& one, base::time_point now) const -> double;

    data_centre_reach* reach;
    std::map<base::upstream_id, member> members;
    // Learned over all upstreams, for those that have answered nothing yet.
    double usual_seconds = 0;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_PLAIN_POOL_H_

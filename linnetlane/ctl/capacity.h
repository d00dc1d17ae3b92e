// Capacity model: estimates the cost of control in a deployment of a given size from the unit costs
// in a slope table.
//
//   auto const load = estimate_control_load(deployment_size{}, slopes);
//
// Control is all work other than forwarding the callers' own bytes and running the engines.

#ifndef LINNETLANE_CTL_CAPACITY_H_
#define LINNETLANE_CTL_CAPACITY_H_

#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/ctl/slopes.h"

namespace linnetlane::ctl {

// The size of a deployment. The defaults are the size that the project is designed for.
struct deployment_size {
    double hosts = 360;
    double upstreams = 7'400;
    double data_centres = 7;
    double services = 9;
    double callers = 560;
    double requests_per_second = 14'000;
    double output_tokens_per_second = 3'900'000;
    double seconds_between_tokens = 0.04;
    double changes_per_day = 16'000;
    double hosts_failing_per_day = 120;
    double hosts_restarted_per_day = 470;
    // Fraction of requests that carry an idempotency key and therefore need a claim.
    double keyed_share = 0.05;
    // Mean size of a cell: 24 decode engines and 48 prefill engines.
    double upstreams_per_cell = 72;
};

// The load that one role and activity puts on one host.
struct control_term {
    // `entry`, `keeper`, `member`, `reader`, `claim keeper` or `order giver`.
    std::string_view role;
    std::string_view name;
    // How the activity is implemented, in a few words.
    std::string_view mechanism;
    double messages_per_second = 0;
    double bytes_per_second = 0;
    // Fraction of one core.
    double cores = 0;
    double memory_bytes = 0;
    // Slopes that the term depends on. The term is an estimate if any of them is unmeasured.
    std::vector<slope> used;
};

// The load that all hosts together put on the platform for one activity.
struct platform_term {
    std::string_view name;
    double reads_per_second = 0;
    double writes_per_second = 0;
    // Open watches.
    double watches = 0;
    std::vector<slope> used;
};

struct control_load {
    std::vector<control_term> terms;
    std::vector<platform_term> platform;
};

// Limits for control on one host.
struct control_budget {
    double cores = 0.01;
    double memory_bytes = 32e6;
    double bytes_per_second = 30e3;
};

// Limits of the platform for all hosts together.
struct platform_budget {
    double reads_per_second = 2'000;
    double writes_per_second = 300;
};

// Returns the load on a host that has every role: keeper of at least one cell, document reader, and
// claim keeper and order giver for its share of shards and pools; and the load of all hosts on the
// platform.
[[nodiscard]] auto estimate_control_load(deployment_size const& size, slope_table const& slopes)
    -> control_load;

// Returns the sum of all terms.
[[nodiscard]] auto total_of(std::vector<control_term> const& terms) -> control_term;
[[nodiscard]] auto total_of(std::vector<platform_term> const& terms) -> platform_term;

// Returns the names of the unmeasured slopes in `used`, sorted and without duplicates.
[[nodiscard]] auto unmeasured_slopes(std::vector<slope> const& used, slope_table const& slopes)
    -> std::vector<std::string_view>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_CAPACITY_H_

// The settings of a host in router mode.

#ifndef LINNETLANE_ROUTER_SETTINGS_H_
#define LINNETLANE_ROUTER_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/retry_budget.h"
#include "linnetlane/settings/settings.h"
#include "linnetlane/settings/toml_reader.h"

namespace linnetlane::router {

// The addresses that the router listens on.
struct router_addresses {
    // HTTP requests of callers.
    base::endpoint callers;
    // HTTP requests of operators: readiness and metrics.
    base::endpoint operators;
    // HTTP requests of other hosts of the data centre, which follow the registry through this one.
    // If not set, no host follows this one.
    std::optional<base::endpoint> peers;
};

// The shutdown after SIGTERM.
struct leaving_settings {
    // The limit on the time from the signal to the exit of the process.
    base::duration grace = std::chrono::seconds{8};
};

// The placement of generations on engines.
struct generation_settings {
    // The share of a service's engines that prefill; the others decode. The default covers 2.2
    // times the usual rate of prompts in docs/MEASUREMENTS.md.
    base::fraction prefill_share{0.22};
    // The number of engines that are asked for a reservation before a request is refused.
    std::size_t engines_asked = 48;
    // The memory reserved for an answer, as a multiple of its expected length.
    double output_margin = 1.9;
    // While decode memory is scarce for urgent requests, those that rank behind them ask few
    // engines. Applies to services whose routes or accounts differ in priority.
    bool ranked = false;
};

// How the keys of client accounts are checked.
struct account_settings {
    // The longest time after which a key that was taken away opens nothing on any host. Without it,
    // hosts that can't learn of changes go on with the configuration that they have.
    std::optional<base::duration> revocation_bound;
    // A key that the configuration in force doesn't hold is unknown only if that configuration was
    // the newest one within this time; an older one may lack the key.
    base::duration current_within = std::chrono::milliseconds{1500};
};

// The tolerance within which hosts together keep the quotas of accounts.
struct quota_settings {
    // The time over which the work of an account is counted.
    base::duration window = std::chrono::seconds{8};
    // The work beyond the quota that is tolerated within the window, as a share of the quota.
    base::fraction overage{0.0};
    // The work that is tolerated in addition, in the unit of the quota.
    double slack = 0;
};

// How changes of the configuration and of the upstreams reach this host.
struct change_settings {
    // The time within which a change is expected to take effect on every host. A call that waits
    // for changes takes no longer, since a lost answer is noticed only at the end of the wait.
    base::duration applied_within = std::chrono::seconds{2};
};

// The memory that this host may use.
struct memory_settings {
    // The limit on the process. The answers that are being received or sent take at most a quarter
    // of it together.
    base::byte_count process{std::int64_t{512} * 1'000'000};

    [[nodiscard]] auto answers() const -> base::byte_count {
        return base::byte_count{this->process.value / 4};
    }
};

struct router_settings {
    base::host_id host;
    base::data_centre_id data_centre;
    // The share of a core that this host may use. Hosts with a larger share are preferred for
    // reading the registry on behalf of others.
    base::fraction processor_share{1.0};
    router_addresses listen;
    // The address of the platform's key-value service.
    base::endpoint coordination;
    routing::retry_budget_limits retries;
    leaving_settings leaving;
    generation_settings generation;
    account_settings accounts;
    quota_settings quotas;
    change_settings changes;
    memory_settings memory;
    // The minimum time between the orders of two successive order givers.
    base::duration order_lease = std::chrono::seconds{3};
    // The whole fleet is started for the first time, so there is no previous order giver.
    bool first_start = false;
    settings::log_settings log;
};

// Parses `text`. Returns the settings or all problems found.
[[nodiscard]] auto parse_router_settings(std::string_view text)
    -> base::result<router_settings, std::vector<settings::toml_problem>>;

// Reads and parses the file at `path`.
[[nodiscard]] auto load_router_settings(std::string const& path)
    -> base::result<router_settings, std::vector<settings::toml_problem>>;

// Formats a problem as `FILE:LINE: KEY: FAULT: DETAIL`.
[[nodiscard]] auto to_string(settings::toml_problem const& problem, std::string_view file)
    -> std::string;

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_SETTINGS_H_

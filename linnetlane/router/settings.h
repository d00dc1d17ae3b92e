// The settings of a host that routes for a registry of upstreams.

#ifndef LINNETLANE_ROUTER_SETTINGS_H_
#define LINNETLANE_ROUTER_SETTINGS_H_

#include <chrono>
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

// Where the router listens.
struct router_addresses {
    // HTTP from callers.
    base::endpoint callers;
    // HTTP from operators: readiness and metrics.
    base::endpoint operators;
    // Hosts of the same data centre, which read the registry through each other; without it, each
    // host reads for itself.
    std::optional<base::endpoint> peers;
};

// How the host leaves after SIGTERM.
struct leaving_settings {
    // From the signal to the end of the process.
    base::duration grace = std::chrono::seconds{8};
};

// How generations are placed.
struct generation_settings {
    // The share of a service's engines that read prompts; the others decode. The value covers 2.2
    // times the usual prompts of docs/MEASUREMENTS.md.
    base::fraction prefill_share{0.22};
    // Engines that are asked for a place to decode before a request is refused.
    std::size_t engines_asked = 48;
    // Memory reserved for an answer, as a multiple of its expected length.
    double output_margin = 1.9;
};

struct router_settings {
    base::host_id host;
    base::data_centre_id data_centre;
    router_addresses listen;
    // The platform's key-value service.
    base::endpoint coordination;
    routing::retry_budget_limits retries;
    leaving_settings leaving;
    generation_settings generation;
    // Two holders of the right to give orders keep this much time between their orders.
    base::duration order_lease = std::chrono::seconds{3};
    // The whole fleet starts for the first time: nobody has given orders before.
    bool first_start = false;
    settings::log_settings log;
};

// Reads `text`; all problems are reported at once.
[[nodiscard]] auto parse_router_settings(std::string_view text)
    -> base::result<router_settings, std::vector<settings::toml_problem>>;

// Reads the file at `path`.
[[nodiscard]] auto load_router_settings(std::string const& path)
    -> base::result<router_settings, std::vector<settings::toml_problem>>;

// `FILE:LINE: KEY: what is wrong`.
[[nodiscard]] auto to_string(settings::toml_problem const& problem, std::string_view file)
    -> std::string;

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_SETTINGS_H_

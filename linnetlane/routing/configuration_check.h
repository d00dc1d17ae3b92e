// Checks a configuration before hosts get it, and compares it with the one in force.
//
//   for (auto const& found : check_configuration(offered, {})) {
//       std::cout << found.where << ": " << found.what << '\n';
//   }
//
// Accounts are named; no key and no digest of one is ever part of a finding.

#ifndef LINNETLANE_ROUTING_CONFIGURATION_CHECK_H_
#define LINNETLANE_ROUTING_CONFIGURATION_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/routing/configuration.h"

namespace linnetlane::routing {

// A configuration as it was read from its text.
struct configuration_draft {
    configuration read;
    // The paths of parts that can't be read, which hosts leave out.
    std::vector<std::string> unreadable;
    // The paths of parts that can be read and have no effect.
    std::vector<std::string> without_effect;
};

// What is known of the requests and upstreams, as far as it is.
struct expected_use {
    // The tokens of the largest request, its prompt and its output.
    std::optional<double> largest_request;
    // The number of engines of services.
    std::map<base::service_id, std::size_t> engines;
};

enum class finding_severity {
    // The configuration works, but hardly as it was meant.
    warning,
    // A part of the configuration is left out, or refuses requests that it should serve.
    error,
};

struct configuration_finding {
    finding_severity severity = finding_severity::warning;
    // A path in the text, or a part by its name, such as `route answers`.
    std::string where;
    // Human-readable.
    std::string what;
    friend auto operator==(configuration_finding const&, configuration_finding const&)
        -> bool = default;
};

// Returns all findings: of the text first, then of routes and accounts in the order of the
// configuration.
[[nodiscard]] auto check_configuration(configuration_draft const& draft, expected_use const& use)
    -> std::vector<configuration_finding>;

// Returns the finding that hosts with `in_force` would ignore `offered`, if so.
[[nodiscard]] auto check_succession(configuration const& in_force, configuration const& offered)
    -> std::optional<configuration_finding>;

enum class configuration_change_kind { added, removed, changed };

struct configuration_change {
    configuration_change_kind kind = configuration_change_kind::changed;
    // Such as `service llm`.
    std::string where;
    // What differs, such as `timeout`; empty unless the part was changed.
    std::vector<std::string> fields;
    friend auto operator==(configuration_change const&, configuration_change const&)
        -> bool = default;
};

// Returns the changes from `in_force` to `offered`: routes, services, limits, accounts, each sorted
// by name.
[[nodiscard]] auto compare_configurations(configuration const& in_force,
                                          configuration const& offered)
    -> std::vector<configuration_change>;

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_CONFIGURATION_CHECK_H_

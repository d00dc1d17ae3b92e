// What the operator wants routed where: routes, services and the limits on callers.
//
//   auto table = route_table{};
//   table.offer(configuration);                       // an older version is ignored
//   auto const* route = table.match("api.example", "/find/a?b=1");

#ifndef LINNETLANE_ROUTING_CONFIGURATION_H_
#define LINNETLANE_ROUTING_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::routing {

// Orders configurations; a later one has a higher number.
using configuration_version = base::basic_number<struct configuration_version_tag>;
// A route, as the configuration names it.
using route_name = base::basic_name<struct route_tag>;

// How often a request may run.
enum class execution_semantics {
    // Any number of times: a failed try may be sent again.
    idempotent,
    // Once at most, for each try of the caller.
    at_most_once,
};

// A service that a route sends a part of its requests to.
struct weighted_service {
    base::service_id service;
    // Relative to the other weights of the route.
    double weight = 1;
    friend auto operator==(weighted_service const&, weighted_service const&) -> bool = default;
};

struct route {
    route_name name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> targets;
    execution_semantics semantics = execution_semantics::at_most_once;
    // The answer is a stream of events.
    bool streams = false;
    // A stream that broke off may be continued after its last event, also at another upstream.
    bool resumable = false;
    // Requests are prompts for engines with separate prefill and decode.
    bool generates = false;
    // The longest that a caller is kept waiting for the whole answer.
    base::duration timeout{};
    // An answer in this time (a stream: its first event) is on time.
    base::duration target_latency{};
    // 0 is the most urgent.
    int priority = 0;
    // Upstreams that one request may be run on.
    std::size_t max_attempts = 1;
    friend auto operator==(route const&, route const&) -> bool = default;
};

// What the engines of a service share.
struct engine_shape {
    base::token_count memory;
    // Requests that are decoded at the same time.
    std::size_t slots = 1;
    // The longest that a reservation of memory stands.
    base::duration longest_reservation{};
    // How long a prefill's result is kept.
    base::duration result_kept{};
    // How long an engine takes to change from prefill to decode or back.
    base::duration stage_switch{};
    friend auto operator==(engine_shape const&, engine_shape const&) -> bool = default;
};

struct service {
    base::service_id id;
    // Connections that one of its upstreams takes, from all hosts together.
    std::size_t max_connections = 0;
    std::optional<engine_shape> engine;
    friend auto operator==(service const&, service const&) -> bool = default;
};

// Bounds on what a caller may send.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    // From the first byte of a request to its last.
    base::duration request_arrival = std::chrono::seconds{3};
    // Between requests on a kept connection.
    base::duration idle = std::chrono::seconds{15};
    friend auto operator==(caller_limits const&, caller_limits const&) -> bool = default;
};

struct configuration {
    configuration_version version;
    std::vector<route> routes;
    std::map<base::service_id, service> services;
    caller_limits limits;
    friend auto operator==(configuration const&, configuration const&) -> bool = default;
};

// The newest configuration seen, ready for matching. Belongs to one worker. Routes that were handed
// out stay valid for as long as their configuration is held.
class route_table {
public:
    // Takes `offered` unless one as new is in force; whether it was taken.
    auto offer(std::shared_ptr<configuration const> offered) -> bool;
    // Null until the first configuration.
    [[nodiscard]] auto current() const -> std::shared_ptr<configuration const>;
    // The route of `host` with the longest prefix that begins `target`, or null. `target` may hold
    // a query; the port of `host` is ignored, and its case.
    [[nodiscard]] auto match(std::string_view host, std::string_view target) const -> route const*;

private:
    std::shared_ptr<configuration const> in_force;
    // Routes by host, the longest prefix first.
    std::map<std::string, std::vector<route const*>, std::less<>> by_host;
};

// The target of `chosen` for a `draw` from [0, 1). Null if it has none.
[[nodiscard]] auto choose_target(route const& chosen, double draw) -> base::service_id const*;

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_CONFIGURATION_H_

// The routing configuration of the operator (routes, services and limits on callers), and the table
// that matches requests to routes.
//
//   auto table = route_table{};
//   table.offer(configuration);                       // ignored unless its version is newer
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
#include "linnetlane/routing/client_accounts.h"

namespace linnetlane::routing {

// The version of a configuration; newer configurations have higher numbers.
using configuration_version = base::basic_number<struct configuration_version_tag>;
// The name of a route in the configuration.
using route_name = base::basic_name<struct route_tag>;

// How often an upstream may execute a request.
enum class execution_semantics {
    // Any number of times, so a failed attempt may be retried.
    idempotent,
    // At most once for each request that the caller sends.
    at_most_once,
};

// A service that receives a part of a route's requests.
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
    // Whether the answer is a stream of events.
    bool streams = false;
    // Whether an interrupted stream may be resumed after its last event, also at another upstream.
    bool resumable = false;
    // Whether requests are prompts for engines that separate prefill and decode.
    bool generates = false;
    // The limit on the time from a request's arrival to the end of its answer.
    base::duration timeout{};
    // The target for the time from a request's arrival to its answer, or to the first event of a
    // stream.
    base::duration target_latency{};
    // How long callers of a stream wait for its first event, or for the next one, before they
    // leave; zero if that isn't known.
    base::duration longest_pause{};
    // 0 is the most urgent.
    int priority = 0;
    // The number of times that one request may be executed by upstreams.
    std::size_t max_attempts = 1;
    // Requests need no key.
    bool open_to_all = false;
    friend auto operator==(route const&, route const&) -> bool = default;
};

// The properties that all engines of a service have in common.
struct engine_shape {
    base::token_count memory;
    // The number of requests that an engine decodes concurrently.
    std::size_t slots = 1;
    // The time after which an unused reservation of memory expires.
    base::duration longest_reservation{};
    // How long an engine keeps the result of a prefill.
    base::duration result_kept{};
    // How long an engine takes to switch between prefill and decode.
    base::duration stage_switch{};
    friend auto operator==(engine_shape const&, engine_shape const&) -> bool = default;
};

struct service {
    base::service_id id;
    // The number of connections that one upstream accepts from all hosts together.
    std::size_t max_connections = 0;
    std::optional<engine_shape> engine;
    friend auto operator==(service const&, service const&) -> bool = default;
};

// Limits on the requests and connections of callers.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    // The limit on the time from the first byte of a request to its last.
    base::duration request_arrival = std::chrono::seconds{3};
    // The limit on the time between two requests on a persistent connection.
    base::duration idle = std::chrono::seconds{15};
    friend auto operator==(caller_limits const&, caller_limits const&) -> bool = default;
};

struct configuration {
    configuration_version version;
    std::vector<route> routes;
    std::map<base::service_id, service> services;
    caller_limits limits;
    // Requests need the key of one of the accounts, except on routes that are open to all.
    bool requires_keys = false;
    client_accounts accounts = {};
    friend auto operator==(configuration const&, configuration const&) -> bool = default;
};

// Holds the newest configuration offered and matches requests to its routes. Not thread-safe;
// must be used on one worker only. Pointers to routes stay valid for as long as their configuration
// exists.
class route_table {
public:
    // Puts `offered` in force if its version is newer than the current one. Returns whether it did.
    auto offer(std::shared_ptr<configuration const> offered) -> bool;
    // Returns the configuration in force, or null before the first one.
    [[nodiscard]] auto current() const -> std::shared_ptr<configuration const>;
    // Returns the route of `host` with the longest prefix of `target`, or null. `target` may have a
    // query. The port and the case of `host` are ignored.
    [[nodiscard]] auto match(std::string_view host, std::string_view target) const -> route const*;

private:
    std::shared_ptr<configuration const> in_force;
    // Routes by host in lower case, sorted by descending length of the prefix.
    std::map<std::string, std::vector<route const*>, std::less<>> by_host;
};

// Returns `host` as routes are matched by: without its port and in lower case.
[[nodiscard]] auto normalized_host(std::string_view host) -> std::string;

// Chooses a target of `chosen` at random by weight, for a `draw` from [0, 1). Returns null if the
// route has no targets.
[[nodiscard]] auto choose_target(route const& chosen, double draw) -> base::service_id const*;

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_CONFIGURATION_H_

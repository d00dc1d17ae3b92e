// Sends orders to engines and reads their status, behind one concept.
//
// `http_engine_control` uses `POST /orders` and `GET /state`. An order is one step, such as loading
// a model; `plan_orders` returns the orders that bring an engine to its wanted assignment.
//
//   auto control = http_engine_control{};
//   auto const status = control.status(address, deadline);
//   for (auto const& order : plan_orders(value_of(status).assignment, wanted)) {
//       control.order(address, fencing, order, deadline);
//   }

#ifndef LINNETLANE_UPSTREAM_ENGINE_CONTROL_H_
#define LINNETLANE_UPSTREAM_ENGINE_CONTROL_H_

#include <concepts>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/service/document.h"
#include "linnetlane/upstream/completions.h"
#include "linnetlane/upstream/model_engine.h"

namespace linnetlane::upstream {

// The model, adapters and role that an engine runs.
struct engine_assignment {
    std::string model;
    std::string version;
    std::set<std::string> adapters;
    service::upstream_role role = service::upstream_role::decode;

    friend auto operator==(engine_assignment const&, engine_assignment const&) -> bool = default;
};

// The status that an engine reports.
struct engine_status {
    engine_assignment assignment;
    // The highest fencing number of the orders that it accepted.
    base::fencing_number fencing;
    // Whether it is still carrying out an order.
    bool loading = false;
    // Whether it is draining: it takes no new requests.
    bool leaving = false;

    friend auto operator==(engine_status const&, engine_status const&) -> bool = default;
};

// Loading a model unloads all adapters.
struct load_model {
    std::string model;
    std::string version;
};
struct load_adapter {
    std::string name;
};
struct unload_adapter {
    std::string name;
};
struct set_role {
    service::upstream_role role = service::upstream_role::decode;
};

using engine_order = std::variant<load_model, load_adapter, unload_adapter, set_role>;

// Returns the orders, in sequence, that bring an engine from `current` to `wanted`; none if they
// are equal.
[[nodiscard]] auto plan_orders(engine_assignment const& current, engine_assignment const& wanted)
    -> std::vector<engine_order>;

// The result of an order to an engine.
enum class order_answer {
    // The engine carries it out or will do so.
    accepted,
    // The engine has accepted an order with a higher fencing number.
    fenced,
    // The engine is busy.
    busy,
    // The engine doesn't support the order.
    refused,
    // Nothing of the order was sent.
    not_sent,
    // The order was sent, but its answer was lost or malformed: it may be carried out.
    unknown,
};

// Returns the body of an order, such as
// `{"fencing":..,"order":"load_model","model":..,"version":..}`.
[[nodiscard]] auto write_order(engine_order const& order, base::fencing_number fencing)
    -> std::string;

// Parses `{"role":..,"model":..,"version":..,"adapters":[..],"fencing":..}` with the optional flags
// `loading` and `leaving`.
[[nodiscard]] auto parse_status(std::string_view text)
    -> base::result<engine_status, parse_failure>;

// A client for an engine's orders and status. Both calls suspend the calling fiber at most until
// the deadline; an order is not sent after it.
template <typename Control>
concept engine_control = requires(Control const& control, base::endpoint const& address,
                                  base::fencing_number fencing, engine_order const& order,
                                  base::time_point deadline) {
    {
        control.status(address, deadline)
        } -> std::same_as<base::result<engine_status, call_failure>>;
    { control.order(address, fencing, order, deadline) } -> std::same_as<order_answer>;
};

// Thread-safe: it has no state.
class http_engine_control {
public:
    [[nodiscard]] auto status(base::endpoint const& address, base::time_point deadline) const
        -> base::result<engine_status, call_failure>;
    [[nodiscard]] auto order(base::endpoint const& address, base::fencing_number fencing,
                             engine_order const& order, base::time_point deadline) const
        -> order_answer;
};

static_assert(engine_control<http_engine_control>);

}  // namespace linnetlane::upstream

#endif  // LINNETLANE_UPSTREAM_ENGINE_CONTROL_H_

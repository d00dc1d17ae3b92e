// What a giver of orders leaves to its successor in the platform.

#ifndef LINNETLANE_ORDER_ORDER_GIVER_STATE_H_
#define LINNETLANE_ORDER_ORDER_GIVER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "linnetlane/base/ids.h"

namespace linnetlane::order {

struct order_giver_state {
    // Engines that get no new work until they run what they should.
    std::set<base::upstream_id> drained;
    // Decode engines that each data centre should have, where pressure has moved it.
    std::map<base::data_centre_id, std::int64_t> decode;

    friend auto operator==(order_giver_state const&, order_giver_state const&) -> bool = default;
};

// The key of the giver's lease, and that of its state, which outlasts the lease.
[[nodiscard]] auto lease_key(base::service_id const& service) -> std::string;
[[nodiscard]] auto state_key(base::service_id const& service) -> std::string;

[[nodiscard]] auto to_value(order_giver_state const& state) -> std::string;
// Reads what `to_value` wrote; nothing if `value` has another shape.
[[nodiscard]] auto parse_state(std::string_view value) -> std::optional<order_giver_state>;

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_ORDER_GIVER_STATE_H_

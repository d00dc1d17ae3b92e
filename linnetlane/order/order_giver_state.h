// The state that an order giver stores in the platform for its successor.

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
    // Engines that get no new work until they run the desired setup.
    std::set<base::upstream_id> drained;
    // The desired number of decode engines by data centre, where pressure has changed it from the
    // document's.
    std::map<base::data_centre_id, std::int64_t> decode;

    friend auto operator==(order_giver_state const&, order_giver_state const&) -> bool = default;
};

// The platform keys of the order giver's lease and of its state. The state outlives the lease.
[[nodiscard]] auto lease_key(base::service_id const& service) -> std::string;
[[nodiscard]] auto state_key(base::service_id const& service) -> std::string;

[[nodiscard]] auto to_value(order_giver_state const& state) -> std::string;
// Parses the output of `to_value`; nothing if `value` is malformed.
[[nodiscard]] auto parse_state(std::string_view value) -> std::optional<order_giver_state>;

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_ORDER_GIVER_STATE_H_

#include "linnetlane/order/order_giver_state.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

namespace linnetlane::order {

auto lease_key(base::service_id const& service) -> std::string {
    return fmt::format("orders/{}/giver", service.value);
}

auto state_key(base::service_id const& service) -> std::string {
    return fmt::format("orders/{}/state", service.value);
}

auto to_value(order_giver_state const& state) -> std::string {
    auto drained = nlohmann::json::array();
    for (auto const& upstream : state.drained) {
        drained.push_back(upstream.value);
    }
    auto decode = nlohmann::json::object();
    for (auto const& [data_centre, count] : state.decode) {
        decode[data_centre.value] = count;
    }
    return nlohmann::json{{"drained", drained}, {"decode", decode}}.dump();
}

auto parse_state(std::string_view value) -> std::optional<order_giver_state> {
    auto const parsed = nlohmann::json::parse(value, nullptr, false);
    auto const shaped = parsed.is_object() && parsed.contains("drained") &&
                        parsed["drained"].is_array() && parsed.contains("decode") &&
                        parsed["decode"].is_object();
    if (!shaped) {
        return std::nullopt;
    }
    auto state = order_giver_state{};
    for (auto const& upstream : parsed["drained"]) {
        if (!upstream.is_string()) {
            return std::nullopt;
        }
        state.drained.insert({upstream.get<std::string>()});
    }
    for (auto const& [data_centre, count] : parsed["decode"].items()) {
        if (!count.is_number_integer()) {
            return std::nullopt;
        }
        state.decode[{data_centre}] = count.get<std::int64_t>();
    }
    return state;
}

}  // namespace linnetlane::order

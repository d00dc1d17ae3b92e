#include "linnetlane/upstream/engine_control.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "linnetlane/runtime/http.h"

namespace linnetlane::upstream {

namespace {

using json = nlohmann::json;

constexpr auto status_ok = 200;
constexpr auto status_conflict = 409;
constexpr auto status_unavailable = 503;

auto role_name(service::upstream_role role) -> char const* {
    return role == service::upstream_role::prefill ? "prefill" : "decode";
}

auto read_role(std::string const& name) -> std::optional<service::upstream_role> {
    if (name == "prefill") {
        return service::upstream_role::prefill;
    }
    if (name == "decode") {
        return service::upstream_role::decode;
    }
    return std::nullopt;
}

auto read_text(json const& body, char const* name) -> std::optional<std::string> {
    auto const found = body.find(name);
    if (found == body.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

// Returns false if the flag is absent, and nothing if it is not a boolean.
auto read_flag(json const& body, char const* name) -> std::optional<bool> {
    auto const found = body.find(name);
    if (found == body.end()) {
        return false;
    }
    return found->is_boolean() ? std::optional{found->get<bool>()} : std::nullopt;
}

auto read_names(json const& body, char const* name) -> std::optional<std::set<std::string>> {
    auto const found = body.find(name);
    if (found == body.end() || !found->is_array()) {
        return std::nullopt;
    }
    auto names = std::set<std::string>{};
    for (auto const& one : *found) {
        if (!one.is_string()) {
            return std::nullopt;
        }
        names.insert(one.get<std::string>());
    }
    return names;
}

auto to_call_failure(runtime::http_failure const& failure) -> call_failure {
    auto const timed_out = failure.kind == runtime::http_failure_kind::timed_out;
    auto const sent = failure.send_state == runtime::send_state::may_have_been_sent;
    return call_failure{timed_out ? call_failure_kind::timed_out : call_failure_kind::unreachable,
                        sent ? send_state::may_have_been_sent : send_state::not_sent};
}

auto to_order_answer(int status) -> order_answer {
    switch (status) {
        case status_ok:
            return order_answer::accepted;
        case status_conflict:
            return order_answer::fenced;
        case status_unavailable:
            return order_answer::busy;
        default:
            return order_answer::refused;
    }
}

}  // namespace

auto plan_orders(engine_assignment const& current, engine_assignment const& wanted)
    -> std::vector<engine_order> {
    auto orders = std::vector<engine_order>{};
    auto adapters = current.adapters;
    if (current.model != wanted.model || current.version != wanted.version) {
        orders.emplace_back(load_model{wanted.model, wanted.version});
        adapters.clear();
    }
    for (auto const& name : adapters) {
        if (!wanted.adapters.contains(name)) {
            orders.emplace_back(unload_adapter{name});
        }
    }
    for (auto const& name : wanted.adapters) {
        if (!adapters.contains(name)) {
            orders.emplace_back(load_adapter{name});
        }
    }
    if (current.role != wanted.role) {
        orders.emplace_back(set_role{wanted.role});
    }
    return orders;
}

auto write_order(engine_order const& order, base::fencing_number fencing) -> std::string {
    auto body = std::visit(
        base::overloaded{[](load_model const& load) {
                             return json{{"order", "load_model"},
                                         {"model", load.model},
                                         {"version", load.version}};
                         },
                         [](load_adapter const& load) {
                             return json{{"order", "load_adapter"}, {"adapter", load.name}};
                         },
                         [](unload_adapter const& unload) {
                             return json{{"order", "unload_adapter"}, {"adapter", unload.name}};
                         },
                         [](set_role const& change) {
                             return json{{"order", "set_role"}, {"role", role_name(change.role)}};
                         }},
        order);
    body["fencing"] = fencing.value;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto parse_status(std::string_view text) -> base::result<engine_status, parse_failure> {
    auto const body = json::parse(text, nullptr, false);
    if (body.is_discarded()) {
        return parse_failure::not_json;
    }
    if (!body.is_object()) {
        return parse_failure::wrong_shape;
    }
    auto const role_text = read_text(body, "role");
    auto const role = role_text ? read_role(*role_text) : std::nullopt;
    auto const model = read_text(body, "model");
    auto const version = read_text(body, "version");
    auto adapters = read_names(body, "adapters");
    auto const loading = read_flag(body, "loading");
    auto const leaving = read_flag(body, "leaving");
    auto const fencing = body.find("fencing");
    auto const has_fencing = fencing != body.end() && fencing->is_number_unsigned();
    if (!role || !model || !version || !adapters || !loading || !leaving || !has_fencing) {
        return parse_failure::wrong_type;
    }
    return engine_status{engine_assignment{*model, *version, std::move(*adapters), *role},
                         base::fencing_number{fencing->get<std::uint64_t>()}, *loading, *leaving};
}

auto http_engine_control::status(base::endpoint const& address, base::time_point deadline) const
    -> base::result<engine_status, call_failure> {
    auto request = runtime::http_request{};
    request.target = "/state";
    auto const answer = runtime::fetch(address, request, runtime::connection_use::pooled, deadline);
    if (auto const* const failure = base::failure_of(answer)) {
        return to_call_failure(*failure);
    }
    auto parsed = parse_status(base::value_of(answer).body);
    if (base::value_of(answer).status != status_ok || !base::succeeded(parsed)) {
        return call_failure{call_failure_kind::malformed_answer, send_state::may_have_been_sent};
    }
    return base::take_value(std::move(parsed));
}

auto http_engine_control::order(base::endpoint const& address, base::fencing_number fencing,
                                engine_order const& order, base::time_point deadline) const
    -> order_answer {
    if (deadline <= base::monotonic_clock::now()) {
        return order_answer::not_sent;
    }
    auto request = runtime::http_request{};
    request.method = "POST";
    request.target = "/orders";
    request.fields.add("content-type", "application/json");
    request.body = write_order(order, fencing);
    auto const answer = runtime::fetch(address, request, runtime::connection_use::fresh, deadline);
    if (auto const* const failure = base::failure_of(answer)) {
        auto const sent = failure->send_state == runtime::send_state::may_have_been_sent;
        return sent ? order_answer::unknown : order_answer::not_sent;
    }
    return to_order_answer(base::value_of(answer).status);
}

}  // namespace linnetlane::upstream

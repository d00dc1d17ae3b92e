#include "linnetlane/service/check.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace linnetlane::service {

namespace {

constexpr auto max_amount = std::int64_t{1'000'000'000'000'000};
constexpr auto max_pieces = std::int64_t{1'000'000'000};
constexpr auto max_slots = std::int64_t{100'000};
constexpr auto max_tokens = std::int64_t{100'000'000};
constexpr auto max_engines = std::int64_t{100'000};
constexpr auto max_rate = 1e9;
constexpr auto max_share = 1e6;
constexpr auto max_duration = base::duration{std::chrono::hours{24}};
constexpr auto key_hash_digits = std::size_t{64};
constexpr auto model_route = std::string_view{"/v1/"};

// Collects the errors of one document.
class findings {
public:
    auto add(document_fault fault, std::string key, std::string detail = {}) -> void {
        this->errors.push_back({fault, 0, std::move(key), std::move(detail)});
    }

    template <typename Number>
    auto expect_within(std::string_view key, Number value, Number least, Number most) -> void {
        if (value < least || value > most) {
            this->add(document_fault::out_of_bounds, std::string{key},
                      fmt::format("{} is not from {} to {}", value, least, most));
        }
    }

    auto expect_positive(std::string_view key, double value, double most) -> void {
        if (value <= 0 || value > most) {
            this->add(document_fault::out_of_bounds, std::string{key},
                      fmt::format("{} is not above 0 and at most {}", value, most));
        }
    }

    auto expect_span(std::string_view key, base::duration value) -> void {
        if (value <= base::duration::zero() || value > max_duration) {
            this->add(document_fault::out_of_bounds, std::string{key},
                      "not above 0 and at most 24h");
        }
    }

    [[nodiscard]] auto take() -> std::vector<document_error> { return std::move(this->errors); }

private:
    std::vector<document_error> errors;
};

auto check_shape(engine_shape const& shape, findings& found) -> void {
    found.expect_within("shape.piece_size", shape.piece_size.value, std::int64_t{1}, max_tokens);
    found.expect_within("shape.decode_pieces", shape.decode_pieces.value, std::int64_t{1},
                        max_pieces);
    found.expect_within("shape.decode_slots", shape.decode_slots, std::int64_t{1}, max_slots);
    found.expect_positive("shape.prefill_rate", shape.prefill_rate.per_second, max_rate);
    found.expect_positive("shape.decode_rate", shape.decode_rate.per_second, max_rate);
    found.expect_within("shape.link_rate", shape.link_rate.value, std::int64_t{1}, max_amount);
    found.expect_within("shape.kv_bytes_per_token", shape.kv_bytes_per_token.value, std::int64_t{1},
                        max_amount);
    found.expect_span("shape.result_kept", shape.result_kept);
}

auto check_targets(targets const& goals, findings& found) -> void {
    found.expect_span("targets.first_token", goals.first_token);
    found.expect_span("targets.between_tokens", goals.between_tokens);
    found.expect_span("targets.whole_answer", goals.whole_answer);
    found.expect_span("targets.batch_first_token", goals.batch_first_token);
    if (goals.first_token > goals.whole_answer) {
        found.add(document_fault::out_of_bounds, "targets.first_token",
                  "later than targets.whole_answer");
    }
}

auto check_policy(policy const& weights, findings& found) -> void {
    found.expect_within("policy.waste_weight", weights.waste_weight.value, 0.0, 1.0);
    found.expect_within("policy.retry_share", weights.retry_share.value, 0.0, 1.0);
    found.expect_within("policy.default_output_bound", weights.default_output_bound.value,
                        std::int64_t{1}, max_tokens);
}

auto check_deployment(deployment const& wanted, findings& found) -> void {
    found.expect_within("deployment.least_decode", wanted.least_decode, std::int64_t{0},
                        max_engines);
    found.expect_within("deployment.most_decode", wanted.most_decode, wanted.least_decode,
                        max_engines);
    found.expect_positive("deployment.weight_loads_per_second", wanted.weight_loads_per_second,
                          max_rate);
}

auto is_key_hash(std::string_view text) -> bool {
    auto const is_digit = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    };
    return text.size() == key_hash_digits && std::all_of(text.begin(), text.end(), is_digit);
}

auto check_key_hash(caller const& one, std::string key, std::set<std::string>& earlier,
                    findings& found) -> void {
    if (!is_key_hash(one.key_hash)) {
        found.add(document_fault::malformed_key_hash, std::move(key));
    } else if (!earlier.insert(one.key_hash).second) {
        found.add(document_fault::duplicate_key_hash, std::move(key), one.id.value);
    }
}

auto check_callers(std::vector<caller> const& callers, findings& found) -> void {
    auto const with_keys = std::any_of(callers.begin(), callers.end(),
                                       [](caller const& one) { return !one.key_hash.empty(); });
    auto ids = std::set<base::caller_id>{};
    auto hashes = std::set<std::string>{};
    for (auto index = std::size_t{0}; index < callers.size(); ++index) {
        auto const& one = callers[index];
        auto const key = [index](std::string_view field) {
            return fmt::format("callers[{}].{}", index, field);
        };
        if (!ids.insert(one.id).second) {
            found.add(document_fault::duplicate_caller, key("id"), one.id.value);
        }
        if (!one.key_hash.empty()) {
            check_key_hash(one, key("key_hash"), hashes, found);
        } else if (with_keys) {
            found.add(document_fault::missing_key_hash, key("key_hash"), one.id.value);
        }
        found.expect_positive(key("share"), one.share, max_share);
    }
}

auto has_role_of_kind(upstream const& one, service_kind kind) -> bool {
    return (one.role == upstream_role::plain) == (kind == service_kind::plain);
}

auto check_upstreams(document const& checked, findings& found) -> void {
    auto ids = std::set<base::upstream_id>{};
    auto addresses = std::set<base::endpoint>{};
    for (auto index = std::size_t{0}; index < checked.upstreams.size(); ++index) {
        auto const& one = checked.upstreams[index];
        auto const key = [index](std::string_view field) {
            return fmt::format("upstreams[{}].{}", index, field);
        };
        if (!ids.insert(one.id).second) {
            found.add(document_fault::duplicate_upstream, key("id"), one.id.value);
        }
        if (!addresses.insert(one.address).second) {
            found.add(document_fault::duplicate_address, key("address"), one.id.value);
        }
        if (!has_role_of_kind(one, checked.kind)) {
            found.add(document_fault::role_not_of_kind, key("role"), one.id.value);
        }
        found.expect_within(key("address"), int{one.address.port}, 1, 65535);
    }
}

struct engines_of_data_centre {
    bool prefill = false;
    bool decode = false;
};

auto can_serve(document const& checked) -> bool {
    if (checked.kind == service_kind::plain) {
        return !checked.upstreams.empty();
    }
    auto engines = std::map<base::data_centre_id, engines_of_data_centre>{};
    for (auto const& one : checked.upstreams) {
        auto& there = engines[one.data_centre];
        there.prefill = there.prefill || one.role == upstream_role::prefill;
        there.decode = there.decode || one.role == upstream_role::decode;
    }
    return std::any_of(engines.begin(), engines.end(), [](auto const& entry) {
        return entry.second.prefill && entry.second.decode;
    });
}

auto is_plain_route(std::string_view route) -> bool {
    return route.size() > 2 && route.front() == '/' && route.back() == '/' &&
           route.substr(0, model_route.size()) != model_route &&
           route.find_first_of("?# \t\r\n") == std::string_view::npos &&
           route.find("//") == std::string_view::npos;
}

auto check_route(document const& checked, findings& found) -> void {
    auto const fits =
        checked.kind == service_kind::plain ? is_plain_route(checked.route) : checked.route.empty();
    if (!fits) {
        found.add(document_fault::malformed_route, "route",
                  checked.kind == service_kind::plain ? "expected a prefix such as \"/jobs/\""
                                                      : "a model service has none");
    }
}

}  // namespace

auto check_document(document const& checked) -> std::vector<document_error> {
    auto found = findings{};
    check_shape(checked.shape, found);
    check_targets(checked.targets, found);
    check_policy(checked.policy, found);
    check_deployment(checked.deployment, found);
    check_callers(checked.callers, found);
    check_upstreams(checked, found);
    if (checked.removed) {
        return found.take();
    }
    check_route(checked, found);
    if (!can_serve(checked)) {
        found.add(document_fault::lacks_upstreams, "upstreams",
                  checked.kind == service_kind::plain
                      ? "expected at least one"
                      : "expected a prefill and a decode engine in one data centre");
    }
    return found.take();
}

}  // namespace linnetlane::service

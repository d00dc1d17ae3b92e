#include "linnetlane/load/shape.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace linnetlane::load {

namespace {

// Share of field calls in `bluegum`, and of lookups in `lanka`.
constexpr auto field_call_share = 0.3;
constexpr auto lookup_share = 0.6;
// Number of distinct callers, and of distinct prefixes that long prompts share.
constexpr auto caller_count = std::int64_t{12};
constexpr auto common_prefix_count = std::int64_t{8};
// Prompts of at least `common_prefix_threshold` tokens begin with a common prefix of
// `common_prefix_size` tokens.
constexpr auto common_prefix_threshold = base::token_count{8000};
constexpr auto common_prefix_size = base::token_count{4000};

constexpr auto alphabet_size = std::int64_t{26};

// The text of the common prefix with the given number.
auto common_prefix_text(std::int64_t number) -> std::string {
    auto const length = static_cast<std::size_t>(common_prefix_size.value / tokens_per_character);
    auto text = fmt::format("specification {} ", number);
    text.resize(length, static_cast<char>('a' + number));
    return text;
}

}  // namespace

auto parse_shape(std::string_view text) -> std::optional<traffic_shape> {
    for (auto const shape : {traffic_shape::bluegum, traffic_shape::lanka, traffic_shape::ping}) {
        if (name_of(shape) == text) {
            return shape;
        }
    }
    return std::nullopt;
}

auto name_of(traffic_shape shape) -> std::string_view {
    switch (shape) {
        case traffic_shape::bluegum:
            return "bluegum";
        case traffic_shape::lanka:
            return "lanka";
        case traffic_shape::ping:
            return "ping";
    }
    return "";
}

traffic_plan::traffic_plan(traffic_shape wanted, request_rate rate, std::uint64_t seed)
    : shape(wanted), random(seed), gap(rate.per_second) {}

auto traffic_plan::next() -> planned_request {
    this->last_arrival += base::from_seconds(this->gap(this->random));
    auto request = planned_request{};
    request.number = this->next_number++;
    request.arrival = this->last_arrival;
    request.caller = base::caller_id{fmt::format("caller-{}", this->uniform(0, caller_count - 1))};
    switch (this->shape) {
        case traffic_shape::bluegum:
            this->fill_bluegum(request);
            break;
        case traffic_shape::lanka:
            this->fill_lanka(request);
            break;
        case traffic_shape::ping:
            this->fill_ping(request);
            break;
    }
    this->write_prompt(request);
    return request;
}

auto traffic_plan::uniform(std::int64_t least, std::int64_t most) -> std::int64_t {
    return std::uniform_int_distribution<std::int64_t>{least, most}(this->random);
}

auto traffic_plan::log_uniform(std::int64_t least, std::int64_t most) -> std::int64_t {
    auto const low = std::log(static_cast<double>(least));
    auto const high = std::log(static_cast<double>(most));
    auto const logarithm = std::uniform_real_distribution<double>{low, high}(this->random);
    return static_cast<std::int64_t>(std::exp(logarithm));
}

auto traffic_plan::chance(double share) -> bool {
    return std::bernoulli_distribution{share}(this->random);
}

auto traffic_plan::fill_bluegum(planned_request& request) -> void {
    request.output_bound = base::token_count{300};
    if (this->chance(field_call_share)) {
        request.prompt_tokens = base::token_count{this->log_uniform(200, 2000)};
        request.output_tokens = base::token_count{this->uniform(50, 150)};
        return;
    }
    request.prompt_tokens = base::token_count{this->log_uniform(2000, 30'000)};
    request.output_tokens = base::token_count{this->uniform(100, 300)};
}

auto traffic_plan::fill_lanka(planned_request& request) -> void {
    if (this->chance(lookup_share)) {
        request.prompt_tokens = base::token_count{this->log_uniform(100, 1000)};
        request.output_tokens = base::token_count{this->uniform(20, 100)};
        request.output_bound = base::token_count{100};
        return;
    }
    request.priority = base::priority_class::batch;
    request.prompt_tokens = base::token_count{this->log_uniform(10'000, 40'000)};
    request.output_tokens = base::token_count{this->uniform(200, 500)};
    request.output_bound = base::token_count{500};
}

auto traffic_plan::fill_ping(planned_request& request) -> void {
    request.prompt_tokens = base::token_count{320};
    request.output_tokens = base::token_count{4};
    request.output_bound = base::token_count{4};
}

// Sets `prompt` to a text that is unique within the run, and adjusts `prompt_tokens` to its length.
auto traffic_plan::write_prompt(planned_request& request) -> void {
    auto& text = request.prompt;
    if (request.prompt_tokens >= common_prefix_threshold) {
        text = common_prefix_text(this->uniform(0, common_prefix_count - 1));
    }
    text += fmt::format("{} ", request.number);
    auto const wanted = request.prompt_tokens.value / tokens_per_character;
    while (std::ssize(text) < wanted) {
        text += static_cast<char>('a' + this->uniform(0, alphabet_size - 1));
    }
    request.prompt_tokens = base::token_count{std::ssize(text) * tokens_per_character};
}

}  // namespace linnetlane::load

#include "linnetlane/load/capacity.h"

#include <algorithm>

namespace linnetlane::load {

namespace {

constexpr auto sample_size = 20'000;
constexpr auto sample_seed = std::uint64_t{1};

// Sums over the sample.
struct sample {
    double prompt_tokens = 0;
    double output_tokens = 0;
    // Sum of pieces times output tokens.
    double piece_tokens = 0;
    double pieces = 0;
};

auto take_sample(engine_pool const& pool, traffic_shape shape) -> sample {
    auto plan = traffic_plan{shape, request_rate{1}, sample_seed};
    auto sums = sample{};
    for (auto number = 0; number < sample_size; ++number) {
        auto const request = plan.next();
        auto const reserved = request.prompt_tokens + request.output_bound;
        auto const pieces = static_cast<double>(base::pieces_for(reserved, pool.piece_size).value);
        auto const output = static_cast<double>(request.output_tokens.value);
        sums.prompt_tokens += static_cast<double>(request.prompt_tokens.value);
        sums.output_tokens += output;
        sums.piece_tokens += pieces * output;
        sums.pieces += pieces;
    }
    return sums;
}

}  // namespace

auto capacity::requests() const -> request_rate {
    return request_rate{std::min(this->prefill.per_second, this->decode.per_second)};
}

auto capacity_of(engine_pool const& pool, traffic_shape shape) -> capacity {
    auto const sums = take_sample(pool, shape);
    auto const slots = static_cast<double>(pool.slots);
    auto const pieces = static_cast<double>(pool.pieces.value);
    auto const batch = std::min(slots, pieces * sample_size / sums.pieces);
    auto const interval =
        base::to_seconds(pool.base_interval) + base::to_seconds(pool.interval_per_running) * batch;
    auto const by_slots = slots * sample_size / (sums.output_tokens * interval);
    auto const by_pieces = pieces * sample_size / (sums.piece_tokens * interval);
    auto const by_prefill = pool.prefill_rate.per_second * sample_size / sums.prompt_tokens;
    auto found = capacity{};
    found.prefill.per_second = by_prefill * static_cast<double>(pool.prefill_engines);
    found.decode.per_second =
        std::min(by_slots, by_pieces) * static_cast<double>(pool.decode_engines);
    return found;
}

}  // namespace linnetlane::load

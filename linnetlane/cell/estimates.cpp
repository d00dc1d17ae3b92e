#include "linnetlane/cell/estimates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace linnetlane::cell {
namespace {

// Bounds on an engine's time relative to the cell's.
constexpr double min_slowdown = 0.5;
constexpr double max_slowdown = 8;
// Bounds on the cell's times relative to the document's figures.
constexpr double min_ratio = 0.05;
constexpr double max_ratio = 50;
// The quantile that bounds the spread of prefill times, the relative spread that is assumed without
// samples, and its upper bound.
constexpr double spread_rank = 0.9;
constexpr double initial_spread = 0.05;
constexpr double max_spread = 0.3;
// Samples that a window needs before its median is used.
constexpr std::size_t min_samples = 3;
// Samples from which a caller's own output lengths are used rather than the service's.
constexpr std::size_t min_caller_outputs = 16;
// The fraction of the decode interval that does not depend on the batch size.
constexpr double fixed_interval_fraction = 0.5;
// Upper bound of the first length band in prompt tokens; it doubles with each further band.
constexpr double first_band_tokens = 2000;

template <std::size_t Size>
auto clamped_median(sample_window<Size> const& window, double min_value, double max_value)
    -> double {
    if (window.size() < min_samples) {
        return 1;
    }
    return std::clamp(window.quantile(0.5).value_or(1), min_value, max_value);
}

// The engine's median divided by the cell's; 1 until both have enough samples.
auto relative_median(sample_window<9> const& engine, sample_window<31> const& cell) -> double {
    if (engine.size() < min_samples || cell.size() < min_samples) {
        return 1;
    }
    auto const cell_median = cell.quantile(0.5).value_or(1);
    return std::clamp(engine.quantile(0.5).value_or(1) / cell_median, min_slowdown, max_slowdown);
}

auto length_band(base::token_count tokens, std::size_t bands) -> std::size_t {
    auto band = std::size_t{0};
    auto edge = first_band_tokens;
    while (band + 1 < bands && static_cast<double>(tokens.value) > edge) {
        edge *= 2;
        ++band;
    }
    return band;
}

}  // namespace

template <std::size_t Size>
auto sample_window<Size>::add(double sample) -> void {
    if (this->recent.size() < Size) {
        this->recent.push_back(sample);
    } else {
        auto const oldest_sample = this->recent[this->oldest];
        this->sorted.erase(
            std::lower_bound(this->sorted.begin(), this->sorted.end(), oldest_sample));
        this->recent[this->oldest] = sample;
        this->oldest = (this->oldest + 1) % Size;
    }
    this->sorted.insert(std::upper_bound(this->sorted.begin(), this->sorted.end(), sample), sample);
}

template <std::size_t Size>
auto sample_window<Size>::quantile(double rank) const -> std::optional<double> {
    if (this->sorted.empty()) {
        return std::nullopt;
    }
    auto const last = static_cast<double>(this->sorted.size() - 1);
    return this->sorted[static_cast<std::size_t>(std::lround(rank * last))];
}

template <std::size_t Size>
auto sample_window<Size>::quantile_above(double floor, double rank) const -> std::optional<double> {
    auto const first = std::upper_bound(this->sorted.begin(), this->sorted.end(), floor);
    if (first == this->sorted.end()) {
        return std::nullopt;
    }
    auto const last = static_cast<double>(this->sorted.end() - first - 1);
    return *(first + std::lround(rank * last));
}

template <std::size_t Size>
auto sample_window<Size>::mean() const -> double {
    if (this->sorted.empty()) {
        return 0;
    }
    auto const sum = std::accumulate(this->sorted.begin(), this->sorted.end(), 0.0);
    return sum / static_cast<double>(this->sorted.size());
}

template class sample_window<9>;
template class sample_window<31>;
template class sample_window<64>;

auto estimates::prefill_slowdown(engine_samples const& samples) const -> double {
    return relative_median(samples.prefill, this->all_prefill_ratio);
}

auto estimates::decode_slowdown(engine_samples const& samples) const -> double {
    return relative_median(samples.decode, this->all_decode_ratio);
}

auto estimates::link_slowdown(engine_samples const& samples) const -> double {
    return relative_median(samples.link, this->link_ratio);
}

auto estimates::configure(service::engine_shape const& figures) -> void {
    this->shape = figures;
}

auto estimates::prefill_time(base::token_count tokens, engine_samples const& samples) const
    -> base::duration {
    return base::from_seconds(this->cell_prefill_seconds(tokens) * this->prefill_slowdown(samples));
}

auto estimates::prefill_spread(base::token_count tokens) const -> base::duration {
    auto const& window = this->prefill_ratio[length_band(tokens, length_bands)];
    auto const median = window.quantile(0.5).value_or(1);
    auto const high = window.quantile(spread_rank).value_or(1 + initial_spread);
    auto const more = std::clamp(high / median - 1, 0.0, max_spread);
    return base::from_seconds(this->cell_prefill_seconds(tokens) * more);
}

auto estimates::transfer_time(base::token_count tokens, engine_samples const& samples) const
    -> base::duration {
    return base::from_seconds(this->cell_transfer_seconds(tokens) * this->link_slowdown(samples));
}

auto estimates::decode_interval(double running, engine_samples const& samples) const
    -> base::duration {
    return base::from_seconds(this->cell_interval_seconds(running) *
                              this->decode_slowdown(samples));
}

auto estimates::remaining_output(output_kind kind, base::token_count produced,
                                 base::token_count bound, double rank) const -> base::token_count {
    auto const left = std::max<std::int64_t>(0, bound.value - produced.value);
    auto const& own = this->caller_output[kind.value];
    auto const& window =
        own.size() >= min_caller_outputs ? own : this->service_output[kind.value % 2];
    if (window.size() < min_samples) {
        return base::token_count{left};
    }
    auto const total = window.quantile_above(static_cast<double>(produced.value), rank);
    if (!total) {
        return base::token_count{left};
    }
    auto const predicted = static_cast<std::int64_t>(*total) - produced.value;
    return base::token_count{std::min(left, predicted)};
}

auto estimates::record_prefill(base::token_count tokens, base::duration elapsed,
                               engine_samples& samples) -> void {
    if (tokens.value <= 0 || elapsed <= base::duration::zero()) {
        return;
    }
    auto const seconds = base::to_seconds(elapsed);
    auto const nominal_seconds =
        static_cast<double>(tokens.value) / this->shape.prefill_rate.per_second;
    auto const ratio = seconds / nominal_seconds;
    samples.prefill.add(ratio);
    this->all_prefill_ratio.add(ratio);
    this->prefill_ratio[length_band(tokens, length_bands)].add(ratio);
}

auto estimates::record_transfer(base::token_count tokens, base::duration elapsed,
                                engine_samples& samples) -> void {
    if (tokens.value <= 0 || elapsed <= base::duration::zero()) {
        return;
    }
    auto const seconds = base::to_seconds(elapsed);
    auto const bytes = static_cast<double>(tokens.value * this->shape.kv_bytes_per_token.value);
    auto const ratio = seconds * static_cast<double>(this->shape.link_rate.value) / bytes;
    samples.link.add(ratio);
    this->link_ratio.add(ratio);
}

auto estimates::record_decode(base::token_count produced, base::duration elapsed, double running,
                              engine_samples& samples) -> void {
    if (produced.value <= 1 || elapsed <= base::duration::zero()) {
        return;
    }
    auto const interval = base::to_seconds(elapsed) / static_cast<double>(produced.value);
    auto const ratio = interval / this->shape_interval_seconds(running);
    samples.decode.add(ratio);
    this->all_decode_ratio.add(ratio);
    this->decode_ratio[this->batch_band(running)].add(ratio);
}

auto estimates::record_output(output_kind kind, base::token_count produced) -> void {
    auto const length = static_cast<double>(produced.value);
    this->service_output[kind.value % 2].add(length);
    this->caller_output[kind.value].add(length);
}

auto estimates::kind_of(base::caller_id const& caller, base::priority_class priority)
    -> output_kind {
    auto const [place, added] = this->callers.try_emplace(caller, this->callers.size());
    if (added) {
        this->caller_output.resize(2 * this->callers.size());
    }
    auto const odd = priority == base::priority_class::batch ? 1U : 0U;
    return output_kind{2 * place->second + odd};
}

auto estimates::cell_prefill_seconds(base::token_count tokens) const -> double {
    auto const& window = this->prefill_ratio[length_band(tokens, length_bands)];
    auto const ratio = clamped_median(window, min_ratio, max_ratio);
    return ratio * static_cast<double>(tokens.value) / this->shape.prefill_rate.per_second;
}

auto estimates::cell_transfer_seconds(base::token_count tokens) const -> double {
    auto const bytes = static_cast<double>(tokens.value * this->shape.kv_bytes_per_token.value);
    auto const ratio = clamped_median(this->link_ratio, min_ratio, max_ratio);
    return ratio * bytes / static_cast<double>(this->shape.link_rate.value);
}

auto estimates::cell_interval_seconds(double running) const -> double {
    auto const& window = this->decode_ratio[this->batch_band(running)];
    return clamped_median(window, min_ratio, max_ratio) * this->shape_interval_seconds(running);
}

auto estimates::shape_interval_seconds(double running) const -> double {
    auto const full = 1 / this->shape.decode_rate.per_second;
    auto const filled = running / static_cast<double>(this->shape.decode_slots);
    return full * (fixed_interval_fraction + (1 - fixed_interval_fraction) * filled);
}

auto estimates::batch_band(double running) const -> std::size_t {
    auto const filled = running / static_cast<double>(this->shape.decode_slots);
    auto const band = static_cast<std::size_t>(std::max(0.0, filled) * batch_bands);
    return std::min(band, batch_bands - 1);
}

}  // namespace linnetlane::cell

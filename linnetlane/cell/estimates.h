// Estimates of prefill time, decode interval, link rate and output length, learned from what
// holders measure.
//
// Each estimate is a median over a short window: one for the whole cell, and one per engine
// relative to the cell. One engine that is slow or reports wrong times therefore changes neither
// the cell's estimates nor those of other engines. Until there are enough samples, the figures of
// the service document apply. Thread-compatible.

#ifndef LINNETLANE_CELL_ESTIMATES_H_
#define LINNETLANE_CELL_ESTIMATES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/service/document.h"

namespace linnetlane::cell {

// The last `Size` samples, ordered both by age and by value.
template <std::size_t Size>
class sample_window {
public:
    // Adds `sample`, dropping the oldest when full.
    auto add(double sample) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return this->sorted.size(); }
    // Returns the quantile at `rank` (0 to 1); nothing without samples.
    [[nodiscard]] auto quantile(double rank) const -> std::optional<double>;
    // Returns the quantile at `rank` of the samples above `floor`; nothing without such samples.
    [[nodiscard]] auto quantile_above(double floor, double rank) const -> std::optional<double>;
    // Returns 0 without samples.
    [[nodiscard]] auto mean() const -> double;

private:
    std::vector<double> sorted;
    std::vector<double> recent;
    std::size_t oldest = 0;
};

// Times measured on one engine, as multiples of the times that the document's figures give.
struct engine_samples {
    sample_window<9> prefill;
    sample_window<9> decode;
    sample_window<9> link;
};

// Identifies answers with a common length distribution: those of one caller and priority class.
using output_kind = base::basic_number<struct output_kind_tag>;

// The learned figures of one cell.
class estimates {
public:
    // Sets the document's figures, which apply until there are enough samples.
    auto configure(service::engine_shape const& figures) -> void;

    // An engine's time relative to the cell's median: 1 is equally fast, 2 takes twice as long.
    [[nodiscard]] auto prefill_slowdown(engine_samples const& samples) const -> double;
    [[nodiscard]] auto decode_slowdown(engine_samples const& samples) const -> double;
    [[nodiscard]] auto link_slowdown(engine_samples const& samples) const -> double;

    // Time to prefill `tokens` on an engine with `samples`.
    [[nodiscard]] auto prefill_time(base::token_count tokens, engine_samples const& samples) const
        -> base::duration;
    // Added to `prefill_time`, an upper bound for nine in ten prefills of that length.
    [[nodiscard]] auto prefill_spread(base::token_count tokens) const -> base::duration;
    // Time to transfer the KV cache of `tokens` into an engine over an otherwise idle link.
    [[nodiscard]] auto transfer_time(base::token_count tokens, engine_samples const& samples) const
        -> base::duration;
    // Time between tokens in an engine that runs `running` answers.
    [[nodiscard]] auto decode_interval(double running, engine_samples const& samples) const
        -> base::duration;
    // Returns the kind of `caller`'s answers of that class; registers a new caller.
    [[nodiscard]] auto kind_of(base::caller_id const& caller, base::priority_class priority)
        -> output_kind;
    // Predicts the remaining output tokens of an answer of `kind` that has produced `produced`, at
    // `rank` of the learned length distribution and with at most `bound` tokens in total.
    [[nodiscard]] auto remaining_output(output_kind kind, base::token_count produced,
                                        base::token_count bound, double rank) const
        -> base::token_count;

    // Each records a measurement for the cell and for the engine with `samples`. Measurements
    // without tokens or time are ignored.
    auto record_prefill(base::token_count tokens, base::duration elapsed, engine_samples& samples)
        -> void;
    auto record_transfer(base::token_count tokens, base::duration elapsed, engine_samples& samples)
        -> void;
    auto record_decode(base::token_count produced, base::duration elapsed, double running,
                       engine_samples& samples) -> void;
    // Records the length of a completed answer.
    auto record_output(output_kind kind, base::token_count produced) -> void;

private:
    static constexpr std::size_t length_bands = 5;
    static constexpr std::size_t batch_bands = 4;
    using output_window = sample_window<64>;

    [[nodiscard]] auto cell_prefill_seconds(base::token_count tokens) const -> double;
    [[nodiscard]] auto cell_transfer_seconds(base::token_count tokens) const -> double;
    [[nodiscard]] auto cell_interval_seconds(double running) const -> double;
    [[nodiscard]] auto shape_interval_seconds(double running) const -> double;
    [[nodiscard]] auto batch_band(double running) const -> std::size_t;

    service::engine_shape shape;
    // Ratios over the whole cell: by prompt length, by batch size, and over all of these.
    std::array<sample_window<31>, length_bands> prefill_ratio;
    std::array<sample_window<31>, batch_bands> decode_ratio;
    sample_window<31> all_prefill_ratio;
    sample_window<31> all_decode_ratio;
    sample_window<31> link_ratio;
    // Index of each caller. Its kinds are twice the index for interactive answers, and that plus
    // one for batch answers.
    std::unordered_map<base::caller_id, std::uint64_t> callers;
    std::vector<output_window> caller_output;
    // By priority class, over all callers.
    std::array<output_window, 2> service_output;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_ESTIMATES_H_

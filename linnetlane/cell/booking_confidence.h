// How sure an expected release has to be before a prefill is started on it.
//
// The margin follows the outcomes: each grant lowers it a little, each booking whose result was
// lost raises it, so that the wasted part of all prefilled tokens settles at the share that the
// service's waste weight allows, whatever the load. Thread-compatible.

#ifndef LINNETLANE_CELL_BOOKING_CONFIDENCE_H_
#define LINNETLANE_CELL_BOOKING_CONFIDENCE_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::cell {

class booking_confidence {
public:
    // The wasted share of prefilled tokens that is allowed at waste weights 0 and 1.
    static constexpr double most_allowed = 0.03;
    static constexpr double least_allowed = 0.001;

    auto set_waste_weight(base::fraction weight) -> void {
        this->allowed = most_allowed * std::pow(least_allowed / most_allowed, weight.value);
    }
    // Counts a prefill of `tokens`, and one whose result was lost.
    auto granted(base::token_count tokens) -> void { this->move(-this->allowed, tokens); }
    auto lost(base::token_count tokens) -> void { this->move(1, tokens); }

    // How many standard deviations fewer releases than expected must still suffice.
    [[nodiscard]] auto deviations() const -> double {
        return least_deviations + (most_deviations - least_deviations) * this->margin;
    }
    // How long after the prefill's end the place may come, as a part of the result's life.
    [[nodiscard]] auto wait_part() const -> double { return most_wait_part * (1 - this->margin); }

    // Whether a free place is held through the prefill, so that nothing can come between.
    [[nodiscard]] auto holds() const -> bool { return this->margin > holding_margin; }

private:
    static constexpr double holding_margin = 0.7;
    static constexpr double least_deviations = -0.5;
    static constexpr double most_deviations = 6;
    static constexpr double most_wait_part = 0.5;
    // How far one lost result of mean size moves the margin.
    static constexpr double step = 0.1;

    auto move(double by, base::token_count tokens) -> void {
        auto const size = static_cast<double>(tokens.value);
        this->mean_tokens += (size - this->mean_tokens) * mean_weight;
        auto const relative = size / std::max(1.0, this->mean_tokens);
        this->margin = std::clamp(this->margin + step * by * relative, 0.0, 1.0);
    }

    static constexpr double mean_weight = 0.02;

    double allowed = 0.005;
    double margin = 0.6;
    double mean_tokens = 8000;
};

// Confidence by size of the place: a large one needs several releases in one engine, so it fails
// for other reasons than a small one.
class sized_confidence {
public:
    auto set_waste_weight(base::fraction weight) -> void {
        for (auto& one : this->sizes) {
            one.set_waste_weight(weight);
        }
    }
    // The confidence for a place of `pieces` in engines of `capacity`.
    [[nodiscard]] auto of(base::piece_count pieces, base::piece_count capacity)
        -> booking_confidence& {
        auto const place = pieces.value * divisor / std::max<std::int64_t>(1, capacity.value);
        return this->sizes[std::min<std::size_t>(place, this->sizes.size() - 1)];
    }

private:
    static constexpr std::int64_t divisor = 8;

    std::array<booking_confidence, 4> sizes;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_BOOKING_CONFIDENCE_H_

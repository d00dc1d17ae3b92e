// How certain an expected release of decode memory has to be before a prefill starts that relies on
// it.
//
// Each grant with a prefill lowers the safety margin a little, and each booking whose prefill
// result was lost raises it. The wasted fraction of all prefilled tokens thus settles, at any load,
// at the value that the service allows with the waste weight of its policy, from 0 (most waste
// allowed) to 1 (least). Thread-compatible.

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

// Controls the safety margin of bookings by the share of prefilled tokens that is wasted.
class booking_confidence {
public:
    // The allowed wasted fraction of prefilled tokens at waste weights 0 and 1.
    static constexpr double max_allowed_waste = 0.03;
    static constexpr double min_allowed_waste = 0.001;

    auto set_waste_weight(base::fraction weight) -> void {
        this->allowed_waste =
            max_allowed_waste * std::pow(min_allowed_waste / max_allowed_waste, weight.value);
    }
    // Records a grant with a prefill of `tokens`.
    auto record_grant(base::token_count tokens) -> void {
        this->adjust(-this->allowed_waste, tokens);
    }
    // Records that the result of a prefill of `tokens` was lost.
    auto record_loss(base::token_count tokens) -> void { this->adjust(1, tokens); }

    // The number of standard deviations subtracted from the expected releases; what remains must
    // cover the booking. May be negative.
    [[nodiscard]] auto deviations() const -> double {
        return min_deviations + (max_deviations - min_deviations) * this->margin;
    }
    // How long a finished prefill result may wait for decode memory, as a fraction of the time for
    // which the prefill engine keeps it.
    [[nodiscard]] auto wait_fraction() const -> double {
        return max_wait_fraction * (1 - this->margin);
    }

    // Whether free decode memory is reserved from the start of the prefill, so that no other
    // request can take it.
    [[nodiscard]] auto holds_during_prefill() const -> bool {
        return this->margin > holding_margin;
    }

private:
    static constexpr double holding_margin = 0.7;
    static constexpr double min_deviations = -0.5;
    static constexpr double max_deviations = 6;
    static constexpr double max_wait_fraction = 0.5;
    // How much one lost result of mean size raises the margin.
    static constexpr double margin_step = 0.1;

    auto adjust(double amount, base::token_count tokens) -> void {
        auto const size = static_cast<double>(tokens.value);
        this->mean_tokens += (size - this->mean_tokens) * mean_weight;
        auto const relative = size / std::max(1.0, this->mean_tokens);
        this->margin = std::clamp(this->margin + margin_step * amount * relative, 0.0, 1.0);
    }

    static constexpr double mean_weight = 0.02;

    double allowed_waste = 0.005;
    double margin = 0.6;
    double mean_tokens = 8000;
};

// Separate confidence by size of the booking: a large one needs several releases in one engine, so
// it fails for other reasons than a small one.
class sized_confidence {
public:
    auto set_waste_weight(base::fraction weight) -> void {
        for (auto& one : this->sizes) {
            one.set_waste_weight(weight);
        }
    }
    // Returns the confidence for bookings of `pieces` in engines with `capacity` pieces.
    [[nodiscard]] auto of(base::piece_count pieces, base::piece_count capacity)
        -> booking_confidence& {
        auto const size_class =
            pieces.value * size_classes_per_capacity / std::max<std::int64_t>(1, capacity.value);
        return this->sizes[std::min<std::size_t>(size_class, this->sizes.size() - 1)];
    }

private:
    static constexpr std::int64_t size_classes_per_capacity = 8;

    std::array<booking_confidence, 4> sizes;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_BOOKING_CONFIDENCE_H_

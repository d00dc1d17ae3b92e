// Strong types for quantities. Quantities of one unit can be added and compared; different units
// cannot be mixed.
//
//   auto const need = pieces_for(prompt + bound, piece_size);

#ifndef LINNETLANE_BASE_UNITS_H_
#define LINNETLANE_BASE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace linnetlane::base {

// A signed count in the unit `Tag`.
template <typename Tag>
struct basic_amount {
    std::int64_t value = 0;

    friend auto operator<=>(basic_amount const&, basic_amount const&)
        -> std::strong_ordering = default;
    friend auto operator<<(std::ostream& out, basic_amount amount) -> std::ostream& {
        return out << amount.value;
    }
    auto operator+=(basic_amount other) -> basic_amount& {
        this->value += other.value;
        return *this;
    }
    auto operator-=(basic_amount other) -> basic_amount& {
        this->value -= other.value;
        return *this;
    }
    friend auto operator+(basic_amount left, basic_amount right) -> basic_amount {
        return basic_amount{left.value + right.value};
    }
    friend auto operator-(basic_amount left, basic_amount right) -> basic_amount {
        return basic_amount{left.value - right.value};
    }
};

// Tokens of a prompt or an answer.
using token_count = basic_amount<struct token_tag>;
// Pieces of engine memory, the unit in which an engine allocates it.
using piece_count = basic_amount<struct piece_tag>;
// Bytes on a link or in memory.
using byte_count = basic_amount<struct byte_tag>;

// The number of pieces that `tokens` need, with `piece_size` tokens (at least 1) per piece.
[[nodiscard]] constexpr auto pieces_for(token_count tokens, token_count piece_size) -> piece_count {
    return piece_count{(tokens.value + piece_size.value - 1) / piece_size.value};
}

// Tokens per second.
struct token_rate {
    double per_second = 0;

    friend auto operator<=>(token_rate const&, token_rate const&)
        -> std::partial_ordering = default;
};

// A fraction, from 0 to 1.
struct fraction {
    double value = 0;

    friend auto operator<=>(fraction const&, fraction const&) -> std::partial_ordering = default;
};

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_UNITS_H_

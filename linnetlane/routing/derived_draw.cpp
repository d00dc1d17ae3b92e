#include "linnetlane/routing/derived_draw.h"

#include <cmath>

#include <xxhash.h>

namespace linnetlane::routing {

auto derived_draw(double draw, std::size_t index) -> double {
    // A double represents 53 bits of the hash exactly.
    constexpr auto unused_bits = 11;
    constexpr auto used_bits = 53;
    auto const hash = XXH3_64bits_withSeed(&draw, sizeof(draw), index);
    return std::ldexp(static_cast<double>(hash >> unused_bits), -used_bits);
}

}  // namespace linnetlane::routing

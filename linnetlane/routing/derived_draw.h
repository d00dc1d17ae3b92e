// Random numbers that are derived from one draw.

#ifndef LINNETLANE_ROUTING_DERIVED_DRAW_H_
#define LINNETLANE_ROUTING_DERIVED_DRAW_H_

#include <cstddef>

namespace linnetlane::routing {

// Returns a number in [0, 1) for each `index`. For a uniform `draw`, the numbers of different
// indices are uniform and independent of each other, so the least of them belongs to each index
// equally often.
[[nodiscard]] auto derived_draw(double draw, std::size_t index) -> double;

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_DERIVED_DRAW_H_

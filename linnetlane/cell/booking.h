// Chooses the decode engine of an answer: one with room (enough free pieces) now, or one that is
// expected to have room in time.
//
// When an engine will have room is predicted from the progress of each running answer.
// Thread-compatible.

#ifndef LINNETLANE_CELL_BOOKING_H_
#define LINNETLANE_CELL_BOOKING_H_

#include <optional>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/ledger.h"
#include "linnetlane/cell/pool.h"

namespace linnetlane::cell {

// How to choose among engines with room: `spread` takes the emptiest, which keeps batches small,
// and `pack` the fullest that fits, which keeps the large gaps for large answers.
enum class packing { spread, pack };

// Where an answer decodes: an engine with room now, or one that is booked ahead.
struct decode_placement {
    upstream_index engine = 0;
    // Whether the room is free now.
    bool ready = true;
    // When the room is expected if it is not.
    base::time_point ready_at;
};

// Returns the engine of `order` with the least room that fits `pieces`, except those in `avoid`.
// Examines a bounded number of engines.
[[nodiscard]] auto best_fit(upstream_pool const& pool, upstream_pool::free_order const& order,
                            base::piece_count pieces, std::vector<base::upstream_id> const& avoid)
    -> std::optional<upstream_index>;

// Returns an engine with room for `pieces` now, on top of all bookings there; nothing if there is
// none.
[[nodiscard]] auto find_free_engine(upstream_pool const& pool, base::piece_count pieces,
                                    std::vector<base::upstream_id> const& avoid, packing strategy)
    -> std::optional<upstream_index>;

// Predicts when `engine` has room for `pieces` on top of all bookings there. Returns nothing if the
// end of all its running answers would not free enough.
[[nodiscard]] auto predict_room(upstream_pool const& pool, ledger const& grants,
                                upstream_index engine, base::piece_count capacity,
                                base::piece_count pieces, base::time_point now)
    -> std::optional<base::time_point>;

// Returns the engine where room for `pieces` is expected first, if that is no later than
// `deadline`.
[[nodiscard]] auto find_upcoming_engine(upstream_pool const& pool, ledger const& grants,
                                        base::piece_count capacity, base::piece_count pieces,
                                        std::vector<base::upstream_id> const& avoid,
                                        base::time_point now, base::time_point deadline)
    -> std::optional<decode_placement>;

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_BOOKING_H_

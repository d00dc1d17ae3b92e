// The split of a service's upstreams in one data centre into cells.
//
// All hosts derive the same cells from the same document. A small change of the upstreams moves few
// of the others between cells: adding or removing one moves only those that the size limit of a
// cell displaces, and an additional cell takes its upstreams evenly from the others.

#ifndef LINNETLANE_MEMBERSHIP_CELLS_H_
#define LINNETLANE_MEMBERSHIP_CELLS_H_

#include <cstddef>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/service/document.h"

namespace linnetlane::membership {

// The maximum number of decode engines, or plain instances, in a cell.
inline constexpr auto max_serving_per_cell = std::size_t{32};
// The target mean number of decode engines, or plain instances, per cell where one cell isn't
// enough.
inline constexpr auto target_serving_per_cell = std::size_t{24};

struct cell {
    base::cell_id id;
    // Decode engines, or the instances of a plain service.
    std::vector<base::upstream_id> serving;
    // The cell's share of the prefill engines, in proportion to its share of the decode engines.
    std::vector<base::upstream_id> prefill;

    friend auto operator==(cell const&, cell const&) -> bool = default;
};

// Returns the cells of `document` in `data_centre`, by number; none if it has no upstreams there.
// Uses the roles in the document, so an engine whose role an order changes stays in its cell.
[[nodiscard]] auto cells_of(service::document const& document,
                            base::data_centre_id const& data_centre) -> std::vector<cell>;

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_CELLS_H_

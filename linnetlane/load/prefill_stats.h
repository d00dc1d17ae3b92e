// Prefill work of engines, read from the figures of the engine stand-ins.

#ifndef LINNETLANE_LOAD_PREFILL_STATS_H_
#define LINNETLANE_LOAD_PREFILL_STATS_H_

#include <cstdint>
#include <vector>

#include "linnetlane/base/endpoint.h"

namespace linnetlane::load {

// Sums over engines, in prompt tokens but for the last two.
struct prefill_figures {
    std::int64_t prefilled = 0;
    std::int64_t wasted = 0;
    std::int64_t local_prefilled = 0;
    std::int64_t over_grant_waits = 0;
    // Engines that did not answer.
    std::int64_t silent = 0;

    // Wasted tokens as a share of prefilled ones.
    [[nodiscard]] auto wasted_share() const -> double;
};

[[nodiscard]] auto operator-(prefill_figures const& later, prefill_figures const& earlier)
    -> prefill_figures;

// Asks each engine. Call on a worker.
[[nodiscard]] auto read_prefill_figures(std::vector<base::endpoint> const& engines)
    -> prefill_figures;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_PREFILL_STATS_H_

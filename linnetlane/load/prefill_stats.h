// Prefill statistics of engines, read from the engine stand-ins.

#ifndef LINNETLANE_LOAD_PREFILL_STATS_H_
#define LINNETLANE_LOAD_PREFILL_STATS_H_

#include <cstdint>
#include <vector>

#include "linnetlane/base/endpoint.h"

namespace linnetlane::load {

// Sums over engines.
struct prefill_stats {
    // Prompt tokens computed by prefill.
    std::int64_t prefilled = 0;
    // Prompt tokens whose prefill was cancelled or whose result expired.
    std::int64_t wasted = 0;
    // Prompt tokens computed by decode engines that imported no KV cache.
    std::int64_t local_prefilled = 0;
    // Number of decode requests that waited in the engine for memory or a slot.
    std::int64_t over_grant_waits = 0;
    // Number of engines that did not answer.
    std::int64_t unresponsive_engines = 0;

    // Wasted tokens as a share of prefilled ones.
    [[nodiscard]] auto wasted_share() const -> double;
};

// The difference between two readings; `unresponsive_engines` is that of `later`.
[[nodiscard]] auto operator-(prefill_stats const& later, prefill_stats const& earlier)
    -> prefill_stats;

// Reads the statistics of each engine. Call in a fiber of a worker pool.
[[nodiscard]] auto read_prefill_stats(std::vector<base::endpoint> const& engines) -> prefill_stats;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_PREFILL_STATS_H_

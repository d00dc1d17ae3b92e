// Selects the peers that a host probes.
//
// In every period each host probes its successors on a ring ordered by hash, so that every host is
// probed by a fixed number of others, and one more peer in rotation, so that changes spread fast.
// The number of probes doesn't depend on the number of hosts.

#ifndef LINNETLANE_MEMBERSHIP_PROBE_TARGETS_H_
#define LINNETLANE_MEMBERSHIP_PROBE_TARGETS_H_

#include <cstddef>
#include <random>
#include <vector>

#include "linnetlane/base/ids.h"

namespace linnetlane::membership {

// Seeded by the owner, so that a run is reproducible.
using random_generator = std::mt19937_64;

// The `count` hosts that follow `self` on the ring of `hosts`; fewer if there aren't as many.
[[nodiscard]] auto ring_neighbours(base::host_id const& self,
                                   std::vector<base::host_id> const& hosts, std::size_t count)
    -> std::vector<base::host_id>;

// `count` random hosts of `hosts` other than `self`; fewer if there aren't as many.
[[nodiscard]] auto random_peers(base::host_id const& self, std::vector<base::host_id> hosts,
                                std::size_t count, random_generator& random)
    -> std::vector<base::host_id>;

// Returns every peer once, in random order, before it returns any of them again. Thread-compatible.
class peer_rotation {
public:
    // The next of `hosts` other than `self`; `self` if there is no other. `hosts` must be sorted.
    auto next(base::host_id const& self, std::vector<base::host_id> const& hosts,
              random_generator& random) -> base::host_id;

private:
    std::vector<base::host_id> upcoming;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_PROBE_TARGETS_H_

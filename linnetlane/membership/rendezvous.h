// Rendezvous (highest random weight) hashing, which assigns duties to hosts without communication.
//
// Each host ranks the same candidates for a duty; the highest one holds it. When a host goes, only
// its own duties move, each to the next host in the duty's ranking.
//
//   auto const readers = ranked("reader", candidates, 2);

#ifndef LINNETLANE_MEMBERSHIP_RENDEZVOUS_H_
#define LINNETLANE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"

namespace linnetlane::membership {

// The score of `candidate` for `duty`: uniformly distributed and the same on all hosts.
[[nodiscard]] auto rendezvous_score(std::string_view duty, std::string_view candidate)
    -> std::uint64_t;

// The `count` candidates with the highest scores for `duty`, the highest first; fewer if there
// aren't as many. The order of `candidates` doesn't matter.
[[nodiscard]] auto ranked(std::string_view duty, std::vector<base::host_id> const& candidates,
                          std::size_t count) -> std::vector<base::host_id>;

// The candidate with the highest score for `duty`; nothing without candidates.
[[nodiscard]] auto winner(std::string_view duty, std::vector<base::host_id> const& candidates)
    -> std::optional<base::host_id>;

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_RENDEZVOUS_H_

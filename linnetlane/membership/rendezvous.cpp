#include "linnetlane/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace linnetlane::membership {

namespace {

struct scored_candidate {
    std::uint64_t score = 0;
    base::host_id const* host = nullptr;
};

// Breaks ties of the score by name.
auto ranks_higher(scored_candidate const& left, scored_candidate const& right) -> bool {
    if (left.score != right.score) {
        return left.score > right.score;
    }
    return *left.host < *right.host;
}

}  // namespace

auto rendezvous_score(std::string_view duty, std::string_view candidate) -> std::uint64_t {
    auto const seed = XXH3_64bits(duty.data(), duty.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

auto ranked(std::string_view duty, std::vector<base::host_id> const& candidates, std::size_t count)
    -> std::vector<base::host_id> {
    auto scored = std::vector<scored_candidate>{};
    scored.reserve(candidates.size());
    for (auto const& candidate : candidates) {
        scored.push_back({rendezvous_score(duty, candidate.value), &candidate});
    }
    auto const kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), ranks_higher);
    auto highest = std::vector<base::host_id>{};
    highest.reserve(kept);
    for (auto rank = std::size_t{0}; rank < kept; ++rank) {
        highest.push_back(*scored[rank].host);
    }
    return highest;
}

auto winner(std::string_view duty, std::vector<base::host_id> const& candidates)
    -> std::optional<base::host_id> {
    auto highest = ranked(duty, candidates, 1);
    if (highest.empty()) {
        return std::nullopt;
    }
    return std::move(highest.front());
}

}  // namespace linnetlane::membership

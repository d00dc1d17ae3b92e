#include "linnetlane/membership/probe_targets.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include "linnetlane/membership/rendezvous.h"

namespace linnetlane::membership {

namespace {

constexpr auto ring_duty = "ring";

}  // namespace

auto ring_neighbours(base::host_id const& self, std::vector<base::host_id> const& hosts,
                     std::size_t count) -> std::vector<base::host_id> {
    auto const own_position = rendezvous_score(ring_duty, self.value);
    // Unsigned subtraction wraps around, as the ring does.
    auto distances = std::vector<std::pair<std::uint64_t, base::host_id const*>>{};
    for (auto const& host : hosts) {
        if (host != self) {
            distances.emplace_back(rendezvous_score(ring_duty, host.value) - own_position, &host);
        }
    }
    auto const kept = std::min(count, distances.size());
    std::partial_sort(distances.begin(), distances.begin() + static_cast<std::ptrdiff_t>(kept),
                      distances.end());
    auto neighbours = std::vector<base::host_id>{};
    for (auto place = std::size_t{0}; place < kept; ++place) {
        neighbours.push_back(*distances[place].second);
    }
    return neighbours;
}

auto random_peers(base::host_id const& self, std::vector<base::host_id> hosts, std::size_t count,
                  random_generator& random) -> std::vector<base::host_id> {
    std::erase(hosts, self);
    auto const kept = std::min(count, hosts.size());
    for (auto place = std::size_t{0}; place < kept; ++place) {
        auto pick = std::uniform_int_distribution<std::size_t>{place, hosts.size() - 1};
        std::swap(hosts[place], hosts[pick(random)]);
    }
    hosts.resize(kept);
    return hosts;
}

auto peer_rotation::next(base::host_id const& self, std::vector<base::host_id> const& hosts,
                         random_generator& random) -> base::host_id {
    while (!this->upcoming.empty()) {
        auto host = std::move(this->upcoming.back());
        this->upcoming.pop_back();
        if (std::binary_search(hosts.begin(), hosts.end(), host)) {
            return host;
        }
    }
    this->upcoming = random_peers(self, hosts, std::numeric_limits<std::size_t>::max(), random);
    if (this->upcoming.empty()) {
        return self;
    }
    auto host = std::move(this->upcoming.back());
    this->upcoming.pop_back();
    return host;
}

}  // namespace linnetlane::membership

#include "linnetlane/daemon/entry_plain_upstreams.h"

#include <algorithm>

namespace linnetlane::daemon {

namespace {

constexpr auto half_bits = 32U;

auto may_serve(service::upstream const& candidate, std::vector<base::upstream_id> const& excluded)
    -> bool {
    return candidate.role == service::upstream_role::plain && !candidate.leaving &&
           std::ranges::find(excluded, candidate.id) == excluded.end();
}

}  // namespace

auto plain_upstreams::choose_excluding(service::document const& document,
                                       base::data_centre_id const& local_data_centre,
                                       std::vector<base::upstream_id> const& excluded,
                                       std::uint64_t random, base::time_point now) const
    -> std::optional<service::upstream> {
    auto const lock = std::scoped_lock{this->mutex};
    // In order of preference: local, remote, local in cooldown, remote in cooldown.
    auto groups = std::vector<std::vector<service::upstream const*>>(4);
    for (auto const& candidate : document.upstreams) {
        auto const is_local = candidate.data_centre == local_data_centre;
        if (!may_serve(candidate, excluded) || (!is_local && !document.policy.spill)) {
            continue;
        }
        auto const group =
            (is_local ? 0U : 1U) + (this->is_cooling_down(candidate.id, now) ? 2U : 0U);
        groups[group].push_back(&candidate);
    }
    for (auto const& group : groups) {
        if (!group.empty()) {
            return *this->less_loaded(group, random);
        }
    }
    return std::nullopt;
}

auto plain_upstreams::choose(service::document const& document,
                             base::data_centre_id const& local_data_centre,
                             std::vector<base::upstream_id> const& excluded, std::uint64_t random,
                             base::time_point now) const -> std::optional<service::upstream> {
    auto const chosen = this->choose_excluding(document, local_data_centre, excluded, random, now);
    return chosen || excluded.empty()
               ? chosen
               : this->choose_excluding(document, local_data_centre, {}, random, now);
}

auto plain_upstreams::record_start(base::upstream_id const& id) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    ++this->loads[id].in_flight;
}

auto plain_upstreams::record_end(base::upstream_id const& id, call_result result,
                                 base::time_point now) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    auto const found = this->loads.find(id);
    if (found == this->loads.end()) {
        return;
    }
    auto& upstream = found->second;
    --upstream.in_flight;
    if (result == call_result::failed) {
        upstream.cooldown_until = now + failure_cooldown;
    }
    if (result == call_result::answered) {
        upstream.cooldown_until = base::time_point{};
    }
    if (upstream.in_flight == 0 && upstream.cooldown_until <= now) {
        this->loads.erase(found);
    }
}

auto plain_upstreams::less_loaded(std::vector<service::upstream const*> const& candidates,
                                  std::uint64_t random) const -> service::upstream const* {
    auto const first = static_cast<std::size_t>(random >> half_bits) % candidates.size();
    // Differs from the first if there are at least two candidates.
    auto const others = std::max<std::size_t>(candidates.size() - 1, 1);
    auto const step = 1 + static_cast<std::size_t>(random & UINT32_MAX) % others;
    auto const second = (first + step) % candidates.size();
    auto const better =
        this->in_flight(candidates[second]->id) < this->in_flight(candidates[first]->id);
    return candidates[better ? second : first];
}

auto plain_upstreams::in_flight(base::upstream_id const& id) const -> std::int64_t {
    auto const found = this->loads.find(id);
    return found == this->loads.end() ? 0 : found->second.in_flight;
}

auto plain_upstreams::is_cooling_down(base::upstream_id const& id, base::time_point now) const
    -> bool {
    auto const found = this->loads.find(id);
    return found != this->loads.end() && now < found->second.cooldown_until;
}

}  // namespace linnetlane::daemon

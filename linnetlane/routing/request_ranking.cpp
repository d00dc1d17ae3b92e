#include "linnetlane/routing/request_ranking.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace linnetlane::routing {

namespace {

// The least urgent priority.
constexpr auto max_priority = 9;

template <typename Range, typename Priority>
auto differs(Range const& range, Priority priority) -> bool {
    auto first = std::optional<int>{};
    return std::ranges::any_of(range, [&](auto const& each) {
        std::optional<int> const own = priority(each);
        if (!first) {
            first = own;
        }
        return own && *own != *first;
    });
}

auto parse_priority(std::string_view text) -> std::optional<int> {
    auto value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    auto const whole = parsed.ec == std::errc{} && parsed.ptr == end;
    return whole && value >= 0 && value <= max_priority ? std::optional{value} : std::nullopt;
}

}  // namespace

auto rank_request(route const& on, client_account const* account) -> request_rank {
    return request_rank{account == nullptr ? 0 : account->priority.value_or(0), on.priority};
}

auto to_string(request_rank const& rank) -> std::string {
    return fmt::format("{}/{}", std::clamp(rank.account_priority, 0, max_priority),
                       std::clamp(rank.route_priority, 0, max_priority));
}

auto parse_rank(std::string_view text) -> std::optional<request_rank> {
    auto const slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    auto const account = parse_priority(text.substr(0, slash));
    auto const route = parse_priority(text.substr(slash + 1));
    return account && route ? std::optional{request_rank{*account, *route}} : std::nullopt;
}

auto ranks_requests(configuration const& in_force, base::service_id const& service) -> bool {
    auto const of_route = [&](route const& one) {
        auto const targets = std::ranges::any_of(
            one.targets, [&](auto const& target) { return target.service == service; });
        return targets && one.generates ? std::optional{one.priority} : std::nullopt;
    };
    auto const of_account = [](client_account const& one) { return one.priority; };
    return differs(in_force.routes, of_route) || differs(in_force.accounts.all(), of_account);
}

auto is_hard_search(std::size_t asked, std::size_t engines, bool found) -> bool {
    constexpr auto hard_share = 4;
    return !found || asked * hard_share > engines;
}

auto room_scarcity::note(request_rank const& rank, base::time_point observed_at) -> void {
    auto& until = this->scarce_until[rank];
    until = std::max(until, observed_at + lifetime);
}

auto room_scarcity::outranked_until(request_rank const& rank, base::time_point now) const
    -> std::optional<base::time_point> {
    auto latest = std::optional<base::time_point>{};
    for (auto const& [scarce, until] : this->scarce_until) {
        if (scarce < rank && now < until) {
            latest = std::max(latest.value_or(until), until);
        }
    }
    return latest;
}

}  // namespace linnetlane::routing

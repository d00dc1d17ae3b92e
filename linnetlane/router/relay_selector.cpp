#include "linnetlane/router/relay_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace linnetlane::router {

namespace {

auto precedes(host_entry const& left, host_entry const& right) -> bool {
    return std::tie(right.capacity, left.host) < std::tie(left.capacity, right.host);
}

}  // namespace

auto order_relays(std::vector<host_entry> registered, std::vector<host_entry> followers)
    -> std::vector<host_entry> {
    std::ranges::sort(registered, precedes);
    std::ranges::sort(followers, precedes);
    auto order = std::vector<host_entry>{};
    for (auto* const group : {&registered, &followers}) {
        for (auto& each : *group) {
            auto const listed = std::ranges::find(order, each.host, &host_entry::host);
            if (each.peers && listed == order.end() && order.size() < relay_selector::max_order) {
                order.push_back(std::move(each));
            }
        }
    }
    return order;
}

auto relay_selector::choose(base::time_point now) -> relay_choice {
    auto chosen = std::ranges::find_if(
        this->order, [&](auto const& each) { return this->is_preferred(each, now); });
    if (chosen == this->order.end()) {
        chosen = std::ranges::find_if(this->order,
                                      [&](auto const& each) { return this->is_usable(each, now); });
    }
    if (chosen != this->order.end()) {
        this->reads_registry = chosen->host == this->self.host;
        return this->reads_registry ? relay_choice{change_origin::registry, std::nullopt}
                                    : relay_choice{change_origin::relay, *chosen};
    }
    if (this->is_last_resort(now)) {
        this->reads_registry = true;
        return {change_origin::registry, std::nullopt};
    }
    this->reads_registry = false;
    return {};
}

auto relay_selector::candidates(base::time_point now) const -> std::vector<host_entry> {
    auto found = std::vector<host_entry>{};
    for (auto const& each : this->order) {
        if (each.host == this->self.host) {
            break;
        }
        if (this->is_preferred(each, now)) {
            found.push_back(each);
        }
    }
    return found;
}

auto relay_selector::order_for_followers(base::time_point now) const -> std::vector<host_entry> {
    auto usable = std::vector<host_entry>{};
    for (auto const& each : this->order) {
        auto const own = each.host == this->self.host;
        if (own ? this->reads_registry : this->is_usable(each, now)) {
            usable.push_back(each);
        }
    }
    auto const listed =
        std::ranges::find(usable, this->self.host, &host_entry::host) != usable.end();
    if (this->reads_registry && !listed) {
        usable.insert(usable.begin(), this->self);
    }
    return usable;
}

auto relay_selector::is_preferred(host_entry const& one, base::time_point now) const -> bool {
    if (!this->is_usable(one, now)) {
        return false;
    }
    auto const found = this->failures.find(one.host);
    auto const was_silent = found != this->failures.end() && one.host != this->self.host &&
                            found->second.kind == relay_failure::unreachable;
    return !was_silent || found->second.followed_elsewhere ||
           now >= found->second.last + reader_cooldown;
}

auto relay_selector::is_usable(host_entry const& one, base::time_point now) const -> bool {
    auto const found = this->failures.find(one.host);
    if (found == this->failures.end()) {
        return true;
    }
    if (this->reads_registry && one.host != this->self.host) {
        return now >= found->second.last + reader_cooldown;
    }
    // What failed before a partition ended says little of a host that others follow.
    auto const cooldown = found->second.followed_elsewhere
                              ? std::min<base::duration>(found->second.cooldown, initial_cooldown)
                              : found->second.cooldown;
    return now >= found->second.last + cooldown;
}

auto relay_selector::is_last_resort(base::time_point now) -> bool {
    auto const in_order =
        std::ranges::find(this->order, this->self.host, &host_entry::host) != this->order.end();
    if (in_order || this->lost_registry) {
        return false;
    }
    if (this->reads_registry) {
        return true;
    }
    if (!this->without_source_since) {
        this->without_source_since = now;
    }
    auto const outage = std::ranges::any_of(this->order, [&](auto const& each) {
        auto const found = this->failures.find(each.host);
        return found != this->failures.end() &&
               found->second.kind == relay_failure::without_registry;
    });
    auto delay = this->last_resort_delay;
    if (outage) {
        delay *= outage_delay_factor;
    } else if (this->had_source) {
        delay /= loss_delay_divisor;
    }
    return now >= *this->without_source_since + delay;
}

auto relay_selector::note_failure(base::host_id const& host, relay_failure kind,
                                  base::time_point now) -> void {
    auto const own = host == this->self.host;
    auto const initial =
        own ? base::duration{initial_registry_cooldown} : base::duration{initial_cooldown};
    auto const limit = own ? base::duration{max_registry_cooldown}
                       : kind == relay_failure::without_registry
                           ? base::duration{max_cooldown_without_registry}
                           : base::duration{max_cooldown};
    auto& record = this->failures[host];
    record.last = now;
    record.kind = kind;
    record.followed_elsewhere = false;
    record.cooldown =
        record.cooldown == base::duration::zero() ? initial : std::min(limit, record.cooldown * 2);
    if (own) {
        this->reads_registry = false;
        this->lost_registry = true;
    }
}

auto relay_selector::note_registry_regained(base::time_point now) -> void {
    this->failures.erase(this->self.host);
    this->lost_registry = false;
    this->without_source_since = now;
}

auto relay_selector::note_success(base::host_id const& host) -> void {
    this->failures.erase(host);
    this->without_source_since.reset();
    this->had_source = true;
    if (host == this->self.host) {
        this->lost_registry = false;
    }
}

auto relay_selector::note_followed_elsewhere(base::host_id const& host) -> void {
    for (auto& [id, record] : this->failures) {
        record.followed_elsewhere = id == host;
    }
}

}  // namespace linnetlane::router

#include "linnetlane/routing/configuration.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/case_conv.hpp>

namespace linnetlane::routing {

auto normalized_host(std::string_view host) -> std::string {
    return boost::algorithm::to_lower_copy(std::string{host.substr(0, host.find(':'))});
}

auto route_table::offer(std::shared_ptr<configuration const> offered) -> bool {
    if (this->in_force && offered->version <= this->in_force->version) {
        return false;
    }
    this->in_force = std::move(offered);
    this->by_host.clear();
    for (auto const& one : this->in_force->routes) {
        this->by_host[normalized_host(one.host)].push_back(&one);
    }
    for (auto& [host, routes] : this->by_host) {
        std::ranges::stable_sort(routes, [](route const* left, route const* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    return true;
}

auto route_table::current() const -> std::shared_ptr<configuration const> {
    return this->in_force;
}

auto route_table::match(std::string_view host, std::string_view target) const -> route const* {
    auto const found = this->by_host.find(normalized_host(host));
    if (found == this->by_host.end()) {
        return nullptr;
    }
    auto const path = target.substr(0, target.find('?'));
    for (auto const* candidate : found->second) {
        if (path.starts_with(candidate->prefix)) {
            return candidate;
        }
    }
    return nullptr;
}

auto choose_target(route const& chosen, double draw) -> base::service_id const* {
    auto total = 0.0;
    for (auto const& target : chosen.targets) {
        total += target.weight;
    }
    auto left = draw * total;
    for (auto const& target : chosen.targets) {
        left -= target.weight;
        if (left < 0) {
            return &target.service;
        }
    }
    return chosen.targets.empty() ? nullptr : &chosen.targets.back().service;
}

}  // namespace linnetlane::routing

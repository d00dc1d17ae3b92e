#include "linnetlane/daemon/entry_registry.h"

#include <utility>
#include <vector>

namespace linnetlane::daemon {

auto request_registry::add(base::request_id const& request, end_callback end) -> bool {
    auto const lock = std::scoped_lock{this->mutex};
    if (this->closed) {
        return false;
    }
    this->in_flight.emplace(request, std::move(end));
    return true;
}

auto request_registry::remove(base::request_id const& request) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    this->in_flight.erase(request);
}

auto request_registry::close() -> void {
    auto const lock = std::scoped_lock{this->mutex};
    this->closed = true;
}

auto request_registry::end_all() -> void {
    auto callbacks = std::vector<end_callback>{};
    {
        auto const lock = std::scoped_lock{this->mutex};
        for (auto const& [request, end] : this->in_flight) {
            callbacks.push_back(end);
        }
    }
    for (auto const& end : callbacks) {
        end();
    }
}

auto request_registry::size() const -> std::size_t {
    auto const lock = std::scoped_lock{this->mutex};
    return this->in_flight.size();
}

auto retry_budgets::of(base::service_id const& service) -> request::retry_budget& {
    auto const lock = std::scoped_lock{this->mutex};
    auto& budget = this->budgets[service];
    if (!budget) {
        budget = std::make_unique<request::retry_budget>();
    }
    return *budget;
}

}  // namespace linnetlane::daemon

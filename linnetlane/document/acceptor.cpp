#include "linnetlane/document/acceptor.h"

#include <utility>

namespace linnetlane::document {

auto acceptor::fault_of(version const& candidate) const -> std::optional<validation_error> {
    if (candidate.removed) {
        return std::nullopt;
    }
    return this->find_fault(candidate);
}

auto acceptor::accept(version const& candidate, outbox& out) -> bool {
    if (!this->kept.lacks(id_of(candidate))) {
        return false;
    }
    if (auto const fault = this->fault_of(candidate)) {
        this->report(candidate.service, *fault, out);
        return false;
    }
    this->kept.take(candidate);
    this->reported.erase(candidate.service);
    this->accepted.push_back(candidate.service);
    out.add(in_force{candidate});
    return true;
}

auto acceptor::report(base::service_id const& service, validation_error const& fault, outbox& out)
    -> void {
    auto& last = this->reported[service];
    if (last == fault) {
        return;
    }
    last = fault;
    out.add(invalid_document{service, fault.text});
}

auto acceptor::take_accepted() -> std::vector<base::service_id> {
    return std::exchange(this->accepted, {});
}

}  // namespace linnetlane::document

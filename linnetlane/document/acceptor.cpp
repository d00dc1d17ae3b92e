#include "linnetlane/document/acceptor.h"

#include <utility>

namespace linnetlane::document {

auto acceptor::validate(version const& candidate) const -> std::optional<validation_error> {
    if (candidate.removed) {
        return std::nullopt;
    }
    return this->validate_document(candidate);
}

auto acceptor::accept(version const& candidate, outbox& out) -> bool {
    if (!this->versions.lacks(id_of(candidate))) {
        return false;
    }
    if (auto const error = this->validate(candidate)) {
        this->report_invalid(candidate.service, *error, out);
        return false;
    }
    this->versions.insert_if_newer(candidate);
    this->reported_errors.erase(candidate.service);
    this->accepted.push_back(candidate.service);
    out.add(in_force{candidate});
    return true;
}

auto acceptor::report_invalid(base::service_id const& service, validation_error const& error,
                              outbox& out) -> void {
    auto& last = this->reported_errors[service];
    if (last == error) {
        return;
    }
    last = error;
    out.add(invalid_document{service, error.text});
}

auto acceptor::take_accepted() -> std::vector<base::service_id> {
    return std::exchange(this->accepted, {});
}

}  // namespace linnetlane::document

#include "linnetlane/daemon/document_table.h"

#include <utility>

#include "linnetlane/base/result.h"
#include "linnetlane/service/parse.h"

namespace linnetlane::daemon {

auto document_table::apply(document::version const& version) -> void {
    auto parsed = document_pointer{};
    if (!version.removed) {
        auto read = service::parse_document(version.text);
        if (!base::succeeded(read)) {
            return;
        }
        auto document = base::take_value(std::move(read));
        document.generation = version.generation;
        parsed = std::make_shared<service::document const>(std::move(document));
    }
    auto const lock = std::lock_guard{this->mutex};
    if (parsed) {
        this->originals[version.service] = std::move(parsed);
    } else {
        this->originals.erase(version.service);
    }
    this->publish(version.service);
}

auto document_table::mark_leaving(base::service_id const& service,
                                  std::vector<base::upstream_id> const& upstreams,
                                  base::time_point deadline) -> bool {
    auto const lock = std::lock_guard{this->mutex};
    auto changed = false;
    for (auto const& upstream : upstreams) {
        auto const [mark, added] =
            this->leaving_marks.insert_or_assign({service, upstream}, deadline);
        changed = changed || added;
    }
    if (changed) {
        this->publish(service);
    }
    return changed;
}

auto document_table::expire_marks(base::time_point now) -> bool {
    auto const lock = std::lock_guard{this->mutex};
    auto changed = std::vector<base::service_id>{};
    std::erase_if(this->leaving_marks, [&](auto const& mark) {
        auto const expired = mark.second <= now;
        if (expired) {
            changed.push_back(mark.first.first);
        }
        return expired;
    });
    for (auto const& service : changed) {
        this->publish(service);
    }
    return !changed.empty();
}

// Makes the document of `service`, with its marks, visible to readers. Requires `mutex` to be held.
auto document_table::publish(base::service_id const& service) -> void {
    auto next = std::make_shared<table>(*this->current);
    auto const found = this->originals.find(service);
    if (found == this->originals.end()) {
        next->erase(service);
    } else {
        auto published = *found->second;
        for (auto& upstream : published.upstreams) {
            auto const marked = this->leaving_marks.contains({service, upstream.id});
            upstream.leaving = upstream.leaving || marked;
        }
        (*next)[service] = std::make_shared<service::document const>(std::move(published));
    }
    this->current = std::move(next);
}

auto document_table::snapshot() const -> std::shared_ptr<table const> {
    auto const lock = std::lock_guard{this->mutex};
    return this->current;
}

auto document_table::find(base::service_id const& service) const -> document_pointer {
    auto const documents = this->snapshot();
    auto const found = documents->find(service);
    return found == documents->end() ? nullptr : found->second;
}

auto document_table::find_route(std::string_view path) const -> document_pointer {
    auto const documents = this->snapshot();
    auto best = document_pointer{};
    for (auto const& [service, document] : *documents) {
        auto const& route = document->route;
        auto const matches = !route.empty() && path.starts_with(route);
        if (matches && (!best || route.size() > best->route.size())) {
            best = document;
        }
    }
    return best;
}

auto document_table::all() const -> std::vector<document_pointer> {
    auto documents = std::vector<document_pointer>{};
    for (auto const& [service, document] : *this->snapshot()) {
        documents.push_back(document);
    }
    return documents;
}

}  // namespace linnetlane::daemon

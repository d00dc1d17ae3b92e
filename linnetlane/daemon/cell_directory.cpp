#include "linnetlane/daemon/cell_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "linnetlane/membership/cells.h"
#include "linnetlane/membership/rendezvous.h"

namespace linnetlane::daemon {

namespace {

auto data_centres_of(service::document const& document) -> std::set<base::data_centre_id> {
    auto found = std::set<base::data_centre_id>{};
    for (auto const& upstream : document.upstreams) {
        found.insert(upstream.data_centre);
    }
    return found;
}

auto upstreams_of(service::document const& document, membership::cell const& cell)
    -> std::vector<service::upstream> {
    auto members = std::set<base::upstream_id>(cell.serving.begin(), cell.serving.end());
    members.insert(cell.prefill.begin(), cell.prefill.end());
    auto upstreams = std::vector<service::upstream>{};
    for (auto const& upstream : document.upstreams) {
        if (members.contains(upstream.id)) {
            upstreams.push_back(upstream);
        }
    }
    return upstreams;
}

// Selects keepers among the eligible hosts of each data centre.
class keeper_selector {
public:
    explicit keeper_selector(membership::host_table const& all) : hosts(all) {}

    auto choose(protocol::cell_key const& key) -> std::optional<keeper> {
        auto const chosen = membership::winner(duty_of(key), this->candidates(key.data_centre));
        if (!chosen) {
            return std::nullopt;
        }
        auto const* const record = this->hosts.find(*chosen);
        return keeper{record->host, record->incarnation, record->address};
    }

private:
    auto candidates(base::data_centre_id const& data_centre) -> std::vector<base::host_id> const& {
        auto const [found, added] = this->eligible.try_emplace(data_centre);
        if (added) {
            found->second = this->hosts.eligible_in(data_centre);
        }
        return found->second;
    }

    membership::host_table const& hosts;
    std::map<base::data_centre_id, std::vector<base::host_id>> eligible;
};

}  // namespace

auto cell_directory::find(protocol::cell_key const& key) const -> cell_entry const* {
    auto const found = this->cells.find(key);
    return found == this->cells.end() ? nullptr : &found->second;
}

auto cell_directory::cells_of(base::service_id const& service,
                              base::data_centre_id const& data_centre) const
    -> std::vector<cell_entry const*> {
    auto entries = std::vector<cell_entry const*>{};
    auto next = this->cells.lower_bound(protocol::cell_key{data_centre, service, 0});
    while (next != this->cells.end() && next->first.data_centre == data_centre &&
           next->first.service == service) {
        entries.push_back(&next->second);
        ++next;
    }
    return entries;
}

auto duty_of(protocol::cell_key const& key) -> std::string {
    return "cell/" + key.service.value + "/" + std::to_string(key.number);
}

auto build_directory(membership::host_table const& hosts,
                     std::vector<document_pointer> const& documents) -> directory_pointer {
    auto directory = std::make_shared<cell_directory>();
    auto keepers = keeper_selector{hosts};
    for (auto const& document : documents) {
        for (auto const& data_centre : data_centres_of(*document)) {
            auto const cells = membership::cells_of(*document, data_centre);
            for (auto number = std::size_t{0}; number < cells.size(); ++number) {
                auto entry = cell_entry{};
                entry.key = {data_centre, document->id, number};
                entry.document = document;
                entry.upstreams = upstreams_of(*document, cells[number]);
                entry.keeper = keepers.choose(entry.key);
                directory->cells.emplace(entry.key, std::move(entry));
            }
        }
    }
    return directory;
}

}  // namespace linnetlane::daemon

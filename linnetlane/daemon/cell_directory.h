// The cells and the host that keeps each, according to this host's view.
//
// Rebuilt whenever the membership or a document changes, and read by every request.

#ifndef LINNETLANE_DAEMON_CELL_DIRECTORY_H_
#define LINNETLANE_DAEMON_CELL_DIRECTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/daemon/document_table.h"
#include "linnetlane/membership/host_table.h"
#include "linnetlane/protocol/messages.h"

namespace linnetlane::daemon {

// A host that keeps a cell. A new incarnation counts as a different keeper, since it has none of
// the state of the earlier one.
struct keeper {
    base::host_id host;
    base::incarnation incarnation;
    base::endpoint address;

    friend auto operator==(keeper const&, keeper const&) -> bool = default;
};

// A cell with its upstreams and its keeper.
struct cell_entry {
    protocol::cell_key key;
    document_pointer document;
    // All upstreams of the cell, prefill engines included.
    std::vector<service::upstream> upstreams;
    // Empty if no host is eligible.
    std::optional<daemon::keeper> keeper;
};

// Immutable once built.
struct cell_directory {
    std::map<protocol::cell_key, cell_entry> cells;

    // Returns the cell `key`, or null if there is none.
    [[nodiscard]] auto find(protocol::cell_key const& key) const -> cell_entry const*;
    // Returns the cells of `service` in `data_centre`, ordered by number.
    [[nodiscard]] auto cells_of(base::service_id const& service,
                                base::data_centre_id const& data_centre) const
        -> std::vector<cell_entry const*>;
};

using directory_pointer = std::shared_ptr<cell_directory const>;

// Returns the rendezvous hashing key by which the keeper of the cell `key` is selected.
[[nodiscard]] auto duty_of(protocol::cell_key const& key) -> std::string;

// Builds the directory of the cells of all services in all data centres.
[[nodiscard]] auto build_directory(membership::host_table const& hosts,
                                   std::vector<document_pointer> const& documents)
    -> directory_pointer;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CELL_DIRECTORY_H_

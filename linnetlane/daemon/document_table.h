// The parsed documents in force on this host, with the upstreams that are marked as leaving.

#ifndef LINNETLANE_DAEMON_DOCUMENT_TABLE_H_
#define LINNETLANE_DAEMON_DOCUMENT_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/daemon/entry_concepts.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/service/document.h"

namespace linnetlane::daemon {

using document_pointer = std::shared_ptr<service::document const>;

// Thread-safe: readers share an immutable table, which writers replace.
class document_table {
public:
    // Stores a version that came into force; a tombstone removes its service.
    auto apply(document::version const& version) -> void;
    // Reports the upstreams as leaving until `deadline`, whatever the document says. Returns
    // whether one of them was not marked before.
    auto mark_leaving(base::service_id const& service,
                      std::vector<base::upstream_id> const& upstreams, base::time_point deadline)
        -> bool;
    // Removes the marks whose deadline has passed. Returns whether there were any.
    auto expire_marks(base::time_point now) -> bool;
    // Returns the document in force of `service`, or null if there is none.
    [[nodiscard]] auto find(base::service_id const& service) const -> document_pointer;
    // Returns the plain service with the longest route that is a prefix of `path`, or null.
    [[nodiscard]] auto find_route(std::string_view path) const -> document_pointer;
    [[nodiscard]] auto all() const -> std::vector<document_pointer>;

private:
    using table = std::map<base::service_id, document_pointer>;
    using mark_key = std::pair<base::service_id, base::upstream_id>;

    auto publish(base::service_id const& service) -> void;
    [[nodiscard]] auto snapshot() const -> std::shared_ptr<table const>;

    mutable std::mutex mutex;
    // Guarded by `mutex`. The table it points to is immutable.
    std::shared_ptr<table const> current = std::make_shared<table const>();
    // Guarded by `mutex`. The documents without marks.
    table originals;
    // Guarded by `mutex`. When the mark of an upstream expires.
    std::map<mark_key, base::time_point> leaving_marks;
};

static_assert(document_source<document_table>);

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_DOCUMENT_TABLE_H_

// The newest version of each service document that a host has seen. Never reverts to an older one.

#ifndef LINNETLANE_DOCUMENT_VERSION_TABLE_H_
#define LINNETLANE_DOCUMENT_VERSION_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/document/messages.h"

namespace linnetlane::document {

[[nodiscard]] auto id_of(version const& stored) -> version_id;

// Whether `left` is newer than `right`; both are of the same service. Two versions of the same
// generation, which arise only after the platform lost data, are ordered by write id, so that all
// hosts converge on the same one.
[[nodiscard]] auto is_newer(version_id const& left, version_id const& right) -> bool;

// Versions by service, with a digest over their ids. Thread-compatible.
class version_table {
public:
    // Stores `candidate` if it is newer than the stored version of its service; returns whether it
    // did.
    auto insert_if_newer(version const& candidate) -> bool;
    // Whether `insert_if_newer` would store a version with this id.
    [[nodiscard]] auto lacks(version_id const& id) const -> bool;
    // The version in force, or null. May be a tombstone.
    [[nodiscard]] auto find(base::service_id const& service) const -> version const*;
    [[nodiscard]] auto version_ids() const -> std::vector<version_id>;
    [[nodiscard]] auto all() const -> std::map<base::service_id, version> const& {
        return this->versions;
    }
    // Hash over all version ids; equal for equal tables, and 0 for an empty one.
    [[nodiscard]] auto digest() const -> std::uint64_t { return this->current_digest; }

private:
    std::map<base::service_id, version> versions;
    std::uint64_t current_digest = 0;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_VERSION_TABLE_H_

// The newest version of each service's document that a host has seen. Never goes back.

#ifndef LINNETLANE_DOCUMENT_VERSION_TABLE_H_
#define LINNETLANE_DOCUMENT_VERSION_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/document/messages.h"

namespace linnetlane::document {

// The mark of `kept`.
[[nodiscard]] auto id_of(version const& kept) -> version_id;

// Whether `left` is newer than `right`, of the same service. Two versions of one generation, which
// only a platform that lost its data can bring about, are told apart by their write ids, so that
// all hosts settle for the same one.
[[nodiscard]] auto is_newer(version_id const& left, version_id const& right) -> bool;

// Thread-compatible.
class version_table {
public:
    // Keeps `candidate` if it is newer than what is kept of its service.
    auto take(version const& candidate) -> bool;
    // Whether `take` would keep a version with this mark.
    [[nodiscard]] auto lacks(version_id const& id) const -> bool;
    // The version in force, or null. May be a tombstone.
    [[nodiscard]] auto find(base::service_id const& service) const -> version const*;
    [[nodiscard]] auto version_ids() const -> std::vector<version_id>;
    [[nodiscard]] auto all() const -> std::map<base::service_id, version> const& {
        return this->versions;
    }
    // Hash over all marks; the same for equal tables, and 0 for an empty one.
    [[nodiscard]] auto digest() const -> std::uint64_t { return this->sum; }

private:
    std::map<base::service_id, version> versions;
    std::uint64_t sum = 0;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_VERSION_TABLE_H_

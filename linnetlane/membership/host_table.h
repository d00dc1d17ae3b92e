// One host's view of all hosts: the newest known record of each.

#ifndef LINNETLANE_MEMBERSHIP_HOST_TABLE_H_
#define LINNETLANE_MEMBERSHIP_HOST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/membership/messages.h"

namespace linnetlane::membership {

// Whether `candidate` is newer than `known`, a record of the same host.
[[nodiscard]] auto supersedes(host_record const& candidate, host_record const& known) -> bool;

// What a merge changed in the table.
enum class merge_result {
    // Nothing: the record isn't newer than the known one, or says that an unknown host is gone.
    stale,
    // Only the revision and the digest of documents.
    refreshed,
    // A host or incarnation that was unknown and isn't gone was added.
    joined,
    // The host is suspected now.
    suspected,
    // The host is no longer suspected.
    refuted,
    // The host began to leave.
    leaving,
    // The host is gone now.
    gone,
    // The host became ready or ceased to be ready.
    readiness,
};

// Thread-compatible.
class host_table {
public:
    // Stores `record` if it is newer than the known record of its host.
    auto merge(host_record const& record, base::time_point now) -> merge_result;
    // The record of `host`, or null.
    [[nodiscard]] auto find(base::host_id const& host) const -> host_record const*;
    // The records of `data_centre`, including hosts that are gone.
    [[nodiscard]] auto records_of(base::data_centre_id const& data_centre) const
        -> std::vector<host_record>;
    // The hosts of `data_centre` that are not gone.
    [[nodiscard]] auto present_in(base::data_centre_id const& data_centre) const
        -> std::vector<base::host_id>;
    // The hosts of `data_centre` that are neither gone nor leaving.
    [[nodiscard]] auto not_leaving_in(base::data_centre_id const& data_centre) const
        -> std::vector<base::host_id>;
    // The hosts of `data_centre` that may hold duties: present, ready and not leaving.
    [[nodiscard]] auto eligible_in(base::data_centre_id const& data_centre) const
        -> std::vector<base::host_id>;
    [[nodiscard]] auto data_centres() const -> std::vector<base::data_centre_id>;
    // A hash over the present hosts of `data_centre`; equal for tables that agree on them.
    [[nodiscard]] auto digest_of(base::data_centre_id const& data_centre) const -> std::uint64_t;
    // Removes the records of hosts that have been gone since before `horizon`.
    auto remove_gone(base::time_point horizon) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return this->rows.size(); }

private:
    // The present hosts whose records pass `test`, by name.
    template <typename Test>
    [[nodiscard]] auto hosts_where(Test test) const -> std::vector<base::host_id>;

    struct row {
        host_record record;
        base::time_point changed_at;
    };
    std::map<base::host_id, row> rows;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_HOST_TABLE_H_

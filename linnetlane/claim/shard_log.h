// A keeper's copy of a shard: the records in the platform as of the last read or write, by segment.

#ifndef LINNETLANE_CLAIM_SHARD_LOG_H_
#define LINNETLANE_CLAIM_SHARD_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "linnetlane/claim/limits.h"
#include "linnetlane/claim/messages.h"
#include "linnetlane/claim/record.h"
#include "linnetlane/coordination/store.h"

namespace linnetlane::claim {

// Index of a shard's records, and the writes that change them. Thread-compatible.
class shard_log {
public:
    using record_key = std::pair<base::service_id, base::idempotency_key>;

    // Parses `entries`, which must be all entries of the shard. Returns `nullopt` if one is
    // malformed, since it may hold a claim.
    static auto parse(shard_number shard, std::vector<coordination::entry> const& entries)
        -> std::optional<shard_log>;

    // The record of a key, or null if there is none within its retention.
    [[nodiscard]] auto find(record_key const& key, wall_time wall, limits const& bounds) const
        -> record const*;
    // The write that adds `updates`, conditional on the head being unchanged; it also removes
    // segments all of whose records have expired.
    [[nodiscard]] auto make_write(shard_number shard, std::vector<record> const& updates,
                                  std::string write_id, wall_time wall, limits const& bounds) const
        -> coordination::compare_and_swap;
    // Applies a write that `make_write` returned for the same arguments, after it succeeded as
    // revision `at`.
    auto commit(std::vector<record> const& updates, std::string write_id, coordination::revision at,
                wall_time wall, limits const& bounds) -> void;
    // The records of `earlier` whose keys have no record here, because the platform was restored
    // from a backup.
    [[nodiscard]] auto missing_records(shard_log const& earlier) const -> std::vector<record>;
    [[nodiscard]] auto head() const -> shard_head const& { return this->current_head; }
    // Total size of the records that remain after the next write, its updates excluded.
    [[nodiscard]] auto bytes_after_write(wall_time wall, limits const& bounds) const -> std::size_t;

private:
    struct segment {
        std::vector<record> records;
        std::size_t bytes = 0;
        wall_time keep_until;
    };

    [[nodiscard]] auto next_open_segment(limits const& bounds) const -> std::uint64_t;
    [[nodiscard]] auto expired_segments(wall_time wall, limits const& bounds) const
        -> std::vector<std::uint64_t>;
    auto add(std::uint64_t number, record const& stored) -> void;
    auto remove(std::uint64_t number) -> void;

    shard_head current_head;
    coordination::revision head_revision;
    std::map<std::uint64_t, segment> segments;
    // Segment number and index in it of the latest record of each key.
    std::map<record_key, std::pair<std::uint64_t, std::size_t>> latest_records;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_SHARD_LOG_H_

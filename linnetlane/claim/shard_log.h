// What a keeper knows of a shard: the records that the platform holds, as of its last read or
// write, by segment.

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

// Thread-compatible.
class shard_log {
public:
    using record_key = std::pair<base::service_id, base::idempotency_key>;

    // The log that `entries`, all keys of the shard, hold; nothing if one can't be read, since a
    // claim might hide in it.
    static auto parse(shard_number shard, std::vector<coordination::entry> const& entries)
        -> std::optional<shard_log>;

    // The record of a key that is still kept, or null.
    [[nodiscard]] auto find(record_key const& key, wall_time wall, limits const& bounds) const
        -> record const*;
    // The write that adds `updates`, on condition that nobody wrote since; it also removes segments
    // of which nothing is kept any more.
    [[nodiscard]] auto write_of(shard_number shard, std::vector<record> const& updates,
                                std::string write_id, wall_time wall, limits const& bounds) const
        -> coordination::compare_and_swap;
    // Takes in a write that was made by `write_of` with the same arguments.
    auto commit(std::vector<record> const& updates, std::string write_id, coordination::revision at,
                wall_time wall, limits const& bounds) -> void;
    // The records of `earlier` that are missing here: the platform was restored from an old copy.
    [[nodiscard]] auto missing_from(shard_log const& earlier) const -> std::vector<record>;
    [[nodiscard]] auto head() const -> shard_head const& { return this->last; }
    // All records together that the next write leaves.
    [[nodiscard]] auto bytes(wall_time wall, limits const& bounds) const -> std::size_t;

private:
    struct segment {
        std::vector<record> records;
        std::size_t bytes = 0;
        wall_time keep_until;
    };

    [[nodiscard]] auto next_open(limits const& bounds) const -> std::uint64_t;
    [[nodiscard]] auto expired_segments(wall_time wall, limits const& bounds) const
        -> std::vector<std::uint64_t>;
    auto add(std::uint64_t number, record const& kept) -> void;
    auto remove(std::uint64_t number) -> void;

    shard_head last;
    coordination::revision modified;
    std::map<std::uint64_t, segment> segments;
    // Where the latest record of a key is.
    std::map<record_key, std::pair<std::uint64_t, std::size_t>> places;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_SHARD_LOG_H_

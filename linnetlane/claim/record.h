// The record of a claim and its representation in the platform.
//
// A shard consists of a small head and numbered segments of records. Each write of the shard is a
// compare-and-swap on the head, which also writes a segment. A later record of a key replaces an
// earlier one.

#ifndef LINNETLANE_CLAIM_RECORD_H_
#define LINNETLANE_CLAIM_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/claim/messages.h"

namespace linnetlane::claim {

// The claim on one key of one service.
struct record {
    base::service_id service;
    base::idempotency_key key;
    claim::claimant claimant;
    claim_state state = claim_state::under_way;
    std::optional<stored_answer> answer;
    wall_time keep_until;

    friend auto operator==(record const&, record const&) -> bool = default;
};

// The head of a shard.
struct shard_head {
    // Counts the writes of the shard.
    std::uint64_t sequence = 0;
    // The segment to which records are appended until it is full.
    std::uint64_t open_segment = 0;
    // Unique to the write.
    std::string write_id;

    friend auto operator==(shard_head const&, shard_head const&) -> bool = default;
};

// The shard, out of `shards`, to which a key belongs.
[[nodiscard]] auto shard_of(base::service_id const& service, base::idempotency_key const& key,
                            std::uint64_t shards) -> shard_number;

// Platform keys: the common prefix of a shard's keys, its head and one of its segments.
[[nodiscard]] auto shard_prefix(shard_number shard) -> std::string;
[[nodiscard]] auto head_key(shard_number shard) -> std::string;
[[nodiscard]] auto segment_key(shard_number shard, std::uint64_t segment) -> std::string;
// The number of the segment stored under `key`; `nullopt` if `key` is not a segment of `shard`.
[[nodiscard]] auto segment_of_key(shard_number shard, std::string_view key)
    -> std::optional<std::uint64_t>;

[[nodiscard]] auto to_value(shard_head const& head) -> std::string;
[[nodiscard]] auto to_value(std::vector<record> const& records) -> std::string;
// Parse a value written by `to_value`; `nullopt` if it is malformed.
[[nodiscard]] auto parse_head(std::string_view value) -> std::optional<shard_head>;
[[nodiscard]] auto parse_records(std::string_view value) -> std::optional<std::vector<record>>;
// Upper bound of the bytes that `stored` adds to a segment.
[[nodiscard]] auto max_serialized_size(record const& stored) -> std::size_t;

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_RECORD_H_

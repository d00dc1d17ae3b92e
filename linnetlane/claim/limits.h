// Limits of the claim keeper. Writes to the platform are at most `shards / batch_period` a second,
// independent of the request rate.

#ifndef LINNETLANE_CLAIM_LIMITS_H_
#define LINNETLANE_CLAIM_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "linnetlane/base/time.h"

namespace linnetlane::claim {

struct limits {
    // Number of shards of the key space. Must be equal on all hosts and must not change while
    // records exist.
    std::uint64_t shards = 64;
    // Minimum time between two writes of a shard.
    base::duration batch_period = std::chrono::milliseconds{250};
    // A request that was not decided within this time is refused.
    base::duration request_timeout = std::chrono::seconds{2};
    // Time from the first claim request until which a granted call may still be sent.
    base::duration send_within = std::chrono::seconds{30};
    // Minimum retention of a record. Records are kept for `clock_margin` longer, to allow for clock
    // differences between hosts.
    std::chrono::milliseconds min_retention = std::chrono::minutes{10};
    std::chrono::milliseconds clock_margin = std::chrono::minutes{2};
    // A segment that reaches this size is closed and the next one started. A value in the platform
    // holds at most this, one batch and one record, which is well under a megabyte.
    std::size_t segment_bytes = std::size_t{64} * 1024;
    // A batch that reaches this size takes no further records.
    std::size_t batch_bytes = std::size_t{256} * 1024;
    // Maximum total size of a shard's records; further claims are refused.
    std::size_t max_shard_bytes = std::size_t{4} * 1024 * 1024;
    // Maximum body size of an answer that is stored with a record.
    std::size_t max_answer_bytes = std::size_t{4} * 1024;
    // Requests with a longer key are refused.
    std::size_t max_key_bytes = 1024;
    // Maximum number of pending requests of a shard.
    std::size_t max_waiting = 10'000;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_LIMITS_H_

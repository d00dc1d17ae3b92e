// Types that calls to model engines share, whatever protocol an engine speaks.

#ifndef LINNETLANE_UPSTREAM_ENGINE_TYPES_H_
#define LINNETLANE_UPSTREAM_ENGINE_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/units.h"

namespace linnetlane::upstream {

// Whether the upstream may have seen a request that failed.
enum class send_state { not_sent, may_have_been_sent };

// Which of its two calls an attempt makes.
enum class call_role { prefill, decode };

// Where a decode engine finds the KV cache that a prefill engine computed.
struct kv_transfer {
    std::string remote_engine_id;
    std::string remote_request_id;
    std::string remote_host;
    std::uint16_t remote_port = 0;
    std::vector<std::int64_t> remote_block_ids;

    friend auto operator==(kv_transfer const&, kv_transfer const&) -> bool = default;
};

// Why an engine ended an answer.
enum class finish_reason { stop, length };

}  // namespace linnetlane::upstream

#endif  // LINNETLANE_UPSTREAM_ENGINE_TYPES_H_

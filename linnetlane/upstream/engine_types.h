// Types of calls to model engines that don't depend on an engine's protocol.

#ifndef LINNETLANE_UPSTREAM_ENGINE_TYPES_H_
#define LINNETLANE_UPSTREAM_ENGINE_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/units.h"

namespace linnetlane::upstream {

// Whether any part of a failed request may have reached the upstream.
enum class send_state { not_sent, may_have_been_sent };

// The two calls of an attempt.
enum class call_role { prefill, decode };

// The location of a KV cache that a prefill engine computed, for the decode engine that imports it.
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

// Client side of claims: makes and settles the claims of this host's calls that may run at most
// once.
//
// Models the concept `request::claims`. Each request goes to the keeper of the key's shard, on this
// host or another, and is resent until the keeper replies or the deadline passes.

#ifndef LINNETLANE_DAEMON_CLAIM_SERVICE_H_
#define LINNETLANE_DAEMON_CLAIM_SERVICE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/claim/messages.h"
#include "linnetlane/daemon/claim_keeper_service.h"
#include "linnetlane/daemon/entry_mailbox.h"
#include "linnetlane/request/claims.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// How long a claim is kept after it was made; calls with the same key are recognized until then.
inline constexpr auto claim_retention = std::chrono::hours{1};

// What the service needs from the rest of the host.
struct claim_hooks {
    // Sends a request to the keeper of the shard. Returns false if there is none. Must not block.
    std::function<bool(claim::shard_number, claim_or_settle const&)> submit;
    // Returns this host with its current incarnation.
    std::function<cell::holder()> self;
};

// Thread-safe. Must outlive the pool's fibers.
class claim_service {
public:
    claim_service(runtime::worker_pool& pool, claim_hooks hooks);

    // See `request::claims`. Both suspend the calling fiber: `claim` until the outcome is known,
    // `settle` only briefly, since it continues in a separate fiber.
    [[nodiscard]] auto claim(base::service_id const& service, base::idempotency_key const& key,
                             base::request_id const& request, base::time_point deadline)
        -> request::claim_answer;
    auto settle(base::service_id const& service, base::idempotency_key const& key,
                base::request_id const& request, request::claim_state state,
                std::optional<request::stored_answer> const& answer) -> void;

    // Handles a reply of a keeper.
    auto handle_reply(claim::claim_reply const& reply) -> void;

private:
    using reply_inbox = mailbox<claim::claim_reply>;
    // The request's number, and whether it settles a claim rather than makes one.
    using reply_key = std::pair<claim::request_number, bool>;

    auto submit_until(claim_or_settle const& keeper_request, reply_key const& key,
                      base::time_point deadline) -> std::optional<claim::claim_reply>;
    auto settle_claim(claim::settle_request const& keeper_request) -> void;
    auto withdraw(claim::claim_request const& keeper_request) -> void;
    [[nodiscard]] auto next_claimant() -> claim::claimant;

    runtime::worker_pool* pool;
    claim_hooks hooks;
    std::atomic<std::uint64_t> last_number = 0;
    std::mutex mutex;
    // Guarded by `mutex`.
    std::map<reply_key, std::shared_ptr<reply_inbox>> pending;
    // Guarded by `mutex`. The claimants under which requests of this host hold claims.
    std::map<base::request_id, claim::claimant> granted;
};

static_assert(request::claims<claim_service>);

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CLAIM_SERVICE_H_

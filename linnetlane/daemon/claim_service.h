// Claims on calls that may run at most once, as the entries of this host make them.
//
// Fulfils the concept `request::claims`: asks the keeper of the key's shard, on this host or
// another, again until it answers or the deadline comes.

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

// How long a claim is kept after it was made: later calls with its key within this time are known.
inline constexpr auto claim_retention = std::chrono::hours{1};

// What the service needs from the rest of the host.
struct claim_hooks {
    // Hands a question to the keeper of the shard. False if there is none. Must not block.
    std::function<bool(claim::shard_number, claim_or_settle const&)> ask;
    // This host's life.
    std::function<cell::holder()> self;
};

// Thread-safe. Outlives the pool's fibers.
class claim_service {
public:
    claim_service(runtime::worker_pool& pool, claim_hooks hooks);

    // See `request::claims`. Both suspend the calling fiber; `settle` for a moment only, since it
    // goes on in a fiber of its own.
    [[nodiscard]] auto claim(base::service_id const& service, base::idempotency_key const& key,
                             base::request_id const& request, base::time_point deadline)
        -> request::claim_answer;
    auto settle(base::service_id const& service, base::idempotency_key const& key,
                base::request_id const& request, request::claim_state state,
                std::optional<request::stored_answer> const& answer) -> void;

    // A keeper replied.
    auto take(claim::claim_reply const& reply) -> void;

private:
    using reply_box = mailbox<claim::claim_reply>;
    using reply_key = std::pair<claim::request_number, bool>;

    auto ask_until(claim_or_settle const& question, reply_key const& key, base::time_point deadline)
        -> std::optional<claim::claim_reply>;
    auto settle_claim(claim::settle_request const& question) -> void;
    auto take_back(claim::claim_request const& question) -> void;
    [[nodiscard]] auto next_claimant() -> claim::claimant;

    runtime::worker_pool* pool;
    claim_hooks hooks;
    std::atomic<std::uint64_t> last_number = 0;
    std::mutex mutex;
    // Guarded by `mutex`.
    std::map<reply_key, std::shared_ptr<reply_box>> waiting;
    // Guarded by `mutex`: the claimants of the claims that requests of this host hold.
    std::map<base::request_id, claim::claimant> granted;
};

static_assert(request::claims<claim_service>);

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CLAIM_SERVICE_H_

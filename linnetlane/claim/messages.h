// Claims on calls that may run at most once: what an entry host asks a claim keeper, and the events
// and commands of the keeper.
//
// A claim is made before the call's first byte goes to an upstream. Of all calls with one key, one
// is granted; the others learn what became of it.

#ifndef LINNETLANE_CLAIM_MESSAGES_H_
#define LINNETLANE_CLAIM_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/coordination/store.h"

namespace linnetlane::claim {

// Time by the wall clock, for what must outlast processes.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;
// Names a part of the key space, from 0.
using shard_number = base::basic_number<struct claim_shard_tag>;
// Pairs an answer with its question; unique for one incarnation of an entry host.
using request_number = base::basic_number<struct question_tag>;

// One call on one entry host. A question that is repeated because its answer was lost carries the
// same claimant; a call that a caller repeats is another one.
struct claimant {
    base::host_id host;
    base::incarnation incarnation;
    request_number number;

    friend auto operator<=>(claimant const&, claimant const&) -> std::strong_ordering = default;
};

// What became of a claimed call.
enum class claim_state {
    // It may still run.
    under_way,
    // It ran, and its answer came.
    answered,
    // It was sent and no answer came: nobody can tell whether it ran.
    outcome_unknown,
    // It surely was not run; a later call with the key may claim it again.
    not_run,
};

// An answer kept for later calls with the same key.
struct stored_answer {
    std::int32_t status = 200;
    std::string content_type;
    std::string body;

    friend auto operator==(stored_answer const&, stored_answer const&) -> bool = default;
};

// ---- Messages between hosts ----

// An entry host wants to send the call with `key`.
struct claim_request {
    claim::claimant claimant;
    base::service_id service;
    base::idempotency_key key;
    // Until when the claim is kept. The keeper raises it to the least it keeps.
    wall_time keep_until;
};

// An entry host says how the claim that `claimant` was granted ended.
struct settle_request {
    claim::claimant claimant;
    base::service_id service;
    base::idempotency_key key;
    claim_state state = claim_state::outcome_unknown;
    // With `answered`. One that is too large to keep is left out of the record.
    std::optional<stored_answer> answer;
};

// How a question was answered.
enum class verdict {
    // The call may be sent, once, by the request that asked.
    granted,
    // Another request holds the claim; `state` and `answer` tell what became of it.
    already_claimed,
    // The end of the call was recorded.
    settled,
    // Nothing was claimed, and the call was not run: the platform can't be reached.
    platform_unavailable,
    // Nothing was claimed, and the call was not run: the shard has no room.
    shard_full,
    // Nothing was claimed, and the call was not run: too many questions wait.
    overloaded,
    // This host doesn't keep the shard. The same question is to go to the host that does.
    not_keeper,
    // Nothing was recorded: the claim is not this claimant's, or it took it back before.
    not_claimant,
};

// The keeper's answer to either question. To a claimant that asked more than once, the first reply
// that is not `not_keeper` counts; it alone knows whether its call was sent.
struct claim_reply {
    // Of the question.
    request_number number;
    // Whether it was a `settle_question`.
    bool to_settle = false;
    claim::verdict verdict = verdict::platform_unavailable;
    claim_state state = claim_state::under_way;
    std::optional<stored_answer> answer;
    // With `granted`: the first byte leaves within this span of the first asking, or never.
    base::duration send_within{};
    // With a refusal, how long to wait before the next try.
    base::duration retry_after{};
    // With a refusal: the claim may be on record all the same. The claimant settles it as
    // `not_run`, so that its key comes free.
    bool may_be_recorded = false;
};

using peer_message = std::variant<claim_request, settle_request, claim_reply>;

// ---- Events ----

// A question came from an entry host, which may be this one.
struct request_received {
    std::variant<claim_request, settle_request> request;
    // The wall clock now.
    wall_time wall;
};

// The platform answered a call of this package.
struct store_answered {
    coordination::store_answer answer;
    // The wall clock now.
    wall_time wall;
};

// The shards that this host keeps, and the lives of the hosts that are present, as membership sees
// them. A claim of a host that is gone reads as `outcome_unknown`.
struct view_changed {
    std::set<shard_number> kept;
    std::map<base::host_id, base::incarnation> present;
};

// Time passed; deadlines may have come.
struct tick {
    // The wall clock now.
    wall_time wall;
};

using event = std::variant<request_received, store_answered, view_changed, tick>;

// ---- Commands ----

// Answers a question.
struct reply {
    base::host_id to;
    claim_reply message;
};

// Makes a call on the platform.
struct call_store {
    coordination::store_call call;
};

using command = std::variant<reply, call_store>;

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_MESSAGES_H_

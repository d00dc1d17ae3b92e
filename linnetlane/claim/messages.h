// Claims on calls that may run at most once: the messages between entry hosts and claim keepers,
// and the events and commands of the keeper.
//
// An entry host claims a call before it sends the first byte to an upstream. Of all calls with the
// same key, one is granted; the others receive that call's state and answer.

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

// Wall-clock time, for deadlines that outlive processes.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;
// Identifies a part of the key space, counted from 0.
using shard_number = base::basic_number<struct claim_shard_tag>;
// Matches a reply to its request; unique within one incarnation of an entry host.
using request_number = base::basic_number<struct claim_request_tag>;

// One call on one entry host. A request that is sent again because its reply was lost carries the
// same claimant; a call that the caller repeats is a different claimant.
struct claimant {
    base::host_id host;
    base::incarnation incarnation;
    request_number number;

    friend auto operator<=>(claimant const&, claimant const&) -> std::strong_ordering = default;
};

// State of a claimed call.
enum class claim_state {
    // It may still run.
    under_way,
    // It ran and was answered.
    answered,
    // It was sent and not answered; whether it ran is unknown.
    outcome_unknown,
    // It did not run; a later call with the same key may be granted.
    not_run,
};

// An answer that is stored for later calls with the same key.
struct stored_answer {
    std::int32_t status = 200;
    std::string content_type;
    std::string body;

    friend auto operator==(stored_answer const&, stored_answer const&) -> bool = default;
};

// ---- Messages between hosts ----

// Sent by an entry host before it sends the call with `key` to an upstream.
struct claim_request {
    claim::claimant claimant;
    base::service_id service;
    base::idempotency_key key;
    // End of the claim's retention; the keeper extends it to the minimum retention.
    wall_time keep_until;
};

// Reports the final state of the call whose claim was granted to `claimant`.
struct settle_request {
    claim::claimant claimant;
    base::service_id service;
    base::idempotency_key key;
    claim_state state = claim_state::outcome_unknown;
    // Set with `answered`. An answer that is too large is left out of the record.
    std::optional<stored_answer> answer;
};

// Result of a claim or settle request.
enum class verdict {
    // The claimant may send the call, once.
    granted,
    // The key was claimed before; `state` and `answer` describe that call.
    already_claimed,
    // The final state of the call was recorded.
    settled,
    // Not claimed, and the call was not run: the platform can't be reached.
    platform_unavailable,
    // Not claimed, and the call was not run: the shard has reached its maximum size.
    shard_full,
    // Not claimed, and the call was not run: too many requests are pending, or the key is too long.
    overloaded,
    // This host doesn't keep the shard; the request must be sent to the host that does.
    not_keeper,
    // Nothing was recorded: the claim belongs to another claimant, or this claimant has withdrawn
    // it.
    not_claimant,
};

// Reply to either request. A claimant that sent its request more than once acts on the first reply
// other than `not_keeper`, since only the claimant knows whether its call was sent.
struct claim_reply {
    // Number of the request.
    request_number number;
    // Whether the request was a `settle_request`.
    bool to_settle = false;
    claim::verdict verdict = verdict::platform_unavailable;
    claim_state state = claim_state::under_way;
    std::optional<stored_answer> answer;
    // Set with `granted`: the first byte must be sent within this time of the first request, or not
    // at all.
    base::duration send_within{};
    // Set with a refusal: time to wait before the next attempt.
    base::duration retry_after{};
    // Set with a refusal: the claim may have been recorded nevertheless. The claimant must settle
    // it as `not_run` to free the key.
    bool may_be_recorded = false;
};

using peer_message = std::variant<claim_request, settle_request, claim_reply>;

// ---- Events ----

// A request arrived from an entry host, which may be this host.
struct request_received {
    std::variant<claim_request, settle_request> request;
    // The wall clock now.
    wall_time wall;
};

// The platform answered a call of the keeper.
struct store_answered {
    coordination::store_answer answer;
    // The wall clock now.
    wall_time wall;
};

// The shards that this host keeps and the incarnations of the present hosts, as reported by
// membership. A claim under way on a host that is gone is reported as `outcome_unknown`.
struct view_changed {
    std::set<shard_number> kept;
    std::map<base::host_id, base::incarnation> present;
};

// Deadlines may have passed.
struct tick {
    // The wall clock now.
    wall_time wall;
};

using event = std::variant<request_received, store_answered, view_changed, tick>;

// ---- Commands ----

// Sends a reply to an entry host.
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

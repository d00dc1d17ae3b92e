// State machine of one call to a plain service. It performs no I/O and reads no clock.
//
// A repeatable call is sent again when it fails, within the service's retry budget. A call that may
// not be repeated is sent again only if nothing of it was sent before. Each try uses a new
// connection, so that a failure to connect proves this. If the call has an idempotency key, it is
// sent only after a claim was granted. Once a byte of it may have been sent, its outcome is unknown
// until the upstream answers.
//
//   auto machine = plain_state_machine{spec, budget};
//   run(machine.start(now));
//   while (!machine.drained()) {
//       run(machine.handle(mailbox.next(machine.wake_at()), now));
//   }

#ifndef LINNETLANE_REQUEST_PLAIN_STATE_MACHINE_H_
#define LINNETLANE_REQUEST_PLAIN_STATE_MACHINE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/request/claims.h"
#include "linnetlane/request/refusal.h"
#include "linnetlane/request/retry_budget.h"
#include "linnetlane/upstream/engine_types.h"

namespace linnetlane::request {

// Number of a try (one send) of a plain call, from 1.
using try_number = base::basic_number<struct try_tag>;

// The parameters of a plain call.
struct plain_spec {
    bool repeatable = false;
    // Whether the call carries an idempotency key; ignored if it is repeatable.
    bool keyed = false;
    // Number of retries, less than one, that each accepted call adds to the service's budget.
    base::fraction retry_share{0.1};
    // The call is ended at this time if it has no answer.
    base::time_point deadline;
};

// Events.

// The upstream answered the call completely, with any HTTP status.
struct call_answered {
    try_number number;
};

// A try failed without a complete answer from `upstream`.
struct call_failed {
    try_number number;
    base::upstream_id upstream;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

// No upstream is available for the call; nothing of this try was sent.
struct no_upstream {
    try_number number;
};

// The caller disconnected.
struct plain_caller_gone {};
// Time has passed; the deadline may have expired.
struct plain_tick {};
// The host shuts down and its drain time is over.
struct plain_shutdown {};

using plain_event =
    std::variant<claim_granted, claim_exists, claim_refused, call_answered, call_failed,
                 no_upstream, plain_caller_gone, plain_tick, plain_shutdown>;

// Commands.

// Claims the call's key. Exactly one claim event follows.
struct make_claim {};

// Sends the call to an upstream that is not in `avoid`.
struct send_call {
    try_number number;
    // Whether to use a new connection.
    bool fresh_connection = false;
    std::vector<base::upstream_id> avoid;
};

// Cancels a try.
struct drop_call {
    try_number number;
};

// Forwards the answer of a try to the caller.
struct forward_answer {
    try_number number;
};

// Gives the caller the stored answer of an earlier call with the same key.
struct replay_answer {
    stored_answer answer;
};

// Refuses the call.
struct refuse_plain {
    request::refusal refusal;
};

// Records how the claimed call ended; in the state `answered`, with the answer of try `number`.
struct settle_claim {
    claim_state state = claim_state::outcome_unknown;
    try_number number;
};

using plain_command = std::variant<make_claim, send_call, drop_call, forward_answer, replay_answer,
                                   refuse_plain, settle_claim>;
using plain_commands = std::vector<plain_command>;

// The maximum number of tries of one call, including those of which nothing was sent.
inline constexpr auto max_plain_tries = std::uint64_t{4};

// Thread-compatible.
class plain_state_machine {
public:
    // Retries take from `service_budget`, which must outlive the state machine.
    plain_state_machine(plain_spec const& requested, retry_budget& service_budget);

    // Returns the first commands. To be called once, before any event.
    [[nodiscard]] auto start(base::time_point now) -> plain_commands;
    // Applies one event and returns the commands to execute.
    [[nodiscard]] auto handle(plain_event const& received, base::time_point now) -> plain_commands;
    // Returns when the next `plain_tick` is due; absent if no deadline is pending.
    [[nodiscard]] auto wake_at() const -> std::optional<base::time_point>;
    // Whether the caller was answered or refused, or disconnected.
    [[nodiscard]] auto ended() const -> bool;
    // Whether the call ended, no try is under way and no claim event is awaited.
    [[nodiscard]] auto drained() const -> bool;

private:
    enum class claim_stage { none, requested, held, settled };

    auto on(claim_granted const& granted, base::time_point now) -> void;
    auto on(claim_exists const& existing, base::time_point now) -> void;
    auto on(claim_refused const& refused, base::time_point now) -> void;
    auto on(call_answered const& answered, base::time_point now) -> void;
    auto on(call_failed const& failed, base::time_point now) -> void;
    auto on(no_upstream const& none, base::time_point now) -> void;
    auto on(plain_caller_gone const& gone, base::time_point now) -> void;
    auto on(plain_tick const& passed, base::time_point now) -> void;
    auto on(plain_shutdown const& ordered, base::time_point now) -> void;

    auto send() -> void;
    auto retry_or_refuse(base::time_point now) -> void;
    auto refuse(refusal_type type, outcome known, std::optional<base::time_point> retry_at) -> void;
    auto end_without_answer(refusal_type type, std::optional<base::time_point> retry_at) -> void;
    auto drop_live_try() -> void;
    auto settle(claim_state state) -> void;
    [[nodiscard]] auto known_outcome() const -> outcome;

    plain_spec spec;
    retry_budget* budget;
    claim_stage claim = claim_stage::none;
    bool caller_done = false;
    try_number latest;
    // The try whose answer is awaited.
    std::optional<try_number> live;
    // Tries that may have reached an upstream, even in part.
    std::int64_t sent = 0;
    std::vector<base::upstream_id> avoid;
    plain_commands out;
};

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_PLAIN_STATE_MACHINE_H_

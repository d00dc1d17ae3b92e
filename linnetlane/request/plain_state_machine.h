// The life of one call to a plain service, as a state machine without I/O and clock.
//
// A repeatable call is sent again when it fails, within the service's retry budget. A call that may
// not be repeated is sent at most once: with an idempotency key only after a claim was granted, and
// without one on a connection of its own, so that a failure to connect proves that nothing was
// sent. Once a byte of it may have left, its outcome is unknown until the upstream answers.
//
//   auto life = plain_state_machine{spec, budget};
//   run(life.start(now));
//   while (!life.drained()) {
//       run(life.handle(mailbox.next(life.wake_at()), now));
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

// Counts the sends of one plain call, from 1.
using try_number = base::basic_number<struct try_tag>;

struct plain_spec {
    bool repeatable = false;
    // Whether the call carries an idempotency key; not looked at if it is repeatable.
    bool keyed = false;
    base::fraction retry_share{0.1};
    base::time_point deadline;
};

// ---- Events ----

// The upstream answered the call as a whole; what status it chose is the caller's affair.
struct call_answered {
    try_number number;
};

struct call_failed {
    try_number number;
    base::upstream_id upstream;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

// No upstream is left that the call could go to; nothing of this try was sent.
struct no_upstream {
    try_number number;
};

struct plain_caller_gone {};
struct plain_tick {};
// The time to finish what was accepted has run out.
struct plain_shutdown {};

using plain_event =
    std::variant<claim_granted, claim_exists, claim_refused, call_answered, call_failed,
                 no_upstream, plain_caller_gone, plain_tick, plain_shutdown>;

// ---- Commands ----

// Claims the call's key; answered by exactly one claim event.
struct make_claim {};

// Sends the call to an upstream that isn't in `avoid`.
struct send_call {
    try_number number;
    // On a connection that nothing was sent on before.
    bool fresh_connection = false;
    std::vector<base::upstream_id> avoid;
};

// Ends a try; its answer isn't wanted any more.
struct drop_call {
    try_number number;
};

// Passes the answer of a try on to the caller.
struct forward_answer {
    try_number number;
};

// Gives the caller what an earlier call with the key was answered.
struct replay_answer {
    stored_answer answer;
};

struct refuse_plain {
    request::refusal refusal;
};

// Records how the claimed call ended; with `answered`, the answer of the try `number`.
struct settle_claim {
    claim_state state = claim_state::outcome_unknown;
    try_number number;
};

using plain_command = std::variant<make_claim, send_call, drop_call, forward_answer, replay_answer,
                                   refuse_plain, settle_claim>;
using plain_commands = std::vector<plain_command>;

// The most sends of one repeatable call.
inline constexpr auto most_plain_tries = std::uint64_t{4};

// Thread-compatible.
class plain_state_machine {
public:
    // Retries take from `service_budget`, which outlives the machine.
    plain_state_machine(plain_spec const& asked, retry_budget& service_budget);

    [[nodiscard]] auto start(base::time_point now) -> plain_commands;
    [[nodiscard]] auto handle(plain_event const& happened, base::time_point now) -> plain_commands;
    // When the next `plain_tick` is due.
    [[nodiscard]] auto wake_at() const -> std::optional<base::time_point>;
    // Whether the caller has all it gets, or left.
    [[nodiscard]] auto ended() const -> bool;
    // Whether it ended, and nothing is left to be done.
    [[nodiscard]] auto drained() const -> bool;

private:
    enum class claim_stage { none, asked, held, settled };

    auto on(claim_granted const& granted, base::time_point now) -> void;
    auto on(claim_exists const& already, base::time_point now) -> void;
    auto on(claim_refused const& refused, base::time_point now) -> void;
    auto on(call_answered const& answered, base::time_point now) -> void;
    auto on(call_failed const& failed, base::time_point now) -> void;
    auto on(no_upstream const& none, base::time_point now) -> void;
    auto on(plain_caller_gone const& gone, base::time_point now) -> void;
    auto on(plain_tick const& passed, base::time_point now) -> void;
    auto on(plain_shutdown const& ordered, base::time_point now) -> void;

    auto send() -> void;
    auto retry_or_refuse(base::time_point now) -> void;
    auto refuse(refusal_type type, outcome what, std::optional<base::time_point> retry_at) -> void;
    auto give_up(refusal_type type, std::optional<base::time_point> retry_at) -> void;
    auto drop_live() -> void;
    auto settle(claim_state state) -> void;
    [[nodiscard]] auto what_is_known() const -> outcome;

    plain_spec spec;
    retry_budget* budget;
    claim_stage claim = claim_stage::none;
    bool over = false;
    try_number latest;
    // The try whose answer is waited for.
    std::optional<try_number> live;
    // Tries of which a byte may have reached an upstream.
    std::int64_t sent = 0;
    std::vector<base::upstream_id> avoid;
    plain_commands out;
};

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_PLAIN_STATE_MACHINE_H_

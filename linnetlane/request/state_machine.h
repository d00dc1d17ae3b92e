// State machine of one model request. It performs no I/O and reads no clock.
//
// It takes events, each with the time at which it occurred, and returns commands to execute.
// Whatever the events, the request reaches exactly one terminal state, and every attempt that was
// acquired from a cell is released once: after its engines confirmed that they hold no state for
// it, or after the timeout of that confirmation.
//
//   auto machine = state_machine{spec, timeouts, budget};
//   run(machine.start(now));
//   while (!machine.drained()) {
//       run(machine.handle(mailbox.next(machine.wake_at()), now));
//   }
//
// Answers are matched by request, attempt and token offset. Tokens that don't belong to the live
// attempt, or don't continue the delivered text, never reach the caller.

#ifndef LINNETLANE_REQUEST_STATE_MACHINE_H_
#define LINNETLANE_REQUEST_STATE_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/request/refusal.h"
#include "linnetlane/request/retry_budget.h"
#include "linnetlane/upstream/engine_types.h"

namespace linnetlane::request {

// What a request asks for.
struct request_spec {
    base::request_id id;
    base::caller_id caller;
    base::priority_class priority = base::priority_class::interactive;
    base::token_count prompt;
    base::token_count output_bound;
    std::vector<base::prefix_hash> prefixes;
    // If false, at most one prefill and one decode are ever sent.
    bool repeatable = true;
    // Number of retries, less than one, that each accepted request adds to the service's budget.
    base::fraction retry_share{0.1};
    // A request without a grant at this time is refused.
    base::time_point first_token_deadline;
    // The request is ended at this time if its answer is not complete.
    base::time_point answer_deadline;
};

// How long each step may take before it counts as failed, and delays before retries.
struct step_timeouts {
    // From the send of a prefill to its answer.
    base::duration prefill = std::chrono::seconds{10};
    // How long a prefill engine keeps its result.
    base::duration result_kept = std::chrono::milliseconds{800};
    // From the send of a decode to its first token; shorter if the kept result expires earlier.
    base::duration first_token = std::chrono::seconds{5};
    // Between two chunks of an answer.
    base::duration between_chunks = std::chrono::seconds{2};
    // From a cancel to its confirmation by the engine.
    base::duration cancel = std::chrono::seconds{3};
    // From a repeated acquire of an accepted request to the next token.
    base::duration resume = std::chrono::milliseconds{1800};
    // Shortest delay before a lost or refused acquire is sent again.
    base::duration acquire_backoff = std::chrono::milliseconds{50};
};

// The number of failed attempts after which a request is ended, and the maximum number of acquires
// that are sent before the first grant.
inline constexpr auto max_attempts = std::uint64_t{8};

// Progress is reported each time this many tokens were received.
inline constexpr auto tokens_per_progress_report = base::token_count{16};

// Events.

// The acquire of an attempt was lost with its keeper; it will not be answered.
struct keeper_lost {
    cell::attempt attempt;
};

// The grant of an attempt is now valid until `deadline`.
struct grant_renewed {
    cell::attempt attempt;
    base::time_point deadline;
};

// A prefill is done; its engine keeps the result for import through `transfer`.
struct prefill_done {
    cell::attempt attempt;
    upstream::kv_transfer transfer;
};

// The prefill call ended without a result.
struct prefill_failed {
    cell::attempt attempt;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

// The decode engine reports that the import of the KV cache has stalled.
struct transfer_stalled {
    cell::attempt attempt;
};

// The tokens from `offset` to `offset + count`, counted from the start of the whole answer.
struct token_chunk {
    cell::attempt attempt;
    base::token_count offset;
    base::token_count count;
    std::string text;
};

// The decode engine ended the answer. `total` is the offset at its end, if the engine reported it.
struct decode_finished {
    cell::attempt attempt;
    upstream::finish_reason reason = upstream::finish_reason::stop;
    std::optional<base::token_count> total;
};

// The decode call ended before the answer was complete.
struct decode_failed {
    cell::attempt attempt;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

// The caller disconnected.
struct caller_gone {};

// The engine confirmed that it no longer holds state or memory for the attempt's call.
struct cancel_confirmed {
    cell::attempt attempt;
    upstream::call_role role = upstream::call_role::prefill;
};

// Time has passed; a deadline may have expired.
struct tick {};

// The host shuts down and its drain time is over; the request ends now.
struct shutdown {};

using event =
    std::variant<cell::grant, cell::decode_ready, cell::refuse, keeper_lost, grant_renewed,
                 prefill_done, prefill_failed, transfer_stalled, token_chunk, decode_finished,
                 decode_failed, caller_gone, cancel_confirmed, tick, shutdown>;

// Commands.

// Asks the cell for engines.
struct send_acquire {
    cell::acquire acquire;
};

// Sends the prefill. Must not be sent after `grant_deadline`.
struct start_prefill {
    cell::attempt attempt;
    base::upstream_id upstream;
    base::time_point grant_deadline;
};

// Starts the decode at token offset `resume_from`, with the KV cache from `transfer` if there is
// one. Must not be sent after `grant_deadline`.
struct start_decode {
    cell::attempt attempt;
    base::upstream_id upstream;
    std::optional<upstream::kv_transfer> transfer;
    base::token_count resume_from;
    base::time_point grant_deadline;
};

// Cancels a call at its engine, whether or not the call has arrived there. `cancel_confirmed`
// follows if the engine confirms it.
struct cancel_call {
    cell::attempt attempt;
    upstream::call_role role = upstream::call_role::prefill;
    base::upstream_id upstream;
};

// Delivers the next tokens of the answer to the caller.
struct deliver {
    base::token_count offset;
    base::token_count count;
    std::string text;
};

// Completes the answer.
struct finish_answer {
    upstream::finish_reason reason = upstream::finish_reason::stop;
};

// Refuses the request; no part of an answer was delivered.
struct refuse_caller {
    request::refusal refusal;
};

// Cuts off the answer after a part of it was delivered.
struct cut_answer {
    request::refusal refusal;
};

// Releases an attempt to its cell.
struct release_attempt {
    cell::release release;
};

// Progress of the live attempt, to be sent with the next renewal.
struct report_progress {
    cell::renewal renewal;
};

using command =
    std::variant<send_acquire, start_prefill, start_decode, cancel_call, deliver, finish_answer,
                 refuse_caller, cut_answer, release_attempt, report_progress>;

using commands = std::vector<command>;

// How a request ended for its caller.
enum class terminal { completed, refused, cut, caller_gone };

// Thread-compatible.
class state_machine {
public:
    // Retries take from `service_budget`, which must outlive the state machine.
    state_machine(request_spec requested, request::step_timeouts limits,
                  retry_budget& service_budget);

    // Returns the first commands. To be called once, before any event.
    [[nodiscard]] auto start(base::time_point now) -> commands;
    // Applies one event and returns the commands to execute.
    [[nodiscard]] auto handle(event const& received, base::time_point now) -> commands;
    // Returns when the next `tick` is due; absent if no deadline is pending.
    [[nodiscard]] auto wake_at() const -> std::optional<base::time_point>;
    // Returns how the request ended; absent before that.
    [[nodiscard]] auto ended() const -> std::optional<terminal>;
    // Whether the request ended and holds nothing at engines or cells; further events have no
    // effect.
    [[nodiscard]] auto drained() const -> bool;
    // Returns the number of tokens delivered so far.
    [[nodiscard]] auto delivered() const -> base::token_count;
    // Returns the number of attempts made so far.
    [[nodiscard]] auto attempts() const -> base::attempt_number;

private:
    // The request's current step. `backing_off` waits before the next acquire; `ended` has a
    // terminal state.
    enum class stage {
        acquiring,
        backing_off,
        booked,
        prefilling,
        waiting_for_decode,
        decoding,
        ended
    };

    // A call is `kept` while its prefill is done and the engine still keeps the result.
    enum class call_state { running, kept, cancelling };

    // A call for which an engine may hold memory or a place in its queue.
    struct open_call {
        base::attempt_number attempt;
        // The attempt whose release waits for this call; none for a kept result that a later
        // attempt may use.
        std::optional<base::attempt_number> owner;
        upstream::call_role role = upstream::call_role::prefill;
        base::upstream_id upstream;
        call_state state = call_state::running;
        base::time_point cancel_deadline;
    };

    // The result of a prefill that no decode has imported yet.
    struct kept_result {
        base::upstream_id by;
        upstream::kv_transfer transfer;
        base::time_point until;
        // Number of decode engines that were asked to import it. One that failed during the import
        // may have imported it, so a later one that can't import it is not added to `avoid`.
        std::uint64_t offers = 0;
    };

    // The attempt whose answers are accepted.
    struct live_attempt {
        base::attempt_number number;
        std::optional<cell::grant> grant;
        base::time_point grant_deadline;
        bool ready = false;
        std::optional<base::time_point> prefill_sent;
        std::optional<base::time_point> prefill_ended;
        std::optional<base::time_point> decode_sent;
        std::optional<base::time_point> first_token;
        base::time_point last_token;
        base::token_count produced;
        base::token_count reported;
        // When the current step counts as failed.
        base::time_point step_deadline;
    };

    // An attempt that has ended and is not yet released.
    struct closing_attempt {
        cell::release release;
    };

    auto on(cell::grant const& granted, base::time_point now) -> void;
    auto on(cell::decode_ready const& ready, base::time_point now) -> void;
    auto on(cell::refuse const& refused, base::time_point now) -> void;
    auto on(keeper_lost const& lost, base::time_point now) -> void;
    auto on(grant_renewed const& renewed, base::time_point now) -> void;
    auto on(prefill_done const& done, base::time_point now) -> void;
    auto on(prefill_failed const& failed, base::time_point now) -> void;
    auto on(transfer_stalled const& stalled, base::time_point now) -> void;
    auto on(token_chunk const& chunk, base::time_point now) -> void;
    auto on(decode_finished const& end, base::time_point now) -> void;
    auto on(decode_failed const& failed, base::time_point now) -> void;
    auto on(caller_gone const& gone, base::time_point now) -> void;
    auto on(cancel_confirmed const& confirmed, base::time_point now) -> void;
    auto on(tick const& passed, base::time_point now) -> void;
    auto on(shutdown const& ordered, base::time_point now) -> void;

    auto acquire(base::time_point now) -> void;
    auto acquire_later(base::time_point at, refusal_type reason, base::time_point now) -> void;
    auto send_prefill(base::time_point now) -> void;
    auto send_decode_if_ready(base::time_point now) -> void;
    auto enter_decoding(base::time_point now) -> void;
    auto handle_call_failure(std::vector<open_call>::iterator call, upstream::send_state state,
                             base::time_point now) -> void;
    auto fail_reoffered_import(base::time_point now) -> bool;
    auto record_first_token(base::time_point now) -> void;
    auto complete(upstream::finish_reason reason, base::time_point now) -> void;

    auto fail_attempt(cell::ending ending, std::optional<base::upstream_id> const& failed,
                      base::time_point now) -> void;
    auto may_retry(base::time_point now) const -> bool;
    auto end_request(terminal state, refusal_type reason, std::optional<base::time_point> retry_at,
                     base::time_point now) -> void;
    auto close_live_attempt(cell::ending ending, bool keep_result, base::time_point now) -> void;
    auto drop_kept_result(base::time_point now) -> void;
    auto cancel(open_call& call, base::time_point now) -> void;
    auto release_closed_attempts() -> void;
    auto expire_cancels(base::time_point now) -> void;
    auto check_deadlines(base::time_point now) -> void;
    auto check_step(base::time_point now) -> void;
    auto emit_progress(cell::phase phase) -> void;

    [[nodiscard]] auto is_live(cell::attempt const& attempt) const -> bool;
    [[nodiscard]] auto find_call(cell::attempt const& attempt, upstream::call_role role)
        -> std::vector<open_call>::iterator;
    [[nodiscard]] auto find_running(cell::attempt const& attempt, upstream::call_role role)
        -> std::vector<open_call>::iterator;
    [[nodiscard]] auto attempt_id(base::attempt_number number) const -> cell::attempt;
    [[nodiscard]] auto make_observation() const -> cell::observation;
    [[nodiscard]] auto known_outcome() const -> outcome;
    [[nodiscard]] auto holds_usable_result(base::time_point now) const -> bool;

    request_spec spec;
    request::step_timeouts timeouts;
    stage current = stage::acquiring;
    std::optional<terminal> final_state;
    base::attempt_number latest;
    std::uint64_t failed_attempts = 0;
    std::optional<live_attempt> live;
    std::vector<closing_attempt> closing;
    std::vector<open_call> calls;
    std::optional<kept_result> kept;
    std::vector<base::upstream_id> avoid;
    base::token_count delivered_tokens;
    base::time_point acquire_at;
    // Whether a cell has granted engines; the request counts as accepted from then on.
    bool accepted = false;
    // Calls that may have reached an upstream, even in part.
    std::int64_t prefills_sent = 0;
    std::int64_t decodes_sent = 0;
    retry_budget* budget;
    commands out;
};

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_STATE_MACHINE_H_

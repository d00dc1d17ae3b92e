// The life of one model request, as a state machine without I/O and clock.
//
// It is told events with the time at which they came, and answers with commands. Whatever happens,
// the request reaches one terminal state, and every attempt that was acquired from a cell is
// released once, after its engines confirmed that they hold nothing of it or after the time for
// that ran out.
//
//   auto life = state_machine{spec, timeouts, budget};
//   run(life.start(now));
//   while (!life.drained()) {
//       run(life.handle(mailbox.next(life.wake_at()), now));
//   }
//
// Answers are matched by request, attempt and token offset: what doesn't belong to the live
// attempt, or doesn't continue the text that was delivered, never reaches the caller.

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
    // If not, at most one prefill and one decode are ever sent.
    bool repeatable = true;
    // Retries that its service earns by accepting it.
    base::fraction retry_share{0.1};
    // A request without a grant by then is refused.
    base::time_point first_token_deadline;
    // The answer is whole by then, or it is ended.
    base::time_point answer_deadline;
};

// How long the machine waits for each step before it counts as failed.
struct step_timeouts {
    // For the answer of a prefill.
    base::duration prefill = std::chrono::seconds{10};
    // How long a prefill engine keeps its result.
    base::duration result_kept = std::chrono::milliseconds{800};
    // From the start of a decode to its first token, when no kept result sets a shorter time.
    base::duration first_token = std::chrono::seconds{5};
    // Between two parts of an answer.
    base::duration between_chunks = std::chrono::seconds{2};
    // For an engine to confirm a cancel.
    base::duration cancel = std::chrono::seconds{3};
    // From a failed try of an accepted request to the next token.
    base::duration resume = std::chrono::milliseconds{1800};
    // Before a lost or refused question is asked again.
    base::duration ask_pause = std::chrono::milliseconds{50};
};

// The most tries with upstreams that may fail before the request is ended, and the most questions
// that may be lost before the first grant.
inline constexpr auto most_tries = std::uint64_t{8};

// A renewal is noted each time this many tokens have come.
inline constexpr auto tokens_per_progress_note = base::token_count{16};

// ---- Events ----

// The question of an attempt was lost with its keeper; no answer to it will come.
struct keeper_lost {
    cell::attempt attempt;
};

// The grant of an attempt now holds until `deadline`.
struct grant_renewed {
    cell::attempt attempt;
    base::time_point deadline;
};

struct prefill_done {
    cell::attempt attempt;
    upstream::kv_transfer transfer;
};

struct prefill_failed {
    cell::attempt attempt;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

// The decode engine reports that the import of the KV cache makes no headway.
struct transfer_stalled {
    cell::attempt attempt;
};

// The tokens from `offset`, counted from the start of the whole answer, to `offset + count`.
struct token_chunk {
    cell::attempt attempt;
    base::token_count offset;
    base::token_count count;
    std::string text;
};

// The decode engine ended the answer. `total` is the offset at its end, if the engine said so.
struct decode_finished {
    cell::attempt attempt;
    upstream::finish_reason reason = upstream::finish_reason::stop;
    std::optional<base::token_count> total;
};

// The decode call ended before the answer did.
struct decode_failed {
    cell::attempt attempt;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

struct caller_gone {};

// The engine holds nothing of the attempt's call any more.
struct cancel_confirmed {
    cell::attempt attempt;
    upstream::call_role role = upstream::call_role::prefill;
};

// A deadline may have come.
struct tick {};

// The time to finish what was accepted has run out; the request ends now.
struct shutdown {};

using event =
    std::variant<cell::grant, cell::decode_ready, cell::refuse, keeper_lost, grant_renewed,
                 prefill_done, prefill_failed, transfer_stalled, token_chunk, decode_finished,
                 decode_failed, caller_gone, cancel_confirmed, tick, shutdown>;

// ---- Commands ----

// Asks the cell for engines.
struct send_acquire {
    cell::acquire acquire;
};

// Sends the prefill. Not to be sent once `grant_deadline` has passed.
struct start_prefill {
    cell::attempt attempt;
    base::upstream_id upstream;
    base::time_point grant_deadline;
};

// Starts the decode at token offset `resume_from`, with the KV cache from `transfer` if there is
// one. Not to be sent once `grant_deadline` has passed.
struct start_decode {
    cell::attempt attempt;
    base::upstream_id upstream;
    std::optional<upstream::kv_transfer> transfer;
    base::token_count resume_from;
    base::time_point grant_deadline;
};

// Ends a call at its engine, whether or not it arrived there yet. `cancel_confirmed` follows if
// the engine could be told.
struct cancel_call {
    cell::attempt attempt;
    upstream::call_role role = upstream::call_role::prefill;
    base::upstream_id upstream;
};

// The next part of the answer.
struct deliver {
    base::token_count offset;
    base::token_count count;
    std::string text;
};

// The answer is whole.
struct finish_answer {
    upstream::finish_reason reason = upstream::finish_reason::stop;
};

// No answer; nothing of one was delivered.
struct refuse_caller {
    request::refusal refusal;
};

// The answer breaks off after a part of it was delivered.
struct cut_answer {
    request::refusal refusal;
};

// Gives an attempt back to its cell.
struct release_attempt {
    cell::release release;
};

// Where the live attempt stands, for the next renewal.
struct report_progress {
    cell::renewal renewal;
};

using command =
    std::variant<send_acquire, start_prefill, start_decode, cancel_call, deliver, finish_answer,
                 refuse_caller, cut_answer, release_attempt, report_progress>;

using commands = std::vector<command>;

// How a request ended towards its caller.
enum class terminal { completed, refused, cut, caller_gone };

// Thread-compatible.
class state_machine {
public:
    // Retries take from `service_budget`, which outlives the machine.
    state_machine(request_spec asked, request::step_timeouts limits, retry_budget& service_budget);

    // The first commands. Called once, before any event.
    [[nodiscard]] auto start(base::time_point now) -> commands;
    // Takes one event.
    [[nodiscard]] auto handle(event const& happened, base::time_point now) -> commands;
    // When the next `tick` is due.
    [[nodiscard]] auto wake_at() const -> std::optional<base::time_point>;
    // How the request ended, once it did.
    [[nodiscard]] auto ended() const -> std::optional<terminal>;
    // Whether it ended and holds nothing any more: no event makes a difference from then on.
    [[nodiscard]] auto drained() const -> bool;
    // Tokens delivered so far.
    [[nodiscard]] auto delivered() const -> base::token_count;
    // The attempts made so far.
    [[nodiscard]] auto attempts() const -> base::attempt_number;

private:
    // Where the request stands. `pausing` waits to ask again; `over` has a terminal state.
    enum class stage { asking, pausing, booked, prefilling, waiting_for_decode, decoding, over };

    // A call is `kept` when its prefill is done and the engine still has the result.
    enum class call_state { running, kept, cancelling };

    // A call that an engine may hold something of.
    struct open_call {
        base::attempt_number attempt;
        // The attempt whose release waits for this call; none for a result that is moved on.
        std::optional<base::attempt_number> owner;
        upstream::call_role role = upstream::call_role::prefill;
        base::upstream_id upstream;
        call_state state = call_state::running;
        base::time_point cancel_deadline;
    };

    // The result of a prefill that a decode has not yet imported.
    struct kept_result {
        base::upstream_id by;
        upstream::kv_transfer transfer;
        base::time_point until;
        // Decode engines that were told of it. One that began the import and died may have used it
        // up, so a later one that can't import it is not to blame.
        std::uint64_t offers = 0;
    };

    // The attempt that answers are taken from.
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
        base::token_count noted;
        // The end of patience with the step under way.
        base::time_point step_deadline;
    };

    // An attempt that is over and not yet released.
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

    auto ask(base::time_point now) -> void;
    auto ask_later(base::time_point at, refusal_type reason, base::time_point now) -> void;
    auto send_prefill(base::time_point now) -> void;
    auto send_decode_if_ready(base::time_point now) -> void;
    auto note_decode_step(base::time_point now) -> void;
    auto note_call_failed(std::vector<open_call>::iterator call, upstream::send_state state,
                          base::time_point now) -> void;
    auto give_up_used_result(base::time_point now) -> bool;
    auto first_token_came(base::time_point now) -> void;
    auto complete(upstream::finish_reason reason, base::time_point now) -> void;

    auto give_up(cell::ending ending, std::optional<base::upstream_id> const& failed,
                 base::time_point now) -> void;
    auto may_try_again(base::time_point now) const -> bool;
    auto end(terminal how, refusal_type why, std::optional<base::time_point> retry_at,
             base::time_point now) -> void;
    auto close_live(cell::ending ending, bool keep_result, base::time_point now) -> void;
    auto drop_kept(base::time_point now) -> void;
    auto cancel(open_call& call, base::time_point now) -> void;
    auto release_what_is_clear() -> void;
    auto expire_cancels(base::time_point now) -> void;
    auto check_deadlines(base::time_point now) -> void;
    auto check_step(base::time_point now) -> void;
    auto progress(cell::phase phase) -> void;

    [[nodiscard]] auto is_live(cell::attempt const& attempt) const -> bool;
    [[nodiscard]] auto find_call(cell::attempt const& attempt, upstream::call_role role)
        -> std::vector<open_call>::iterator;
    [[nodiscard]] auto find_running(cell::attempt const& attempt, upstream::call_role role)
        -> std::vector<open_call>::iterator;
    [[nodiscard]] auto name(base::attempt_number number) const -> cell::attempt;
    [[nodiscard]] auto observe() const -> cell::observation;
    [[nodiscard]] auto what_is_known() const -> outcome;
    [[nodiscard]] auto holds_usable_result(base::time_point now) const -> bool;

    request_spec spec;
    request::step_timeouts timeouts;
    stage current = stage::asking;
    std::optional<terminal> how_it_ended;
    base::attempt_number latest;
    std::uint64_t tries_failed = 0;
    std::optional<live_attempt> live;
    std::vector<closing_attempt> closing;
    std::vector<open_call> calls;
    std::optional<kept_result> kept;
    std::vector<base::upstream_id> avoid;
    base::token_count delivered_tokens;
    base::time_point ask_at;
    // Whether a cell ever granted engines: from then on the request is accepted.
    bool accepted = false;
    // Calls of which a byte may have reached an upstream.
    std::int64_t prefills_sent = 0;
    std::int64_t decodes_sent = 0;
    retry_budget* budget;
    commands out;
};

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_STATE_MACHINE_H_

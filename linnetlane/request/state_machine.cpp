#include "linnetlane/request/state_machine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace linnetlane::request {

namespace {

// A transfer counts as stalled when this fraction (1/4) of the kept result's lifetime is left, so
// that another decode engine can still import the result.
constexpr auto stall_reserve_divisor = 4;

// Whether a later acquire may be granted.
auto is_retryable(cell::refusal reason) -> bool {
    return reason != cell::refusal::too_large;
}

auto keep_earlier(std::optional<base::time_point>& earliest, base::time_point candidate) -> void {
    earliest = earliest ? std::min(*earliest, candidate) : candidate;
}

}  // namespace

state_machine::state_machine(request_spec requested, request::step_timeouts limits,
                             retry_budget& service_budget)
    : spec(std::move(requested)), timeouts(limits), budget(&service_budget) {}

auto state_machine::start(base::time_point now) -> commands {
    this->acquire(now);
    return std::exchange(this->out, {});
}

auto state_machine::handle(event const& received, base::time_point now) -> commands {
    std::visit([&](auto const& what) { this->on(what, now); }, received);
    this->release_closed_attempts();
    return std::exchange(this->out, {});
}

auto state_machine::wake_at() const -> std::optional<base::time_point> {
    auto earliest = std::optional<base::time_point>{};
    for (auto const& call : this->calls) {
        if (call.state == call_state::cancelling) {
            keep_earlier(earliest, call.cancel_deadline);
        }
    }
    if (this->current == stage::ended) {
        return earliest;
    }
    keep_earlier(earliest, this->spec.answer_deadline);
    if (!this->accepted) {
        keep_earlier(earliest, this->spec.first_token_deadline);
    }
    if (this->current == stage::backing_off) {
        keep_earlier(earliest, this->acquire_at);
    }
    if (this->current == stage::booked) {
        keep_earlier(earliest, this->live->grant->prefill_start);
    }
    if (this->current == stage::prefilling || this->current == stage::decoding) {
        keep_earlier(earliest, this->live->step_deadline);
    }
    if (this->current == stage::waiting_for_decode && this->kept) {
        keep_earlier(earliest, this->kept->until);
    }
    if (this->live && this->live->grant) {
        keep_earlier(earliest, this->live->grant_deadline);
    }
    return earliest;
}

auto state_machine::ended() const -> std::optional<terminal> {
    return this->final_state;
}

auto state_machine::drained() const -> bool {
    return this->current == stage::ended && this->calls.empty() && this->closing.empty();
}

auto state_machine::delivered() const -> base::token_count {
    return this->delivered_tokens;
}

auto state_machine::attempts() const -> base::attempt_number {
    return this->latest;
}

// Answers of the cell.

auto state_machine::on(cell::grant const& granted, base::time_point now) -> void {
    if (this->current != stage::acquiring || !this->is_live(granted.attempt)) {
        return;
    }
    if (!this->spec.repeatable && granted.prefill && this->prefills_sent > 0) {
        this->fail_attempt(cell::ending::expired, std::nullopt, now);
        return;
    }
    if (!this->accepted) {
        this->accepted = true;
        this->budget->record_accepted(this->spec.retry_share);
    }
    this->live->grant = granted;
    this->live->grant_deadline = granted.deadline;
    this->live->ready = granted.ready;
    this->emit_progress(cell::phase::granted);
    if (granted.prefill) {
        this->drop_kept_result(now);
        this->current = stage::booked;
    } else {
        this->current = stage::waiting_for_decode;
    }
    this->check_step(now);
}

auto state_machine::on(cell::decode_ready const& ready, base::time_point now) -> void {
    if (!this->is_live(ready.attempt) || !this->live->grant || this->current == stage::decoding) {
        return;
    }
    this->live->grant->decode = ready.decode;
    this->live->ready = true;
    this->check_step(now);
}

auto state_machine::on(cell::refuse const& refused, base::time_point now) -> void {
    if (!this->is_live(refused.attempt) || this->current == stage::decoding) {
        return;
    }
    auto const reason = refusal_type_of(refused.reason);
    if (this->live->grant) {
        if (this->prefills_sent == 0) {
            this->end_request(terminal::refused, reason, refused.retry_at, now);
        } else {
            this->fail_attempt(cell::ending::expired, std::nullopt, now);
        }
        return;
    }
    this->live.reset();
    if (refused.reason == cell::refusal::keeper_starting) {
        // A starting keeper usually becomes ready long before its `retry_at`.
        this->acquire_later(now, reason, now);
        return;
    }
    if (!this->accepted || !is_retryable(refused.reason)) {
        this->end_request(terminal::refused, reason, refused.retry_at, now);
        return;
    }
    this->acquire_later(refused.retry_at, reason, now);
}

auto state_machine::on(keeper_lost const& lost, base::time_point now) -> void {
    if (!this->is_live(lost.attempt) || this->current != stage::acquiring) {
        return;
    }
    this->close_live_attempt(cell::ending::expired, true, now);
    this->acquire_later(now, refusal_type::keeper_starting, now);
}

auto state_machine::on(grant_renewed const& renewed, base::time_point /*now*/) -> void {
    if (this->is_live(renewed.attempt) && this->live->grant) {
        this->live->grant_deadline = std::max(this->live->grant_deadline, renewed.deadline);
    }
}

// Answers of engines.

auto state_machine::on(prefill_done const& done, base::time_point now) -> void {
    auto const call = this->find_running(done.attempt, upstream::call_role::prefill);
    if (call == this->calls.end()) {
        return;
    }
    call->state = call_state::kept;
    this->kept = kept_result{call->upstream, done.transfer, now + this->timeouts.result_kept};
    this->live->prefill_ended = now;
    this->current = stage::waiting_for_decode;
    this->emit_progress(cell::phase::transferring);
    this->check_step(now);
}

auto state_machine::on(prefill_failed const& failed, base::time_point now) -> void {
    auto const call = this->find_call(failed.attempt, upstream::call_role::prefill);
    if (call == this->calls.end() || call->state == call_state::kept) {
        return;
    }
    this->handle_call_failure(call, failed.send_state, now);
}

auto state_machine::on(transfer_stalled const& stalled, base::time_point now) -> void {
    auto const call = this->find_running(stalled.attempt, upstream::call_role::decode);
    if (call == this->calls.end() || this->live->first_token) {
        return;
    }
    auto const decode = call->upstream;
    if (this->fail_reoffered_import(now)) {
        return;
    }
    this->fail_attempt(cell::ending::transfer_stalled, decode, now);
}

auto state_machine::on(token_chunk const& chunk, base::time_point now) -> void {
    auto const call = this->find_running(chunk.attempt, upstream::call_role::decode);
    if (call == this->calls.end()) {
        return;
    }
    auto const end = chunk.offset + chunk.count;
    if (end <= this->delivered_tokens) {
        return;
    }
    if (chunk.offset != this->delivered_tokens) {
        auto const decode = call->upstream;
        this->fail_attempt(cell::ending::decode_failed, decode, now);
        return;
    }
    if (end > this->spec.output_bound) {
        this->complete(upstream::finish_reason::length, now);
        return;
    }
    this->record_first_token(now);
    this->delivered_tokens = end;
    this->live->produced += chunk.count;
    this->live->last_token = now;
    this->live->step_deadline = now + this->timeouts.between_chunks;
    this->out.emplace_back(deliver{chunk.offset, chunk.count, chunk.text});
    if (this->live->produced - this->live->reported >= tokens_per_progress_report) {
        this->emit_progress(cell::phase::decoding);
    }
}

auto state_machine::on(decode_finished const& end, base::time_point now) -> void {
    auto const call = this->find_call(end.attempt, upstream::call_role::decode);
    if (call == this->calls.end()) {
        return;
    }
    if (call->state == call_state::cancelling) {
        this->calls.erase(call);
        return;
    }
    if (end.total.value_or(this->delivered_tokens) != this->delivered_tokens) {
        auto const decode = call->upstream;
        this->fail_attempt(cell::ending::decode_failed, decode, now);
        return;
    }
    this->record_first_token(now);
    this->calls.erase(this->find_call(end.attempt, upstream::call_role::decode));
    this->complete(end.reason, now);
}

auto state_machine::on(decode_failed const& failed, base::time_point now) -> void {
    auto const call = this->find_call(failed.attempt, upstream::call_role::decode);
    if (call != this->calls.end()) {
        this->handle_call_failure(call, failed.send_state, now);
    }
}

auto state_machine::on(cancel_confirmed const& confirmed, base::time_point /*now*/) -> void {
    auto const call = this->find_call(confirmed.attempt, confirmed.role);
    if (call != this->calls.end() && call->state == call_state::cancelling) {
        this->calls.erase(call);
    }
}

// Events of the caller, the clock and the host.

auto state_machine::on(caller_gone const& /*gone*/, base::time_point now) -> void {
    this->end_request(terminal::caller_gone, refusal_type::cancelled, std::nullopt, now);
}

auto state_machine::on(tick const& /*passed*/, base::time_point now) -> void {
    this->expire_cancels(now);
    this->check_deadlines(now);
}

auto state_machine::on(shutdown const& /*ordered*/, base::time_point now) -> void {
    this->end_request(terminal::refused, refusal_type::shutting_down, now, now);
}

// Steps of an attempt.

auto state_machine::acquire(base::time_point now) -> void {
    this->latest = this->latest.next();
    this->live = live_attempt{};
    this->live->number = this->latest;
    this->current = stage::acquiring;
    auto message = cell::acquire{};
    message.attempt = this->attempt_id(this->latest);
    message.caller = this->spec.caller;
    message.priority = this->spec.priority;
    message.prompt = this->spec.prompt + this->delivered_tokens;
    message.output_bound = this->spec.output_bound - this->delivered_tokens;
    message.prefixes = this->spec.prefixes;
    message.first_token_deadline = this->spec.first_token_deadline;
    if (this->accepted) {
        message.first_token_deadline =
            std::max(message.first_token_deadline, now + this->timeouts.resume);
    }
    message.avoid = this->avoid;
    if (this->holds_usable_result(now)) {
        message.kept_by = this->kept->by;
        message.kept_until = this->kept->until;
    } else {
        this->drop_kept_result(now);
    }
    this->out.emplace_back(send_acquire{std::move(message)});
}

auto state_machine::acquire_later(base::time_point at, refusal_type reason, base::time_point now)
    -> void {
    this->acquire_at = std::max(at, now + this->timeouts.acquire_backoff);
    auto const last = this->accepted ? this->spec.answer_deadline : this->spec.first_token_deadline;
    auto const attempts_left = this->accepted || this->latest.value < max_attempts;
    if (this->acquire_at >= last || !attempts_left) {
        this->end_request(terminal::refused, reason, this->acquire_at, now);
        return;
    }
    auto const needs_kept_result = !this->spec.repeatable && this->prefills_sent > 0;
    if (this->kept && this->kept->until <= this->acquire_at) {
        this->drop_kept_result(now);
    }
    if (needs_kept_result && !this->kept) {
        this->end_request(terminal::refused, reason, std::nullopt, now);
        return;
    }
    this->current = stage::backing_off;
}

auto state_machine::send_prefill(base::time_point now) -> void {
    auto const attempt = this->attempt_id(this->live->number);
    auto const upstream = *this->live->grant->prefill;
    ++this->prefills_sent;
    this->calls.push_back(open_call{.attempt = this->live->number,
                                    .owner = this->live->number,
                                    .role = upstream::call_role::prefill,
                                    .upstream = upstream,
                                    .state = call_state::running,
                                    .cancel_deadline = {}});
    this->current = stage::prefilling;
    this->live->prefill_sent = now;
    this->live->step_deadline = now + this->timeouts.prefill;
    this->out.emplace_back(start_prefill{attempt, upstream, this->live->grant_deadline});
    this->emit_progress(cell::phase::prefilling);
}

auto state_machine::send_decode_if_ready(base::time_point now) -> void {
    if (this->kept && this->kept->until <= now) {
        this->fail_attempt(cell::ending::transfer_stalled, std::nullopt, now);
        return;
    }
    if (!this->live->ready) {
        return;
    }
    auto const upstream = this->live->grant->decode;
    ++this->decodes_sent;
    this->calls.push_back(open_call{.attempt = this->live->number,
                                    .owner = this->live->number,
                                    .role = upstream::call_role::decode,
                                    .upstream = upstream,
                                    .state = call_state::running,
                                    .cancel_deadline = {}});
    auto transfer = std::optional<upstream::kv_transfer>{};
    if (this->kept) {
        transfer = this->kept->transfer;
        ++this->kept->offers;
    }
    this->out.emplace_back(start_decode{this->attempt_id(this->live->number), upstream,
                                        std::move(transfer), this->delivered_tokens,
                                        this->live->grant_deadline});
    this->enter_decoding(now);
}

auto state_machine::enter_decoding(base::time_point now) -> void {
    this->current = stage::decoding;
    this->live->decode_sent = now;
    this->live->step_deadline = now + this->timeouts.first_token;
    if (!this->kept) {
        return;
    }
    auto const stalled_at = this->kept->until - this->timeouts.result_kept / stall_reserve_divisor;
    if (stalled_at > now) {
        this->live->step_deadline = std::min(this->live->step_deadline, stalled_at);
    }
}

auto state_machine::record_first_token(base::time_point now) -> void {
    if (this->live->first_token) {
        return;
    }
    this->live->first_token = now;
    this->live->last_token = now;
    // The first token shows that the import is complete; the engine no longer keeps the result.
    this->kept.reset();
    std::erase_if(this->calls,
                  [](open_call const& call) { return call.state == call_state::kept; });
    this->emit_progress(cell::phase::decoding);
}

auto state_machine::complete(upstream::finish_reason reason, base::time_point now) -> void {
    this->final_state = terminal::completed;
    this->current = stage::ended;
    this->out.emplace_back(finish_answer{reason});
    this->close_live_attempt(cell::ending::completed, false, now);
}

// Handles a call that failed and was not cancelled. If it may have been sent, its engine is told to
// cancel it.
auto state_machine::handle_call_failure(std::vector<open_call>::iterator call,
                                        upstream::send_state state, base::time_point now) -> void {
    auto const role = call->role;
    auto const upstream = call->upstream;
    auto const was_running = call->state == call_state::running;
    if (state == upstream::send_state::not_sent) {
        --(role == upstream::call_role::prefill ? this->prefills_sent : this->decodes_sent);
        if (was_running && role == upstream::call_role::decode && this->kept) {
            --this->kept->offers;
        }
        this->calls.erase(call);
    }
    if (!was_running) {
        return;
    }
    auto const may_have_imported =
        role == upstream::call_role::decode && state != upstream::send_state::not_sent;
    if (may_have_imported && this->fail_reoffered_import(now)) {
        return;
    }
    this->fail_attempt(role == upstream::call_role::prefill ? cell::ending::prefill_failed
                                                            : cell::ending::decode_failed,
                       upstream, now);
}

// If the kept result was offered to another decode engine before, fails the attempt without adding
// the current engine to `avoid`: the earlier one may have imported the result, which can't be
// imported twice. Returns whether it did.
auto state_machine::fail_reoffered_import(base::time_point now) -> bool {
    if (!this->kept || this->kept->offers <= 1) {
        return false;
    }
    this->drop_kept_result(now);
    this->fail_attempt(cell::ending::expired, std::nullopt, now);
    return true;
}

// Ends of attempts and of the request.

// Ends the live attempt, which did not complete the answer, and starts another one if allowed. An
// engine in `failed` is avoided from then on.
auto state_machine::fail_attempt(cell::ending ending,
                                 std::optional<base::upstream_id> const& failed,
                                 base::time_point now) -> void {
    ++this->failed_attempts;
    if (failed) {
        this->avoid.push_back(*failed);
    }
    if (this->delivered_tokens >= this->spec.output_bound) {
        this->complete(upstream::finish_reason::length, now);
        return;
    }
    auto const result_left = this->holds_usable_result(now);
    this->close_live_attempt(ending, result_left, now);
    if (!this->may_retry(now)) {
        this->end_request(terminal::refused, refusal_type::upstream_failed, std::nullopt, now);
        return;
    }
    this->acquire(now);
}

auto state_machine::may_retry(base::time_point now) const -> bool {
    if (this->failed_attempts >= max_attempts || this->spec.answer_deadline <= now) {
        return false;
    }
    if (!this->spec.repeatable) {
        auto const second_prefill = this->prefills_sent > 0 && !this->holds_usable_result(now);
        if (second_prefill || this->decodes_sent > 0) {
            return false;
        }
    }
    return this->budget->try_take();
}

// Enters a terminal state. All paths to states other than `completed` go through here.
auto state_machine::end_request(terminal state, refusal_type reason,
                                std::optional<base::time_point> retry_at, base::time_point now)
    -> void {
    if (this->current == stage::ended) {
        return;
    }
    this->current = stage::ended;
    auto const partly_delivered = state == terminal::refused && this->delivered_tokens.value > 0;
    this->final_state = partly_delivered ? terminal::cut : state;
    auto const caller_refusal = refusal{reason, this->known_outcome(), retry_at};
    if (this->final_state == terminal::refused) {
        this->out.emplace_back(refuse_caller{caller_refusal});
    }
    if (this->final_state == terminal::cut) {
        this->out.emplace_back(cut_answer{caller_refusal});
    }
    auto const expired = reason == refusal_type::deadline_exceeded;
    this->close_live_attempt(expired ? cell::ending::expired : cell::ending::cancelled, false, now);
}

// Cancels the live attempt's calls; its release follows once the engines confirmed that. With
// `keep_result` the kept result is left for the next attempt.
auto state_machine::close_live_attempt(cell::ending ending, bool keep_result, base::time_point now)
    -> void {
    if (!keep_result) {
        this->drop_kept_result(now);
    }
    if (!this->live) {
        return;
    }
    for (auto& call : this->calls) {
        if (call.state == call_state::kept) {
            call.owner.reset();
        }
        if (call.state == call_state::running) {
            this->cancel(call, now);
        }
    }
    auto release = cell::release{};
    release.attempt = this->attempt_id(this->live->number);
    release.ending = ending;
    release.observation = this->make_observation();
    this->closing.push_back(closing_attempt{std::move(release)});
    this->live.reset();
}

auto state_machine::drop_kept_result(base::time_point now) -> void {
    this->kept.reset();
    for (auto& call : this->calls) {
        if (call.state == call_state::kept) {
            this->cancel(call, now);
        }
    }
}

auto state_machine::cancel(open_call& call, base::time_point now) -> void {
    call.state = call_state::cancelling;
    call.cancel_deadline = now + this->timeouts.cancel;
    this->out.emplace_back(cancel_call{this->attempt_id(call.attempt), call.role, call.upstream});
}

auto state_machine::release_closed_attempts() -> void {
    auto const waits_for_call = [this](closing_attempt const& ended) {
        return std::ranges::any_of(this->calls, [&](open_call const& call) {
            return call.owner == ended.release.attempt.number;
        });
    };
    auto still_closing = std::vector<closing_attempt>{};
    for (auto& ended : this->closing) {
        if (waits_for_call(ended)) {
            still_closing.push_back(std::move(ended));
        } else {
            this->out.emplace_back(release_attempt{std::move(ended.release)});
        }
    }
    this->closing = std::move(still_closing);
}

// Drops cancels that engines did not confirm in time. The release reports that, and the keeper then
// aborts the calls.
auto state_machine::expire_cancels(base::time_point now) -> void {
    for (auto const& call : this->calls) {
        if (call.state != call_state::cancelling || call.cancel_deadline > now) {
            continue;
        }
        for (auto& ended : this->closing) {
            if (call.owner == ended.release.attempt.number) {
                ended.release.engines_clear = false;
            }
        }
    }
    std::erase_if(this->calls, [&](open_call const& call) {
        return call.state == call_state::cancelling && call.cancel_deadline <= now;
    });
}

// Deadlines.

auto state_machine::check_deadlines(base::time_point now) -> void {
    if (this->current == stage::ended) {
        return;
    }
    if (this->spec.answer_deadline <= now) {
        this->end_request(terminal::refused, refusal_type::deadline_exceeded, std::nullopt, now);
        return;
    }
    if (!this->accepted && this->spec.first_token_deadline <= now) {
        this->end_request(terminal::refused, refusal_type::deadline_exceeded, now, now);
        return;
    }
    this->check_step(now);
}

auto state_machine::check_step(base::time_point now) -> void {
    if (this->live && this->live->grant && this->live->grant_deadline <= now) {
        this->fail_attempt(cell::ending::expired, std::nullopt, now);
        return;
    }
    auto const step_expired = this->live && this->live->step_deadline <= now;
    if (this->current == stage::backing_off && this->acquire_at <= now) {
        this->acquire(now);
    } else if (this->current == stage::booked && this->live->grant->prefill_start <= now) {
        this->send_prefill(now);
    } else if (this->current == stage::prefilling && step_expired) {
        this->fail_attempt(cell::ending::prefill_failed, this->live->grant->prefill, now);
    } else if (this->current == stage::waiting_for_decode) {
        this->send_decode_if_ready(now);
    } else if (this->current == stage::decoding && step_expired) {
        this->fail_attempt(
            this->kept ? cell::ending::transfer_stalled : cell::ending::decode_failed,
            this->live->grant->decode, now);
    }
}

// Helpers.

auto state_machine::emit_progress(cell::phase phase) -> void {
    this->live->reported = this->live->produced;
    this->out.emplace_back(report_progress{
        cell::renewal{this->attempt_id(this->live->number), phase, this->live->produced}});
}

auto state_machine::is_live(cell::attempt const& attempt) const -> bool {
    return this->live && attempt == this->attempt_id(this->live->number);
}

auto state_machine::find_call(cell::attempt const& attempt, upstream::call_role role)
    -> std::vector<open_call>::iterator {
    return std::ranges::find_if(this->calls, [&](open_call const& call) {
        return this->attempt_id(call.attempt) == attempt && call.role == role;
    });
}

// Finds a running call. It belongs to the live attempt, since closing an attempt cancels its calls.
auto state_machine::find_running(cell::attempt const& attempt, upstream::call_role role)
    -> std::vector<open_call>::iterator {
    auto const call = this->find_call(attempt, role);
    auto const running = call != this->calls.end() && call->state == call_state::running;
    return running ? call : this->calls.end();
}

auto state_machine::attempt_id(base::attempt_number number) const -> cell::attempt {
    return cell::attempt{this->spec.id, number};
}

auto state_machine::make_observation() const -> cell::observation {
    auto const& attempt = *this->live;
    auto seen = cell::observation{};
    if (attempt.prefill_sent && attempt.prefill_ended) {
        seen.prefill_took = *attempt.prefill_ended - *attempt.prefill_sent;
        seen.prefilled = this->spec.prompt;
    }
    if (attempt.decode_sent && attempt.first_token) {
        seen.transfer_took = *attempt.first_token - *attempt.decode_sent;
        seen.decode_took = attempt.last_token - *attempt.first_token;
    }
    seen.produced = attempt.produced;
    return seen;
}

auto state_machine::known_outcome() const -> outcome {
    auto const sent = this->prefills_sent > 0 || this->decodes_sent > 0;
    return sent ? outcome::unknown : outcome::not_run;
}

auto state_machine::holds_usable_result(base::time_point now) const -> bool {
    return this->kept && now < this->kept->until;
}

}  // namespace linnetlane::request

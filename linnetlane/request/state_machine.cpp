#include "linnetlane/request/state_machine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace linnetlane::request {

namespace {

// A transfer counts as stalled while this part of the result's time is still left, so that
// another decode engine can import it.
constexpr auto parts_of_result_kept = 4;

// Whether a later question may be answered with a grant.
auto is_passing(cell::refusal reason) -> bool {
    return reason != cell::refusal::too_large;
}

auto earlier(std::optional<base::time_point>& soonest, base::time_point candidate) -> void {
    soonest = soonest ? std::min(*soonest, candidate) : candidate;
}

}  // namespace

state_machine::state_machine(request_spec asked, request::step_timeouts limits,
                             retry_budget& service_budget)
    : spec(std::move(asked)), timeouts(limits), budget(&service_budget) {}

auto state_machine::start(base::time_point now) -> commands {
    this->ask(now);
    return std::exchange(this->out, {});
}

auto state_machine::handle(event const& happened, base::time_point now) -> commands {
    std::visit([&](auto const& what) { this->on(what, now); }, happened);
    this->release_what_is_clear();
    return std::exchange(this->out, {});
}

auto state_machine::wake_at() const -> std::optional<base::time_point> {
    auto soonest = std::optional<base::time_point>{};
    for (auto const& call : this->calls) {
        if (call.state == call_state::cancelling) {
            earlier(soonest, call.cancel_deadline);
        }
    }
    if (this->current == stage::over) {
        return soonest;
    }
    earlier(soonest, this->spec.answer_deadline);
    if (!this->accepted) {
        earlier(soonest, this->spec.first_token_deadline);
    }
    if (this->current == stage::pausing) {
        earlier(soonest, this->ask_at);
    }
    if (this->current == stage::booked) {
        earlier(soonest, this->live->grant->prefill_start);
    }
    if (this->current == stage::prefilling || this->current == stage::decoding) {
        earlier(soonest, this->live->step_deadline);
    }
    if (this->current == stage::waiting_for_decode && this->kept) {
        earlier(soonest, this->kept->until);
    }
    if (this->live && this->live->grant) {
        earlier(soonest, this->live->grant_deadline);
    }
    return soonest;
}

auto state_machine::ended() const -> std::optional<terminal> {
    return this->how_it_ended;
}

auto state_machine::drained() const -> bool {
    return this->current == stage::over && this->calls.empty() && this->closing.empty();
}

auto state_machine::delivered() const -> base::token_count {
    return this->delivered_tokens;
}

auto state_machine::attempts() const -> base::attempt_number {
    return this->latest;
}

// ---- Answers of the cell ----

auto state_machine::on(cell::grant const& granted, base::time_point now) -> void {
    if (this->current != stage::asking || !this->is_live(granted.attempt)) {
        return;
    }
    if (!this->spec.repeatable && granted.prefill && this->prefills_sent > 0) {
        this->give_up(cell::ending::expired, std::nullopt, now);
        return;
    }
    if (!this->accepted) {
        this->accepted = true;
        this->budget->note_accepted(this->spec.retry_share);
    }
    this->live->grant = granted;
    this->live->grant_deadline = granted.deadline;
    this->live->ready = granted.ready;
    this->progress(cell::phase::granted);
    if (granted.prefill) {
        this->drop_kept(now);
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
            this->end(terminal::refused, reason, refused.retry_at, now);
        } else {
            this->give_up(cell::ending::expired, std::nullopt, now);
        }
        return;
    }
    this->live.reset();
    if (refused.reason == cell::refusal::keeper_starting) {
        // The keeper knows more within moments, mostly long before the time it names.
        this->ask_later(now, reason, now);
        return;
    }
    if (!this->accepted || !is_passing(refused.reason)) {
        this->end(terminal::refused, reason, refused.retry_at, now);
        return;
    }
    this->ask_later(refused.retry_at, reason, now);
}

auto state_machine::on(keeper_lost const& lost, base::time_point now) -> void {
    if (!this->is_live(lost.attempt) || this->current != stage::asking) {
        return;
    }
    this->close_live(cell::ending::expired, true, now);
    this->ask_later(now, refusal_type::keeper_starting, now);
}

auto state_machine::on(grant_renewed const& renewed, base::time_point /*now*/) -> void {
    if (this->is_live(renewed.attempt) && this->live->grant) {
        this->live->grant_deadline = std::max(this->live->grant_deadline, renewed.deadline);
    }
}

// ---- Answers of engines ----

auto state_machine::on(prefill_done const& done, base::time_point now) -> void {
    auto const call = this->find_running(done.attempt, upstream::call_role::prefill);
    if (call == this->calls.end()) {
        return;
    }
    call->state = call_state::kept;
    this->kept = kept_result{call->upstream, done.transfer, now + this->timeouts.result_kept};
    this->live->prefill_ended = now;
    this->current = stage::waiting_for_decode;
    this->progress(cell::phase::transferring);
    this->check_step(now);
}

auto state_machine::on(prefill_failed const& failed, base::time_point now) -> void {
    auto const call = this->find_call(failed.attempt, upstream::call_role::prefill);
    if (call == this->calls.end() || call->state == call_state::kept) {
        return;
    }
    this->note_call_failed(call, failed.send_state, now);
}

auto state_machine::on(transfer_stalled const& stalled, base::time_point now) -> void {
    auto const call = this->find_running(stalled.attempt, upstream::call_role::decode);
    if (call == this->calls.end() || this->live->first_token) {
        return;
    }
    auto const decode = call->upstream;
    if (this->give_up_used_result(now)) {
        return;
    }
    this->give_up(cell::ending::transfer_stalled, decode, now);
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
        this->give_up(cell::ending::decode_failed, decode, now);
        return;
    }
    if (end > this->spec.output_bound) {
        this->complete(upstream::finish_reason::length, now);
        return;
    }
    this->first_token_came(now);
    this->delivered_tokens = end;
    this->live->produced += chunk.count;
    this->live->last_token = now;
    this->live->step_deadline = now + this->timeouts.between_chunks;
    this->out.emplace_back(deliver{chunk.offset, chunk.count, chunk.text});
    if (this->live->produced - this->live->noted >= tokens_per_progress_note) {
        this->progress(cell::phase::decoding);
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
        this->give_up(cell::ending::decode_failed, decode, now);
        return;
    }
    this->first_token_came(now);
    this->calls.erase(this->find_call(end.attempt, upstream::call_role::decode));
    this->complete(end.reason, now);
}

auto state_machine::on(decode_failed const& failed, base::time_point now) -> void {
    auto const call = this->find_call(failed.attempt, upstream::call_role::decode);
    if (call != this->calls.end()) {
        this->note_call_failed(call, failed.send_state, now);
    }
}

auto state_machine::on(cancel_confirmed const& confirmed, base::time_point /*now*/) -> void {
    auto const call = this->find_call(confirmed.attempt, confirmed.role);
    if (call != this->calls.end() && call->state == call_state::cancelling) {
        this->calls.erase(call);
    }
}

// ---- The caller, time and the host ----

auto state_machine::on(caller_gone const& /*gone*/, base::time_point now) -> void {
    this->end(terminal::caller_gone, refusal_type::cancelled, std::nullopt, now);
}

auto state_machine::on(tick const& /*passed*/, base::time_point now) -> void {
    this->expire_cancels(now);
    this->check_deadlines(now);
}

auto state_machine::on(shutdown const& /*ordered*/, base::time_point now) -> void {
    this->end(terminal::refused, refusal_type::shutting_down, now, now);
}

// ---- Steps ----

auto state_machine::ask(base::time_point now) -> void {
    this->latest = this->latest.next();
    this->live = live_attempt{};
    this->live->number = this->latest;
    this->current = stage::asking;
    auto ask = cell::acquire{};
    ask.attempt = this->name(this->latest);
    ask.caller = this->spec.caller;
    ask.priority = this->spec.priority;
    ask.prompt = this->spec.prompt + this->delivered_tokens;
    ask.output_bound = this->spec.output_bound - this->delivered_tokens;
    ask.prefixes = this->spec.prefixes;
    ask.first_token_deadline = this->spec.first_token_deadline;
    if (this->accepted) {
        ask.first_token_deadline = std::max(ask.first_token_deadline, now + this->timeouts.resume);
    }
    ask.avoid = this->avoid;
    if (this->holds_usable_result(now)) {
        ask.kept_by = this->kept->by;
        ask.kept_until = this->kept->until;
    } else {
        this->drop_kept(now);
    }
    this->out.emplace_back(send_acquire{std::move(ask)});
}

auto state_machine::ask_later(base::time_point at, refusal_type reason, base::time_point now)
    -> void {
    this->ask_at = std::max(at, now + this->timeouts.ask_pause);
    auto const last = this->accepted ? this->spec.answer_deadline : this->spec.first_token_deadline;
    auto const tries_left = this->accepted || this->latest.value < most_tries;
    if (this->ask_at >= last || !tries_left) {
        this->end(terminal::refused, reason, this->ask_at, now);
        return;
    }
    auto const needs_kept_result = !this->spec.repeatable && this->prefills_sent > 0;
    if (this->kept && this->kept->until <= this->ask_at) {
        this->drop_kept(now);
    }
    if (needs_kept_result && !this->kept) {
        this->end(terminal::refused, reason, std::nullopt, now);
        return;
    }
    this->current = stage::pausing;
}

auto state_machine::send_prefill(base::time_point now) -> void {
    auto const attempt = this->name(this->live->number);
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
    this->progress(cell::phase::prefilling);
}

auto state_machine::send_decode_if_ready(base::time_point now) -> void {
    if (this->kept && this->kept->until <= now) {
        this->give_up(cell::ending::transfer_stalled, std::nullopt, now);
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
    this->out.emplace_back(start_decode{this->name(this->live->number), upstream,
                                        std::move(transfer), this->delivered_tokens,
                                        this->live->grant_deadline});
    this->note_decode_step(now);
}

auto state_machine::note_decode_step(base::time_point now) -> void {
    this->current = stage::decoding;
    this->live->decode_sent = now;
    this->live->step_deadline = now + this->timeouts.first_token;
    if (!this->kept) {
        return;
    }
    auto const stalled_at = this->kept->until - this->timeouts.result_kept / parts_of_result_kept;
    if (stalled_at > now) {
        this->live->step_deadline = std::min(this->live->step_deadline, stalled_at);
    }
}

auto state_machine::first_token_came(base::time_point now) -> void {
    if (this->live->first_token) {
        return;
    }
    this->live->first_token = now;
    this->live->last_token = now;
    // The import is over, and with it the kept result.
    this->kept.reset();
    std::erase_if(this->calls,
                  [](open_call const& call) { return call.state == call_state::kept; });
    this->progress(cell::phase::decoding);
}

auto state_machine::complete(upstream::finish_reason reason, base::time_point now) -> void {
    this->how_it_ended = terminal::completed;
    this->current = stage::over;
    this->out.emplace_back(finish_answer{reason});
    this->close_live(cell::ending::completed, false, now);
}

// A call failed by itself. If it may have been sent, its engine is told to drop it.
auto state_machine::note_call_failed(std::vector<open_call>::iterator call,
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
    auto const imported =
        role == upstream::call_role::decode && state != upstream::send_state::not_sent;
    if (imported && this->give_up_used_result(now)) {
        return;
    }
    this->give_up(role == upstream::call_role::prefill ? cell::ending::prefill_failed
                                                       : cell::ending::decode_failed,
                  upstream, now);
}

// A result that was offered before may be used up: the engine that can't import it isn't blamed.
auto state_machine::give_up_used_result(base::time_point now) -> bool {
    if (!this->kept || this->kept->offers <= 1) {
        return false;
    }
    this->drop_kept(now);
    this->give_up(cell::ending::expired, std::nullopt, now);
    return true;
}

// ---- Ends ----

// The live attempt is over without an answer: tries again if that is allowed.
auto state_machine::give_up(cell::ending ending, std::optional<base::upstream_id> const& failed,
                            base::time_point now) -> void {
    ++this->tries_failed;
    if (failed) {
        this->avoid.push_back(*failed);
    }
    if (this->delivered_tokens >= this->spec.output_bound) {
        this->complete(upstream::finish_reason::length, now);
        return;
    }
    auto const result_left = this->holds_usable_result(now);
    this->close_live(ending, result_left, now);
    if (!this->may_try_again(now)) {
        this->end(terminal::refused, refusal_type::upstream_failed, std::nullopt, now);
        return;
    }
    this->ask(now);
}

auto state_machine::may_try_again(base::time_point now) const -> bool {
    if (this->tries_failed >= most_tries || this->spec.answer_deadline <= now) {
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

// The one way to any terminal state but `completed`.
auto state_machine::end(terminal how, refusal_type why, std::optional<base::time_point> retry_at,
                        base::time_point now) -> void {
    if (this->current == stage::over) {
        return;
    }
    this->current = stage::over;
    auto const broken_off = how == terminal::refused && this->delivered_tokens.value > 0;
    this->how_it_ended = broken_off ? terminal::cut : how;
    auto const told = refusal{why, this->what_is_known(), retry_at};
    if (this->how_it_ended == terminal::refused) {
        this->out.emplace_back(refuse_caller{told});
    }
    if (this->how_it_ended == terminal::cut) {
        this->out.emplace_back(cut_answer{told});
    }
    auto const expired = why == refusal_type::deadline_exceeded;
    this->close_live(expired ? cell::ending::expired : cell::ending::cancelled, false, now);
}

// Ends what the live attempt has at engines; its release follows once they confirmed that. A kept
// result can be left for the next attempt.
auto state_machine::close_live(cell::ending ending, bool keep_result, base::time_point now)
    -> void {
    if (!keep_result) {
        this->drop_kept(now);
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
    release.attempt = this->name(this->live->number);
    release.ending = ending;
    release.observation = this->observe();
    this->closing.push_back(closing_attempt{std::move(release)});
    this->live.reset();
}

auto state_machine::drop_kept(base::time_point now) -> void {
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
    this->out.emplace_back(cancel_call{this->name(call.attempt), call.role, call.upstream});
}

auto state_machine::release_what_is_clear() -> void {
    auto const waits_for_call = [this](closing_attempt const& ended) {
        return std::ranges::any_of(this->calls, [&](open_call const& call) {
            return call.owner == ended.release.attempt.number;
        });
    };
    auto kept_back = std::vector<closing_attempt>{};
    for (auto& ended : this->closing) {
        if (waits_for_call(ended)) {
            kept_back.push_back(std::move(ended));
        } else {
            this->out.emplace_back(release_attempt{std::move(ended.release)});
        }
    }
    this->closing = std::move(kept_back);
}

// Engines that were told to cancel and never confirmed: the keeper takes that over.
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

// ---- Deadlines ----

auto state_machine::check_deadlines(base::time_point now) -> void {
    if (this->current == stage::over) {
        return;
    }
    if (this->spec.answer_deadline <= now) {
        this->end(terminal::refused, refusal_type::deadline_exceeded, std::nullopt, now);
        return;
    }
    if (!this->accepted && this->spec.first_token_deadline <= now) {
        this->end(terminal::refused, refusal_type::deadline_exceeded, now, now);
        return;
    }
    this->check_step(now);
}

auto state_machine::check_step(base::time_point now) -> void {
    if (this->live && this->live->grant && this->live->grant_deadline <= now) {
        this->give_up(cell::ending::expired, std::nullopt, now);
        return;
    }
    auto const step_over = this->live && this->live->step_deadline <= now;
    if (this->current == stage::pausing && this->ask_at <= now) {
        this->ask(now);
    } else if (this->current == stage::booked && this->live->grant->prefill_start <= now) {
        this->send_prefill(now);
    } else if (this->current == stage::prefilling && step_over) {
        this->give_up(cell::ending::prefill_failed, this->live->grant->prefill, now);
    } else if (this->current == stage::waiting_for_decode) {
        this->send_decode_if_ready(now);
    } else if (this->current == stage::decoding && step_over) {
        this->give_up(this->kept ? cell::ending::transfer_stalled : cell::ending::decode_failed,
                      this->live->grant->decode, now);
    }
}

// ---- Helpers ----

auto state_machine::progress(cell::phase phase) -> void {
    this->live->noted = this->live->produced;
    this->out.emplace_back(report_progress{
        cell::renewal{this->name(this->live->number), phase, this->live->produced}});
}

auto state_machine::is_live(cell::attempt const& attempt) const -> bool {
    return this->live && attempt == this->name(this->live->number);
}

auto state_machine::find_call(cell::attempt const& attempt, upstream::call_role role)
    -> std::vector<open_call>::iterator {
    return std::ranges::find_if(this->calls, [&](open_call const& call) {
        return this->name(call.attempt) == attempt && call.role == role;
    });
}

// A running call belongs to the live attempt: closing an attempt cancels its calls.
auto state_machine::find_running(cell::attempt const& attempt, upstream::call_role role)
    -> std::vector<open_call>::iterator {
    auto const call = this->find_call(attempt, role);
    auto const running = call != this->calls.end() && call->state == call_state::running;
    return running ? call : this->calls.end();
}

auto state_machine::name(base::attempt_number number) const -> cell::attempt {
    return cell::attempt{this->spec.id, number};
}

auto state_machine::observe() const -> cell::observation {
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

auto state_machine::what_is_known() const -> outcome {
    auto const sent = this->prefills_sent > 0 || this->decodes_sent > 0;
    return sent ? outcome::unknown : outcome::not_run;
}

auto state_machine::holds_usable_result(base::time_point now) const -> bool {
    return this->kept && now < this->kept->until;
}

}  // namespace linnetlane::request

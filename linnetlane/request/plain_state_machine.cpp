#include "linnetlane/request/plain_state_machine.h"

#include <chrono>
#include <utility>

namespace linnetlane::request {

namespace {

// Delay after which a caller whose key is claimed by another call may retry to get its outcome.
constexpr auto duplicate_retry_delay = std::chrono::seconds{1};

}  // namespace

plain_state_machine::plain_state_machine(plain_spec const& requested, retry_budget& service_budget)
    : spec(requested), budget(&service_budget) {}

auto plain_state_machine::start(base::time_point /*now*/) -> plain_commands {
    if (!this->spec.repeatable && this->spec.keyed) {
        this->claim = claim_stage::requested;
        this->out.emplace_back(make_claim{});
    } else {
        this->budget->record_accepted(this->spec.retry_share);
        this->send();
    }
    return std::exchange(this->out, {});
}

auto plain_state_machine::handle(plain_event const& received, base::time_point now)
    -> plain_commands {
    std::visit([&](auto const& what) { this->on(what, now); }, received);
    return std::exchange(this->out, {});
}

auto plain_state_machine::wake_at() const -> std::optional<base::time_point> {
    if (this->caller_done && !this->live) {
        return std::nullopt;
    }
    return this->spec.deadline;
}

auto plain_state_machine::ended() const -> bool {
    return this->caller_done;
}

auto plain_state_machine::drained() const -> bool {
    return this->caller_done && !this->live && this->claim != claim_stage::requested;
}

// Claims.

auto plain_state_machine::on(claim_granted const& /*granted*/, base::time_point /*now*/) -> void {
    if (this->claim != claim_stage::requested) {
        return;
    }
    this->claim = claim_stage::held;
    if (this->caller_done) {
        this->settle(claim_state::not_run);
        return;
    }
    this->budget->record_accepted(this->spec.retry_share);
    this->send();
}

auto plain_state_machine::on(claim_exists const& existing, base::time_point now) -> void {
    if (this->claim != claim_stage::requested) {
        return;
    }
    this->claim = claim_stage::none;
    switch (existing.state) {
        case claim_state::answered:
            if (existing.answer && !std::exchange(this->caller_done, true)) {
                this->out.emplace_back(replay_answer{*existing.answer});
                return;
            }
            return this->refuse(refusal_type::already_answered, outcome::ran, std::nullopt);
        case claim_state::under_way:
            return this->refuse(refusal_type::duplicate_under_way, outcome::unknown,
                                now + duplicate_retry_delay);
        case claim_state::outcome_unknown:
            return this->refuse(refusal_type::outcome_unknown, outcome::unknown, std::nullopt);
        case claim_state::not_run:
            return this->refuse(refusal_type::claim_unavailable, outcome::not_run,
                                now + duplicate_retry_delay);
    }
}

auto plain_state_machine::on(claim_refused const& refused, base::time_point /*now*/) -> void {
    if (this->claim != claim_stage::requested) {
        return;
    }
    this->claim = claim_stage::none;
    this->refuse(refusal_type::claim_unavailable, outcome::not_run, refused.retry_at);
}

// Tries.

auto plain_state_machine::on(call_answered const& answered, base::time_point /*now*/) -> void {
    if (this->live != answered.number) {
        return;
    }
    this->live.reset();
    if (!std::exchange(this->caller_done, true)) {
        this->out.emplace_back(forward_answer{answered.number});
    }
    this->settle(claim_state::answered);
}

auto plain_state_machine::on(call_failed const& failed, base::time_point now) -> void {
    if (this->live != failed.number) {
        return;
    }
    this->live.reset();
    this->avoid.push_back(failed.upstream);
    if (failed.send_state == upstream::send_state::not_sent) {
        --this->sent;
    }
    this->retry_or_refuse(now);
}

auto plain_state_machine::on(no_upstream const& none, base::time_point now) -> void {
    if (this->live != none.number) {
        return;
    }
    this->live.reset();
    --this->sent;
    this->end_without_answer(
        this->sent > 0 ? refusal_type::upstream_failed : refusal_type::no_upstream, now);
}

// Events of the caller, the clock and the host.

// A claimed call that was sent continues, so that its claim can be settled with the answer.
auto plain_state_machine::on(plain_caller_gone const& /*gone*/, base::time_point /*now*/) -> void {
    if (std::exchange(this->caller_done, true)) {
        return;
    }
    if (this->claim != claim_stage::held) {
        this->drop_live_try();
    }
}

auto plain_state_machine::on(plain_tick const& /*passed*/, base::time_point now) -> void {
    if (this->spec.deadline <= now) {
        this->drop_live_try();
        this->end_without_answer(refusal_type::deadline_exceeded, std::nullopt);
    }
}

auto plain_state_machine::on(plain_shutdown const& /*ordered*/, base::time_point now) -> void {
    this->drop_live_try();
    this->end_without_answer(refusal_type::shutting_down, now);
}

// Steps of a call.

auto plain_state_machine::send() -> void {
    this->latest = this->latest.next();
    this->live = this->latest;
    ++this->sent;
    this->out.emplace_back(send_call{this->latest, !this->spec.repeatable, this->avoid});
}

auto plain_state_machine::retry_or_refuse(base::time_point now) -> void {
    auto const may_send = this->spec.repeatable || this->sent == 0;
    auto const in_time = now < this->spec.deadline && this->latest.value < max_plain_tries;
    if (!this->caller_done && may_send && in_time && this->budget->try_take()) {
        this->send();
        return;
    }
    this->end_without_answer(refusal_type::upstream_failed, std::nullopt);
}

// Ends the call without an answer: settles its claim, if it holds one, and refuses it.
auto plain_state_machine::end_without_answer(refusal_type type,
                                             std::optional<base::time_point> retry_at) -> void {
    auto const known = this->known_outcome();
    this->settle(known == outcome::not_run ? claim_state::not_run : claim_state::outcome_unknown);
    this->refuse(type, known, retry_at);
}

auto plain_state_machine::refuse(refusal_type type, outcome known,
                                 std::optional<base::time_point> retry_at) -> void {
    if (!std::exchange(this->caller_done, true)) {
        this->out.emplace_back(refuse_plain{refusal{type, known, retry_at}});
    }
}

auto plain_state_machine::drop_live_try() -> void {
    if (this->live) {
        this->out.emplace_back(drop_call{*this->live});
        this->live.reset();
    }
}

auto plain_state_machine::settle(claim_state state) -> void {
    if (this->claim == claim_stage::held) {
        this->claim = claim_stage::settled;
        this->out.emplace_back(settle_claim{state, this->latest});
    }
}

auto plain_state_machine::known_outcome() const -> outcome {
    return this->sent > 0 ? outcome::unknown : outcome::not_run;
}

}  // namespace linnetlane::request

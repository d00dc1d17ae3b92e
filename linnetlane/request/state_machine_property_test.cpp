// Interleaves all events of a request at random and checks the state machine's invariants after
// each step.
//
// A simulation takes the place of the cell and the engines. It tracks what each engine still holds,
// which cancels were lost, and the whole answer.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/request/state_machine.h"

namespace linnetlane::request {
namespace {

using namespace std::chrono_literals;
using upstream::call_role;
using upstream::send_state;

auto const own_id = base::request_id{1, 2};
auto const other_id = base::request_id{3, 4};
auto const output_bound = base::token_count{6};

auto token_text(std::int64_t index) -> std::string {
    return "t" + std::to_string(index) + ";";
}

auto text_between(std::int64_t begin, std::int64_t end) -> std::string {
    auto text = std::string{};
    for (auto index = begin; index < end; ++index) {
        text += token_text(index);
    }
    return text;
}

enum class action : std::uint8_t {
    grant_engines,
    grant_booked,
    grant_without_prefill,
    refuse_engines,
    lose_keeper,
    make_ready,
    renew_grant,
    end_prefill,
    fail_prefill,
    stall_transfer,
    send_chunk,
    send_two_tokens,
    repeat_chunk,
    skip_token,
    overlap_chunk,
    cross_chunk,
    finish_decode,
    finish_too_early,
    fail_decode,
    disconnect_caller,
    confirm_cancel,
    lose_cancel,
    advance_time,
    shut_down,
    last = shut_down,
};

struct step {
    action what = action::advance_time;
    // Selects the call, attempt or value that the action applies to.
    std::uint8_t pick = 0;
};

auto operator<<(std::ostream& out, step const& one) -> std::ostream& {
    return out << "{" << static_cast<int>(one.what) << "," << static_cast<int>(one.pick) << "}";
}

// An engine's state of one call.
struct engine_call {
    cell::attempt attempt;
    call_role role = call_role::prefill;
    bool held = true;
    bool reached = true;
    bool cancel_asked = false;
    bool cancel_lost = false;
    bool ended = false;
    // Offset of the next token to send; decode calls only.
    std::int64_t next_token = 0;
};

struct acquired_attempt {
    bool granted = false;
    bool ready = false;
    bool refused = false;
    int releases = 0;
    bool engines_clear = true;
    base::time_point deadline;
};

class simulation {
public:
    simulation(bool may_repeat, std::int64_t tokens)
        : total(tokens),
          repeatable(may_repeat),
          machine(make_spec(may_repeat), step_timeouts{}, budget) {
        this->run(this->machine.start(this->now));
    }

    auto apply(step const& one) -> void {
        if (!this->machine.drained()) {
            this->act(one);
            this->check_always();
        }
    }

    // Advances time, without other events, until the request is drained.
    auto finish() -> void {
        auto steps = 0;
        while (!this->machine.drained()) {
            RC_ASSERT(++steps < 1000);
            auto const wake = this->machine.wake_at();
            RC_ASSERT(wake.has_value());
            this->now = std::max(this->now, *wake);
            this->feed(tick{});
        }
        this->check_end();
    }

private:
    static auto make_spec(bool may_repeat) -> request_spec {
        auto spec = request_spec{};
        spec.id = own_id;
        spec.prompt = base::token_count{100};
        spec.output_bound = output_bound;
        spec.repeatable = may_repeat;
        spec.first_token_deadline = base::time_point{} + 1800ms;
        spec.answer_deadline = base::time_point{} + 60s;
        return spec;
    }

    auto feed(event const& received) -> void {
        this->run(this->machine.handle(received, this->now));
    }

    auto act(step const& one) -> void {
        switch (one.what) {
            case action::grant_engines:
                return this->grant_engines(true, true);
            case action::grant_booked:
                return this->grant_engines(false, true);
            case action::grant_without_prefill:
                return this->grant_engines(one.pick % 2 == 0, false);
            case action::refuse_engines:
                return this->refuse_engines(one.pick);
            case action::lose_keeper:
                return this->lose_keeper();
            case action::make_ready:
                return this->make_ready(one.pick);
            case action::renew_grant:
                return this->renew_grant();
            case action::end_prefill:
                return this->end_prefill(one.pick);
            case action::fail_prefill:
                return this->fail_call(call_role::prefill, one.pick);
            case action::stall_transfer:
                return this->stall_transfer(one.pick);
            case action::send_chunk:
                return this->send_tokens(one.pick, 0, 1);
            case action::send_two_tokens:
                return this->send_tokens(one.pick, 0, 2);
            case action::repeat_chunk:
                return this->send_tokens(one.pick, -1, 1);
            case action::skip_token:
                return this->send_tokens(one.pick, 1, 1);
            case action::overlap_chunk:
                return this->send_tokens(one.pick, -1, 2);
            case action::cross_chunk:
                return this->cross_chunk(one.pick);
            case action::finish_decode:
                return this->finish_decode(one.pick, false);
            case action::finish_too_early:
                return this->finish_decode(one.pick, true);
            case action::fail_decode:
                return this->fail_call(call_role::decode, one.pick);
            case action::disconnect_caller:
                return this->disconnect_caller(one.pick);
            case action::confirm_cancel:
                return this->confirm_cancel(one.pick);
            case action::lose_cancel:
                return this->lose_cancel(one.pick);
            case action::advance_time:
                return this->advance_time(one.pick);
            case action::shut_down:
                return this->shut_down(one.pick);
        }
    }

    // The cell.

    [[nodiscard]] auto latest() -> acquired_attempt& { return this->acquired.rbegin()->second; }

    [[nodiscard]] auto latest_id() const -> cell::attempt {
        return {own_id, this->acquired.rbegin()->first};
    }

    [[nodiscard]] auto is_open(acquired_attempt const& attempt) const -> bool {
        return !attempt.refused && !attempt.granted;
    }

    auto grant_engines(bool ready, bool with_prefill) -> void {
        auto& attempt = this->latest();
        if (!this->is_open(attempt)) {
            return;
        }
        attempt.granted = true;
        attempt.ready = ready;
        attempt.deadline = this->now + 5s;
        auto granted = cell::grant{};
        granted.attempt = this->latest_id();
        if (with_prefill) {
            granted.prefill = base::upstream_id{"prefill"};
        }
        granted.decode = base::upstream_id{"decode"};
        this->decode_upstream = granted.decode;
        granted.prefill_start = this->now + (ready ? 0ms : 20ms);
        granted.ready = ready;
        granted.deadline = attempt.deadline;
        this->feed(granted);
        // A repeated grant must have no effect.
        this->feed(granted);
    }

    auto refuse_engines(std::uint8_t pick) -> void {
        auto& attempt = this->latest();
        // A grant that is booked ahead can be refused later, a ready one can't.
        if (attempt.refused || attempt.ready) {
            return;
        }
        // A late refusal of an attempt that was released already has no effect.
        attempt.refused = attempt.releases == 0;
        auto refused = cell::refuse{};
        refused.attempt = this->latest_id();
        refused.reason = attempt.granted ? cell::refusal::booking_failed
                                         : std::vector{cell::refusal::overloaded,
                                                       cell::refusal::too_large}[pick % 2];
        refused.retry_at = this->now + 100ms;
        this->feed(refused);
    }

    auto lose_keeper() -> void {
        if (this->is_open(this->latest())) {
            this->feed(keeper_lost{this->latest_id()});
        }
    }

    [[nodiscard]] auto is_decoding() const -> bool {
        return this->starts.contains(this->acquired.rbegin()->first);
    }

    auto make_ready(std::uint8_t pick) -> void {
        // May pick an earlier attempt: a late message.
        auto const place = pick % std::ssize(this->acquired);
        auto chosen = std::next(this->acquired.begin(), place);
        if (chosen->second.granted && !chosen->second.refused) {
            chosen->second.ready = true;
            auto ready = cell::decode_ready{};
            ready.attempt = {own_id, chosen->first};
            ready.decode = base::upstream_id{pick % 2 == 0 ? "decode" : "other decode"};
            if (chosen->first == this->acquired.rbegin()->first && !this->is_decoding()) {
                this->decode_upstream = ready.decode;
            }
            this->feed(ready);
        }
    }

    auto renew_grant() -> void {
        auto& attempt = this->latest();
        if (attempt.granted) {
            attempt.deadline = this->now + 5s;
            this->feed(grant_renewed{this->latest_id(), attempt.deadline});
        }
    }

    // Engines.

    // Selects a call of `role` that has not ended, whether or not it was cancelled.
    auto choose_call(call_role role, std::uint8_t pick) -> engine_call* {
        auto fitting = std::vector<engine_call*>{};
        for (auto& call : this->calls) {
            if (call.role == role && !call.ended) {
                fitting.push_back(&call);
            }
        }
        return fitting.empty() ? nullptr : fitting[pick % fitting.size()];
    }

    auto end_prefill(std::uint8_t pick) -> void {
        if (auto* const call = this->choose_call(call_role::prefill, pick)) {
            call->ended = true;
            auto transfer = upstream::kv_transfer{};
            transfer.remote_request_id = std::to_string(call->attempt.number.value);
            this->kept_until[transfer.remote_request_id] = this->now + step_timeouts{}.result_kept;
            this->feed(prefill_done{call->attempt, transfer});
        }
    }

    auto fail_call(call_role role, std::uint8_t pick) -> void {
        auto* const call = this->choose_call(role, pick / 2);
        if (call == nullptr) {
            return;
        }
        call->ended = true;
        auto how = send_state::may_have_been_sent;
        if (pick % 2 == 0 && call->next_token == this->start_of(*call)) {
            how = send_state::not_sent;
            call->reached = false;
            call->held = false;
        }
        auto const attempt = call->attempt;
        if (role == call_role::prefill) {
            this->feed(prefill_failed{attempt, how});
        } else {
            this->feed(decode_failed{attempt, how});
        }
    }

    [[nodiscard]] auto start_of(engine_call const& call) const -> std::int64_t {
        auto const found = this->starts.find(call.attempt.number);
        return found == this->starts.end() || call.role == call_role::prefill ? 0 : found->second;
    }

    auto stall_transfer(std::uint8_t pick) -> void {
        if (auto* const call = this->choose_call(call_role::decode, pick)) {
            this->feed(transfer_stalled{call->attempt});
        }
    }

    // Sends `count` tokens from the call's next offset plus `shift`.
    auto send_tokens(std::uint8_t pick, std::int64_t shift, std::int64_t count) -> void {
        auto* const call = this->choose_call(call_role::decode, pick);
        if (call == nullptr) {
            return;
        }
        auto const begin = call->next_token + shift;
        auto const end = begin + count;
        if (begin < 0 || end > this->total) {
            return;
        }
        if (shift == 0) {
            call->next_token = end;
        }
        this->feed(token_chunk{call->attempt, base::token_count{begin}, base::token_count{count},
                               text_between(begin, end)});
    }

    auto cross_chunk(std::uint8_t pick) -> void {
        auto const number = base::attempt_number{pick % 3U + 1};
        auto const offset = this->machine.delivered();
        this->feed(token_chunk{{other_id, number}, offset, base::token_count{1}, "crossed"});
        this->feed(decode_finished{{other_id, number}, upstream::finish_reason::stop, offset});
    }

    auto finish_decode(std::uint8_t pick, bool too_early) -> void {
        auto* const call = this->choose_call(call_role::decode, pick);
        if (call == nullptr || (!too_early && call->next_token != this->total)) {
            return;
        }
        call->ended = true;
        call->held = false;
        // An engine that ends too early still reports the length of its whole answer.
        this->feed(decode_finished{call->attempt, upstream::finish_reason::stop,
                                   base::token_count{this->total}});
    }

    auto choose_cancel(std::uint8_t pick) -> engine_call* {
        auto fitting = std::vector<engine_call*>{};
        for (auto& call : this->calls) {
            if (call.cancel_asked && !call.cancel_lost) {
                fitting.push_back(&call);
            }
        }
        return fitting.empty() ? nullptr : fitting[pick % fitting.size()];
    }

    auto confirm_cancel(std::uint8_t pick) -> void {
        if (auto* const call = this->choose_cancel(pick)) {
            call->held = false;
            this->feed(cancel_confirmed{call->attempt, call->role});
        }
    }

    auto lose_cancel(std::uint8_t pick) -> void {
        if (auto* const call = this->choose_cancel(pick)) {
            call->cancel_lost = true;
        }
    }

    // The caller, the clock and the host.

    // Only one in this many picks ends the whole request, so that long runs are covered too.
    static constexpr auto end_interval = 8;

    auto disconnect_caller(std::uint8_t pick) -> void {
        if (pick % end_interval == 0) {
            this->caller_disconnected = true;
            this->feed(caller_gone{});
        }
    }

    auto shut_down(std::uint8_t pick) -> void {
        if (pick % end_interval == 0) {
            this->feed(shutdown{});
        }
    }

    auto advance_time(std::uint8_t pick) -> void {
        auto const spans = std::vector<base::duration>{1ms, 20ms, 60ms, 300ms, 900ms, 3s, 6s};
        this->now += spans[pick % spans.size()];
        this->feed(tick{});
    }

    // Commands of the state machine.

    auto run(commands const& issued) -> void {
        for (auto const& command : issued) {
            std::visit([this](auto const& what) { this->perform(what); }, command);
        }
    }

    auto perform(send_acquire const& command) -> void {
        auto const& attempt = command.acquire.attempt;
        RC_ASSERT(attempt.request == own_id);
        if (!this->acquired.empty()) {
            RC_ASSERT(attempt.number > this->acquired.rbegin()->first);
        }
        RC_ASSERT(!this->machine.ended());
        RC_ASSERT(command.acquire.prompt.value == 100 + this->delivered);
        RC_ASSERT(command.acquire.output_bound.value == output_bound.value - this->delivered);
        RC_ASSERT(!command.acquire.kept_by || command.acquire.kept_until > this->now);
        this->acquired[attempt.number] = acquired_attempt{};
    }

    auto check_grant(cell::attempt const& attempt) -> void {
        auto const& attempt_state = this->acquired.at(attempt.number);
        RC_ASSERT(attempt_state.granted);
        RC_ASSERT(attempt_state.releases == 0);
        RC_ASSERT(this->now < attempt_state.deadline);
        RC_ASSERT(attempt == this->latest_id());
    }

    auto perform(start_prefill const& command) -> void {
        this->check_grant(command.attempt);
        this->calls.push_back(engine_call{.attempt = command.attempt, .role = call_role::prefill});
    }

    auto perform(start_decode const& command) -> void {
        this->check_grant(command.attempt);
        RC_ASSERT(this->acquired.at(command.attempt.number).ready);
        RC_ASSERT(command.upstream == this->decode_upstream);
        RC_ASSERT(command.resume_from.value == this->delivered);
        if (command.transfer) {
            RC_ASSERT(this->now < this->kept_until.at(command.transfer->remote_request_id));
        }
        this->starts[command.attempt.number] = this->delivered;
        this->calls.push_back(engine_call{
            .attempt = command.attempt, .role = call_role::decode, .next_token = this->delivered});
    }

    auto perform(cancel_call const& command) -> void {
        auto const call = std::ranges::find_if(this->calls, [&](engine_call const& known) {
            return known.attempt == command.attempt && known.role == command.role;
        });
        RC_ASSERT(call != this->calls.end());
        RC_ASSERT(!call->cancel_asked);
        call->cancel_asked = true;
    }

    auto perform(deliver const& command) -> void {
        RC_ASSERT(this->terminals == 0);
        RC_ASSERT(!this->caller_disconnected);
        RC_ASSERT(command.offset.value == this->delivered);
        this->delivered += command.count.value;
        this->text += command.text;
    }

    auto perform(finish_answer const& /*command*/) -> void {
        ++this->terminals;
        RC_ASSERT(this->delivered == this->total);
    }

    auto perform(refuse_caller const& command) -> void {
        ++this->terminals;
        RC_ASSERT(this->delivered == 0);
        this->check_outcome(command.refusal);
    }

    auto perform(cut_answer const& command) -> void {
        ++this->terminals;
        RC_ASSERT(this->delivered > 0);
        this->check_outcome(command.refusal);
    }

    auto check_outcome(refusal const& refused) -> void {
        auto const sent = this->sent(call_role::prefill) + this->sent(call_role::decode) > 0;
        RC_ASSERT((refused.outcome == outcome::not_run) == !sent);
    }

    auto perform(release_attempt const& command) -> void {
        auto const& release = command.release;
        auto& attempt = this->acquired.at(release.attempt.number);
        ++attempt.releases;
        attempt.engines_clear = release.engines_clear;
        RC_ASSERT(attempt.releases == 1);
        RC_ASSERT(attempt.granted || !attempt.refused);
        if (release.engines_clear) {
            RC_ASSERT(!this->holds_unreleased(release.attempt));
        }
    }

    auto perform(report_progress const& command) -> void {
        RC_ASSERT(command.renewal.attempt == this->latest_id());
    }

    // Invariants.

    [[nodiscard]] auto sent(call_role role) const -> std::int64_t {
        return std::ranges::count_if(this->calls, [&](engine_call const& call) {
            return call.role == role && call.reached;
        });
    }

    // Whether an engine holds a call of `attempt`. The result of a finished prefill doesn't count:
    // the engine drops it without a cancel.
    [[nodiscard]] auto holds_unreleased(cell::attempt const& attempt) const -> bool {
        return std::ranges::any_of(this->calls, [&](engine_call const& call) {
            auto const result = call.role == call_role::prefill && call.ended;
            return call.attempt == attempt && call.held && !result;
        });
    }

    auto check_always() -> void {
        RC_ASSERT(this->text == text_between(0, this->delivered));
        RC_ASSERT(this->terminals <= 1);
        RC_ASSERT(this->machine.ended().has_value() ==
                  (this->terminals == 1 || this->caller_disconnected));
        if (!this->repeatable) {
            RC_ASSERT(this->sent(call_role::prefill) <= 1);
            RC_ASSERT(this->sent(call_role::decode) <= 1);
        }
    }

    auto check_end() -> void {
        this->check_always();
        for (auto const& [number, attempt] : this->acquired) {
            auto const refused_at_once = attempt.refused && !attempt.granted;
            RC_ASSERT(attempt.releases == (refused_at_once ? 0 : 1));
            if (attempt.engines_clear) {
                RC_ASSERT(!this->holds_unreleased({own_id, number}));
            }
        }
    }

    std::int64_t total;
    bool repeatable;
    base::time_point now;
    retry_budget budget;
    state_machine machine;
    std::map<base::attempt_number, acquired_attempt> acquired;
    std::map<base::attempt_number, std::int64_t> starts;
    std::map<std::string, base::time_point> kept_until;
    std::vector<engine_call> calls;
    // The upstream that the live attempt's decode has to be sent to.
    base::upstream_id decode_upstream;
    std::int64_t delivered = 0;
    std::string text;
    int terminals = 0;
    bool caller_disconnected = false;
};

auto any_step() -> rc::Gen<step> {
    auto const last = static_cast<int>(action::last) + 1;
    return rc::gen::build<step>(
        rc::gen::set(&step::what, rc::gen::map(rc::gen::inRange(0, last),
                                               [](int what) { return static_cast<action>(what); })),
        rc::gen::set(&step::pick, rc::gen::inRange<std::uint8_t>(0, 64)));
}

// Generates steps that make progress, so that complete answers and late failures are common.
auto progressing_step() -> rc::Gen<step> {
    return rc::gen::build<step>(
        rc::gen::set(&step::what,
                     rc::gen::element(action::grant_engines, action::end_prefill,
                                      action::send_chunk, action::send_chunk, action::finish_decode,
                                      action::make_ready, action::confirm_cancel)),
        rc::gen::set(&step::pick, rc::gen::inRange<std::uint8_t>(0, 64)));
}

auto steps() -> rc::Gen<std::vector<step>> {
    return rc::gen::container<std::vector<step>>(
        rc::gen::weightedOneOf<step>({{2, progressing_step()}, {1, any_step()}}));
}

BOOST_AUTO_TEST_CASE(invariants_hold_for_any_order_of_events) {
    auto const held = rc::check("invariants of a request", [] {
        auto const repeatable = *rc::gen::arbitrary<bool>();
        auto const tokens = *rc::gen::inRange<std::int64_t>(1, output_bound.value + 1);
        auto const script = *rc::gen::resize(200, steps());
        auto state = simulation{repeatable, tokens};
        for (auto const& one : script) {
            state.apply(one);
        }
        state.finish();
    });
    BOOST_TEST(held);
}

}  // namespace
}  // namespace linnetlane::request

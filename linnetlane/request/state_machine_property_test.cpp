// Interleaves everything that can happen to a request and checks the promises after each step.
//
// A small world plays the cell and the engines. It knows what each engine still holds, which
// cancels were lost, and what the whole answer is.

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
    grant_place,
    book_place,
    grant_without_prefill,
    refuse_place,
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
    leave,
    confirm_cancel,
    lose_cancel,
    pass_time,
    order_shutdown,
    last = order_shutdown,
};

struct step {
    action what = action::pass_time;
    // Chooses among what the action can be applied to.
    std::uint8_t pick = 0;
};

auto operator<<(std::ostream& out, step const& one) -> std::ostream& {
    return out << "{" << static_cast<int>(one.what) << "," << static_cast<int>(one.pick) << "}";
}

// What an engine knows of one call.
struct engine_call {
    cell::attempt attempt;
    call_role role = call_role::prefill;
    bool held = true;
    bool reached = true;
    bool cancel_asked = false;
    bool cancel_lost = false;
    bool ended = false;
    // Tokens from here are still to come; decode calls only.
    std::int64_t next_token = 0;
};

struct asked_attempt {
    bool granted = false;
    bool ready = false;
    bool refused = false;
    int releases = 0;
    bool engines_clear = true;
    base::time_point deadline;
};

class world {
public:
    world(bool may_repeat, std::int64_t tokens)
        : total(tokens),
          repeatable(may_repeat),
          life(make_spec(may_repeat), step_timeouts{}, budget) {
        this->run(this->life.start(this->now));
    }

    auto apply(step const& one) -> void {
        if (!this->life.drained()) {
            this->act(one);
            this->check_always();
        }
    }

    // Lets time pass, with nothing else happening, until the request holds nothing.
    auto finish() -> void {
        auto steps = 0;
        while (!this->life.drained()) {
            RC_ASSERT(++steps < 1000);
            auto const wake = this->life.wake_at();
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

    auto feed(event const& happened) -> void { this->run(this->life.handle(happened, this->now)); }

    auto act(step const& one) -> void {
        switch (one.what) {
            case action::grant_place:
                return this->grant_place(true, true);
            case action::book_place:
                return this->grant_place(false, true);
            case action::grant_without_prefill:
                return this->grant_place(one.pick % 2 == 0, false);
            case action::refuse_place:
                return this->refuse_place(one.pick);
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
            case action::leave:
                return this->leave(one.pick);
            case action::confirm_cancel:
                return this->confirm_cancel(one.pick);
            case action::lose_cancel:
                return this->lose_cancel(one.pick);
            case action::pass_time:
                return this->pass_time(one.pick);
            case action::order_shutdown:
                return this->order_shutdown(one.pick);
        }
    }

    // ---- The cell ----

    [[nodiscard]] auto latest() -> asked_attempt& { return this->asked.rbegin()->second; }

    [[nodiscard]] auto latest_name() const -> cell::attempt {
        return {own_id, this->asked.rbegin()->first};
    }

    [[nodiscard]] auto is_open(asked_attempt const& attempt) const -> bool {
        return !attempt.refused && !attempt.granted;
    }

    auto grant_place(bool ready, bool with_prefill) -> void {
        auto& attempt = this->latest();
        if (!this->is_open(attempt)) {
            return;
        }
        attempt.granted = true;
        attempt.ready = ready;
        attempt.deadline = this->now + 5s;
        auto granted = cell::grant{};
        granted.attempt = this->latest_name();
        if (with_prefill) {
            granted.prefill = base::upstream_id{"prefill"};
        }
        granted.decode = base::upstream_id{"decode"};
        this->decode_place = granted.decode;
        granted.prefill_start = this->now + (ready ? 0ms : 20ms);
        granted.ready = ready;
        granted.deadline = attempt.deadline;
        this->feed(granted);
        // The same answer again must change nothing.
        this->feed(granted);
    }

    auto refuse_place(std::uint8_t pick) -> void {
        auto& attempt = this->latest();
        // A booked place can be refused later; a ready one can't.
        if (attempt.refused || attempt.ready) {
            return;
        }
        // The late answer to a question that was given back already refuses nothing.
        attempt.refused = attempt.releases == 0;
        auto refused = cell::refuse{};
        refused.attempt = this->latest_name();
        refused.reason = attempt.granted ? cell::refusal::booking_failed
                                         : std::vector{cell::refusal::overloaded,
                                                       cell::refusal::too_large}[pick % 2];
        refused.retry_at = this->now + 100ms;
        this->feed(refused);
    }

    auto lose_keeper() -> void {
        if (this->is_open(this->latest())) {
            this->feed(keeper_lost{this->latest_name()});
        }
    }

    [[nodiscard]] auto is_decoding() const -> bool {
        return this->starts.contains(this->asked.rbegin()->first);
    }

    auto make_ready(std::uint8_t pick) -> void {
        // Possibly the late answer to an earlier attempt.
        auto const place = pick % std::ssize(this->asked);
        auto chosen = std::next(this->asked.begin(), place);
        if (chosen->second.granted && !chosen->second.refused) {
            chosen->second.ready = true;
            auto ready = cell::decode_ready{};
            ready.attempt = {own_id, chosen->first};
            ready.decode = base::upstream_id{pick % 2 == 0 ? "decode" : "other decode"};
            if (chosen->first == this->asked.rbegin()->first && !this->is_decoding()) {
                this->decode_place = ready.decode;
            }
            this->feed(ready);
        }
    }

    auto renew_grant() -> void {
        auto& attempt = this->latest();
        if (attempt.granted) {
            attempt.deadline = this->now + 5s;
            this->feed(grant_renewed{this->latest_name(), attempt.deadline});
        }
    }

    // ---- Engines ----

    // A call of `role` that has not ended, whether or not the request still wants it.
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

    // Sends tokens from where the call stands, moved by `shift`.
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
        auto const offset = this->life.delivered();
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
        // An engine that ends too early still says how long its answer is.
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

    // ---- The caller, time and the host ----

    // Ends of the whole request are rare, so that long lives are tried too.
    static constexpr auto rarity = 8;

    auto leave(std::uint8_t pick) -> void {
        if (pick % rarity == 0) {
            this->caller_left = true;
            this->feed(caller_gone{});
        }
    }

    auto order_shutdown(std::uint8_t pick) -> void {
        if (pick % rarity == 0) {
            this->feed(shutdown{});
        }
    }

    auto pass_time(std::uint8_t pick) -> void {
        auto const spans = std::vector<base::duration>{1ms, 20ms, 60ms, 300ms, 900ms, 3s, 6s};
        this->now += spans[pick % spans.size()];
        this->feed(tick{});
    }

    // ---- Commands ----

    auto run(commands const& ordered) -> void {
        for (auto const& command : ordered) {
            std::visit([this](auto const& what) { this->perform(what); }, command);
        }
    }

    auto perform(send_acquire const& command) -> void {
        auto const& attempt = command.acquire.attempt;
        RC_ASSERT(attempt.request == own_id);
        if (!this->asked.empty()) {
            RC_ASSERT(attempt.number > this->asked.rbegin()->first);
        }
        RC_ASSERT(!this->life.ended());
        RC_ASSERT(command.acquire.prompt.value == 100 + this->delivered);
        RC_ASSERT(command.acquire.output_bound.value == output_bound.value - this->delivered);
        RC_ASSERT(!command.acquire.kept_by || command.acquire.kept_until > this->now);
        this->asked[attempt.number] = asked_attempt{};
    }

    auto check_grant(cell::attempt const& attempt) -> void {
        auto const& asked_one = this->asked.at(attempt.number);
        RC_ASSERT(asked_one.granted);
        RC_ASSERT(asked_one.releases == 0);
        RC_ASSERT(this->now < asked_one.deadline);
        RC_ASSERT(attempt == this->latest_name());
    }

    auto perform(start_prefill const& command) -> void {
        this->check_grant(command.attempt);
        this->calls.push_back(engine_call{.attempt = command.attempt, .role = call_role::prefill});
    }

    auto perform(start_decode const& command) -> void {
        this->check_grant(command.attempt);
        RC_ASSERT(this->asked.at(command.attempt.number).ready);
        RC_ASSERT(command.upstream == this->decode_place);
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
        RC_ASSERT(!this->caller_left);
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
        auto& attempt = this->asked.at(release.attempt.number);
        ++attempt.releases;
        attempt.engines_clear = release.engines_clear;
        RC_ASSERT(attempt.releases == 1);
        RC_ASSERT(attempt.granted || !attempt.refused);
        if (release.engines_clear) {
            RC_ASSERT(!this->holds_without_reason(release.attempt));
        }
    }

    auto perform(report_progress const& command) -> void {
        RC_ASSERT(command.renewal.attempt == this->latest_name());
    }

    // ---- Checks ----

    [[nodiscard]] auto sent(call_role role) const -> std::int64_t {
        return std::ranges::count_if(this->calls, [&](engine_call const& call) {
            return call.role == role && call.reached;
        });
    }

    // Whether an engine holds a call of `attempt`; the result of a prefill goes by itself.
    [[nodiscard]] auto holds_without_reason(cell::attempt const& attempt) const -> bool {
        return std::ranges::any_of(this->calls, [&](engine_call const& call) {
            auto const result = call.role == call_role::prefill && call.ended;
            return call.attempt == attempt && call.held && !result;
        });
    }

    auto check_always() -> void {
        RC_ASSERT(this->text == text_between(0, this->delivered));
        RC_ASSERT(this->terminals <= 1);
        RC_ASSERT(this->life.ended().has_value() == (this->terminals == 1 || this->caller_left));
        if (!this->repeatable) {
            RC_ASSERT(this->sent(call_role::prefill) <= 1);
            RC_ASSERT(this->sent(call_role::decode) <= 1);
        }
    }

    auto check_end() -> void {
        this->check_always();
        for (auto const& [number, attempt] : this->asked) {
            auto const refused_at_once = attempt.refused && !attempt.granted;
            RC_ASSERT(attempt.releases == (refused_at_once ? 0 : 1));
            if (attempt.engines_clear) {
                RC_ASSERT(!this->holds_without_reason({own_id, number}));
            }
        }
    }

    std::int64_t total;
    bool repeatable;
    base::time_point now;
    retry_budget budget;
    state_machine life;
    std::map<base::attempt_number, asked_attempt> asked;
    std::map<base::attempt_number, std::int64_t> starts;
    std::map<std::string, base::time_point> kept_until;
    std::vector<engine_call> calls;
    // Where the live attempt's decode has to go.
    base::upstream_id decode_place;
    std::int64_t delivered = 0;
    std::string text;
    int terminals = 0;
    bool caller_left = false;
};

auto any_step() -> rc::Gen<step> {
    auto const last = static_cast<int>(action::last) + 1;
    return rc::gen::build<step>(
        rc::gen::set(&step::what, rc::gen::map(rc::gen::inRange(0, last),
                                               [](int what) { return static_cast<action>(what); })),
        rc::gen::set(&step::pick, rc::gen::inRange<std::uint8_t>(0, 64)));
}

// Steps that make headway, so that whole answers and late deaths are common.
auto likely_step() -> rc::Gen<step> {
    return rc::gen::build<step>(
        rc::gen::set(&step::what,
                     rc::gen::element(action::grant_place, action::end_prefill, action::send_chunk,
                                      action::send_chunk, action::finish_decode, action::make_ready,
                                      action::confirm_cancel)),
        rc::gen::set(&step::pick, rc::gen::inRange<std::uint8_t>(0, 64)));
}

auto steps() -> rc::Gen<std::vector<step>> {
    return rc::gen::container<std::vector<step>>(
        rc::gen::weightedOneOf<step>({{2, likely_step()}, {1, any_step()}}));
}

BOOST_AUTO_TEST_CASE(the_promises_hold_whatever_happens_in_whatever_order) {
    auto const held = rc::check("promises of a request", [] {
        auto const repeatable = *rc::gen::arbitrary<bool>();
        auto const tokens = *rc::gen::inRange<std::int64_t>(1, output_bound.value + 1);
        auto const script = *rc::gen::resize(200, steps());
        auto state = world{repeatable, tokens};
        for (auto const& one : script) {
            state.apply(one);
        }
        state.finish();
    });
    BOOST_TEST(held);
}

}  // namespace
}  // namespace linnetlane::request

#include "linnetlane/request/plain_state_machine.h"

#include <algorithm>
#include <map>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::request {
namespace {

using namespace std::chrono_literals;
using upstream::send_state;

auto const begin = base::time_point{} + 1h;

// State of a try at its upstream.
struct sent_try {
    bool reached = true;
    bool over = false;
};

// Simulates the upstreams, the claim keeper and the caller, and checks invariants after each step.
class simulation {
public:
    explicit simulation(plain_spec const& spec) : asked(spec), machine(spec, budget) {
        this->run(this->machine.start(this->now));
    }

    // Applies the `what`-th possible event to the `pick`-th try.
    auto apply(int what, int pick) -> void {
        auto const number = try_number{static_cast<std::uint64_t>(pick) % 4 + 1};
        switch (what) {
            case 0:
                return this->answer_claim(claim_granted{});
            case 1:
                return this->answer_claim(claim_exists{static_cast<claim_state>(pick % 4), {}});
            case 2:
                return this->answer_claim(claim_refused{});
            case 3:
                return this->end_try(number, call_answered{number}, true);
            case 4:
                return this->end_try(number, call_failed{number, {}, send_state::not_sent}, false);
            case 5:
                return this->end_try(number,
                                     call_failed{number, {}, send_state::may_have_been_sent}, true);
            case 6:
                return this->end_try(number, no_upstream{number}, false);
            case 7:
                this->caller_disconnected = true;
                return this->feed(plain_caller_gone{});
            case 8:
                return this->feed(plain_shutdown{});
            default:
                this->now += 4s;
                return this->feed(plain_tick{});
        }
    }

    auto finish() -> void {
        this->answer_claim(claim_granted{});
        this->now = this->asked.deadline;
        this->feed(plain_tick{});
        RC_ASSERT(this->machine.drained());
        RC_ASSERT(this->terminals == 1 || this->caller_disconnected);
        RC_ASSERT(this->settled == this->claim_held);
    }

private:
    auto answer_claim(plain_event const& answer) -> void {
        if (!this->claim_open) {
            return;
        }
        this->claim_open = false;
        this->claim_held = std::holds_alternative<claim_granted>(answer);
        this->feed(answer);
    }

    auto end_try(try_number number, plain_event const& end, bool reached) -> void {
        auto const found = this->tries.find(number);
        if (found == this->tries.end() || found->second.over) {
            // A late answer, or one for an unknown try.
            return this->feed(end);
        }
        found->second.over = true;
        found->second.reached = reached;
        this->feed(end);
    }

    // Passes no events to a drained machine, as its driver does.
    auto feed(plain_event const& received) -> void {
        if (this->machine.drained()) {
            return;
        }
        this->run(this->machine.handle(received, this->now));
        RC_ASSERT(this->terminals <= 1);
        if (!this->asked.repeatable) {
            RC_ASSERT(this->sends() <= 1);
        }
    }

    [[nodiscard]] auto sends() const -> std::int64_t {
        return std::ranges::count_if(this->tries,
                                     [](auto const& one) { return one.second.reached; });
    }

    auto run(plain_commands const& issued) -> void {
        for (auto const& command : issued) {
            std::visit([this](auto const& what) { this->perform(what); }, command);
        }
    }

    auto perform(make_claim const& /*command*/) -> void { this->claim_open = true; }

    auto perform(send_call const& command) -> void {
        RC_ASSERT(this->tries.count(command.number) == 0U);
        RC_ASSERT(command.fresh_connection == !this->asked.repeatable);
        RC_ASSERT(this->terminals == 0);
        if (!this->asked.repeatable && this->asked.keyed) {
            RC_ASSERT(this->claim_held);
        }
        this->tries[command.number] = sent_try{};
    }

    auto perform(drop_call const& command) -> void {
        RC_ASSERT(!this->tries.at(command.number).over);
        this->tries.at(command.number).over = true;
    }

    auto perform(forward_answer const& command) -> void {
        ++this->terminals;
        RC_ASSERT(this->tries.at(command.number).reached);
    }

    auto perform(replay_answer const& /*command*/) -> void { ++this->terminals; }

    auto perform(refuse_plain const& command) -> void {
        ++this->terminals;
        auto const none_sent = command.refusal.outcome == outcome::not_run;
        if (none_sent) {
            RC_ASSERT(this->sends() == 0);
        }
    }

    auto perform(settle_claim const& command) -> void {
        RC_ASSERT(this->claim_held);
        RC_ASSERT(!this->settled);
        this->settled = true;
        RC_ASSERT((command.state == claim_state::not_run) == (this->sends() == 0));
    }

    plain_spec asked;
    base::time_point now = begin;
    retry_budget budget;
    plain_state_machine machine;
    std::map<try_number, sent_try> tries;
    int terminals = 0;
    bool caller_disconnected = false;
    bool claim_open = false;
    bool claim_held = false;
    bool settled = false;
};

RC_BOOST_PROP(at_most_one_send_and_one_end_for_any_events,
              (bool repeatable, bool keyed,
               std::vector<std::pair<std::uint8_t, std::uint8_t>> const& script)) {
    auto spec = plain_spec{};
    spec.repeatable = repeatable;
    spec.keyed = keyed;
    spec.deadline = begin + 30s;
    auto state = simulation{spec};
    for (auto const& [what, pick] : script) {
        state.apply(what % 10, pick);
    }
    state.finish();
}

template <typename Command>
auto count(plain_commands const& commands) -> std::int64_t {
    return std::ranges::count_if(
        commands, [](auto const& command) { return std::holds_alternative<Command>(command); });
}

BOOST_AUTO_TEST_CASE(a_claimed_call_continues_when_its_caller_disconnects) {
    auto budget = retry_budget{};
    auto machine = plain_state_machine{{.keyed = true, .deadline = begin + 30s}, budget};
    (void)machine.start(begin);
    (void)machine.handle(claim_granted{}, begin);
    BOOST_TEST(count<drop_call>(machine.handle(plain_caller_gone{}, begin)) == 0);
    BOOST_TEST(!machine.drained());
    auto const end = machine.handle(call_answered{try_number{1}}, begin);
    BOOST_TEST(count<settle_claim>(end) == 1);
    BOOST_TEST(count<forward_answer>(end) == 0);
    BOOST_TEST(machine.drained());
}

BOOST_AUTO_TEST_CASE(a_repeatable_call_is_retried_within_the_budget) {
    auto budget = retry_budget{};
    auto machine = plain_state_machine{{.repeatable = true, .deadline = begin + 30s}, budget};
    (void)machine.start(begin);
    auto const failed = call_failed{try_number{1}, {"a"}, send_state::may_have_been_sent};
    auto const again = machine.handle(failed, begin);
    BOOST_TEST(count<send_call>(again) == 1);
    BOOST_TEST(std::get<send_call>(again.front()).avoid.size() == 1U);
    while (budget.try_take()) {
    }
    auto const second = call_failed{try_number{2}, {"b"}, send_state::may_have_been_sent};
    auto const end = machine.handle(second, begin);
    BOOST_TEST(count<refuse_plain>(end) == 1);
}

}  // namespace
}  // namespace linnetlane::request

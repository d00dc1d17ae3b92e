// Compares the state machine with a reference model: one loop over the attempts, without events,
// time or overlap. The model gives no result where these matter: if the cell refuses another
// attempt of a request that was granted before, the state machine acquires again later. Wherever
// the model gives a result, both must agree.

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/request/state_machine.h"

namespace linnetlane::request {
namespace {

using namespace std::chrono_literals;
using upstream::send_state;

auto const own_id = base::request_id{5, 6};
constexpr auto bound = std::int64_t{6};

enum class prefill_end : std::uint8_t { done, not_sent, broken };
enum class decode_end : std::uint8_t { whole, not_sent, broken, stalled };

// The course of one attempt.
struct attempt_script {
    bool refused = false;
    bool needs_prefill = true;
    prefill_end prefill = prefill_end::done;
    decode_end decode = decode_end::whole;
    // Tokens received before a decode fails.
    std::int64_t tokens = 0;
};

auto operator<<(std::ostream& out, attempt_script const& one) -> std::ostream& {
    return out << "{refused=" << one.refused << " needs_prefill=" << one.needs_prefill
               << " prefill=" << static_cast<int>(one.prefill)
               << " decode=" << static_cast<int>(one.decode) << " tokens=" << one.tokens << "}";
}

struct run_result {
    terminal end = terminal::refused;
    std::optional<outcome> reported_outcome;
    std::int64_t delivered = 0;
    int prefills = 0;
    int decodes = 0;
    int acquires = 0;

    friend auto operator==(run_result const&, run_result const&) -> bool = default;
};

auto operator<<(std::ostream& out, run_result const& one) -> std::ostream& {
    return out << "{how=" << static_cast<int>(one.end)
               << " known=" << (one.reported_outcome ? static_cast<int>(*one.reported_outcome) : -1)
               << " delivered=" << one.delivered << " prefills=" << one.prefills
               << " decodes=" << one.decodes << " asks=" << one.acquires << "}";
}

class reference_model {
public:
    reference_model(bool may_repeat, std::int64_t tokens) : repeatable(may_repeat), total(tokens) {}

    // Returns the result of the request; nothing if the model can't determine it.
    auto run(std::vector<attempt_script> const& scripts) -> std::optional<run_result> {
        auto accepted = false;
        for (auto turn = std::size_t{0};; ++turn) {
            auto const script = turn < scripts.size() ? scripts[turn] : attempt_script{};
            ++this->seen.acquires;
            if (script.refused && accepted) {
                return std::nullopt;
            }
            if (script.refused) {
                return this->end_without_answer();
            }
            accepted = true;
            if (this->attempt(script)) {
                this->seen.end = terminal::completed;
                return this->seen;
            }
            ++this->failures;
            if (this->seen.delivered == bound) {
                this->seen.end = terminal::completed;
                return this->seen;
            }
            if (this->failures == max_attempts || !this->may_retry()) {
                return this->end_without_answer();
            }
        }
    }

private:
    // Returns whether the attempt completed the answer.
    auto attempt(attempt_script const& script) -> bool {
        if (!this->has_result && script.needs_prefill) {
            this->seen.prefills += script.prefill == prefill_end::not_sent ? 0 : 1;
            if (script.prefill != prefill_end::done) {
                return false;
            }
            this->has_result = true;
            this->offers = 0;
        }
        if (script.decode == decode_end::not_sent) {
            return false;
        }
        ++this->seen.decodes;
        ++this->offers;
        auto const rest = this->total - this->seen.delivered;
        if (script.decode == decode_end::whole) {
            this->seen.delivered += rest;
            return true;
        }
        auto const received =
            script.decode == decode_end::stalled ? 0 : std::min(rest, script.tokens);
        this->seen.delivered += received;
        // If an engine fails to import a result that was offered before, the earlier engine may
        // have imported it, so the result counts as lost.
        auto const offered_before = this->offers > 1;
        this->has_result = this->has_result && received == 0 && !offered_before;
        return false;
    }

    [[nodiscard]] auto may_retry() const -> bool {
        auto const prefill_wasted = this->seen.prefills > 0 && !this->has_result;
        return this->repeatable || (this->seen.decodes == 0 && !prefill_wasted);
    }

    auto end_without_answer() -> run_result {
        this->seen.end = this->seen.delivered > 0 ? terminal::cut : terminal::refused;
        auto const sent = this->seen.prefills + this->seen.decodes > 0;
        this->seen.reported_outcome = sent ? outcome::unknown : outcome::not_run;
        return this->seen;
    }

    bool repeatable;
    std::int64_t total;
    run_result seen;
    bool has_result = false;
    std::uint64_t offers = 0;
    std::uint64_t failures = 0;
};

// Runs the state machine with the events of the scripts, one attempt after the other.
class machine_run {
public:
    machine_run(bool may_repeat, std::int64_t tokens)
        : total(tokens), machine(make_spec(may_repeat), step_timeouts{}, budget) {}

    auto run(std::vector<attempt_script> const& scripts) -> run_result {
        this->take(this->machine.start(this->now));
        for (auto turn = std::size_t{0}; !this->machine.ended(); ++turn) {
            // No request may have this many attempts, so the machine is stuck.
            RC_ASSERT(turn < 1000U);
            this->run_attempt(turn < scripts.size() ? scripts[turn] : attempt_script{});
        }
        this->seen.end = *this->machine.ended();
        return this->seen;
    }

private:
    static auto make_spec(bool may_repeat) -> request_spec {
        auto spec = request_spec{};
        spec.id = own_id;
        spec.prompt = base::token_count{100};
        spec.output_bound = base::token_count{bound};
        spec.repeatable = may_repeat;
        spec.first_token_deadline = base::time_point{} + 1800ms;
        spec.answer_deadline = base::time_point{} + 60s;
        return spec;
    }

    auto feed(event const& received) -> void {
        this->take(this->machine.handle(received, this->now));
    }

    auto run_attempt(attempt_script const& script) -> void {
        auto const attempt = this->asked.attempt;
        if (script.refused) {
            auto refused = cell::refuse{};
            refused.attempt = attempt;
            this->feed(refused);
            return;
        }
        auto granted = cell::grant{};
        granted.attempt = attempt;
        if (script.needs_prefill && !this->asked.kept_by) {
            granted.prefill = base::upstream_id{"p"};
        }
        granted.prefill_start = this->now;
        granted.deadline = this->now + 5s;
        this->feed(granted);
        if (granted.prefill && !this->run_prefill(script, attempt)) {
            return;
        }
        this->run_decode(script, attempt);
    }

    auto run_prefill(attempt_script const& script, cell::attempt const& attempt) -> bool {
        if (script.prefill == prefill_end::done) {
            this->feed(prefill_done{attempt, {}});
            return true;
        }
        auto const not_sent = script.prefill == prefill_end::not_sent;
        this->seen.prefills -= not_sent ? 1 : 0;
        this->feed(prefill_failed{
            attempt, not_sent ? send_state::not_sent : send_state::may_have_been_sent});
        return false;
    }

    auto run_decode(attempt_script const& script, cell::attempt const& attempt) -> void {
        if (script.decode == decode_end::not_sent) {
            --this->seen.decodes;
            this->feed(decode_failed{attempt, send_state::not_sent});
            return;
        }
        if (script.decode == decode_end::stalled) {
            this->feed(transfer_stalled{attempt});
            return;
        }
        auto const rest = this->total - this->seen.delivered;
        auto const whole = script.decode == decode_end::whole;
        auto const count = whole ? rest : std::min(rest, script.tokens);
        auto const begin = this->seen.delivered;
        for (auto offset = begin; offset < begin + count; ++offset) {
            this->feed(token_chunk{attempt, base::token_count{offset}, base::token_count{1}, "t"});
        }
        if (whole) {
            this->feed(decode_finished{attempt, {}, base::token_count{this->total}});
        } else {
            this->feed(decode_failed{attempt, send_state::may_have_been_sent});
        }
    }

    auto take(commands const& issued) -> void {
        for (auto const& command : issued) {
            if (auto const* const ask = std::get_if<send_acquire>(&command)) {
                this->asked = ask->acquire;
                ++this->seen.acquires;
            } else if (std::holds_alternative<start_prefill>(command)) {
                ++this->seen.prefills;
            } else if (std::holds_alternative<start_decode>(command)) {
                ++this->seen.decodes;
            } else if (auto const* const part = std::get_if<deliver>(&command)) {
                this->seen.delivered += part->count.value;
            } else if (auto const* const refused = std::get_if<refuse_caller>(&command)) {
                this->seen.reported_outcome = refused->refusal.outcome;
            } else if (auto const* const cut = std::get_if<cut_answer>(&command)) {
                this->seen.reported_outcome = cut->refusal.outcome;
            }
        }
    }

    std::int64_t total;
    base::time_point now = base::time_point{} + 1s;
    retry_budget budget;
    state_machine machine;
    cell::acquire asked;
    run_result seen;
};

auto any_script() -> rc::Gen<attempt_script> {
    return rc::gen::build<attempt_script>(
        rc::gen::set(&attempt_script::refused,
                     rc::gen::map(rc::gen::inRange(0, 10), [](int one) { return one == 0; })),
        rc::gen::set(&attempt_script::needs_prefill,
                     rc::gen::map(rc::gen::inRange(0, 4), [](int one) { return one > 0; })),
        rc::gen::set(&attempt_script::prefill,
                     rc::gen::element(prefill_end::done, prefill_end::done, prefill_end::not_sent,
                                      prefill_end::broken)),
        rc::gen::set(&attempt_script::decode,
                     rc::gen::element(decode_end::whole, decode_end::not_sent, decode_end::broken,
                                      decode_end::stalled)),
        rc::gen::set(&attempt_script::tokens, rc::gen::inRange<std::int64_t>(0, bound + 1)));
}

RC_BOOST_PROP(the_state_machine_agrees_with_the_reference_model, (bool repeatable)) {
    auto const tokens = *rc::gen::inRange<std::int64_t>(1, bound + 1);
    auto const scripts = *rc::gen::container<std::vector<attempt_script>>(any_script());
    auto const expected = reference_model{repeatable, tokens}.run(scripts);
    RC_PRE(expected.has_value());
    RC_ASSERT((machine_run{repeatable, tokens}.run(scripts)) == *expected);
}

}  // namespace
}  // namespace linnetlane::request

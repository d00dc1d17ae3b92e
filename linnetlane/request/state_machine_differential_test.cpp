// Compares the machine with a naive version: one loop over the attempts, without events, time or
// overlap. The naive version has no answer for what needs these (a refusal of an accepted request,
// which is asked again later); wherever it has one, both must agree.

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

// What becomes of one attempt.
struct attempt_script {
    bool refused = false;
    bool needs_prefill = true;
    prefill_end prefill = prefill_end::done;
    decode_end decode = decode_end::whole;
    // Tokens that come before a decode breaks.
    std::int64_t tokens = 0;
};

auto operator<<(std::ostream& out, attempt_script const& one) -> std::ostream& {
    return out << "{refused=" << one.refused << " needs_prefill=" << one.needs_prefill
               << " prefill=" << static_cast<int>(one.prefill)
               << " decode=" << static_cast<int>(one.decode) << " tokens=" << one.tokens << "}";
}

struct life_result {
    terminal how = terminal::refused;
    std::optional<outcome> known;
    std::int64_t delivered = 0;
    int prefills = 0;
    int decodes = 0;
    int asks = 0;

    friend auto operator==(life_result const&, life_result const&) -> bool = default;
};

auto operator<<(std::ostream& out, life_result const& one) -> std::ostream& {
    return out << "{how=" << static_cast<int>(one.how)
               << " known=" << (one.known ? static_cast<int>(*one.known) : -1)
               << " delivered=" << one.delivered << " prefills=" << one.prefills
               << " decodes=" << one.decodes << " asks=" << one.asks << "}";
}

class naive_life {
public:
    naive_life(bool may_repeat, std::int64_t tokens) : repeatable(may_repeat), total(tokens) {}

    // The end of the request, if it can be told.
    auto run(std::vector<attempt_script> const& scripts) -> std::optional<life_result> {
        auto accepted = false;
        for (auto turn = std::size_t{0};; ++turn) {
            auto const script = turn < scripts.size() ? scripts[turn] : attempt_script{};
            ++this->seen.asks;
            if (script.refused && accepted) {
                return std::nullopt;
            }
            if (script.refused) {
                return this->end_badly();
            }
            accepted = true;
            if (this->attempt(script)) {
                this->seen.how = terminal::completed;
                return this->seen;
            }
            ++this->failures;
            if (this->seen.delivered == bound) {
                this->seen.how = terminal::completed;
                return this->seen;
            }
            if (this->failures == most_tries || !this->may_go_on()) {
                return this->end_badly();
            }
        }
    }

private:
    // Whether the attempt ended the answer.
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
        auto const came = script.decode == decode_end::stalled ? 0 : std::min(rest, script.tokens);
        this->seen.delivered += came;
        // An earlier engine may have used up a result that a later one fails to import.
        auto const used_up = this->offers > 1;
        this->has_result = this->has_result && came == 0 && !used_up;
        return false;
    }

    [[nodiscard]] auto may_go_on() const -> bool {
        auto const prefill_wasted = this->seen.prefills > 0 && !this->has_result;
        return this->repeatable || (this->seen.decodes == 0 && !prefill_wasted);
    }

    auto end_badly() -> life_result {
        this->seen.how = this->seen.delivered > 0 ? terminal::cut : terminal::refused;
        auto const sent = this->seen.prefills + this->seen.decodes > 0;
        this->seen.known = sent ? outcome::unknown : outcome::not_run;
        return this->seen;
    }

    bool repeatable;
    std::int64_t total;
    life_result seen;
    bool has_result = false;
    std::uint64_t offers = 0;
    std::uint64_t failures = 0;
};

// Plays the scripts to the machine, one attempt after the other.
class machine_life {
public:
    machine_life(bool may_repeat, std::int64_t tokens)
        : total(tokens), life(make_spec(may_repeat), step_timeouts{}, budget) {}

    auto run(std::vector<attempt_script> const& scripts) -> life_result {
        this->take(this->life.start(this->now));
        for (auto turn = std::size_t{0}; !this->life.ended(); ++turn) {
            // Far more turns than there are tries: the machine waits for what never comes.
            RC_ASSERT(turn < 1000U);
            this->play(turn < scripts.size() ? scripts[turn] : attempt_script{});
        }
        this->seen.how = *this->life.ended();
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

    auto feed(event const& happened) -> void { this->take(this->life.handle(happened, this->now)); }

    auto play(attempt_script const& script) -> void {
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
        if (granted.prefill && !this->play_prefill(script, attempt)) {
            return;
        }
        this->play_decode(script, attempt);
    }

    auto play_prefill(attempt_script const& script, cell::attempt const& attempt) -> bool {
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

    auto play_decode(attempt_script const& script, cell::attempt const& attempt) -> void {
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

    auto take(commands const& ordered) -> void {
        for (auto const& command : ordered) {
            if (auto const* const ask = std::get_if<send_acquire>(&command)) {
                this->asked = ask->acquire;
                ++this->seen.asks;
            } else if (std::holds_alternative<start_prefill>(command)) {
                ++this->seen.prefills;
            } else if (std::holds_alternative<start_decode>(command)) {
                ++this->seen.decodes;
            } else if (auto const* const part = std::get_if<deliver>(&command)) {
                this->seen.delivered += part->count.value;
            } else if (auto const* const refused = std::get_if<refuse_caller>(&command)) {
                this->seen.known = refused->refusal.outcome;
            } else if (auto const* const cut = std::get_if<cut_answer>(&command)) {
                this->seen.known = cut->refusal.outcome;
            }
        }
    }

    std::int64_t total;
    base::time_point now = base::time_point{} + 1s;
    retry_budget budget;
    state_machine life;
    cell::acquire asked;
    life_result seen;
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

RC_BOOST_PROP(the_machine_agrees_with_the_naive_version, (bool repeatable)) {
    auto const tokens = *rc::gen::inRange<std::int64_t>(1, bound + 1);
    auto const scripts = *rc::gen::container<std::vector<attempt_script>>(any_script());
    auto const expected = naive_life{repeatable, tokens}.run(scripts);
    RC_PRE(expected.has_value());
    RC_ASSERT((machine_life{repeatable, tokens}.run(scripts)) == *expected);
}

}  // namespace
}  // namespace linnetlane::request

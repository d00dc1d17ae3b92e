// The scheduler against the naive one: the same answers wherever both answer.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/cell/reference_scheduler.h"
#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

using std::chrono::milliseconds;

auto cell_of(int prefills, int decodes) -> configure {
    auto made = configure{};
    made.shape.decode_slots = 6;
    for (auto place = 0; place < prefills + decodes; ++place) {
        auto& added = made.upstreams.emplace_back();
        added.id = base::upstream_id{"engine" + std::to_string(place)};
        added.role =
            place < prefills ? service::upstream_role::prefill : service::upstream_role::decode;
    }
    return made;
}

// Drives both with the same events.
class pair_of_schedulers {
public:
    explicit pair_of_schedulers(configure const& what) : naive(what) {
        this->cell.handle(what, this->now);
    }

    auto send(event const& what) -> std::vector<command> {
        auto commands = this->cell.handle(what, this->now);
        for (auto const& one : commands) {
            this->follow(one);
        }
        return commands;
    }
    auto ask(std::int64_t prompt) -> void {
        this->numbers += 1;
        auto what = acquire{};
        what.attempt = attempt{base::request_id{0, this->numbers}, base::attempt_number{1}};
        what.holder = this->self;
        what.prompt = base::token_count{prompt};
        what.output_bound = base::token_count{200};
        what.first_token_deadline = this->now + std::chrono::seconds{8};
        auto const expected = this->naive.answer(what, this->now);
        this->asked[what.attempt] = what.prompt;
        this->naive.waiting += 1;
        auto const commands = this->send(what);
        if (expected) {
            this->both += 1;
            this->compare(*expected, commands);
        }
    }
    auto give_back(std::size_t which) -> void {
        if (this->naive.held.empty()) {
            return;
        }
        auto const place = std::next(this->naive.held.begin(),
                                     static_cast<std::ptrdiff_t>(which % this->naive.held.size()));
        auto word = release{};
        word.attempt = place->first;
        word.holder = this->self;
        this->naive.give_back(place->first, this->now);
        this->send(word);
    }
    auto pass(milliseconds length) -> void {
        auto word = renew{this->self, {}};
        for (auto& [key, one] : this->naive.held) {
            one.decoding = true;
            word.renewals.push_back({key, phase::decoding, base::token_count{1}});
        }
        this->send(word);
        this->now += length;
        this->send(tick{});
    }

    scheduler cell{scheduler_options{}};
    naive_scheduler naive;
    base::time_point now = base::time_point{} + std::chrono::hours{1};
    int both = 0;

private:
    auto follow(command const& what) -> void {
        if (auto const* one = std::get_if<grant>(&what)) {
            this->naive.adopt(*one, this->asked[one->attempt]);
            this->naive.waiting -= 1;
        } else if (auto const* ready = std::get_if<decode_ready>(&what)) {
            this->naive.held[ready->attempt].decode = ready->decode;
            this->naive.held[ready->attempt].ready = true;
        } else if (auto const* no = std::get_if<refuse>(&what)) {
            this->naive.held.erase(no->attempt);
            this->naive.waiting -= no->reason == refusal::booking_failed ? 0 : 1;
        }
    }
    auto compare(naive_answer const& expected, std::vector<command> const& commands) -> void {
        RC_ASSERT(commands.size() == 1U);
        if (auto const* reason = std::get_if<refusal>(&expected)) {
            auto const* refused = std::get_if<refuse>(&commands.front());
            RC_ASSERT((refused != nullptr && refused->reason == *reason));
            return;
        }
        auto const& right = std::get<grant>(expected);
        auto const* granted = std::get_if<grant>(&commands.front());
        RC_ASSERT((granted != nullptr));
        RC_ASSERT((granted->decode == right.decode));
        RC_ASSERT((granted->prefill == right.prefill));
        RC_ASSERT((granted->pieces == right.pieces));
        RC_ASSERT((granted->prefill_start == right.prefill_start));
    }

    holder self{base::host_id{"entry"}, base::incarnation{1}};
    std::uint64_t numbers = 0;
    std::map<attempt, base::token_count> asked;
};

RC_BOOST_PROP(same_answers_as_a_scan_of_plain_lists, ()) {
    auto both = pair_of_schedulers{cell_of(*rc::gen::inRange(1, 6), *rc::gen::inRange(1, 9))};
    auto const steps =
        *rc::gen::scale(8, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000)));
    for (auto const step : steps) {
        auto const detail = step / 10;
        auto const engine =
            both.naive.engines[static_cast<std::size_t>(detail) % both.naive.engines.size()]
                .settings.id;
        if (step % 10 < 4) {
            both.ask(detail % 100 == 0 ? 200'000 : 1 + detail % 30'000);
        } else if (step % 10 < 6) {
            both.give_back(static_cast<std::size_t>(detail));
        } else if (step % 10 < 8) {
            both.pass(milliseconds{detail % 400});
        } else if (step % 10 == 8) {
            auto word = upstream_report{};
            word.upstream = engine;
            word.leaving = detail % 3 == 0;
            both.naive.engine(engine).leaving = word.leaving;
            both.send(word);
        } else {
            auto const reachable = detail % 4 != 0;
            both.naive.engine(engine).reachable = reachable;
            both.send(upstream_reachable{engine, reachable});
        }
    }
    RC_CLASSIFY(both.both > 20, "more than 20 answers compared");
}

}  // namespace
}  // namespace linnetlane::cell

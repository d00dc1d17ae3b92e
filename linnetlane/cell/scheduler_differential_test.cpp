// Checks that the scheduler gives the same answers as the reference scheduler wherever that one has
// an answer.

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

// Sends the same events to the scheduler and to the reference.
class scheduler_pair {
public:
    explicit scheduler_pair(configure const& what) : reference(what) {
        this->cell.handle(what, this->now);
    }

    auto send(event const& what) -> std::vector<command> {
        auto commands = this->cell.handle(what, this->now);
        for (auto const& one : commands) {
            this->apply_command(one);
        }
        return commands;
    }
    auto send_acquire(std::int64_t prompt) -> void {
        this->last_number += 1;
        auto what = acquire{};
        what.attempt = attempt{base::request_id{0, this->last_number}, base::attempt_number{1}};
        what.holder = this->self;
        what.prompt = base::token_count{prompt};
        what.output_bound = base::token_count{200};
        what.first_token_deadline = this->now + std::chrono::seconds{8};
        auto const expected = this->reference.answer(what, this->now);
        this->prompts[what.attempt] = what.prompt;
        this->reference.waiting += 1;
        auto const commands = this->send(what);
        if (expected) {
            this->compared += 1;
            this->compare(*expected, commands);
        }
    }
    auto send_release(std::size_t which) -> void {
        if (this->reference.held.empty()) {
            return;
        }
        auto const place =
            std::next(this->reference.held.begin(),
                      static_cast<std::ptrdiff_t>(which % this->reference.held.size()));
        auto message = release{};
        message.attempt = place->first;
        message.holder = this->self;
        this->reference.remove_grant(place->first, this->now);
        this->send(message);
    }
    auto advance_time(milliseconds length) -> void {
        auto message = renew{this->self, {}};
        for (auto& [key, one] : this->reference.held) {
            one.decoding = true;
            message.renewals.push_back({key, phase::decoding, base::token_count{1}});
        }
        this->send(message);
        this->now += length;
        this->send(tick{});
    }

    scheduler cell{scheduler_options{}};
    reference_scheduler reference;
    base::time_point now = base::time_point{} + std::chrono::hours{1};
    int compared = 0;

private:
    auto apply_command(command const& what) -> void {
        if (auto const* one = std::get_if<grant>(&what)) {
            this->reference.apply_grant(*one, this->prompts[one->attempt]);
            this->reference.waiting -= 1;
        } else if (auto const* ready = std::get_if<decode_ready>(&what)) {
            this->reference.held[ready->attempt].decode = ready->decode;
            this->reference.held[ready->attempt].ready = true;
        } else if (auto const* refused = std::get_if<refuse>(&what)) {
            this->reference.held.erase(refused->attempt);
            this->reference.waiting -= refused->reason == refusal::booking_failed ? 0 : 1;
        }
    }
    auto compare(reference_answer const& expected, std::vector<command> const& commands) -> void {
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
    std::uint64_t last_number = 0;
    std::map<attempt, base::token_count> prompts;
};

RC_BOOST_PROP(answers_match_the_reference, ()) {
    auto schedulers = scheduler_pair{cell_of(*rc::gen::inRange(1, 6), *rc::gen::inRange(1, 9))};
    auto const steps =
        *rc::gen::scale(8, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000)));
    for (auto const step : steps) {
        auto const detail = step / 10;
        auto const engine =
            schedulers.reference
                .engines[static_cast<std::size_t>(detail) % schedulers.reference.engines.size()]
                .settings.id;
        if (step % 10 < 4) {
            schedulers.send_acquire(detail % 100 == 0 ? 200'000 : 1 + detail % 30'000);
        } else if (step % 10 < 6) {
            schedulers.send_release(static_cast<std::size_t>(detail));
        } else if (step % 10 < 8) {
            schedulers.advance_time(milliseconds{detail % 400});
        } else if (step % 10 == 8) {
            auto message = upstream_report{};
            message.upstream = engine;
            message.leaving = detail % 3 == 0;
            schedulers.reference.engine(engine).leaving = message.leaving;
            schedulers.send(message);
        } else {
            auto const reachable = detail % 4 != 0;
            schedulers.reference.engine(engine).reachable = reachable;
            schedulers.send(upstream_reachable{engine, reachable});
        }
    }
    RC_CLASSIFY(schedulers.compared > 20, "more than 20 answers compared");
}

}  // namespace
}  // namespace linnetlane::cell

// The answer to a request follows from its time left, its work, its caller's share and the engines,
// and from nothing else.

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

using std::chrono::milliseconds;

auto const start = base::time_point{} + std::chrono::hours{1};

auto cell_settings() -> configure {
    auto made = configure{};
    for (auto const* const name : {"p1", "p2", "d1", "d2"}) {
        auto upstream = service::upstream{};
        upstream.id = base::upstream_id{name};
        upstream.role =
            name[0] == 'p' ? service::upstream_role::prefill : service::upstream_role::decode;
        made.upstreams.push_back(upstream);
    }
    return made;
}

struct offered_request {
    std::int64_t prompt = 0;
    std::int64_t left_ms = 0;
    std::size_t caller = 0;
};

auto make_acquire(std::uint64_t number, offered_request const& from, base::time_point now)
    -> acquire {
    auto made = acquire{};
    made.attempt = attempt{base::request_id{0, number}, base::attempt_number{1}};
    made.holder = holder{base::host_id{"entry"}, base::incarnation{1}};
    made.caller = base::caller_id{"caller" + std::to_string(from.caller)};
    made.prompt = base::token_count{from.prompt};
    made.output_bound = base::token_count{300};
    made.first_token_deadline = now + milliseconds{from.left_ms};
    return made;
}

// Returns the number of each refused request, in order.
auto refused_in(scheduler& cell, std::vector<offered_request> const& offered, std::uint64_t first,
                base::time_point now) -> std::vector<std::uint64_t> {
    auto refused = std::vector<std::uint64_t>{};
    for (auto const& one : offered) {
        for (auto const& command : cell.handle(make_acquire(first++, one, now), now)) {
            if (auto const* const answer = std::get_if<refuse>(&command)) {
                refused.push_back(answer->attempt.request.low);
            }
        }
        now += milliseconds{5};
    }
    return refused;
}

auto arbitrary_requests() -> rc::Gen<std::vector<offered_request>> {
    return rc::gen::container<std::vector<offered_request>>(
        60, rc::gen::apply(
                [](std::int64_t prompt, std::int64_t left, std::size_t caller) {
                    return offered_request{prompt, left, caller};
                },
                rc::gen::inRange<std::int64_t>(200, 20'000),
                rc::gen::inRange<std::int64_t>(200, 4000), rc::gen::inRange<std::size_t>(0, 3)));
}

BOOST_AUTO_TEST_CASE(answers_do_not_depend_on_whose_requests_were_refused_before) {
    auto const passed = rc::check([] {
        auto const offered = *arbitrary_requests();
        auto const refused_length = *rc::gen::inRange<std::int64_t>(200, 60'000);
        auto fresh = scheduler{scheduler_options{}};
        auto seasoned = scheduler{scheduler_options{}};
        fresh.handle(cell_settings(), start);
        seasoned.handle(cell_settings(), start);
        // None of them has the time for its prompt, so no engine gets work.
        auto const hopeless =
            std::vector<offered_request>(200, offered_request{refused_length, 1, 0});
        RC_ASSERT(refused_in(seasoned, hopeless, 1, start).size() == hopeless.size());
        // The callers' demand of that time has decayed.
        auto const later = start + std::chrono::minutes{10};
        RC_ASSERT(refused_in(fresh, offered, 1000, later) ==
                  refused_in(seasoned, offered, 1000, later));
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_caller_that_comes_back_is_treated_like_one_that_comes_first) {
    auto const passed = rc::check([] {
        auto const load = *arbitrary_requests();
        auto const newcomer = offered_request{*rc::gen::inRange<std::int64_t>(200, 20'000),
                                              *rc::gen::inRange<std::int64_t>(200, 4000), 7};
        auto first_try = scheduler{scheduler_options{}};
        auto repeat = scheduler{scheduler_options{}};
        first_try.handle(cell_settings(), start);
        repeat.handle(cell_settings(), start);
        RC_ASSERT(refused_in(repeat, {{newcomer.prompt, 1, 7}}, 1, start).size() == 1U);
        auto const later = start + std::chrono::minutes{10};
        refused_in(first_try, load, 1000, later);
        refused_in(repeat, load, 1000, later);
        auto const at = later + std::chrono::milliseconds{300};
        RC_ASSERT(refused_in(first_try, {newcomer}, 2000, at) ==
                  refused_in(repeat, {newcomer}, 2000, at));
    });
    BOOST_TEST(passed);
}

}  // namespace
}  // namespace linnetlane::cell

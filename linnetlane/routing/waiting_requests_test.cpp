#include "linnetlane/routing/waiting_requests.h"

#include <chrono>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using std::chrono::milliseconds;

auto const start = base::time_point{} + std::chrono::hours{1};

auto can_wait(int ms) -> waiting_order {
    return waiting_order{1, start + milliseconds{ms}};
}

BOOST_AUTO_TEST_CASE(the_request_with_the_least_time_goes_first) {
    auto waiting = waiting_requests{};
    auto const patient = waiting.enter(can_wait(3000), start).value();
    auto const urgent = waiting.enter(can_wait(500), start).value();
    BOOST_TEST(waiting.is_first(urgent));
    BOOST_TEST(!waiting.is_first(patient));
    waiting.leave(urgent, true, start + milliseconds{100});
    BOOST_TEST(waiting.is_first(patient));
}

BOOST_AUTO_TEST_CASE(a_stream_in_progress_goes_before_requests_that_have_not_begun) {
    auto waiting = waiting_requests{};
    auto const fresh = waiting.enter(can_wait(500), start).value();
    auto const begun = waiting.enter({0, start + milliseconds{3000}}, start).value();
    BOOST_TEST(waiting.is_first(begun));
    waiting.leave(begun, false, start);
    BOOST_TEST(waiting.is_first(fresh));
}

// Lets requests find room, one every `turn`.
auto with_turns_of(milliseconds turn, waiting_requests& waiting) -> base::time_point {
    auto now = start;
    for (auto count = 0; count < 50; ++count) {
        auto const place = waiting.enter(can_wait(1'000'000), now).value();
        now += turn;
        waiting.leave(place, true, now);
    }
    return now;
}

BOOST_AUTO_TEST_CASE(a_request_whose_turn_comes_too_late_is_refused_at_once) {
    auto waiting = waiting_requests{};
    auto const now = with_turns_of(milliseconds{200}, waiting);
    BOOST_TEST(base::to_seconds(waiting.usual_turn()) == 0.2, boost::test_tools::tolerance(1e-6));
    for (auto count = 0; count < 5; ++count) {
        BOOST_TEST(waiting.enter({1, now + milliseconds{1050}}, now).has_value());
    }
    // The sixth turn comes after 1.2 s.
    BOOST_TEST(!waiting.enter({1, now + milliseconds{1100}}, now).has_value());
    BOOST_TEST(waiting.enter({1, now + milliseconds{1300}}, now).has_value());
    // A request with less time goes before the others.
    BOOST_TEST(waiting.enter({1, now + milliseconds{400}}, now).has_value());
}

BOOST_AUTO_TEST_CASE(room_that_was_sought_in_vain_is_not_expected_at_once) {
    auto waiting = waiting_requests{};
    auto const now = with_turns_of(milliseconds{50}, waiting);
    BOOST_TEST(waiting.enter({1, now + std::chrono::hours{1}}, now).has_value());
    auto const later = now + std::chrono::seconds{3};
    BOOST_TEST(!waiting.enter({1, later + std::chrono::seconds{2}}, later).has_value());
    BOOST_TEST(waiting.enter({1, later + std::chrono::seconds{4}}, later).has_value());
}

BOOST_AUTO_TEST_CASE(a_stream_in_progress_waits_although_its_turn_may_come_too_late) {
    auto waiting = waiting_requests{};
    auto const now = with_turns_of(milliseconds{50}, waiting);
    BOOST_TEST(waiting.enter({0, now + std::chrono::hours{1}}, now).has_value());
    auto const later = now + std::chrono::seconds{3};
    BOOST_TEST(!waiting.enter({1, later + std::chrono::seconds{2}}, later).has_value());
    BOOST_TEST(waiting.enter({0, later + std::chrono::seconds{2}}, later).has_value());
}

BOOST_AUTO_TEST_CASE(the_number_of_waiting_requests_is_bounded) {
    auto waiting = waiting_requests{};
    for (auto count = std::size_t{0}; count < waiting_requests::most; ++count) {
        BOOST_TEST(waiting.enter(can_wait(1000), start).has_value());
    }
    BOOST_TEST(!waiting.enter(can_wait(1000), start).has_value());
}

// Whoever else was refused, the same request gets the same answer.
BOOST_AUTO_TEST_CASE(the_answer_follows_from_time_left_and_those_that_wait) {
    BOOST_TEST(rc::check([] {
        auto fresh = waiting_requests{};
        auto seasoned = waiting_requests{};
        auto const turn = milliseconds{*rc::gen::inRange(10, 400)};
        auto const now = with_turns_of(turn, fresh);
        with_turns_of(turn, seasoned);
        auto const times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
        for (auto const ms : times) {
            auto const order = waiting_order{1, now + milliseconds{ms}};
            auto const hopeless = seasoned.enter({1, now - milliseconds{1}}, now);
            if (hopeless) {
                seasoned.leave(*hopeless, false, now);
            }
            RC_ASSERT(fresh.enter(order, now).has_value() ==
                      seasoned.enter(order, now).has_value());
        }
    }));
}

}  // namespace
}  // namespace linnetlane::routing

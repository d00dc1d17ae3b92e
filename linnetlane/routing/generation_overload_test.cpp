// Tests of the admission of generations under overload, for fleets of few hosts.

#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/generation_overload_model.h"

namespace linnetlane::routing {
namespace {

BOOST_AUTO_TEST_CASE(goodput_holds_at_four_times_the_load_with_one_prefill_engine_too_few) {
    check_goodput_holds({.hosts = 7, .prefill_engines = 2}, 20);
}

BOOST_AUTO_TEST_CASE(goodput_holds_at_four_times_the_load_with_enough_prefill_engines) {
    check_goodput_holds({.hosts = 7, .prefill_engines = 4}, 21);
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_below_the_capacity) {
    auto const outcome = simulate({.hosts = 7, .prefill_engines = 3, .rate = 10});
    BOOST_TEST(outcome.refused == 0U);
    BOOST_TEST(outcome.within_target == outcome.in_time);
}

// The engines need about two seconds for what comes in the burst beyond their capacity, and each
// caller waits for 3.6.
BOOST_AUTO_TEST_CASE(callers_who_can_wait_through_a_burst_are_served) {
    auto const outcome = simulate({.hosts = 7,
                                   .prefill_engines = 4,
                                   .rate = 10,
                                   .burst_rate = 42,
                                   .burst = std::chrono::seconds{2}});
    BOOST_TEST(outcome.refused == 0U);
    BOOST_TEST(outcome.in_vain == 0U);
}

// Without admission, the prefill queue of one engine too few holds itself up.
BOOST_AUTO_TEST_CASE(waiting_at_hosts_answers_more_in_time_than_sending_everything_on) {
    auto load = generation_load{.hosts = 7, .prefill_engines = 2, .rate = 80};
    auto const guarded = simulate(load);
    load.guarded = false;
    auto const unguarded = simulate(load);
    BOOST_TEST(guarded.in_time > unguarded.in_time);
    BOOST_TEST(guarded.in_vain < unguarded.in_vain);
}

}  // namespace
}  // namespace linnetlane::routing

#include "linnetlane/routing/isolation_detector.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;
auto const one = base::endpoint{"10.0.0.1", 80};
auto const other = base::endpoint{"10.0.0.2", 80};

BOOST_AUTO_TEST_CASE(links_that_hang_are_noticed_from_waiting_exchanges) {
    auto detector = isolation_detector{};
    detector.note_sent(one, start);
    detector.note_sent(other, start + 50ms);
    BOOST_TEST(!detector.is_isolated(start + 400ms));
    BOOST_TEST(detector.is_isolated(start + 450ms));
}

BOOST_AUTO_TEST_CASE(links_that_are_reset_are_noticed_at_the_second_upstream) {
    auto detector = isolation_detector{};
    for (auto count = 0; count < 5; ++count) {
        detector.note_sent(one, start);
        detector.note_no_answer(one);
        BOOST_TEST(!detector.is_isolated(start));
    }
    detector.note_sent(other, start);
    detector.note_no_answer(other);
    BOOST_TEST(detector.is_isolated(start));
    BOOST_TEST(detector.is_isolated(start + 1h));
    detector.note_answer();
    BOOST_TEST(!detector.is_isolated(start));
}

BOOST_AUTO_TEST_CASE(one_silent_upstream_is_no_isolation) {
    auto detector = isolation_detector{};
    detector.note_sent(one, start);
    detector.note_sent(one, start + 1s);
    BOOST_TEST(!detector.is_isolated(start + 10s));
}

BOOST_AUTO_TEST_CASE(an_answer_of_any_upstream_refutes_the_silence_of_the_others) {
    auto detector = isolation_detector{};
    detector.note_sent(one, start);
    detector.note_sent(other, start);
    detector.note_answer();
    BOOST_TEST(!detector.is_isolated(start + 10s));
}

BOOST_AUTO_TEST_CASE(callers_that_leave_early_are_no_evidence) {
    auto detector = isolation_detector{};
    for (auto const& to : {one, other}) {
        detector.note_sent(to, start);
        detector.note_abandoned(to, start + 100ms);
    }
    BOOST_TEST(!detector.is_isolated(start + 10s));
    for (auto const& to : {one, other}) {
        detector.note_sent(to, start);
        detector.note_abandoned(to, start + 500ms);
    }
    BOOST_TEST(detector.is_isolated(start + 500ms));
}

}  // namespace
}  // namespace linnetlane::routing

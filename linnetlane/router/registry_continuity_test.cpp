#include "linnetlane/router/registry_continuity.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

using namespace std::chrono_literals;

auto const start = registry_continuity::time_point{} + 1h;
constexpr auto longest_wait = 2s;

BOOST_AUTO_TEST_CASE(answers_without_a_gap_prove_the_time_since_the_first_one) {
    auto answers = registry_continuity{longest_wait};
    BOOST_TEST((answers.time_without_gap(start) == base::duration::zero()));
    auto now = start;
    for (; now < start + 10s; now += longest_wait) {
        answers.note_answer(now);
    }
    BOOST_TEST((answers.time_without_gap(now) == now - start));
}

// A host that stood still during an outage has noticed no loss.
BOOST_AUTO_TEST_CASE(a_gap_between_two_answers_ends_the_proof) {
    auto answers = registry_continuity{longest_wait};
    answers.note_answer(start);
    auto const later = start + longest_wait + 1s;
    BOOST_TEST((answers.time_without_gap(later) == base::duration::zero()));
    answers.note_answer(later);
    BOOST_TEST((answers.time_without_gap(later + 1s) == 1s));
}

BOOST_AUTO_TEST_CASE(a_loss_ends_the_proof) {
    auto answers = registry_continuity{longest_wait};
    answers.note_answer(start);
    answers.note_loss();
    BOOST_TEST((answers.time_without_gap(start + 1s) == base::duration::zero()));
    answers.note_answer(start + 1s);
    BOOST_TEST((answers.time_without_gap(start + 2s) == 1s));
}

}  // namespace
}  // namespace linnetlane::router

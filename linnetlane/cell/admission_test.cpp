#include "linnetlane/cell/admission.h"

#include <array>
#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

namespace linnetlane::cell {
namespace {

using std::chrono::milliseconds;

auto const begin = base::time_point{} + std::chrono::hours{1};

// Offers a request of each caller every 10 ms, and `factor` of them for the first caller. Returns
// the fraction of each caller's requests that was admitted.
auto admitted_fractions(admission_gate& gate, int factor, base::duration wait)
    -> std::array<double, 2> {
    auto const callers = std::array{base::caller_id{"greedy"}, base::caller_id{"modest"}};
    auto admitted = std::array<double, 2>{};
    constexpr auto rounds = 4000;
    for (auto round = 0; round < rounds; ++round) {
        auto const now = begin + round * milliseconds{10};
        for (auto which = std::size_t{0}; which < 2; ++which) {
            auto const times = which == 0 ? factor : 1;
            for (auto offer = 0; offer < times; ++offer) {
                gate.note_demand(callers[which], 1, now);
                auto const admits = gate.admits(callers[which], 1, wait, milliseconds{400}, now);
                admitted[which] += admits ? 1.0 / rounds / times : 0;
            }
        }
    }
    return admitted;
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_while_the_wait_is_short) {
    auto gate = admission_gate{};
    auto const fractions = admitted_fractions(gate, 1, milliseconds{100});
    BOOST_TEST(fractions[0] == 1.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_caller_within_its_share_is_not_refused_for_another_s_excess) {
    auto gate = admission_gate{};
    auto const fractions = admitted_fractions(gate, 9, milliseconds{300});
    BOOST_TEST(fractions[1] > 0.99);
    BOOST_TEST(fractions[0] == 0.44, boost::test_tools::tolerance(0.03));
}

BOOST_AUTO_TEST_CASE(shares_follow_the_weights) {
    auto gate = admission_gate{};
    gate.set_weight(base::caller_id{"greedy"}, 3);
    auto const fractions = admitted_fractions(gate, 3, milliseconds{300});
    BOOST_TEST(fractions[0] == fractions[1], boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(a_larger_weight_gives_a_larger_share) {
    auto gate = admission_gate{};
    gate.set_weight(base::caller_id{"greedy"}, 2);
    auto const fractions = admitted_fractions(gate, 9, milliseconds{350});
    // A quarter of 10 units of work: 2 to 1, but the second caller asks for 1 only.
    BOOST_TEST(fractions[0] == 5.0 / 3 / 9, boost::test_tools::tolerance(0.03));
    BOOST_TEST(fractions[1] > 0.8);
}

// Every caller has time left, so no refusal of one helps another.
BOOST_AUTO_TEST_CASE(callers_that_ask_alike_are_not_refused_while_they_have_time) {
    for (auto const wait : {250, 300, 390}) {
        auto gate = admission_gate{};
        auto const fractions = admitted_fractions(gate, 1, milliseconds{wait});
        BOOST_TEST(fractions[0] == 1.0, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(fractions[1] == 1.0, boost::test_tools::tolerance(1e-9));
    }
}

BOOST_AUTO_TEST_CASE(the_only_caller_is_not_refused_while_it_has_time) {
    auto gate = admission_gate{};
    auto const caller = base::caller_id{"only"};
    for (auto round = 0; round < 1000; ++round) {
        auto const now = begin + round * milliseconds{10};
        gate.note_demand(caller, 1, now);
        BOOST_TEST_REQUIRE(gate.admits(caller, 1, milliseconds{390}, milliseconds{400}, now));
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_can_wait_longer_is_admitted_beyond_its_caller_s_share) {
    auto gate = admission_gate{};
    admitted_fractions(gate, 9, milliseconds{390});
    auto const now = begin + std::chrono::seconds{40};
    auto const greedy = base::caller_id{"greedy"};
    while (gate.admits(greedy, 1, milliseconds{390}, milliseconds{400}, now)) {
    }
    BOOST_TEST(gate.admits(greedy, 1, milliseconds{390}, milliseconds{1600}, now));
}

}  // namespace
}  // namespace linnetlane::cell

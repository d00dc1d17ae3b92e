// Tests of the limit on prefills after timeouts.

#include "linnetlane/routing/prefill_limiter.h"

#include <chrono>
#include <cstddef>

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;
auto const one = base::upstream_id{"e1"};
auto const other = base::upstream_id{"e2"};
constexpr auto rate = 2.0;

// Returns how many of the prefills that are requested every 10 ms for `length` are admitted.
auto admitted(prefill_limiter& limiter, base::time_point from, base::duration length)
    -> std::size_t {
    auto count = std::size_t{0};
    for (auto now = from; now < from + length; now += 10ms) {
        count += limiter.admits(rate, now) ? 1 : 0;
    }
    return count;
}

BOOST_AUTO_TEST_CASE(without_timeouts_every_prefill_is_admitted) {
    auto limiter = prefill_limiter{};
    BOOST_TEST(admitted(limiter, start, 1s) == 100U);
}

BOOST_AUTO_TEST_CASE(timeouts_at_a_single_engine_limit_nothing) {
    auto limiter = prefill_limiter{};
    for (auto count = 0; count < 5; ++count) {
        limiter.note_timeout(one, start + count * 100ms);
    }
    limiter.note_timeout(other, start + 10s);
    BOOST_TEST(admitted(limiter, start + 10s, 1s) == 100U);
}

BOOST_AUTO_TEST_CASE(after_timeouts_at_two_engines_prefills_keep_to_the_hosts_share) {
    auto limiter = prefill_limiter{};
    limiter.note_timeout(one, start);
    limiter.note_timeout(other, start + 100ms);
    auto const count = admitted(limiter, start + 100ms, 2s);
    BOOST_TEST(count >= 4U);
    BOOST_TEST(count <= 6U);
}

BOOST_AUTO_TEST_CASE(the_limit_rises_while_no_prefill_times_out) {
    auto limiter = prefill_limiter{};
    limiter.note_timeout(one, start);
    limiter.note_timeout(other, start);
    auto const early = admitted(limiter, start, 2s);
    auto const later = admitted(limiter, start + 2s, 2s);
    BOOST_TEST(later > early);
}

BOOST_AUTO_TEST_CASE(the_limit_ends_when_fewer_prefills_are_requested) {
    auto limiter = prefill_limiter{};
    limiter.note_timeout(one, start);
    limiter.note_timeout(other, start);
    BOOST_TEST(admitted(limiter, start, 500ms) < 50U);
    BOOST_TEST(admitted(limiter, start + 500ms + prefill_limiter::limited_time, 500ms) == 50U);
}

BOOST_AUTO_TEST_CASE(an_unknown_rate_limits_nothing) {
    auto limiter = prefill_limiter{};
    limiter.note_timeout(one, start);
    limiter.note_timeout(other, start);
    BOOST_TEST(limiter.admits(0, start));
    BOOST_TEST(limiter.admits(0, start));
}

}  // namespace
}  // namespace linnetlane::routing

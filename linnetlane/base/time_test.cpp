#include "linnetlane/base/time.h"

#include <chrono>
#include <limits>

#include <boost/test/unit_test.hpp>

namespace linnetlane::base {
namespace {

// Seconds that others state are added to the time of day of the process.
BOOST_AUTO_TEST_CASE(a_deadline_can_be_computed_from_any_number_of_seconds) {
    auto const now = monotonic_clock::now();
    for (auto const seconds : {1e10, 1e300, std::numeric_limits<double>::infinity()}) {
        BOOST_TEST((now + from_seconds(seconds) > now + std::chrono::hours{24}));
        BOOST_TEST((now + from_seconds(-seconds) < now - std::chrono::hours{24}));
    }
    BOOST_TEST((from_seconds(std::numeric_limits<double>::quiet_NaN()) == duration::zero()));
    BOOST_TEST((from_seconds(0.25) == std::chrono::milliseconds{250}));
    BOOST_TEST((from_seconds(-1) == std::chrono::seconds{-1}));
}

BOOST_AUTO_TEST_CASE(a_deadline_can_be_computed_from_any_count_of_a_unit) {
    auto const now = monotonic_clock::now();
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    BOOST_TEST(
        (now + limited_span<std::chrono::milliseconds>(most) > now + std::chrono::hours{24}));
    BOOST_TEST((now + limited_span<std::chrono::microseconds>(-most) < now));
    BOOST_TEST((limited_span<std::chrono::milliseconds>(5) == std::chrono::milliseconds{5}));
}

}  // namespace
}  // namespace linnetlane::base

#include "linnetlane/router/shutdown_schedule.h"

#include <chrono>

#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{1h};

BOOST_AUTO_TEST_CASE(a_grace_of_eight_seconds_accepts_connections_and_requests_for_three) {
    auto const schedule = make_shutdown_schedule(start, 8s);
    BOOST_TEST((schedule.connections_until - start == 2600ms));
    BOOST_TEST((schedule.requests_until - start == 2900ms));
    BOOST_TEST((schedule.work_until - start == 7200ms));
    BOOST_TEST((schedule.exit_by - start == 7400ms));
}

// The times to accept were constants, and a grace of four seconds left 0.3 s to the last requests.
BOOST_AUTO_TEST_CASE(a_shorter_grace_leaves_the_same_share_of_it_to_the_last_requests) {
    for (auto const grace : {1ms, 500ms, 2000ms, 4000ms, 8000ms}) {
        auto const schedule = make_shutdown_schedule(start, grace);
        BOOST_TEST((schedule.connections_until >= start));
        BOOST_TEST((schedule.requests_until >= schedule.connections_until));
        BOOST_TEST((schedule.work_until - schedule.requests_until >= grace / 2));
        BOOST_TEST((schedule.exit_by > schedule.work_until));
        BOOST_TEST((schedule.exit_by < start + grace));
    }
}

BOOST_AUTO_TEST_CASE(a_longer_grace_is_left_to_the_requests_under_way) {
    auto const schedule = make_shutdown_schedule(start, 60s);
    BOOST_TEST((schedule.connections_until - start == 2600ms));
    BOOST_TEST((schedule.requests_until - start == 2900ms));
    BOOST_TEST((start + 60s - schedule.work_until == 800ms));
    BOOST_TEST((start + 60s - schedule.exit_by == 600ms));
}

}  // namespace
}  // namespace linnetlane::router

#include "linnetlane/routing/retry_budget.h"

#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

// Requests spread unevenly over hosts, each of which repeats as often as it may.
BOOST_AUTO_TEST_CASE(the_hosts_shares_never_add_up_to_more_than_the_budget) {
    BOOST_TEST(rc::check([] {
        auto const hosts = *rc::gen::inRange<std::size_t>(1, 40);
        auto const slack = *rc::gen::inRange(0, 200);
        auto const bounds =
            retry_bounds{base::fraction{0.2}, static_cast<double>(slack), std::chrono::seconds{10}};
        auto requests = std::size_t{0};
        auto repeats = std::size_t{0};
        for (auto host = std::size_t{0}; host < hosts; ++host) {
            auto allowance = retry_allowance{bounds};
            auto const own = *rc::gen::inRange<std::size_t>(0, 300);
            for (auto count = std::size_t{0}; count < own; ++count) {
                allowance.note_request(start);
            }
            requests += own;
            while (allowance.try_take(hosts, start)) {
                ++repeats;
            }
        }
        RC_ASSERT(static_cast<double>(repeats) <= 0.2 * static_cast<double>(requests) + slack);
    }));
}

BOOST_AUTO_TEST_CASE(repeats_come_back_when_their_window_is_over) {
    auto allowance = retry_allowance{{base::fraction{0}, 2, std::chrono::seconds{10}}};
    BOOST_TEST(allowance.try_take(1, start));
    BOOST_TEST(!allowance.try_take(1, start));
    BOOST_TEST(!allowance.try_take(1, start + std::chrono::seconds{9}));
    BOOST_TEST(allowance.try_take(1, start + std::chrono::seconds{11}));
}

}  // namespace
}  // namespace linnetlane::routing

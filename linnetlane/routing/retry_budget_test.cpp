#include "linnetlane/routing/retry_budget.h"

#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

// Requests are distributed unevenly over hosts, each of which uses its whole budget.
BOOST_AUTO_TEST_CASE(shares_of_hosts_never_exceed_the_budget) {
    BOOST_TEST(rc::check([] {
        auto const hosts = *rc::gen::inRange<std::size_t>(1, 40);
        auto const slack = *rc::gen::inRange(0, 200);
        auto const limits = retry_budget_limits{base::fraction{0.2}, static_cast<double>(slack),
                                                std::chrono::seconds{10}};
        auto requests = std::size_t{0};
        auto retries = std::size_t{0};
        for (auto host = std::size_t{0}; host < hosts; ++host) {
            auto budget = retry_budget{limits};
            auto const own = *rc::gen::inRange<std::size_t>(0, 300);
            for (auto count = std::size_t{0}; count < own; ++count) {
                budget.note_request(start);
            }
            requests += own;
            while (budget.try_take(hosts, start)) {
                ++retries;
            }
        }
        RC_ASSERT(static_cast<double>(retries) <= 0.2 * static_cast<double>(requests) + slack);
    }));
}

BOOST_AUTO_TEST_CASE(retries_are_available_again_after_the_window) {
    auto budget = retry_budget{{base::fraction{0}, 2, std::chrono::seconds{10}}};
    BOOST_TEST(budget.try_take(1, start));
    BOOST_TEST(!budget.try_take(1, start));
    BOOST_TEST(!budget.try_take(1, start + std::chrono::seconds{9}));
    BOOST_TEST(budget.try_take(1, start + std::chrono::seconds{11}));
}

}  // namespace
}  // namespace linnetlane::routing

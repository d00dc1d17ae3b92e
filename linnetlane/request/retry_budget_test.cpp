#include "linnetlane/request/retry_budget.h"

#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::request {
namespace {

RC_BOOST_PROP(retries_never_exceed_their_share_of_accepted_requests,
              (std::vector<bool> const& tries)) {
    auto budget = retry_budget{};
    auto const share = base::fraction{0.1};
    auto accepted = 0;
    auto taken = 0;
    // Each entry accepts a request or takes all available retries.
    for (auto const accept : tries) {
        if (accept) {
            budget.record_accepted(share);
            ++accepted;
            continue;
        }
        while (budget.try_take()) {
            ++taken;
        }
    }
    RC_ASSERT(taken <= retry_budget::max_retries + accepted * share.value);
}

BOOST_AUTO_TEST_CASE(ten_accepted_requests_add_one_retry_at_a_share_of_a_tenth) {
    auto budget = retry_budget{};
    while (budget.try_take()) {
    }
    for (auto request = 0; request < 9; ++request) {
        budget.record_accepted(base::fraction{0.1});
    }
    BOOST_TEST(!budget.try_take());
    budget.record_accepted(base::fraction{0.1});
    BOOST_TEST(budget.try_take());
    BOOST_TEST(!budget.try_take());
}

}  // namespace
}  // namespace linnetlane::request

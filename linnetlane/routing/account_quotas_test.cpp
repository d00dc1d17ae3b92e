#include "linnetlane/routing/account_quotas.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

auto after(double seconds) -> base::time_point {
    return start + base::from_seconds(seconds);
}

auto account(double per_second, double burst) -> client_account {
    auto made = client_account{};
    made.id.value = "one";
    made.quota = account_quota{quota_unit::tokens, per_second, burst, 200};
    return made;
}

auto is_taken(quota_result const& result) -> bool {
    return std::holds_alternative<quota_taken>(result);
}

BOOST_AUTO_TEST_CASE(a_bucket_fills_at_the_share_of_the_rate_and_not_beyond_that_of_the_burst) {
    auto quotas = account_quotas{{}};
    auto const one = account(1000, 500);
    quotas.set_share(0.5, start);
    BOOST_TEST(quotas.level(one, start) == 0);
    BOOST_TEST(quotas.level(one, after(0.2)) == 100, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(quotas.level(one, after(9)) == 250, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(is_taken(quotas.take(one, 240, after(9))));
    quotas.set_share(0.1, after(9));
    BOOST_TEST(quotas.level(one, after(9.1)) == 20, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(beyond_the_quota_the_wait_is_until_there_is_room) {
    auto quotas = account_quotas{{}};
    auto const one = account(1000, 1000);
    quotas.set_share(1, start);
    BOOST_TEST(quotas.level(one, start) == 0);
    BOOST_TEST(is_taken(quotas.take(one, 900, after(1))));
    auto const refused = quotas.take(one, 400, after(1));
    auto const* const wait = std::get_if<quota_wait>(&refused);
    BOOST_REQUIRE(wait != nullptr);
    BOOST_TEST(base::to_seconds(wait->wait) == 0.3, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(is_taken(quotas.take(one, 400, after(1.3))));
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_all_buckets_is_taken_from_full_ones_and_paid_off) {
    auto quotas = account_quotas{{}};
    auto const one = account(1000, 1000);
    quotas.set_share(1, start);
    BOOST_TEST(quotas.level(one, start) == 0);
    BOOST_TEST(!is_taken(quotas.take(one, 3000, after(0.9))));
    BOOST_TEST(is_taken(quotas.take(one, 3000, after(1))));
    BOOST_TEST(!is_taken(quotas.take(one, 10, after(2.9))));
    BOOST_TEST(is_taken(quotas.take(one, 10, after(3.2))));
}

BOOST_AUTO_TEST_CASE(a_host_takes_no_request_beyond_its_share_even_from_a_full_bucket) {
    // If each of ten hosts did, they would take 3,000 at once.
    auto quotas = account_quotas{{}};
    auto const one = account(1000, 1000);
    quotas.set_share(0.1, start);
    BOOST_TEST(quotas.level(one, start) == 0);
    BOOST_TEST(!is_taken(quotas.take(one, 300, after(9))));
    BOOST_TEST(is_taken(quotas.take(one, 100, after(9))));
    BOOST_TEST(!is_taken(quotas.take(one, 1, after(9))));
}

BOOST_AUTO_TEST_CASE(the_buckets_of_all_hosts_hold_a_part_of_the_tolerance_beyond_the_burst) {
    auto const tolerance = quota_tolerance{std::chrono::seconds{8}, base::fraction{0.1}, 100};
    auto quotas = account_quotas{tolerance};
    auto const one = account(1000, 1000);
    quotas.set_share(0.25, start);
    static_cast<void>(quotas.level(one, start));
    auto const tolerated = 0.1 * 9000 + 100;
    BOOST_TEST(
        quotas.level(one, after(9)) == 0.25 * (1000 + account_quotas::reserve_share * tolerated),
        boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_host_that_loses_its_share_keeps_nothing_of_it) {
    auto quotas = account_quotas{{}};
    auto const one = account(1000, 1000);
    quotas.set_share(0.25, start);
    BOOST_TEST(quotas.level(one, start) == 0);
    BOOST_TEST(quotas.level(one, after(9)) == 250, boost::test_tools::tolerance(1e-9));
    quotas.set_share(0.1, after(9));
    BOOST_TEST(quotas.level(one, after(9)) == 100, boost::test_tools::tolerance(1e-9));
    quotas.set_share(0, after(9));
    quotas.set_share(0.25, after(10));
    BOOST_TEST(quotas.level(one, after(10)) == 0);
}

BOOST_AUTO_TEST_CASE(what_a_keeper_lends_is_its_own_no_longer) {
    auto lender = account_quotas{{}};
    auto borrower = account_quotas{{}};
    auto const one = account(1000, 1000);
    lender.set_share(0.5, start);
    borrower.set_share(0.5, start);
    auto const before = lender.level(one, after(1)) + borrower.level(one, after(1));
    auto const lent = lender.lend(one, 800, after(1));
    borrower.borrow(one, lent, after(1));
    BOOST_TEST(lent > 0);
    BOOST_TEST(lender.level(one, after(1)) + borrower.level(one, after(1)) == before,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(lender.lend(one, -5, after(1)) == 0);
}

BOOST_AUTO_TEST_CASE(a_restart_grants_a_part_of_the_tolerance_and_not_the_burst) {
    auto const tolerance = quota_tolerance{std::chrono::seconds{8}, base::fraction{0.1}, 100};
    auto quotas = account_quotas{tolerance};
    auto const one = account(1000, 1000);
    quotas.set_share(0.25, start);
    auto const tolerated = 0.1 * 9000 + 100;
    BOOST_TEST(quotas.level(one, start) == account_quotas::initial_share * 0.25 * tolerated,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_lowered_quota_leaves_no_more_than_its_own_burst) {
    auto quotas = account_quotas{{}};
    quotas.set_share(1, start);
    BOOST_TEST(quotas.level(account(1000, 1000), start) == 0);
    BOOST_TEST(quotas.level(account(1000, 1000), after(2)) == 1000);
    BOOST_TEST(quotas.level(account(10, 20), after(2)) == 20);
}

BOOST_AUTO_TEST_CASE(accounts_that_are_gone_leave_no_buckets) {
    auto quotas = account_quotas{{}};
    quotas.set_share(1, start);
    BOOST_TEST(quotas.level(account(1000, 1000), start) == 0);
    quotas.retain(client_accounts{{account(10, 10)}});
    BOOST_TEST(quotas.size() == 1U);
    quotas.retain(client_accounts{});
    BOOST_TEST(quotas.size() == 0U);
}

}  // namespace
}  // namespace linnetlane::routing

#include "linnetlane/request/refusal.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace linnetlane::request {
namespace {

using namespace std::chrono_literals;

auto const now = base::time_point{} + 1h;

BOOST_AUTO_TEST_CASE(the_body_holds_type_outcome_and_retry_time) {
    auto const refused = refusal{.type = refusal_type::overloaded, .retry_at = now + 1400ms};
    auto const body = nlohmann::json::parse(refusal_body(refused, now));
    BOOST_TEST(body.at("error").at("type") == "overloaded");
    BOOST_TEST(body.at("error").at("outcome") == "not_run");
    BOOST_TEST(body.at("error").at("retry_after_ms") == 1400);
    BOOST_TEST(retry_after_seconds(refused, now).value() == 2);
}

BOOST_AUTO_TEST_CASE(a_retry_time_in_the_past_gives_the_shortest_wait) {
    auto const refused = refusal{.type = refusal_type::overloaded, .retry_at = now - 1s};
    auto const body = nlohmann::json::parse(refusal_body(refused, now));
    BOOST_TEST(body.at("error").at("retry_after_ms") == 0);
    BOOST_TEST(retry_after_seconds(refused, now).value() == 1);
}

BOOST_AUTO_TEST_CASE(a_refusal_without_a_retry_time_reports_none) {
    auto const refused =
        refusal{.type = refusal_type::upstream_failed, .outcome = outcome::unknown, .retry_at = {}};
    auto const body = nlohmann::json::parse(refusal_body(refused, now));
    BOOST_TEST(body.at("error").at("outcome") == "unknown");
    BOOST_TEST(!body.at("error").contains("retry_after_ms"));
    BOOST_TEST(!retry_after_seconds(refused, now).has_value());
}

}  // namespace
}  // namespace linnetlane::request

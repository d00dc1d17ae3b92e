#include "linnetlane/router/settings.h"

#include <string>

#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

auto const whole = std::string{R"(
host = "h1"
data_centre = "a"
processor_share = 0.12
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
[coordination]
address = "127.0.0.1:3"
order_lease = "3000ms"
first_start = true
[retries]
ratio = 0.2
window = "10s"
slack = 54
[leaving]
grace = "8s"
[changes]
applied_within = "1500ms"
[memory]
process_megabytes = 110
)"};

BOOST_AUTO_TEST_CASE(settings_are_read_with_their_units) {
    auto const parsed = parse_router_settings(whole);
    auto const* const read = std::get_if<router_settings>(&parsed);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST(read->host.value == "h1");
    BOOST_TEST(base::to_seconds(read->order_lease) == 3.0);
    BOOST_TEST(read->first_start);
    BOOST_TEST(read->processor_share.value == 0.12);
    BOOST_TEST(read->retries.slack == 54.0);
    BOOST_TEST(base::to_seconds(read->leaving.grace) == 8.0);
    BOOST_TEST(base::to_seconds(read->changes.applied_within) == 1.5);
    BOOST_TEST(read->memory.process == base::byte_count{110'000'000});
    BOOST_TEST(read->memory.answers() == base::byte_count{27'500'000});
}

BOOST_AUTO_TEST_CASE(a_memory_limit_out_of_bounds_is_reported) {
    for (auto const* const megabytes : {"0", "-1", "1000000001"}) {
        auto text = whole;
        text.replace(text.find("110"), 3, megabytes);
        auto const parsed = parse_router_settings(text);
        auto const* const problems = base::failure_of(parsed);
        BOOST_REQUIRE(problems != nullptr);
        BOOST_TEST(problems->size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_at_once) {
    auto const parsed = parse_router_settings(
        "host = \"h1\"\nunknown = 1\n[generation]\noutput_margin = -1.0\nengines_asked = 0\n");
    auto const* const problems = base::failure_of(parsed);
    BOOST_REQUIRE(problems != nullptr);
    // The missing data centre, two missing tables, the unknown key and two values out of bounds.
    BOOST_TEST(problems->size() == 6U);
}

}  // namespace
}  // namespace linnetlane::router

#include "linnetlane/settings/text_values.h"

#include <array>
#include <chrono>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::settings {
namespace {

using namespace std::chrono_literals;

RC_BOOST_PROP(a_duration_round_trips_through_text, (std::uint32_t count, std::uint8_t scale)) {
    constexpr auto scales =
        std::array<std::int64_t, 5>{1, 1'000, 1'000'000, 1'000'000'000, 60'000'000'000};
    auto const span = std::chrono::nanoseconds{scales[scale % scales.size()] * (count % 100'000)};
    RC_ASSERT(parse_duration(format_duration(span)) == span);
}

BOOST_AUTO_TEST_CASE(durations_may_have_a_decimal_point) {
    BOOST_TEST((parse_duration("1.8s") == 1800ms));
    BOOST_TEST((parse_duration("0.5ms") == 500us));
    BOOST_TEST((parse_duration("40ms") == 40ms));
}

BOOST_AUTO_TEST_CASE(malformed_durations_are_rejected) {
    for (auto const* text : {"", "5", "s", "-1s", "1.s", ".5s", "1.5ns", "1e3s", "1 s", "5sec",
                             "9999999999999h", "0x1s", "1.2.3s"}) {
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST(!parse_duration(text).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(an_endpoint_is_an_ip_address_and_a_port) {
    BOOST_TEST((parse_endpoint("10.0.0.1:80") == base::endpoint{"10.0.0.1", 80}));
    BOOST_TEST((parse_endpoint("[::1]:80") == base::endpoint{"::1", 80}));
    BOOST_TEST(format_endpoint({"::1", 80}) == "[::1]:80");
    for (auto const* text : {"localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "::1:80",
                             "[10.0.0.1]:80", "10.0.0:80", "10.0.0.1:+80", ":80", "[]:80"}) {
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST(!parse_endpoint(text).has_value());
        }
    }
    // The system's parser of addresses ends at a zero byte.
    using namespace std::string_view_literals;
    BOOST_TEST(!parse_endpoint("10.0.0.1\0:80"sv).has_value());
    BOOST_TEST(!parse_endpoint("10.0.0.1\0\r\nA: b:80"sv).has_value());
    BOOST_TEST(!parse_endpoint("[::1\0]:80"sv).has_value());
}

BOOST_AUTO_TEST_CASE(a_name_has_no_separators) {
    BOOST_TEST(is_name("bne-north.1_a"));
    for (auto const* text : {"", "-a", "a/b", "a b", "a\n", "\xc3\xa4"}) {
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST(!is_name(text));
        }
    }
    BOOST_TEST(!is_name(std::string(65, 'a')));
}

}  // namespace
}  // namespace linnetlane::settings

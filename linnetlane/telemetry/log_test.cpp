#include "linnetlane/telemetry/log.h"

#include <memory>
#include <sstream>
#include <string>
#include <type_traits>

#include <spdlog/sinks/ostream_sink.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace linnetlane::telemetry {
namespace {

// Free text, keys and prompts can't be recorded.
static_assert(!std::is_constructible_v<field, std::string>);
static_assert(!std::is_constructible_v<field, char const*>);
static_assert(!std::is_constructible_v<field, base::idempotency_key>);
static_assert(!std::is_constructible_v<field, literal, std::string>);
static_assert(!std::is_constructible_v<field, literal, std::string_view>);
static_assert(!std::is_constructible_v<literal, std::string>);

struct log_capture {
    std::ostringstream out;
    event_log log;

    explicit log_capture(settings::log_settings const& chosen)
        : log{chosen,
              {{"bne-north-1"}, {"bne-north"}},
              std::make_shared<spdlog::sinks::ostream_sink_mt>(this->out)} {}
};

BOOST_AUTO_TEST_CASE(a_json_line_holds_every_field) {
    auto written = log_capture{{log_level::info, settings::log_format::json}};
    auto const service = base::service_id{"finding \"x\"\n"};
    written.log.write(log_level::warning, "request refused",
                      {base::request_id{1, 2},
                       base::attempt_number{3},
                       service,
                       {"reason", "overloaded"},
                       {"prompt_tokens", base::token_count{40}},
                       {"waited", base::duration{std::chrono::milliseconds{1500}}}});
    auto const line = nlohmann::json::parse(written.out.str());
    BOOST_TEST(line["event"] == "request refused");
    BOOST_TEST(line["level"] == "warning");
    BOOST_TEST(line["host"] == "bne-north-1");
    BOOST_TEST(line["data_centre"] == "bne-north");
    BOOST_TEST(line["request"] == "00000000000000010000000000000002");
    BOOST_TEST(line["attempt"] == 3);
    BOOST_TEST(line["service"] == service.value);
    BOOST_TEST(line["reason"] == "overloaded");
    BOOST_TEST(line["prompt_tokens"] == 40);
    BOOST_TEST(line["waited"] == 1.5);
}

BOOST_AUTO_TEST_CASE(a_text_line_stays_one_line) {
    auto written = log_capture{{log_level::info, settings::log_format::text}};
    auto const upstream = base::upstream_id{"a\nb"};
    auto const address = base::endpoint{"10.0.0.1", 80};
    written.log.write(log_level::info, "upstream gone", {upstream, address});
    auto const line = written.out.str();
    BOOST_TEST(line.substr(line.find(" info")) ==
               " info host=\"bne-north-1\" data_centre=\"bne-north\" upstream gone "
               "upstream=\"a\\nb\" address=\"10.0.0.1:80\"\n");
}

BOOST_AUTO_TEST_CASE(lines_below_the_level_are_left_out) {
    auto written = log_capture{{log_level::warning, settings::log_format::text}};
    written.log.write(log_level::info, "upstream gone", {});
    BOOST_TEST(written.out.str().empty());
    BOOST_TEST(!written.log.writes(log_level::info));
    BOOST_TEST(written.log.writes(log_level::error));
}

}  // namespace
}  // namespace linnetlane::telemetry

#include "linnetlane/telemetry/trace.h"

#include <memory>
#include <sstream>
#include <string>

#include <rapidcheck/boost_test.h>
#include <spdlog/sinks/ostream_sink.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace linnetlane::telemetry {
namespace {

constexpr auto published_example =
    std::string_view{"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"};

BOOST_AUTO_TEST_CASE(the_published_traceparent_is_read_and_written_back) {
    auto const context = parse_traceparent(published_example);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(context->trace == (base::request_id{0x0af7651916cd43dd, 0x8448eb211c80319c}));
    BOOST_TEST(context->parent == span_id{0xb7ad6b7169203331});
    BOOST_TEST(context->sampled);
    BOOST_TEST(format_traceparent(*context) == published_example);
}

BOOST_AUTO_TEST_CASE(a_later_version_with_more_parts_is_read) {
    auto const context = parse_traceparent(
        "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-what-comes-later");
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(!context->sampled);
}

BOOST_AUTO_TEST_CASE(a_malformed_traceparent_is_rejected) {
    for (auto const* header : {
             "",
             "00",
             "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
             "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
             "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333g-01",
             "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00what",
         }) {
        BOOST_TEST_CONTEXT(header) {
            BOOST_TEST(!parse_traceparent(header).has_value());
        }
    }
}

RC_BOOST_PROP(a_context_round_trips_through_its_header,
              (std::uint64_t high, std::uint64_t low, std::uint64_t parent, bool sampled)) {
    RC_PRE(parent != 0 && (high != 0 || low != 0));
    auto const context = trace_context{{high, low}, span_id{parent}, sampled};
    RC_ASSERT(parse_traceparent(format_traceparent(context)) == context);
}

RC_BOOST_PROP(arbitrary_text_is_parsed_or_rejected, (std::string const& text)) {
    (void)parse_traceparent(text);
}

struct trace_capture {
    std::ostringstream out;
    tracer traces{{{"bne-north-1"}, {"bne-north"}},
                  std::make_shared<spdlog::sinks::ostream_sink_mt>(this->out)};
};

BOOST_AUTO_TEST_CASE(a_span_is_exported_as_otlp_json) {
    auto written = trace_capture{};
    auto const now = base::monotonic_clock::now();
    auto const context = *parse_traceparent(published_example);
    auto hop = written.traces.start(context, "prefill", span_kind::client, now);
    auto const upstream = base::upstream_id{"finding-p1"};
    hop.add(upstream);
    hop.add({"prompt_tokens", base::token_count{40}});
    auto const inner = hop.child_context();
    written.traces.finish(std::move(hop), span_status::error, now + std::chrono::milliseconds{5});

    auto const line = nlohmann::json::parse(written.out.str());
    auto const resource = line["resourceSpans"][0];
    BOOST_TEST(resource["resource"]["attributes"][1]["value"]["stringValue"] == "bne-north-1");
    auto const span = resource["scopeSpans"][0]["spans"][0];
    BOOST_TEST(span["traceId"] == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(span["parentSpanId"] == "b7ad6b7169203331");
    BOOST_TEST(format_traceparent(inner).find(span["spanId"].get<std::string>()) !=
               std::string::npos);
    BOOST_TEST(span["name"] == "prefill");
    BOOST_TEST(span["kind"] == 3);
    BOOST_TEST(span["status"]["code"] == 2);
    BOOST_TEST(span["attributes"][0]["value"]["stringValue"] == "finding-p1");
    BOOST_TEST(span["attributes"][1]["value"]["intValue"] == "40");
    auto const start = std::stoll(span["startTimeUnixNano"].get<std::string>());
    auto const end = std::stoll(span["endTimeUnixNano"].get<std::string>());
    BOOST_TEST(end - start == 5'000'000);
}

BOOST_AUTO_TEST_CASE(spans_are_not_recorded_when_tracing_is_off_or_the_trace_is_not_sampled) {
    auto written = trace_capture{};
    auto const now = base::monotonic_clock::now();
    auto off = tracer{settings::trace_settings{}, {{"a"}, {"b"}}};
    auto const upstream = base::upstream_id{"finding-p1"};
    auto const sampled = trace_context{{1, 2}, span_id{3}, true};
    auto const unsampled = trace_context{{1, 2}, span_id{3}, false};
    auto first = off.start(sampled, "prefill", span_kind::client, now);
    auto second = written.traces.start(unsampled, "prefill", span_kind::client, now);
    first.add(upstream);
    second.add(upstream);
    BOOST_TEST(first.attributes.empty());
    BOOST_TEST(second.attributes.empty());
    BOOST_TEST((first.child_context() == sampled));
    off.finish(std::move(first), span_status::ok, now);
    written.traces.finish(std::move(second), span_status::ok, now);
    BOOST_TEST(written.out.str().empty());
}

}  // namespace
}  // namespace linnetlane::telemetry

#include "linnetlane/telemetry/metrics.h"

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

namespace linnetlane::telemetry {
namespace {

auto contains(std::string const& text, std::string const& line) -> bool {
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

BOOST_AUTO_TEST_CASE(goodput_counts_completed_requests_within_both_targets_only) {
    auto table = metrics{};
    auto& finding = table.of(base::service_id{"finding"});
    auto request = ended_request{};
    request.produced = base::token_count{10};
    request.within_targets = true;
    finding.count_ended(request);
    request.within_targets = false;
    finding.count_ended(request);
    request.within_targets = true;
    request.ending = request_ending::cut;
    finding.count_ended(request);
    auto const text = table.scrape();
    BOOST_TEST(contains(text, R"(linnetlane_output_tokens_total{service="finding"} 30)"));
    BOOST_TEST(
        contains(text, R"(linnetlane_output_tokens_within_targets_total{service="finding"} 10)"));
    BOOST_TEST(contains(
        text,
        R"(linnetlane_requests_within_targets_total{priority="interactive",service="finding"} 1)"));
}

BOOST_AUTO_TEST_CASE(wasted_prefill_is_counted_by_cause) {
    auto table = metrics{};
    auto& finding = table.of(base::service_id{"finding"});
    finding.count_prefill(base::token_count{500});
    finding.count_wasted_prefill(waste_cause::expired, base::token_count{200});
    auto const text = table.scrape();
    BOOST_TEST(contains(text, R"(linnetlane_prefill_tokens_total{service="finding"} 500)"));
    BOOST_TEST(contains(
        text, R"(linnetlane_wasted_prefill_tokens_total{cause="expired",service="finding"} 200)"));
}

BOOST_AUTO_TEST_CASE(each_type_of_refusal_has_its_own_count) {
    auto table = metrics{};
    auto& finding = table.of(base::service_id{"finding"});
    finding.count_refused(request::refusal_type::overloaded);
    finding.count_refused(request::refusal_type::claim_unavailable);
    auto const text = table.scrape();
    BOOST_TEST(contains(
        text, R"(linnetlane_requests_refused_total{service="finding",type="overloaded"} 1)"));
    BOOST_TEST(contains(
        text,
        R"(linnetlane_requests_refused_total{service="finding",type="claim_unavailable"} 1)"));
}

BOOST_AUTO_TEST_CASE(a_service_keeps_its_metrics) {
    auto table = metrics{};
    auto& first = table.of(base::service_id{"finding"});
    BOOST_TEST(&first == &table.of(base::service_id{"finding"}));
}

BOOST_AUTO_TEST_CASE(services_past_the_bound_are_counted_together) {
    auto table = metrics{};
    for (auto index = std::size_t{0}; index < 3 * max_services; ++index) {
        table.of(base::service_id{"service-" + std::to_string(index)})
            .count_accepted(base::priority_class::interactive);
    }
    auto const text = table.scrape();
    BOOST_TEST(contains(
        text, R"(linnetlane_requests_accepted_total{priority="interactive",service="other"} 128)"));
    BOOST_TEST(text.find("service-64\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(platform_calls_and_peer_messages_are_counted_by_kind) {
    auto table = metrics{};
    table.count_platform_call(platform_operation::swap, call_outcome::unknown,
                              std::chrono::milliseconds{3});
    table.count_peer_message(peer_traffic::cell, peer_direction::sent, base::byte_count{120});
    table.set_hosts(base::data_centre_id{"bne-north"}, host_state::alive, 3);
    auto const text = table.scrape();
    BOOST_TEST(
        contains(text, R"(linnetlane_platform_calls_total{operation="swap",outcome="unknown"} 1)"));
    BOOST_TEST(
        contains(text, R"(linnetlane_peer_bytes_total{direction="sent",traffic="cell"} 120)"));
    BOOST_TEST(contains(text, R"(linnetlane_hosts{data_centre="bne-north",state="alive"} 3)"));
}

}  // namespace
}  // namespace linnetlane::telemetry

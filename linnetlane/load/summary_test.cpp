#include "linnetlane/load/summary.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::load {
namespace {

auto whole(std::int64_t prompt, double first_token, std::vector<double> intervals)
    -> request_outcome {
    auto outcome = request_outcome{};
    outcome.end = request_end::whole;
    outcome.prompt_tokens = base::token_count{prompt};
    outcome.output_tokens = base::token_count{100};
    outcome.first_token = first_token;
    outcome.intervals = std::move(intervals);
    return outcome;
}

auto refused(std::int64_t prompt) -> request_outcome {
    auto outcome = request_outcome{};
    outcome.end = request_end::refused;
    outcome.error_type = "overloaded";
    outcome.prompt_tokens = base::token_count{prompt};
    return outcome;
}

BOOST_AUTO_TEST_CASE(an_answer_is_good_within_both_targets_only) {
    auto targets = latency_targets{};
    BOOST_TEST(is_good(whole(10, 1.8, {0.04, 0.03}), targets));
    BOOST_TEST(!is_good(whole(10, 1.81, {0.03}), targets));
    auto const uneven = whole(10, 1, {0.01, 0.01, 0.09});
    BOOST_TEST(!is_good(uneven, targets));
    targets.measure = interval_measure::mean;
    BOOST_TEST(is_good(uneven, targets));
    auto batch = whole(10, 100, {0.03});
    BOOST_TEST(!is_good(batch, targets));
    batch.priority = base::priority_class::batch;
    BOOST_TEST(is_good(batch, targets));
    BOOST_TEST(!is_good(refused(10), targets));
}

BOOST_AUTO_TEST_CASE(quarters_are_by_prompt_length_and_tokens_count_besides_requests) {
    auto const result =
        summarise({refused(40'000), whole(100, 1, {}), refused(30'000), whole(200, 1, {}),
                   whole(900, 1, {}), whole(1000, 1, {}), whole(2000, 1, {}), whole(3000, 1, {})},
                  latency_targets{});
    BOOST_TEST(result.all.good == 6);
    BOOST_TEST(result.all.good_tokens == 7200 + 600);
    BOOST_TEST(result.all.tokens == result.all.good_tokens + 70'000);
    BOOST_TEST(result.quarters[0].good == 2);
    BOOST_TEST(result.quarters[3].refused == 2);
    BOOST_TEST(result.refusals_by_quarter[3].at("overloaded") == 2);
    BOOST_TEST(result.ends.at(request_end::whole) == 6);
}

BOOST_AUTO_TEST_CASE(percentiles_are_by_nearest_rank) {
    auto samples = std::vector<double>{};
    for (auto value = 100; value > 0; --value) {
        samples.push_back(value);
    }
    auto const found = percentiles_of(samples);
    BOOST_TEST(found.p50 == 50);
    BOOST_TEST(found.p95 == 95);
    BOOST_TEST(found.p99 == 99);
    BOOST_TEST(percentiles_of({7}).p50 == 7);
    BOOST_TEST(percentiles_of({}).p99 == 0);
}

}  // namespace
}  // namespace linnetlane::load

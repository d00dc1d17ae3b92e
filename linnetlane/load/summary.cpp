#include "linnetlane/load/summary.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace linnetlane::load {

namespace {

auto nearest_rank(std::vector<double> const& sorted, double share) -> double {
    auto const position = std::ceil(share * static_cast<double>(sorted.size()));
    auto const index = std::max(std::int64_t{1}, static_cast<std::int64_t>(position)) - 1;
    return sorted[static_cast<std::size_t>(index)];
}

auto interval_statistic(std::vector<double> const& intervals, interval_measure measure) -> double {
    if (intervals.empty()) {
        return 0;
    }
    if (measure == interval_measure::mean) {
        auto const sum = std::accumulate(intervals.begin(), intervals.end(), 0.0);
        return sum / static_cast<double>(intervals.size());
    }
    return percentiles_of(intervals).p95;
}

auto add(request_totals& to, request_outcome const& outcome, bool good) -> void {
    auto const tokens = (outcome.prompt_tokens + outcome.output_tokens).value;
    ++to.requests;
    to.tokens += tokens;
    to.refused += outcome.end == request_end::refused ? 1 : 0;
    if (good) {
        ++to.good;
        to.good_tokens += tokens;
    }
}

}  // namespace

auto percentiles_of(std::vector<double> samples) -> percentiles {
    if (samples.empty()) {
        return {};
    }
    std::ranges::sort(samples);
    return percentiles{nearest_rank(samples, 0.50), nearest_rank(samples, 0.95),
                       nearest_rank(samples, 0.99)};
}

auto is_good(request_outcome const& outcome, latency_targets const& targets) -> bool {
    auto const batch = outcome.priority == base::priority_class::batch;
    auto const first = batch ? targets.batch_first_token : targets.first_token;
    return outcome.end == request_end::whole && outcome.first_token <= base::to_seconds(first) &&
           interval_statistic(outcome.intervals, targets.measure) <=
               base::to_seconds(targets.between_tokens);
}

auto summarise(std::vector<request_outcome> outcomes, latency_targets const& targets) -> summary {
    std::ranges::stable_sort(outcomes, {}, &request_outcome::prompt_tokens);
    auto result = summary{};
    auto first = std::vector<double>{};
    auto batch_first = std::vector<double>{};
    auto intervals = std::vector<double>{};
    for (auto index = std::size_t{0}; index < outcomes.size(); ++index) {
        auto const& outcome = outcomes[index];
        auto const quarter = index * result.quarters.size() / outcomes.size();
        auto const good = is_good(outcome, targets);
        add(result.all, outcome, good);
        add(result.quarters[quarter], outcome, good);
        ++result.ends[outcome.end];
        result.tries += outcome.tries;
        if (outcome.end != request_end::whole) {
            ++result.refusals[outcome.error_type];
            ++result.refusals_by_quarter[quarter][outcome.error_type];
        }
        if (outcome.first_token >= 0) {
            auto const batch = outcome.priority == base::priority_class::batch;
            (batch ? batch_first : first).push_back(outcome.first_token);
        }
        intervals.insert(intervals.end(), outcome.intervals.begin(), outcome.intervals.end());
    }
    result.first_token = percentiles_of(std::move(first));
    result.batch_first_token = percentiles_of(std::move(batch_first));
    result.between_tokens = percentiles_of(std::move(intervals));
    return result;
}

auto name_of(request_end end) -> char const* {
    switch (end) {
        case request_end::whole:
            return "whole";
        case request_end::refused:
            return "refused";
        case request_end::wrong:
            return "wrong";
        case request_end::broken:
            return "broken";
        case request_end::timed_out:
            return "timed_out";
    }
    return "";
}

}  // namespace linnetlane::load

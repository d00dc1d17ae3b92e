// Summary of a run: goodput, refusals and latencies, by requests, by tokens and by quartiles of
// prompt length.

#ifndef LINNETLANE_LOAD_SUMMARY_H_
#define LINNETLANE_LOAD_SUMMARY_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::load {

enum class request_end {
    // The whole answer was received.
    whole,
    // Refused by an HTTP status before any chunk.
    refused,
    // The answer had a foreign, duplicate or missing token, or a malformed event.
    wrong,
    // The connection closed or an error was received before the end of the answer.
    broken,
    // The answer did not end before the deadline.
    timed_out
};

// The outcome of one request.
struct request_outcome {
    request_end end = request_end::broken;
    // The type of the refusal or of the error in the stream, or the name of `end` if neither has a
    // type; empty for a whole answer.
    std::string error_type;
    base::priority_class priority = base::priority_class::interactive;
    base::token_count prompt_tokens;
    base::token_count output_tokens;
    // Number of tries, including retries after a stated retry time.
    std::int64_t tries = 1;
    // Time from arrival to the first token, in seconds; negative if there was none.
    double first_token = -1;
    // Times between consecutive tokens, in seconds.
    std::vector<double> intervals;
};

// The statistic of a request's token intervals that has to be within the target.
enum class interval_measure { mean, percentile_95 };

// Latency targets that an answer must meet to count as goodput, before scaling by engine speed.
struct latency_targets {
    base::duration first_token = std::chrono::milliseconds{1800};
    base::duration batch_first_token = std::chrono::minutes{10};
    base::duration between_tokens = std::chrono::milliseconds{40};
    interval_measure measure = interval_measure::percentile_95;
};

struct percentiles {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

// The percentiles of `samples` by nearest rank; zeros if there are none.
[[nodiscard]] auto percentiles_of(std::vector<double> samples) -> percentiles;

// Totals of a set of requests.
struct request_totals {
    std::int64_t requests = 0;
    std::int64_t good = 0;
    std::int64_t refused = 0;
    // Prompt and output tokens of all requests, and of the good ones.
    std::int64_t tokens = 0;
    std::int64_t good_tokens = 0;
};

// The summary of a run.
struct summary {
    request_totals all;
    // By quartiles of prompt length, shortest first.
    std::array<request_totals, 4> quarters;
    std::map<request_end, std::int64_t> ends;
    // Requests without a whole answer, by error type.
    std::map<std::string, std::int64_t> refusals;
    std::array<std::map<std::string, std::int64_t>, 4> refusals_by_quarter;
    std::int64_t tries = 0;
    // In seconds. `first_token` covers interactive requests only, `between_tokens` all requests.
    percentiles first_token;
    percentiles batch_first_token;
    percentiles between_tokens;
};

// Whether the answer is whole and meets both latency targets.
[[nodiscard]] auto is_good(request_outcome const& outcome, latency_targets const& targets) -> bool;

// Summarises the outcomes of a run, in any order.
[[nodiscard]] auto summarise(std::vector<request_outcome> outcomes, latency_targets const& targets)
    -> summary;

// The name used in reports.
[[nodiscard]] auto name_of(request_end end) -> char const*;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_SUMMARY_H_

#include "linnetlane/routing/upstream_health.h"

#include <algorithm>

namespace linnetlane::routing {

auto upstream_health::note(exchange_outcome outcome, double peer_failure_rate, base::time_point now)
    -> void {
    if (outcome == exchange_outcome::transport_failure) {
        ++this->transport_failures_in_row;
        if (this->transport_failures_in_row >= failures_before_ejection) {
            this->eject(now);
        }
        return;
    }
    if (outcome == exchange_outcome::abandoned) {
        return;
    }
    this->transport_failures_in_row = 0;
    if (outcome == exchange_outcome::rejected) {
        return;
    }
    auto const sample = outcome == exchange_outcome::failed_answer ? 1.0 : 0.0;
    this->failure_mean += newest_weight * (sample - this->failure_mean);
    ++this->answers;
    auto const is_outlier = this->answers >= min_answers &&
                            this->failure_mean > peer_failure_rate + excess_failure_rate;
    if (is_outlier) {
        this->eject(now);
    } else if (outcome == exchange_outcome::answered) {
        this->ejections_in_row = 0;
    }
}

auto upstream_health::eject(base::time_point now) -> void {
    auto period = base::duration{initial_ejection};
    for (auto count = 0; count < this->ejections_in_row && period < max_ejection; ++count) {
        period *= 2;
    }
    this->ejected_until = now + std::min<base::duration>(period, max_ejection);
    ++this->ejections_in_row;
    // The first request after the ejection is a trial: one failure is enough for the next ejection.
    this->transport_failures_in_row = failures_before_ejection - 1;
    this->answers = min_answers - 1;
    this->failure_mean = std::min(this->failure_mean, excess_failure_rate);
}

}  // namespace linnetlane::routing

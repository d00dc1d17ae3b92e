#include "linnetlane/routing/upstream_health.h"

#include <algorithm>

namespace linnetlane::routing {

auto upstream_health::note(exchange_outcome outcome, double peers_failed_share,
                           base::time_point now) -> void {
    if (outcome == exchange_outcome::transport_failure) {
        ++this->transport_failures_in_row;
        if (this->transport_failures_in_row >= failures_to_rest) {
            this->rest(now);
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
    this->failed += newest_weight * (sample - this->failed);
    ++this->answers;
    auto const stands_out = this->answers >= answers_to_judge &&
                            this->failed > peers_failed_share + excess_failures_to_rest;
    if (stands_out) {
        this->rest(now);
    } else if (outcome == exchange_outcome::answered) {
        this->rests_in_row = 0;
    }
}

auto upstream_health::rest(base::time_point now) -> void {
    auto span = base::duration{first_rest};
    for (auto count = 0; count < this->rests_in_row && span < longest_rest; ++count) {
        span *= 2;
    }
    this->rested_until = now + std::min<base::duration>(span, longest_rest);
    ++this->rests_in_row;
    // The trial after the rest decides on its own.
    this->transport_failures_in_row = failures_to_rest - 1;
    this->answers = answers_to_judge - 1;
    this->failed = std::min(this->failed, excess_failures_to_rest);
}

}  // namespace linnetlane::routing

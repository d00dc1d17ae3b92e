// Outlier detection: ejects an upstream for some time, from the outcomes of its requests.
//
// Two signals are counted separately. A transport failure (no connection, a reset, no answer) is
// strong: two in a row eject the upstream. A failed answer is weak, since some services fail a part
// of their requests by design: it ejects the upstream only if its failure rate is far above that of
// its peers. Without a success in between, each ejection is longer than the last, and a single
// failure is enough for the next one.

#ifndef LINNETLANE_ROUTING_UPSTREAM_HEALTH_H_
#define LINNETLANE_ROUTING_UPSTREAM_HEALTH_H_

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The outcome of an exchange with an upstream, as it bears on the upstream's health.
enum class exchange_outcome {
    answered,
    // The upstream stated that it has not run the request.
    rejected,
    failed_answer,
    // The caller left before the answer, so the upstream took at least that long.
    abandoned,
    transport_failure,
};

// Not thread-safe; must be used on one worker only. There is one instance for each upstream.
class upstream_health {
public:
    // Consecutive transport failures after which an upstream is ejected.
    static constexpr auto failures_before_ejection = 2;
    // An upstream is ejected if its failure rate exceeds that of its peers by more than this.
    static constexpr auto excess_failure_rate = 0.35;
    // The weight of the newest answer in the failure rate.
    static constexpr auto newest_weight = 0.15;
    // Answers that are needed before the failure rate is used.
    static constexpr auto min_answers = 6;
    // The duration of the first ejection, which doubles with each further one up to the limit.
    static constexpr auto initial_ejection = std::chrono::milliseconds{500};
    static constexpr auto max_ejection = std::chrono::seconds{4};

    // Records an outcome. `peer_failure_rate` is the mean failure rate of the other upstreams.
    auto note(exchange_outcome outcome, double peer_failure_rate, base::time_point now) -> void;
    // Returns whether the upstream is not ejected.
    [[nodiscard]] auto usable(base::time_point now) const -> bool {
        return now >= this->ejected_until;
    }
    // Returns the moving mean of failed answers, from 0 to 1.
    [[nodiscard]] auto failure_rate() const -> double { return this->failure_mean; }

private:
    auto eject(base::time_point now) -> void;

    double failure_mean = 0;
    int answers = 0;
    int transport_failures_in_row = 0;
    int ejections_in_row = 0;
    base::time_point ejected_until = base::time_point::min();
};

// Returns the mean failure rate of all `members` except `id`, or 0 if there are none. `members`
// maps ids to objects with a member `health` of type `upstream_health`.
template <typename Members>
[[nodiscard]] auto failure_rate_of_others(Members const& members, base::upstream_id const& id)
    -> double {
    auto sum = 0.0;
    auto count = 0;
    for (auto const& [other, one] : members) {
        if (other != id) {
            sum += one.health.failure_rate();
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UPSTREAM_HEALTH_H_

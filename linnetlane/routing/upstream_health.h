// Which upstreams to leave alone for a while, from what became of the requests sent to them.
//
// Two signs are counted apart. A transport failure (no connection, a reset, silence) is strong: two
// in a row rest the upstream. A failed answer is weak, since some services fail a part of their
// requests by design: an upstream is rested for them only when it fails far more than its peers.
// Rests grow with each one that didn't help, and end with a single trial request.

#ifndef LINNETLANE_ROUTING_UPSTREAM_HEALTH_H_
#define LINNETLANE_ROUTING_UPSTREAM_HEALTH_H_

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// How an exchange with an upstream went, seen from its health.
enum class exchange_outcome {
    answered,
    // It said at once that it would not run the request.
    rejected,
    failed_answer,
    // The caller left before the answer: the upstream took at least that long.
    abandoned,
    transport_failure,
};

// Belongs to one worker. One for each upstream.
class upstream_health {
public:
    // Transport failures in a row after which an upstream is rested.
    static constexpr auto failures_to_rest = 2;
    // How much more often than its peers an upstream fails before it is rested for it.
    static constexpr auto excess_failures_to_rest = 0.35;
    // Weight of the newest answer in the share of failed ones.
    static constexpr auto newest_weight = 0.15;
    // Answers before the share of failed ones says anything.
    static constexpr auto answers_to_judge = 6;
    static constexpr auto first_rest = std::chrono::milliseconds{500};
    static constexpr auto longest_rest = std::chrono::seconds{4};

    // Takes an outcome; `peers_failed_share` is the share of failed answers at the other upstreams.
    auto note(exchange_outcome outcome, double peers_failed_share, base::time_point now) -> void;
    // Whether requests may be sent to it.
    [[nodiscard]] auto usable(base::time_point now) const -> bool {
        return now >= this->rested_until;
    }
    // The share of failed answers, from 0 to 1.
    [[nodiscard]] auto failed_share() const -> double { return this->failed; }

private:
    auto rest(base::time_point now) -> void;

    double failed = 0;
    int answers = 0;
    int transport_failures_in_row = 0;
    int rests_in_row = 0;
    base::time_point rested_until = base::time_point::min();
};

// The mean share of failed answers of the others than `id` among `members`, which maps ids to
// what has a `health`; 0 if there are none.
template <typename Members>
[[nodiscard]] auto failed_share_of_others(Members const& members, base::upstream_id const& id)
    -> double {
    auto sum = 0.0;
    auto count = 0;
    for (auto const& [other, one] : members) {
        if (other != id) {
            sum += one.health.failed_share();
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UPSTREAM_HEALTH_H_

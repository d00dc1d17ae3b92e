// Tracks which data centres a host can't currently reach, from calls that got no answer.
//
// When a data centre is cut off, all of its upstreams stop answering at once. Detecting this for
// each upstream separately would cost a request one timeout after another; here a single timeout
// marks all of them.

#ifndef LINNETLANE_ROUTING_DATA_CENTRE_REACHABILITY_H_
#define LINNETLANE_ROUTING_DATA_CENTRE_REACHABILITY_H_

#include <chrono>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/upstream_health.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only.
class data_centre_reachability {
public:
    // After an answer this recent, a missing answer is attributed to the upstream rather than to
    // its data centre.
    static constexpr auto recent_answer_window = std::chrono::milliseconds{150};
    // How long a data centre stays suspect. Afterwards requests try it again.
    static constexpr auto suspicion_period = std::chrono::milliseconds{800};

    // Records that an upstream in `where` gave no answer.
    auto note_no_answer(base::data_centre_id const& where, base::time_point now) -> void {
        auto& state = this->centres[where];
        if (now - state.answered_at > recent_answer_window) {
            state.suspect_until = now + suspicion_period;
        }
    }
    // Records that an upstream in `where` answered.
    auto note_answer(base::data_centre_id const& where, base::time_point now) -> void {
        auto& state = this->centres[where];
        state.answered_at = now;
        state.suspect_until = base::time_point::min();
    }
    // Records the outcome of an exchange with an upstream in `where`.
    auto note(base::data_centre_id const& where, exchange_outcome outcome, base::time_point now)
        -> void {
        if (outcome == exchange_outcome::transport_failure) {
            this->note_no_answer(where, now);
        } else if (outcome != exchange_outcome::abandoned) {
            this->note_answer(where, now);
        }
    }
    // Returns whether upstreams in other data centres should be preferred.
    [[nodiscard]] auto is_suspect(base::data_centre_id const& where, base::time_point now) const
        -> bool {
        auto const found = this->centres.find(where);
        return found != this->centres.end() && now < found->second.suspect_until;
    }

private:
    struct centre_state {
        base::time_point answered_at{};
        base::time_point suspect_until = base::time_point::min();
    };

    std::map<base::data_centre_id, centre_state> centres;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_DATA_CENTRE_REACHABILITY_H_

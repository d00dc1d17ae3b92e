// Which data centres a host can't reach at the moment, from calls that got no answer in time.
//
// When a data centre is cut off, its upstreams stop answering all at once. Finding that out for
// each of them costs a caller one wait after the other; here one wait is enough for all of them.

#ifndef LINNETLANE_ROUTING_DATA_CENTRE_REACHABILITY_H_
#define LINNETLANE_ROUTING_DATA_CENTRE_REACHABILITY_H_

#include <chrono>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/upstream_health.h"

namespace linnetlane::routing {

// Belongs to one worker.
class data_centre_reach {
public:
    // An answer this recent shows that it was the upstream that failed, not the way to it.
    static constexpr auto answer_vouches_for = std::chrono::milliseconds{150};
    // After this, a request may find out whether the data centre is back.
    static constexpr auto doubted_for = std::chrono::milliseconds{800};

    // An upstream there gave no answer.
    auto note_silence(base::data_centre_id const& where, base::time_point now) -> void {
        auto& one = this->centres[where];
        if (now - one.answered_at > answer_vouches_for) {
            one.doubted_until = now + doubted_for;
        }
    }
    // An upstream there answered.
    auto note_answer(base::data_centre_id const& where, base::time_point now) -> void {
        auto& one = this->centres[where];
        one.answered_at = now;
        one.doubted_until = base::time_point::min();
    }
    // An exchange with an upstream there ended.
    auto note(base::data_centre_id const& where, exchange_outcome outcome, base::time_point now)
        -> void {
        if (outcome == exchange_outcome::transport_failure) {
            this->note_silence(where, now);
        } else if (outcome != exchange_outcome::abandoned) {
            this->note_answer(where, now);
        }
    }
    // Whether upstreams elsewhere should be asked first.
    [[nodiscard]] auto doubted(base::data_centre_id const& where, base::time_point now) const
        -> bool {
        auto const found = this->centres.find(where);
        return found != this->centres.end() && now < found->second.doubted_until;
    }

private:
    struct centre {
        base::time_point answered_at{};
        base::time_point doubted_until = base::time_point::min();
    };

    std::map<base::data_centre_id, centre> centres;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_DATA_CENTRE_REACHABILITY_H_

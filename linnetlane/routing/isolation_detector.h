// Detects that a host reaches no upstream at all, as opposed to failures of single upstreams or
// data centres.
//
// The evidence is silence: since the last answer of any upstream, exchanges with several of them
// have failed or have waited for too long. A single answer refutes it.
//
//   detector.note_sent(to, now);
//   ...
//   detector.note_answer();                     // or note_no_answer(to)
//   if (detector.is_isolated(now)) { ... }

#ifndef LINNETLANE_ROUTING_ISOLATION_DETECTOR_H_
#define LINNETLANE_ROUTING_ISOLATION_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only. There is one instance for each host.
class isolation_detector {
public:
    // How long an exchange waits until it counts as evidence.
    static constexpr auto max_silence = std::chrono::milliseconds{400};
    // The number of upstreams that must be silent: one may fail, or pause, by itself.
    static constexpr auto min_silent_upstreams = std::size_t{2};

    // Records that an exchange with an upstream began.
    auto note_sent(base::endpoint const& to, base::time_point now) -> void {
        if (!this->failed.contains(to)) {
            this->waiting.try_emplace(to, now);
        }
    }
    // Records that an upstream answered, if only in part.
    auto note_answer() -> void {
        this->waiting.clear();
        this->failed.clear();
    }
    // Records that an exchange ended without an answer.
    auto note_no_answer(base::endpoint const& to) -> void {
        this->waiting.erase(to);
        this->failed.insert(to);
    }
    // Records that the caller left, or the upstream broke off, before there was an answer. Counts
    // as evidence only if the exchange had waited for long enough.
    auto note_abandoned(base::endpoint const& to, base::time_point now) -> void {
        auto const found = this->waiting.find(to);
        if (found == this->waiting.end()) {
            return;
        }
        if (now - found->second >= max_silence) {
            this->failed.insert(to);
        }
        this->waiting.erase(found);
    }
    // Returns whether the host reaches no upstream. Stays so until `note_answer`.
    [[nodiscard]] auto is_isolated(base::time_point now) const -> bool {
        auto silent = this->failed.size();
        for (auto const& [to, since] : this->waiting) {
            silent += now - since >= max_silence ? 1 : 0;
        }
        return silent >= min_silent_upstreams;
    }

private:
    // The begin of the oldest exchange with each upstream since the last answer of any.
    std::map<base::endpoint, base::time_point> waiting;
    // The upstreams with a failed exchange since then.
    std::set<base::endpoint> failed;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_ISOLATION_DETECTOR_H_

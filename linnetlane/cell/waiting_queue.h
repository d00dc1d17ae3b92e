// The queue of acquires that wait for engines, ordered by the latest time at which each can start
// and still meet its target. Thread-compatible.

#ifndef LINNETLANE_CELL_WAITING_QUEUE_H_
#define LINNETLANE_CELL_WAITING_QUEUE_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/ledger.h"
#include "linnetlane/cell/messages.h"

namespace linnetlane::cell {

// An acquire that is neither granted nor refused yet.
struct waiting_request {
    cell::acquire acquire;
    base::piece_count pieces;
    base::time_point arrived;
    // The latest start that meets the target, by the estimates at arrival.
    base::time_point latest_start;
    // Predicted time on a prefill engine.
    double prefill_seconds = 0;
};

// Predicted work of queued requests.
struct queued_work {
    base::piece_count pieces;
    // Time on a prefill engine.
    double prefill_seconds = 0;
};

// Waiting requests in ascending order of `latest_start`, with totals of their predicted work.
class waiting_queue {
public:
    // Latest start, then position in the order of arrival.
    using key = std::pair<base::time_point, std::uint64_t>;
    using order = std::map<key, waiting_request>;

    auto add(waiting_request request) -> void;
    // Removes the request of `target`; returns whether it was queued.
    auto remove(attempt const& target) -> bool;
    // Removes one request and returns the next.
    auto erase(order::iterator place) -> order::iterator;

    [[nodiscard]] auto begin() -> order::iterator { return this->requests.begin(); }
    [[nodiscard]] auto end() -> order::iterator { return this->requests.end(); }
    // The first request in that order, or null.
    [[nodiscard]] auto first() const -> waiting_request const* {
        return this->requests.empty() ? nullptr : &this->requests.begin()->second;
    }
    [[nodiscard]] auto contains(attempt const& target) const -> bool {
        return this->places.contains(target);
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->requests.size(); }
    // Returns the work of the requests that go before one whose latest start is `latest_start`.
    [[nodiscard]] auto work_before(base::time_point latest_start) const -> queued_work;
    // Totals over the queue.
    [[nodiscard]] auto pieces() const -> base::piece_count { return this->queued_pieces; }
    [[nodiscard]] auto prefill_seconds() const -> double { return this->queued_seconds; }
    // Queued attempts of `host` in incarnations up to `incarnation`.
    [[nodiscard]] auto attempts_of(base::host_id const& host, base::incarnation incarnation) const
        -> std::vector<attempt>;

private:
    order requests;
    std::unordered_map<attempt, key, attempt_hash> places;
    std::uint64_t arrivals = 0;
    base::piece_count queued_pieces;
    double queued_seconds = 0;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_WAITING_QUEUE_H_

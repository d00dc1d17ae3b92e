// The queue of acquires that wait for engines, in the order of the latest time at which each can
// still start and meet its target. Thread-compatible.

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

// One acquire that was neither granted nor refused yet.
struct waiting_request {
    cell::acquire question;
    base::piece_count pieces;
    base::time_point arrived;
    // The latest start that meets the target by the estimates at arrival.
    base::time_point latest_start;
    // Predicted work on a prefill engine.
    double prefill_seconds = 0;
};

class waiting_queue {
public:
    // Latest start, then order of arrival.
    using key = std::pair<base::time_point, std::uint64_t>;
    using order = std::map<key, waiting_request>;

    auto add(waiting_request request) -> void;
    // Takes out the request of `question`; nothing happens if it isn't there.
    auto remove(attempt const& question) -> bool;
    auto erase(order::iterator place) -> order::iterator;

    [[nodiscard]] auto begin() -> order::iterator { return this->requests.begin(); }
    [[nodiscard]] auto end() -> order::iterator { return this->requests.end(); }
    [[nodiscard]] auto first() const -> waiting_request const* {
        return this->requests.empty() ? nullptr : &this->requests.begin()->second;
    }
    [[nodiscard]] auto contains(attempt const& question) const -> bool {
        return this->places.contains(question);
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->requests.size(); }
    [[nodiscard]] auto pieces() const -> base::piece_count { return this->queued_pieces; }
    [[nodiscard]] auto prefill_seconds() const -> double { return this->queued_seconds; }
    // Attempts of holders of `host` up to `incarnation`.
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

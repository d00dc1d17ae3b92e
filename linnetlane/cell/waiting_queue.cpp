#include "linnetlane/cell/waiting_queue.h"

namespace linnetlane::cell {

auto waiting_queue::add(waiting_request request) -> void {
    auto const place = key{request.latest_start, this->arrivals};
    this->arrivals += 1;
    this->queued_pieces += request.pieces;
    this->queued_seconds += request.prefill_seconds;
    this->places.emplace(request.acquire.attempt, place);
    this->requests.emplace(place, std::move(request));
}

auto waiting_queue::remove(attempt const& target) -> bool {
    auto const found = this->places.find(target);
    if (found == this->places.end()) {
        return false;
    }
    this->erase(this->requests.find(found->second));
    return true;
}

auto waiting_queue::erase(order::iterator place) -> order::iterator {
    this->queued_pieces -= place->second.pieces;
    this->queued_seconds -= place->second.prefill_seconds;
    this->places.erase(place->second.acquire.attempt);
    auto const after = this->requests.erase(place);
    if (this->requests.empty()) {
        this->queued_seconds = 0;
    }
    return after;
}

auto waiting_queue::work_before(base::time_point latest_start) const -> queued_work {
    auto work = queued_work{};
    for (auto const& [place, request] : this->requests) {
        if (place.first > latest_start) {
            break;
        }
        work.pieces += request.pieces;
        work.prefill_seconds += request.prefill_seconds;
    }
    return work;
}

auto waiting_queue::attempts_of(base::host_id const& host, base::incarnation incarnation) const
    -> std::vector<attempt> {
    auto found = std::vector<attempt>{};
    for (auto const& [place, request] : this->requests) {
        auto const& holder = request.acquire.holder;
        if (holder.host == host && holder.incarnation <= incarnation) {
            found.push_back(request.acquire.attempt);
        }
    }
    return found;
}

}  // namespace linnetlane::cell

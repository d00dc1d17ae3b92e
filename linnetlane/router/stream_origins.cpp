#include "linnetlane/router/stream_origins.h"

#include <algorithm>
#include <iterator>

#include "linnetlane/routing/version_history.h"

namespace linnetlane::router {

auto stream_origins::is_recordable(base::caller_request_id const& request) -> bool {
    auto const& id = request.value;
    return !id.empty() && id.size() <= max_id_bytes;
}

auto stream_origins::bind(stream_origin const& origin, base::time_point now)
    -> base::software_version {
    this->expire(now);
    if (!is_recordable(origin.request)) {
        return origin.software;
    }
    auto const [place, first] = this->known.try_emplace(origin.request, origin.software);
    auto bound = place->second;
    if (first) {
        this->expiries.push_back({origin.request, now + routing::stream_lifetime});
        this->unrecorded.push_back(origin.request);
        this->limit_unrecorded();
    }
    return bound;
}

auto stream_origins::find(base::caller_request_id const& request) const
    -> std::optional<base::software_version> {
    auto const found = this->known.find(request);
    return found == this->known.end() ? std::nullopt : std::optional{found->second};
}

auto stream_origins::await_unrecorded(std::size_t most) -> std::vector<stream_origin> {
    auto lock = std::unique_lock{this->mutex};
    this->added.wait(lock, [this] { return !this->unrecorded.empty(); });
    auto batch = std::vector<stream_origin>{};
    while (!this->unrecorded.empty() && batch.size() < most) {
        auto const& request = this->unrecorded.front();
        if (auto const software = this->find(request)) {
            batch.push_back({request, *software});
        }
        this->unrecorded.pop_front();
    }
    return batch;
}

auto stream_origins::put_back(std::vector<stream_origin> const& failed) -> void {
    auto place = this->unrecorded.begin();
    for (auto const& each : failed) {
        if (!this->is_unrecorded(each.request)) {
            place = std::next(this->unrecorded.insert(place, each.request));
        }
    }
    this->limit_unrecorded();
}

auto stream_origins::record_again() -> void {
    for (auto const& each : this->expiries) {
        if (!this->is_unrecorded(each.request)) {
            this->unrecorded.push_back(each.request);
        }
    }
    this->limit_unrecorded();
}

auto stream_origins::is_unrecorded(base::caller_request_id const& request) const -> bool {
    return std::ranges::find(this->unrecorded, request) != this->unrecorded.end();
}

auto stream_origins::limit_unrecorded() -> void {
    while (this->unrecorded.size() > max_unrecorded) {
        this->unrecorded.pop_front();
    }
    this->added.notify_all();
}

auto stream_origins::expire(base::time_point now) -> void {
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        this->known.erase(this->expiries.front().request);
        this->expiries.pop_front();
    }
}

}  // namespace linnetlane::router

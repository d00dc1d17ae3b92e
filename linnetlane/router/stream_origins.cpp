#include "linnetlane/router/stream_origins.h"

#include <utility>

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
    return this->add(origin, false, now).software;
}

auto stream_origins::keep(stream_origin const& origin, base::time_point now) -> void {
    this->expire(now);
    if (!is_recordable(origin.request) || this->known.contains(origin.request)) {
        return;
    }
    this->kept.push_back(origin.request);
    while (this->kept.size() > max_kept) {
        this->forget(this->kept.front());
    }
    this->add(origin, true, now);
}

auto stream_origins::add(stream_origin const& origin, bool of_other, base::time_point now)
    -> binding const& {
    auto const [place, first] =
        this->known.try_emplace(origin.request, binding{origin.software, of_other});
    if (first) {
        this->expiries.push_back({origin.request, now + routing::stream_lifetime});
        this->enqueue(place, false);
        this->limit_unrecorded();
    }
    return place->second;
}

auto stream_origins::find(base::caller_request_id const& request) const
    -> std::optional<base::software_version> {
    auto const found = this->known.find(request);
    return found == this->known.end() ? std::nullopt : std::optional{found->second.software};
}

auto stream_origins::await_unrecorded(std::size_t most) -> std::vector<stream_origin> {
    auto lock = std::unique_lock{this->mutex};
    this->added.wait(lock, [this] { return this->unrecorded_count() > 0; });
    auto batch = std::vector<stream_origin>{};
    for (auto* const queue : {&this->unrecorded, &this->unrecorded_of_others}) {
        while (!queue->empty() && batch.size() < most) {
            auto const found = this->known.find(queue->front());
            if (found != this->known.end()) {
                found->second.queued = false;
                batch.push_back({found->first, found->second.software});
            }
            queue->pop_front();
        }
    }
    return batch;
}

auto stream_origins::note_recorded(std::vector<stream_origin> const& written) -> void {
    for (auto const& each : written) {
        auto const found = this->known.find(each.request);
        if (found != this->known.end()) {
            found->second.recorded = true;
        }
    }
}

auto stream_origins::put_back(std::vector<stream_origin> const& failed) -> void {
    for (auto each = failed.rbegin(); each != failed.rend(); ++each) {
        this->enqueue(this->known.find(each->request), true);
    }
    this->limit_unrecorded();
}

auto stream_origins::record_again() -> void {
    for (auto const& each : this->expiries) {
        auto const found = this->known.find(each.request);
        if (found != this->known.end()) {
            found->second.recorded = false;
        }
        this->enqueue(found, false);
    }
    this->limit_unrecorded();
}

auto stream_origins::not_handed_over(std::size_t most, bool all) const
    -> std::vector<stream_origin> {
    auto found = std::vector<stream_origin>{};
    for (auto const& each : this->expiries) {
        auto const place = this->known.find(each.request);
        if (found.size() == most || place == this->known.end()) {
            continue;
        }
        auto const& one = place->second;
        if (!one.recorded && !one.handed_over && (all || !one.of_other)) {
            found.push_back({each.request, one.software});
        }
    }
    return found;
}

auto stream_origins::note_handed_over(std::vector<stream_origin> const& kept_elsewhere) -> void {
    for (auto const& each : kept_elsewhere) {
        auto const found = this->known.find(each.request);
        if (found != this->known.end()) {
            found->second.handed_over = true;
        }
    }
}

auto stream_origins::enqueue(bindings::iterator place, bool first) -> void {
    if (place == this->known.end() || std::exchange(place->second.queued, true)) {
        return;
    }
    auto& queue = place->second.of_other ? this->unrecorded_of_others : this->unrecorded;
    queue.insert(first ? queue.begin() : queue.end(), place->first);
}

auto stream_origins::limit_unrecorded() -> void {
    auto const limit = [this](std::deque<base::caller_request_id>& queue, std::size_t most) {
        while (queue.size() > most) {
            auto const found = this->known.find(queue.front());
            if (found != this->known.end()) {
                found->second.queued = false;
            }
            queue.pop_front();
        }
    };
    limit(this->unrecorded, max_unrecorded);
    limit(this->unrecorded_of_others, max_kept);
    this->added.notify_all();
}

auto stream_origins::forget(base::caller_request_id const& request) -> void {
    auto const found = this->known.find(request);
    auto const forgotten = base::caller_request_id{request};
    if (found != this->known.end()) {
        this->known.erase(found);
    }
    if (!this->kept.empty() && this->kept.front() == forgotten) {
        this->kept.pop_front();
    }
}

auto stream_origins::expire(base::time_point now) -> void {
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        this->forget(this->expiries.front().request);
        this->expiries.pop_front();
    }
}

}  // namespace linnetlane::router

#include "linnetlane/router/registry_feed.h"

#include <algorithm>
#include <utility>

namespace linnetlane::router {

auto registry_feed::restart(registry_position at) -> void {
    this->kept.clear();
    this->begins = at;
    this->newest = at;
    this->reading = true;
    this->changed.notify_all();
}

auto registry_feed::publish(upstream_changes const& changes, changes_from source) -> void {
    this->reading = source == changes_from::registry;
    this->newest = changes.position;
    if (changes.put.empty() && changes.removed.empty()) {
        return;
    }
    this->kept.push_back(changes);
    if (this->kept.size() > most_kept) {
        this->begins = this->kept.front().position;
        this->kept.pop_front();
    }
    this->changed.notify_all();
}

auto registry_feed::vouch(base::time_point until) -> void {
    this->vouched_until = until;
}

auto registry_feed::withdraw() -> void {
    this->reading = false;
    this->changed.notify_all();
}

auto registry_feed::publish(std::shared_ptr<routing::configuration const> offered) -> void {
    this->configuration = std::move(offered);
    this->changed.notify_all();
}

auto registry_feed::set_reads_configuration(bool reads) -> void {
    this->reading_configuration = reads;
    this->changed.notify_all();
}

auto registry_feed::await(changes_question const& question, base::time_point deadline)
    -> changes_answer {
    this->asked_until = base::monotonic_clock::now() + asked_lately;
    auto lock = std::unique_lock{this->mutex};
    for (;;) {
        auto const now = base::monotonic_clock::now();
        if (!this->is_valid(now)) {
            return registry_failure::unavailable;
        }
        auto newer = this->newer_than(question.configuration);
        if (newer || this->newest > question.after || now >= deadline) {
            auto changes = this->since(question.after);
            if (!changes) {
                return registry_failure::history_lost;
            }
            return registry_news{std::move(*changes), std::move(newer)};
        }
        this->changed.wait_until(lock, std::min(deadline, this->vouched_until));
    }
}

auto registry_feed::since(registry_position after) const -> std::optional<upstream_changes> {
    if (after < this->begins) {
        return std::nullopt;
    }
    // A host that has read more keeps its position.
    auto changes = upstream_changes{{}, {}, std::max(after, this->newest)};
    for (auto const& each : this->kept) {
        if (each.position <= after) {
            continue;
        }
        std::ranges::for_each(each.put, [&](auto const& record) { changes.note_put(record); });
        std::ranges::for_each(each.removed, [&](auto const& id) { changes.note_removed(id); });
    }
    return changes;
}

auto registry_feed::newer_than(routing::configuration_version asked) const
    -> std::shared_ptr<routing::configuration const> {
    return this->configuration && this->configuration->version > asked ? this->configuration
                                                                       : nullptr;
}

}  // namespace linnetlane::router

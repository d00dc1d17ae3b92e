#include "linnetlane/router/registry_feed.h"

#include <algorithm>
#include <utility>

namespace linnetlane::router {

auto registry_feed::restart(registry_position at) -> void {
    this->history.clear();
    this->history_start = at;
    this->newest = at;
    this->reads_upstreams = true;
    this->changed.notify_all();
}

auto registry_feed::publish(upstream_changes const& changes, change_source source) -> void {
    this->reads_upstreams = source == change_source::registry;
    this->newest = changes.position;
    if (changes.put.empty() && changes.removed.empty()) {
        return;
    }
    this->history.push_back(changes);
    if (this->history.size() > max_history) {
        this->history_start = this->history.front().position;
        this->history.pop_front();
    }
    this->changed.notify_all();
}

auto registry_feed::extend_validity(base::time_point until) -> void {
    auto const was_valid = this->is_valid(base::monotonic_clock::now());
    this->valid_until = until;
    if (!was_valid) {
        this->changed.notify_all();
    }
}

auto registry_feed::invalidate() -> void {
    this->reads_upstreams = false;
    this->changed.notify_all();
}

auto registry_feed::publish(std::shared_ptr<routing::configuration const> offered) -> void {
    this->configuration = std::move(offered);
    this->changed.notify_all();
}

auto registry_feed::set_reads_configuration(bool reads) -> void {
    this->reads_configuration = reads;
    this->changed.notify_all();
}

auto registry_feed::note_follower(std::optional<host_entry> const& host, base::time_point now)
    -> void {
    this->followed_until = now + follower_window;
    if (host) {
        this->known_followers.insert_or_assign(host->host, follower{*host, now + follower_window});
    }
}

auto registry_feed::followers(base::time_point now) -> std::vector<host_entry> {
    std::erase_if(this->known_followers,
                  [&](auto const& each) { return each.second.until <= now; });
    auto entries = std::vector<host_entry>{};
    for (auto const& [id, each] : this->known_followers) {
        entries.push_back(each.entry);
    }
    return entries;
}

auto registry_feed::await(changes_question const& question, base::time_point deadline)
    -> changes_answer {
    // Set while the feed isn't valid.
    auto valid_by = std::optional<base::time_point>{};
    auto lock = std::unique_lock{this->mutex};
    for (;;) {
        auto const now = base::monotonic_clock::now();
        if (!this->is_valid(now)) {
            valid_by = valid_by.value_or(std::min(deadline, now + takeover_time));
            if (this->lost_registry || now >= *valid_by) {
                return registry_failure::unavailable;
            }
            this->changed.wait_until(lock, *valid_by);
            continue;
        }
        valid_by.reset();
        auto newer = this->configuration_newer_than(question.configuration);
        if (question.complete) {
            return registry_update{{{}, {}, this->newest}, std::move(newer)};
        }
        if (newer || this->newest > question.after || this->has_facts_for(question) ||
            now >= deadline) {
            auto changes = this->since(question.after);
            if (!changes) {
                return registry_failure::history_lost;
            }
            return registry_update{std::move(*changes), std::move(newer)};
        }
        this->changed.wait_until(lock, std::min(deadline, this->valid_until));
    }
}

auto registry_feed::since(registry_position after) const -> std::optional<upstream_changes> {
    if (after < this->history_start) {
        return std::nullopt;
    }
    // A host that is ahead of this one keeps its position.
    auto changes = upstream_changes{{}, {}, std::max(after, this->newest)};
    for (auto const& each : this->history) {
        if (each.position <= after) {
            continue;
        }
        std::ranges::for_each(each.put, [&](auto const& record) { changes.note_put(record); });
        std::ranges::for_each(each.removed, [&](auto const& id) { changes.note_removed(id); });
    }
    return changes;
}

auto registry_feed::configuration_newer_than(routing::configuration_version asked) const
    -> std::shared_ptr<routing::configuration const> {
    return this->configuration && this->configuration->version > asked ? this->configuration
                                                                       : nullptr;
}

}  // namespace linnetlane::router

#include "linnetlane/routing/version_history.h"

#include <algorithm>

namespace linnetlane::routing {

namespace {

auto is_recent(base::time_point present_until, base::time_point now) -> bool {
    return present_until == base::time_point::max() || now < present_until + stream_lifetime;
}

}  // namespace

auto version_history::note_present(std::set<base::software_version> const& present,
                                   base::time_point now) -> void {
    if (!this->observed_since && !present.empty()) {
        this->observed_since = now;
    }
    std::erase_if(this->present_until,
                  [&](auto const& entry) { return !is_recent(entry.second, now); });
    for (auto& [version, until] : this->present_until) {
        if (!present.contains(version)) {
            until = std::min(until, now);
        }
    }
    for (auto const& version : present) {
        this->present_until[version] = base::time_point::max();
    }
}

auto version_history::note_stated(base::software_version const& version, base::time_point now)
    -> void {
    if (this->only_recent_version(now) == version) {
        this->observed_since = now - stream_lifetime;
    }
}

auto version_history::note_missed_changes(base::time_point now) -> void {
    if (this->observed_since) {
        this->observed_since = now;
    }
}

auto version_history::has_observed_long_enough(base::time_point now) const -> bool {
    return this->observed_since && now - *this->observed_since >= stream_lifetime;
}

auto version_history::only_recent_version(base::time_point now) const
    -> std::optional<base::software_version> {
    auto found = std::optional<base::software_version>{};
    for (auto const& [version, until] : this->present_until) {
        if (!is_recent(until, now)) {
            continue;
        }
        if (found) {
            return std::nullopt;
        }
        found = version;
    }
    return found;
}

auto version_history::certain_version(base::time_point now) const
    -> std::optional<base::software_version> {
    return this->has_observed_long_enough(now) ? this->only_recent_version(now) : std::nullopt;
}

}  // namespace linnetlane::routing

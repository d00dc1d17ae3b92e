#include "linnetlane/routing/version_history.h"

#include <algorithm>

namespace linnetlane::routing {

auto version_history::note_present(std::map<base::software_version, base::duration> const& present,
                                   base::time_point now) -> void {
    if (!this->observed_since && !present.empty()) {
        this->observed_since = now;
    }
    std::erase_if(this->versions, [&](auto const& entry) { return !is_recent(entry.second, now); });
    for (auto& [version, one] : this->versions) {
        if (!present.contains(version)) {
            one.until = std::min(one.until, now);
        }
    }
    for (auto const& [version, oldest] : present) {
        auto const running_since = now - oldest;
        auto const [place, added] =
            this->versions.try_emplace(version, presence{running_since, base::time_point::max()});
        auto& one = place->second;
        one.running_since = std::min(one.running_since, running_since);
        one.until = base::time_point::max();
    }
}

auto version_history::is_recent(presence const& one, base::time_point now) -> bool {
    return one.until == base::time_point::max() || now < one.until + stream_lifetime;
}

auto version_history::recent(base::time_point now) const
    -> std::map<base::software_version, presence> {
    auto found = this->versions;
    std::erase_if(found, [&](auto const& entry) { return !is_recent(entry.second, now); });
    return found;
}

auto version_history::note_missed_changes(base::time_point now) -> void {
    this->changes_missed_at = now;
    if (this->observed_since) {
        this->observed_since = now;
    }
}

auto version_history::has_observed_long_enough(base::time_point now) const -> bool {
    return this->observed_since && now - *this->observed_since >= stream_lifetime;
}

auto version_history::certain_version(base::time_point now) const
    -> std::optional<base::software_version> {
    auto const found = this->recent(now);
    return found.size() == 1 && this->has_observed_long_enough(now)
               ? std::optional{found.begin()->first}
               : std::nullopt;
}

auto version_history::version_without_record(base::time_point now) const
    -> std::optional<base::software_version> {
    auto const found = this->recent(now);
    if (found.size() != 1) {
        return std::nullopt;
    }
    auto const& [version, one] = *found.begin();
    auto const ran_long_enough = now - one.running_since >= stream_lifetime + registration_lag;
    auto const missed_none = this->changes_missed_at < now - stream_lifetime;
    auto const knows_earlier_versions =
        this->has_observed_long_enough(now) || (ran_long_enough && missed_none);
    return knows_earlier_versions ? std::optional{version} : std::nullopt;
}

}  // namespace linnetlane::routing

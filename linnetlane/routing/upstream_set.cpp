#include "linnetlane/routing/upstream_set.h"

#include <algorithm>
#include <set>
#include <utility>

namespace linnetlane::routing {

auto upstream_set::note_outage() -> void {
    this->outage = true;
}

auto upstream_set::note_available(base::time_point now) -> bool {
    auto const was_away = this->outage;
    if (was_away) {
        this->begin_grace(now);
    }
    return was_away;
}

auto upstream_set::begin_grace(base::time_point now) -> void {
    this->outage = false;
    this->grace_until = now + reregistration_grace;
}

auto upstream_set::end_grace(base::time_point now) -> void {
    this->outage = false;
    this->grace_until = std::min(this->grace_until, now);
    for (auto& [id, at] : this->drop_at) {
        at = std::min(at, now);
    }
}

auto upstream_set::extend_grace(base::time_point now, base::duration left) -> void {
    if (left > base::duration::zero()) {
        this->outage = false;
        this->grace_until =
            std::max(this->grace_until, now + std::min<base::duration>(left, reregistration_grace));
    }
}

auto upstream_set::replace_all(std::vector<upstream_record> const& listed, base::time_point now)
    -> std::vector<base::upstream_id> {
    static_cast<void>(this->note_available(now));
    auto seen = std::set<base::upstream_id>{};
    for (auto const& record : listed) {
        seen.insert(record.id);
        this->put(record);
    }
    auto missing = std::vector<base::upstream_id>{};
    for (auto const& [id, record] : this->records) {
        if (!seen.contains(id)) {
            missing.push_back(id);
        }
    }
    auto dropped = std::vector<base::upstream_id>{};
    for (auto const& id : missing) {
        if (this->remove(id, now)) {
            dropped.push_back(id);
        }
    }
    this->listed_once = true;
    return dropped;
}

auto upstream_set::put(upstream_record const& record) -> record_change {
    if (auto const* const ended = this->superseded_by(record)) {
        auto const id = ended->id;
        this->drop_at.erase(id);
        this->announced.erase(id);
        this->records.erase(id);
    }
    if (this->has_left(record)) {
        return record_change::ignored;
    }
    auto const outdated = std::ranges::any_of(this->records, [&](auto const& entry) {
        auto const& other = entry.second;
        return other.id != record.id && other.address == record.address &&
               other.started > record.started;
    });
    if (outdated) {
        return record_change::ignored;
    }
    this->drop_at.erase(record.id);
    auto const [place, added] = this->records.try_emplace(record.id, record);
    if (added) {
        return record_change::added;
    }
    auto& known = place->second;
    if (known == record) {
        return record_change::none;
    }
    auto const restarted = has_restarted(known, record);
    if (restarted) {
        this->announced.erase(record.id);
    }
    // Without a start, a later process can't be told from an earlier one.
    auto const same_process = record.started.value != 0 || this->announced.contains(record.id);
    auto const stays_leaving = known.leaving && !restarted && same_process;
    auto const started = known.started;
    known = record;
    known.leaving = known.leaving || stays_leaving;
    if (!restarted && known.started.value == 0) {
        known.started = started;
    }
    return restarted ? record_change::restarted : record_change::updated;
}

auto upstream_set::note_leaving(base::upstream_id const& id) -> bool {
    auto const found = this->records.find(id);
    if (found == this->records.end()) {
        return false;
    }
    this->announced.insert(id);
    return !std::exchange(found->second.leaving, true);
}

auto upstream_set::superseded_by(upstream_record const& record) const -> upstream_record const* {
    for (auto const& [id, other] : this->records) {
        if (id != record.id && other.address == record.address && other.started < record.started) {
            return &other;
        }
    }
    return nullptr;
}

auto upstream_set::remove(base::upstream_id const& id, base::time_point now) -> bool {
    auto const found = this->records.find(id);
    if (found == this->records.end()) {
        return false;
    }
    if (now < this->grace_until && !found->second.leaving) {
        this->drop_at.try_emplace(id, this->grace_until);
        return false;
    }
    if (found->second.leaving && found->second.started.value != 0) {
        this->departed[id] = departure{found->second.started, now + departure_memory};
    }
    this->drop_at.erase(id);
    this->announced.erase(id);
    this->records.erase(found);
    return true;
}

auto upstream_set::expire(base::time_point now) -> std::vector<base::upstream_id> {
    std::erase_if(this->departed, [&](auto const& each) { return each.second.forget_at <= now; });
    auto dropped = std::vector<base::upstream_id>{};
    std::erase_if(this->drop_at, [&](auto const& entry) {
        if (entry.second > now) {
            return false;
        }
        this->announced.erase(entry.first);
        this->records.erase(entry.first);
        dropped.push_back(entry.first);
        return true;
    });
    return dropped;
}

auto upstream_set::takes_requests(upstream_record const& chosen) const -> bool {
    auto const* const known = this->find(chosen.id);
    return known != nullptr && !known->leaving && known->stage == chosen.stage &&
           !has_restarted(chosen, *known);
}

auto upstream_set::registered() const -> std::vector<upstream_record> {
    auto listed = std::vector<upstream_record>{};
    for (auto const& [id, record] : this->records) {
        if (!this->drop_at.contains(id)) {
            listed.push_back(record);
        }
    }
    return listed;
}

auto upstream_set::has_left(upstream_record const& record) const -> bool {
    auto const found = this->departed.find(record.id);
    return found != this->departed.end() && found->second.started == record.started;
}

auto upstream_set::find(base::upstream_id const& id) const -> upstream_record const* {
    auto const found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

}  // namespace linnetlane::routing

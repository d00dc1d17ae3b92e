#include "linnetlane/router/routing_view.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace linnetlane::router {

auto routing_view::service(base::service_id const& id) -> service_state& {
    auto& state = this->services[id];
    if (!state) {
        state = std::make_unique<service_state>(this->retry_limits, this->reachability);
        state->rate_limits.set_hosts(this->hosts, base::monotonic_clock::now());
    }
    return *state;
}

auto routing_view::refresh_pools() -> void {
    auto const now = base::monotonic_clock::now();
    auto by_service = std::map<base::service_id, std::vector<routing::upstream_record>>{};
    for (auto const& [id, state] : this->services) {
        by_service[id];
    }
    for (auto const& [id, record] : this->upstreams.all()) {
        by_service[record.service].push_back(record);
    }
    for (auto const& [id, records] : by_service) {
        auto& state = this->service(id);
        state.plain.set_members(records);
        state.generation.set_members(records);
        auto present = std::set<base::software_version>{};
        for (auto const& record : records) {
            present.insert(record.software);
        }
        state.versions.note_present(present, now);
    }
    this->use_stated_versions(now);
}

auto routing_view::use_stated_versions(base::time_point now) -> void {
    if (!this->upstreams.has_listing()) {
        return;
    }
    auto const stated = std::exchange(this->stated_versions, {});
    if (now < this->stated_until) {
        for (auto const& [id, version] : stated) {
            this->service(id).versions.note_stated(version, now);
        }
    }
}

auto routing_view::learn_stated_versions(host_listing const& listing, base::time_point now)
    -> void {
    if (this->upstreams.has_listing()) {
        return;
    }
    this->stated_versions.clear();
    auto disputed = std::set<base::service_id>{};
    for (auto const& each : listing.hosts) {
        for (auto const& [id, version] : each.sole_versions) {
            auto const [place, added] = this->stated_versions.try_emplace(id, version);
            if (!added && place->second != version) {
                disputed.insert(id);
            }
        }
    }
    for (auto const& id : disputed) {
        this->stated_versions.erase(id);
    }
    this->stated_until = now + longest_unobserved;
}

auto routing_view::sole_versions(base::time_point now) const
    -> std::map<base::service_id, base::software_version> {
    auto found = std::map<base::service_id, base::software_version>{};
    for (auto const& [id, state] : this->services) {
        if (auto const version = state->versions.certain_version(now)) {
            found.emplace(id, *version);
        }
    }
    return found;
}

auto routing_view::forget_load(base::upstream_id const& id) -> void {
    for (auto const& [service, state] : this->services) {
        state->plain.forget(id);
        state->generation.forget(id);
        state->rate_limits.lift(id);
    }
}

auto routing_view::draw() -> double {
    return std::uniform_real_distribution<double>{0, 1}(this->random);
}

auto routing_view::note_hosts(std::size_t count, base::time_point now) -> void {
    if (count >= this->hosts || now >= this->peak_hosts_until) {
        this->hosts = std::max<std::size_t>(count, 1);
        this->hosts_known = true;
        this->peak_hosts_until = now + this->retry_limits.window;
        for (auto const& [id, state] : this->services) {
            state->rate_limits.set_hosts(this->hosts, now);
        }
    }
}

auto routing_view::note_leaving(base::upstream_id const& id) -> bool {
    auto const is_new = this->upstreams.note_leaving(id);
    if (is_new) {
        this->refresh_pools();
    }
    return is_new;
}

auto routing_view::note_upstreams_current(base::boot_clock::time_point moment) -> void {
    auto const last = std::exchange(this->upstreams_current_at, moment);
    if (last && moment - *last > longest_unobserved) {
        this->note_missed_changes();
    }
}

auto routing_view::note_missed_changes() -> void {
    for (auto const& [id, state] : this->services) {
        state->versions.note_missed_changes(base::monotonic_clock::now());
    }
}

auto routing_view::draw_version(base::service_id const& id, bool generates)
    -> std::optional<base::software_version> {
    auto usable = std::vector<routing::upstream_record const*>{};
    for (auto const& [upstream, record] : this->upstreams.all()) {
        auto const suits = !generates || record.stage == routing::engine_stage::decode;
        if (record.service == id && !record.leaving && suits) {
            usable.push_back(&record);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    auto const index = static_cast<std::size_t>(this->draw() * static_cast<double>(usable.size()));
    return usable[std::min(index, usable.size() - 1)]->software;
}

auto routing_view::learn(std::vector<routing::shared_fact> const& learned, base::time_point now)
    -> void {
    auto changed = false;
    auto pending = std::vector<routing::shared_fact>{learned};
    while (!pending.empty()) {
        auto const fact = std::move(pending.back());
        pending.pop_back();
        auto const novelty = this->facts.note(fact, now);
        if (novelty == routing::fact_novelty::known) {
            continue;
        }
        changed = changed || novelty == routing::fact_novelty::changed;
        if (fact.key.kind == routing::fact_kind::upstream_limit) {
            this->apply_rate_limit(fact, now);
        } else if (fact.key.kind == routing::fact_kind::room_scarce) {
            this->apply_scarcity(fact, now);
        } else {
            auto const contrary = this->quarantine.apply(fact, now);
            pending.insert(pending.end(), contrary.begin(), contrary.end());
        }
    }
    // A confirmation goes along with the next answer to each follower.
    if (changed) {
        this->feed.set_facts(this->facts_mark());
    }
}

auto routing_view::apply_scarcity(routing::shared_fact const& fact, base::time_point now) -> void {
    auto const id = base::service_id{fact.key.subject};
    auto const rank = routing::parse_rank(fact.key.witness);
    if (rank && this->ranks_requests(id)) {
        this->service(id).scarcity.note(*rank, std::min(fact.observed_at, now));
    }
}

auto routing_view::apply_rate_limit(routing::shared_fact const& fact, base::time_point now)
    -> void {
    auto const id = base::upstream_id{fact.key.subject};
    auto const* const record = this->upstreams.find(id);
    if (record == nullptr) {
        // Another host learned of the upstream first and will name the limit again.
        return;
    }
    auto& limits = this->service(record->service).rate_limits;
    if (fact.value < 0) {
        limits.lift(id);
    } else {
        limits.set(id, fact.value, fact.observed_at, now, this->draw());
    }
}

auto routing_view::learn_quarantined(std::vector<routing::quarantine_subject> const& subjects,
                                     base::time_point now) -> void {
    for (auto const& subject : subjects) {
        if (this->quarantine.is_unknown(subject)) {
            this->learn({{{routing::fact_kind::quarantined, subject.value, {}}, 0, now}}, now);
        }
    }
}

auto routing_view::hosts_to_ask(std::size_t most, base::time_point now) const
    -> std::vector<host_entry> {
    auto found = std::vector<host_entry>{};
    auto const usable = this->relays.order_for_followers(now);
    for (auto const* const group : {&usable, &this->relays.known_hosts()}) {
        for (auto const& each : *group) {
            auto const is_new =
                each.host != this->relays.own_entry().host &&
                std::ranges::find(found, each.host, &host_entry::host) == found.end();
            if (each.peers && is_new && found.size() < most) {
                found.push_back(each);
            }
        }
    }
    for (auto& each : this->some_distant_readers(most)) {
        found.push_back(std::move(each));
    }
    return found;
}

auto routing_view::some_distant_readers(std::size_t most) const -> std::vector<host_entry> {
    auto found = std::vector<host_entry>{};
    // A host that has lost the registry goes on with the readers that it listed last.
    for (auto const* const known : {&this->other_readers, &this->distant_readers}) {
        for (auto const& each : *known) {
            auto const is_new =
                std::ranges::find(found, each.host, &host_entry::host) == found.end();
            auto const distant = each.data_centre != this->relays.own_entry().data_centre;
            if (is_new && distant && found.size() < most) {
                found.push_back(each);
            }
        }
    }
    return found;
}

auto routing_view::ranks_requests(base::service_id const& id) -> bool {
    auto const in_force = this->routes.current();
    if (in_force == nullptr) {
        return false;
    }
    if (this->ranked_version != in_force->version) {
        this->ranked.clear();
        this->ranked_version = in_force->version;
    }
    auto const [found, is_new] = this->ranked.try_emplace(id);
    if (is_new) {
        found->second = routing::ranks_requests(*in_force, id);
    }
    return found->second;
}

auto routing_view::try_retry(base::service_id const& id, base::time_point now) -> bool {
    return this->service(id).retries.try_take(this->hosts, now);
}

}  // namespace linnetlane::router

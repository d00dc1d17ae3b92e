#include "linnetlane/routing/fact_board.h"

#include <algorithm>

#include "linnetlane/routing/request_ranking.h"

namespace linnetlane::routing {

namespace {

// Returns whether the subject is a whole request. An upstream that ends breaks off many of them,
// which would displace the few facts of other subjects.
auto is_of_request(fact_key const& key) -> bool {
    return key.subject.starts_with(whole_request_prefix);
}

}  // namespace

auto fact_board::lifetime(fact_kind kind) -> base::duration {
    switch (kind) {
        case fact_kind::upstream_crash:
        case fact_kind::quarantined:
            return std::chrono::minutes{10};
        case fact_kind::answered:
            return std::chrono::minutes{1};
        case fact_kind::room_scarce:
            return room_scarcity::lifetime;
        case fact_kind::upstream_limit:
            break;
    }
    return std::chrono::seconds{10};
}

auto fact_board::note(shared_fact const& fact, base::time_point now) -> fact_novelty {
    auto const too_long =
        fact.key.subject.size() > max_text_bytes || fact.key.witness.size() > max_text_bytes;
    if (too_long || fact.observed_at + lifetime(fact.key.kind) <= now) {
        return fact_novelty::known;
    }
    auto const found = this->facts.find(fact.key);
    auto novelty = fact_novelty::changed;
    if (found != this->facts.end()) {
        auto& known = found->second;
        auto const same_value = known.value == fact.value;
        auto const later = same_value ? fact.observed_at >= known.told_at + confirm_interval
                                      : fact.observed_at > known.observed_at;
        if (!later) {
            if (same_value) {
                // An older observation of another value may still arrive.
                known.observed_at = std::max(known.observed_at, fact.observed_at);
            }
            return fact_novelty::known;
        }
        novelty = same_value ? fact_novelty::confirmed : fact_novelty::changed;
    } else {
        this->forget_expired(now);
        if (!this->make_room(fact)) {
            return fact_novelty::known;
        }
    }
    this->newest = this->newest.next();
    this->facts.insert_or_assign(
        fact.key, entry{fact.value, fact.observed_at, fact.observed_at, this->newest});
    return novelty;
}

auto fact_board::changed_since(fact_position after, base::time_point now) const
    -> std::vector<shared_fact> {
    auto changed = std::vector<shared_fact>{};
    for (auto const& [key, one] : this->facts) {
        if (one.changed_at > after && now < one.observed_at + lifetime(key.kind)) {
            changed.push_back({key, one.value, one.observed_at});
        }
    }
    return changed;
}

auto fact_board::find(fact_key const& key, base::time_point now) const
    -> std::optional<shared_fact> {
    auto const found = this->facts.find(key);
    if (found == this->facts.end() || found->second.observed_at + lifetime(key.kind) <= now) {
        return std::nullopt;
    }
    return shared_fact{key, found->second.value, found->second.observed_at};
}

auto fact_board::forget_expired(base::time_point now) -> void {
    std::erase_if(this->facts, [&](auto const& each) {
        return each.second.observed_at + lifetime(each.first.kind) <= now;
    });
}

auto fact_board::make_room(shared_fact const& fact) -> bool {
    auto oldest = this->facts.end();
    auto count = std::size_t{0};
    for (auto each = this->facts.begin(); each != this->facts.end(); ++each) {
        if (each->first.kind != fact.key.kind ||
            is_of_request(each->first) != is_of_request(fact.key)) {
            continue;
        }
        ++count;
        if (oldest == this->facts.end() || each->second.observed_at < oldest->second.observed_at) {
            oldest = each;
        }
    }
    if (count < (is_of_request(fact.key) ? max_request_facts : max_facts)) {
        return true;
    }
    if (fact.observed_at <= oldest->second.observed_at) {
        return false;
    }
    this->facts.erase(oldest);
    return true;
}

}  // namespace linnetlane::routing

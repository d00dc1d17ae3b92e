#include "linnetlane/routing/prompt_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace linnetlane::routing {

auto parts_at(base::service_id const& service, std::vector<base::prompt_part_id> const& parts)
    -> std::vector<base::prompt_part_id> {
    auto named = std::vector<base::prompt_part_id>{};
    for (auto const& part : parts) {
        named.push_back(base::prompt_part_id{fmt::format("{}/{}", service.value, part.value)});
    }
    return named;
}

auto prompt_quarantine::answer_began(std::vector<base::prompt_part_id> const& parts,
                                     base::time_point now) -> std::vector<shared_fact> {
    auto facts = std::vector<shared_fact>{};
    for (auto const& part : parts) {
        this->answered.insert_or_assign(part, now);
        if (this->suspects.contains(part)) {
            facts.push_back({{fact_kind::prompt_answered, part.value, {}}, 0, now});
        }
    }
    while (this->answered.size() > max_answered) {
        this->forget_oldest_answer();
    }
    return facts;
}

auto prompt_quarantine::upstream_ended(std::vector<base::prompt_part_id> const& parts,
                                       base::upstream_id const& upstream,
                                       base::time_point now) const -> std::vector<shared_fact> {
    auto const crash = this->name_crash(upstream, now);
    auto facts = std::vector<shared_fact>{};
    for (auto index = std::size_t{0}; index < parts.size(); ++index) {
        facts.push_back({{fact_kind::prompt_crash, parts[index].value, crash},
                         static_cast<double>(index),
                         now});
    }
    return facts;
}

auto prompt_quarantine::apply(shared_fact const& fact, base::time_point now)
    -> std::vector<shared_fact> {
    auto const part = base::prompt_part_id{fact.key.subject};
    auto facts = std::vector<shared_fact>{};
    this->forget_expired(now);
    if (fact.key.kind == fact_kind::prompt_answered) {
        auto const known = this->answered.find(part);
        if (known == this->answered.end() || known->second < fact.observed_at) {
            this->answered.insert_or_assign(part, fact.observed_at);
        }
    } else {
        auto& one = this->suspects[part];
        if (fact.key.kind == fact_kind::prompt_crash) {
            one.crashes.insert_or_assign(fact.key.witness, fact.observed_at);
            one.position = static_cast<std::size_t>(std::max(fact.value, 0.0));
        } else {
            one.quarantined_at = fact.observed_at;
        }
        // Other hosts may not have answered it.
        if (auto const answer = this->last_answer(part);
            answer && *answer + answer_validity > now) {
            facts.push_back({{fact_kind::prompt_answered, part.value, {}}, 0, *answer});
        }
    }
    this->evaluate();
    return facts;
}

auto prompt_quarantine::blocked_until(std::vector<base::prompt_part_id> const& parts,
                                      base::time_point now) const
    -> std::optional<base::time_point> {
    if (this->verdicts.empty()) {
        return std::nullopt;
    }
    auto latest = std::optional<base::time_point>{};
    for (auto const& part : parts) {
        auto const found = this->verdicts.find(part);
        if (found != this->verdicts.end() && now >= found->second.in_force_from &&
            now < found->second.until) {
            latest = std::max(latest.value_or(found->second.until), found->second.until);
        }
    }
    return latest;
}

auto prompt_quarantine::quarantined(base::time_point now) const
    -> std::map<base::prompt_part_id, base::time_point> {
    auto found = std::map<base::prompt_part_id, base::time_point>{};
    for (auto const& [part, each] : this->verdicts) {
        if (now >= each.in_force_from && now < each.until) {
            found.emplace(part, each.in_force_from);
        }
    }
    return found;
}

auto prompt_quarantine::convicted(base::time_point now) const -> std::vector<base::prompt_part_id> {
    auto parts = std::vector<base::prompt_part_id>{};
    for (auto const& [part, each] : this->verdicts) {
        if (each.from_crashes && now >= each.in_force_from && now < each.until) {
            parts.push_back(part);
        }
    }
    return parts;
}

auto prompt_quarantine::forget_expired(base::time_point now) -> void {
    auto const span = fact_board::lifetime(fact_kind::prompt_crash);
    for (auto& [part, one] : this->suspects) {
        std::erase_if(one.crashes, [&](auto const& each) { return each.second + span <= now; });
        if (one.quarantined_at && *one.quarantined_at + span <= now) {
            one.quarantined_at.reset();
        }
    }
    std::erase_if(this->suspects, [](auto const& each) {
        return each.second.crashes.empty() && !each.second.quarantined_at;
    });
    while (this->suspects.size() > fact_board::max_facts) {
        auto const oldest = std::ranges::min_element(
            this->suspects, {}, [](auto const& each) { return each.second.crashes.size(); });
        this->suspects.erase(oldest);
    }
}

auto prompt_quarantine::forget_oldest_answer() -> void {
    this->answered.erase(
        std::ranges::min_element(this->answered, {}, [](auto const& each) { return each.second; }));
}

auto prompt_quarantine::name_crash(base::upstream_id const& upstream, base::time_point now) const
    -> std::string {
    auto known = std::map<std::string, base::time_point>{};
    auto const prefix = upstream.value + "#";
    for (auto const& [part, one] : this->suspects) {
        for (auto const& [crash, at] : one.crashes) {
            if (crash.starts_with(prefix)) {
                known.insert_or_assign(crash, at);
            }
        }
    }
    for (auto const& [crash, at] : known) {
        if (now < at + same_crash_interval) {
            return crash;
        }
    }
    return fmt::format("{}{}", prefix, known.size() + 1);
}

auto prompt_quarantine::last_answer(base::prompt_part_id const& part) const
    -> std::optional<base::time_point> {
    auto const found = this->answered.find(part);
    return found == this->answered.end() ? std::nullopt : std::optional{found->second};
}

auto prompt_quarantine::find_candidates() const -> std::vector<candidate> {
    auto found = std::vector<candidate>{};
    for (auto const& [part, one] : this->suspects) {
        auto const answer = this->last_answer(part);
        auto each = candidate{part, one.position, {}, false};
        for (auto const& [crash, at] : one.crashes) {
            if (!answer || at > *answer) {
                each.crashes.emplace(crash, at);
                each.answered = each.answered || (answer && *answer + answer_validity > at);
            }
        }
        if (!each.crashes.empty()) {
            found.push_back(std::move(each));
        }
    }
    // Of parts with the same crashes, the one further back in the prompts is shared by fewer.
    std::ranges::sort(found, [](candidate const& left, candidate const& right) {
        return std::tuple{left.crashes.size(), left.position, left.part} >
               std::tuple{right.crashes.size(), right.position, right.part};
    });
    return found;
}

auto prompt_quarantine::decided_at(candidate const& one, std::set<std::string> const& explained)
    -> std::optional<base::time_point> {
    auto times = std::vector<base::time_point>{};
    for (auto const& [crash, at] : one.crashes) {
        if (!explained.contains(crash)) {
            times.push_back(at);
        }
    }
    std::ranges::sort(times);
    auto missing = one.answered ? crashes_after_answer : crashes_without_answer;
    auto last_counted = std::optional<base::time_point>{};
    for (auto const& at : times) {
        if (last_counted && at < *last_counted + common_cause_interval) {
            continue;
        }
        last_counted = at;
        if (--missing == 0) {
            return at;
        }
    }
    return std::nullopt;
}

auto prompt_quarantine::evaluate() -> void {
    this->verdicts.clear();
    auto const span = fact_board::lifetime(fact_kind::prompt_crash);
    for (auto const& [part, one] : this->suspects) {
        auto const answer = this->last_answer(part);
        if (one.quarantined_at && (!answer || *answer + answer_validity < *one.quarantined_at)) {
            this->verdicts.emplace(part, verdict{*one.quarantined_at, *one.quarantined_at + span});
        }
    }
    auto const candidates = this->find_candidates();
    auto explained = std::set<std::string>{};
    for (auto const& each : candidates) {
        auto const decided = decided_at(each, explained);
        if (!decided) {
            continue;
        }
        auto const ambiguous = std::ranges::any_of(candidates, [&](candidate const& other) {
            return other.part != each.part && !other.answered && other.crashes == each.crashes;
        });
        auto const from = ambiguous ? *decided + base::duration{ambiguity_delay} : *decided;
        auto last_crash = *decided;
        for (auto const& [crash, at] : each.crashes) {
            explained.insert(crash);
            last_crash = std::max(last_crash, at);
        }
        auto& known =
            this->verdicts.try_emplace(each.part, verdict{from, last_crash + span}).first->second;
        known.in_force_from = std::min(known.in_force_from, from);
        known.until = std::max(known.until, last_crash + span);
        known.from_crashes = true;
    }
}

}  // namespace linnetlane::routing

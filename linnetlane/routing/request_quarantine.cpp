#include "linnetlane/routing/request_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace linnetlane::routing {

namespace {

// A whole request is shared by fewer requests than each part of its prompt.
constexpr auto position_of_whole_request = std::size_t{1000};

auto name_of_whole(base::request_digest const& request) -> std::string {
    return fmt::format("{}{}/", whole_request_prefix, request.value);
}

// Returns the name of a whole request without that of the service.
auto without_service(quarantine_subject const& whole) -> std::string {
    return whole.value.substr(0, whole.value.find('/') + 1);
}

}  // namespace

auto request_subjects::all() const -> std::vector<quarantine_subject> {
    auto subjects = this->parts;
    subjects.push_back(this->whole);
    return subjects;
}

auto subjects_of(base::service_id const& service, std::vector<base::prompt_part_id> const& parts,
                 base::request_digest const& request) -> request_subjects {
    auto subjects = request_subjects{{}, {name_of_whole(request) + service.value}};
    for (auto const& part : parts) {
        subjects.parts.push_back({fmt::format("{}/{}", service.value, part.value)});
    }
    return subjects;
}

auto is_whole_request(quarantine_subject const& subject) -> bool {
    return subject.value.starts_with(whole_request_prefix);
}

auto request_quarantine::answered(std::vector<quarantine_subject> const& subjects,
                                  base::time_point now) -> std::vector<shared_fact> {
    auto facts = std::vector<shared_fact>{};
    for (auto const& subject : subjects) {
        this->answers.note(subject.value, now);
        if (this->suspects.contains(subject)) {
            facts.push_back({{fact_kind::answered, subject.value, {}}, 0, now});
        }
    }
    return facts;
}

auto request_quarantine::upstream_ended(std::vector<quarantine_subject> const& subjects,
                                        base::upstream_id const& upstream,
                                        base::time_point now) const -> std::vector<shared_fact> {
    auto const crash = this->name_crash(upstream, now);
    auto facts = std::vector<shared_fact>{};
    for (auto index = std::size_t{0}; index < subjects.size(); ++index) {
        auto const position = is_whole_request(subjects[index]) ? position_of_whole_request : index;
        facts.push_back({{fact_kind::upstream_crash, subjects[index].value, crash},
                         static_cast<double>(position),
                         now});
    }
    return facts;
}

auto request_quarantine::apply(shared_fact const& fact, base::time_point now)
    -> std::vector<shared_fact> {
    auto const subject = quarantine_subject{fact.key.subject};
    auto facts = std::vector<shared_fact>{};
    this->stale = true;
    if (fact.key.kind == fact_kind::answered) {
        this->answers.note(subject.value, fact.observed_at);
        return facts;
    }
    auto& one = this->suspects[subject];
    if (fact.key.kind == fact_kind::upstream_crash) {
        one.crashes.insert_or_assign(fact.key.witness, fact.observed_at);
        one.position = static_cast<std::size_t>(std::max(fact.value, 0.0));
    } else {
        one.quarantined_at = fact.observed_at;
    }
    // Other hosts may not have answered it.
    if (auto const answer = this->answers.find(subject.value);
        answer && *answer + answer_validity > now) {
        facts.push_back({{fact_kind::answered, subject.value, {}}, 0, *answer});
    }
    this->limit_suspects();
    return facts;
}

auto request_quarantine::end_of(verdict const& one, base::time_point now)
    -> std::optional<base::time_point> {
    auto const in_force = now >= one.in_force_from && now < one.until;
    return in_force ? std::optional{one.until} : std::nullopt;
}

auto request_quarantine::find(request_subjects const& subjects, base::time_point now)
    -> std::optional<finding> {
    this->evaluate(now);
    if (this->verdicts.empty()) {
        return std::nullopt;
    }
    auto latest = std::optional<finding>{};
    auto const consider = [&](quarantine_subject const& subject, verdict const& one) {
        auto const end = end_of(one, now);
        if (end && (!latest || *end > latest->until)) {
            latest = finding{subject, *end};
        }
    };
    for (auto const& part : subjects.parts) {
        if (auto const found = this->verdicts.find(part); found != this->verdicts.end()) {
            consider(part, found->second);
        }
    }
    auto const answer = this->answers.find(subjects.whole.value);
    auto const answered_here = answer && *answer + answer_validity > now;
    auto const prefix = without_service(subjects.whole);
    for (auto each = this->verdicts.lower_bound({prefix});
         each != this->verdicts.end() && each->first.value.starts_with(prefix); ++each) {
        if (each->first == subjects.whole || !answered_here) {
            consider(each->first, each->second);
        }
    }
    return latest;
}

auto request_quarantine::quarantined(base::time_point now)
    -> std::map<quarantine_subject, base::time_point> {
    this->evaluate(now);
    auto found = std::map<quarantine_subject, base::time_point>{};
    for (auto const& [subject, each] : this->verdicts) {
        if (end_of(each, now)) {
            found.emplace(subject, each.in_force_from);
        }
    }
    return found;
}

auto request_quarantine::convicted(base::time_point now) -> std::vector<quarantine_subject> {
    this->evaluate(now);
    auto subjects = std::vector<quarantine_subject>{};
    for (auto const& [subject, each] : this->verdicts) {
        if (each.is_certain && end_of(each, now)) {
            subjects.push_back(subject);
        }
    }
    return subjects;
}

auto request_quarantine::forget_expired(base::time_point now) -> void {
    auto const span = fact_board::lifetime(fact_kind::upstream_crash);
    for (auto& [subject, one] : this->suspects) {
        std::erase_if(one.crashes, [&](auto const& each) { return each.second + span <= now; });
        if (one.quarantined_at && *one.quarantined_at + span <= now) {
            one.quarantined_at.reset();
        }
    }
    std::erase_if(this->suspects, [](auto const& each) {
        return each.second.crashes.empty() && !each.second.quarantined_at;
    });
}

auto request_quarantine::suspect::last_crash() const -> base::time_point {
    auto last = base::time_point::min();
    for (auto const& [crash, at] : this->crashes) {
        last = std::max(last, at);
    }
    return last;
}

auto request_quarantine::limit_suspects() -> void {
    auto const weight = [](suspect const& one) {
        return std::pair{
            one.quarantined_at.has_value() ? crashes_without_answer : one.crashes.size(),
            one.last_crash()};
    };
    while (this->suspects.size() > fact_board::max_facts) {
        this->suspects.erase(std::ranges::min_element(
            this->suspects, {}, [&](auto const& each) { return weight(each.second); }));
    }
}

auto request_quarantine::name_crash(base::upstream_id const& upstream, base::time_point now) const
    -> std::string {
    auto known = std::map<std::string, base::time_point>{};
    auto const prefix = upstream.value + "#";
    for (auto const& [subject, one] : this->suspects) {
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

auto request_quarantine::find_candidates() const -> std::vector<candidate> {
    auto found = std::vector<candidate>{};
    for (auto const& [subject, one] : this->suspects) {
        auto const answer = this->answers.find(subject.value);
        auto each = candidate{subject, one.position, {}, false};
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
    // Of subjects with the same crashes, the one further back in the prompts is shared by fewer.
    std::ranges::sort(found, [](candidate const& left, candidate const& right) {
        return std::tuple{left.crashes.size(), left.position, left.subject} >
               std::tuple{right.crashes.size(), right.position, right.subject};
    });
    return found;
}

auto request_quarantine::decided_at(candidate const& one, std::set<std::string> const& explained)
    -> std::optional<base::time_point> {
    auto times = std::vector<base::time_point>{};
    for (auto const& [crash, at] : one.crashes) {
        if (!explained.contains(crash)) {
            times.push_back(at);
        }
    }
    std::ranges::sort(times);
    auto missing = one.answered ? crashes_after_answer : crashes_without_answer;
    auto const most_together = is_whole_request(one.subject) ? common_cause_crashes_of_request
                                                             : common_cause_crashes_of_part;
    auto first_together = std::optional<base::time_point>{};
    auto together = std::size_t{0};
    for (auto const& at : times) {
        if (!first_together || at >= *first_together + common_cause_interval) {
            first_together = at;
            together = 0;
        }
        if (++together <= most_together && --missing == 0) {
            return at;
        }
    }
    return std::nullopt;
}

auto request_quarantine::evaluate(base::time_point now) -> void {
    if (!std::exchange(this->stale, false)) {
        return;
    }
    this->forget_expired(now);
    this->verdicts.clear();
    auto const span = fact_board::lifetime(fact_kind::upstream_crash);
    for (auto const& [subject, one] : this->suspects) {
        auto const answer = this->answers.find(subject.value);
        if (one.quarantined_at && (!answer || *answer + answer_validity < *one.quarantined_at)) {
            this->verdicts.emplace(subject,
                                   verdict{*one.quarantined_at, *one.quarantined_at + span});
        }
    }
    auto const candidates = this->find_candidates();
    auto explained = std::set<std::string>{};
    for (auto const& each : candidates) {
        auto const decided = decided_at(each, explained);
        if (!decided) {
            continue;
        }
        auto const is_alike = [&](candidate const& other) {
            return other.subject != each.subject && !other.answered &&
                   other.crashes == each.crashes;
        };
        auto const ambiguous = std::ranges::any_of(candidates, is_alike);
        // A further crash will tell which of two requests is the cause.
        auto const one_of_two_requests =
            is_whole_request(each.subject) &&
            std::ranges::any_of(candidates, [&](candidate const& other) {
                return is_alike(other) && is_whole_request(other.subject);
            });
        auto const from = ambiguous ? *decided + base::duration{ambiguity_delay} : *decided;
        auto last_crash = *decided;
        for (auto const& [crash, at] : each.crashes) {
            explained.insert(crash);
            last_crash = std::max(last_crash, at);
        }
        auto& known = this->verdicts.try_emplace(each.subject, verdict{from, last_crash + span})
                          .first->second;
        known.in_force_from = std::min(known.in_force_from, from);
        known.until = std::max(known.until, last_crash + span);
        known.is_certain = !one_of_two_requests;
    }
}

}  // namespace linnetlane::routing

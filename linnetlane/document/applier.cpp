#include "linnetlane/document/applier.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/document/stored_value.h"

namespace linnetlane::document {

namespace {

auto exists(version const* current) -> bool {
    return current != nullptr && !current->removed;
}

auto generation_of(version const* current) -> base::generation {
    return current == nullptr ? base::generation{} : current->generation;
}

// Whether `wanted` was made for the version in force. A service that was removed may be made anew.
auto is_for(apply const& wanted, version const* current) -> bool {
    auto const anew = !exists(current) && wanted.replaces == base::generation{};
    return anew || wanted.replaces == generation_of(current);
}

auto newest_first(std::vector<version> versions) -> std::vector<version> {
    std::sort(versions.begin(), versions.end(), [](version const& left, version const& right) {
        return left.generation > right.generation;
    });
    return versions;
}

}  // namespace

auto applier::begin(apply const& wanted, base::time_point now, acceptor& versions, outbox& out)
    -> void {
    auto candidate = version{wanted.service, wanted.replaces.next(), wanted.write_id,
                             !wanted.text.has_value(), wanted.text.value_or("")};
    if (auto const fault = versions.fault_of(candidate)) {
        out.add(refused{wanted.number, refusal::invalid, fault->text});
        return;
    }
    auto& begun = this->under_way[wanted.number];
    begun.request = wanted;
    begun.candidate = std::move(candidate);
    begun.deadline = now + apply_patience;
    this->read_current(begun, out);
}

auto applier::begin(history const& wanted, outbox& out) -> void {
    auto const call = out.call(coordination::read_prefix{{}, history_prefix_of(wanted.service)});
    this->histories[call] = wanted;
}

auto applier::handle(coordination::store_answer const& answer, base::time_point now,
                     acceptor& versions, random_generator& random, outbox& out) -> bool {
    if (this->answer_history(answer, out)) {
        return true;
    }
    auto const call = std::visit([](auto const& each) { return each.call; }, answer);
    auto const each = this->find(call);
    if (each == this->under_way.end()) {
        return false;
    }
    std::visit(base::overloaded{
                   [&](coordination::entries_read const& read) {
                       this->on_read(each, read, versions, out);
                   },
                   [&](coordination::swap_answer const& swapped) {
                       this->on_swap(each, swapped, versions, out);
                   },
                   [&](coordination::call_failed const& failed) {
                       this->on_failure(each, failed, now, random, out);
                   },
                   [](auto const& /*other*/) {},
               },
               answer);
    return true;
}

auto applier::run_due(base::time_point now, outbox& out) -> void {
    for (auto& [number, each] : this->under_way) {
        if (each.stage == stage::settling && now >= each.retry_at) {
            this->read_current(each, out);
        }
    }
}

auto applier::next_deadline() const -> base::time_point {
    auto next = base::time_point::max();
    for (auto const& [number, each] : this->under_way) {
        if (each.stage == stage::settling) {
            next = std::min(next, each.retry_at);
        }
    }
    return next;
}

auto applier::find(coordination::call_number call) -> operations::iterator {
    return std::find_if(this->under_way.begin(), this->under_way.end(), [&](auto const& each) {
        return each.second.call == call && each.second.stage != stage::settling;
    });
}

auto applier::read_current(operation& each, outbox& out) -> void {
    each.stage = stage::reading;
    each.call = out.call(coordination::read_key{{}, current_key(each.request.service)});
}

auto applier::on_read(operations::iterator each, coordination::entries_read const& answer,
                      acceptor& versions, outbox& out) -> void {
    if (each->second.stage == stage::reading_history) {
        this->settle_by_history(each, answer, versions, out);
        return;
    }
    auto stored = std::optional<coordination::entry>{};
    if (!answer.entries.empty()) {
        stored = answer.entries.front();
    }
    this->decide(each, stored, versions, out);
}

auto applier::on_swap(operations::iterator each, coordination::swap_answer const& answer,
                      acceptor& versions, outbox& out) -> void {
    if (answer.swapped) {
        this->succeed(each, versions, out);
        return;
    }
    this->decide(each, answer.current, versions, out);
}

auto applier::on_failure(operations::iterator each, coordination::call_failed const& failed,
                         base::time_point now, random_generator& random, outbox& out) -> void {
    auto& change = each->second;
    auto const was_swap = change.stage == stage::swapping;
    if (was_swap && failed.reach == coordination::call_reach::may_have_run) {
        change.uncertain = true;
    }
    if (!change.uncertain) {
        this->refuse(each, refusal::platform_unavailable, out);
        return;
    }
    change.stage = stage::settling;
    change.retry_at = change.retries.next_try(now, random);
    if (change.retry_at >= change.deadline) {
        this->refuse(each, refusal::outcome_unknown, out);
    }
}

auto applier::decide(operations::iterator each, std::optional<coordination::entry> const& stored,
                     acceptor& versions, outbox& out) -> void {
    auto& change = each->second;
    auto const& service = change.request.service;
    auto const parsed = stored ? parse_value(service, stored->value) : std::nullopt;
    if (parsed) {
        versions.accept(*parsed, out);
    }
    if (parsed && parsed->write_id == change.request.write_id) {
        change.candidate = *parsed;
        this->succeed(each, versions, out);
        return;
    }
    auto const* const current = versions.table().find(service);
    if (change.uncertain && generation_of(current) > change.candidate.generation) {
        change.stage = stage::reading_history;
        auto const key = history_key(service, change.candidate.generation);
        change.call = out.call(coordination::read_key{{}, key});
        return;
    }
    if (!is_for(change.request, current)) {
        this->lose(each, current, out);
        return;
    }
    if (change.candidate.removed && !exists(current)) {
        this->refuse(each, refusal::no_such_service, out);
        return;
    }
    this->swap(change, current, stored ? stored->modified : coordination::revision{}, out);
}

auto applier::swap(operation& each, version const* current, coordination::revision expected,
                   outbox& out) -> void {
    each.stage = stage::swapping;
    each.candidate.generation = generation_of(current).next();
    auto swap = coordination::compare_and_swap{};
    swap.key = current_key(each.request.service);
    swap.expected = expected;
    swap.value = to_value(each.candidate);
    swap.extra = history_writes(each.candidate);
    each.call = out.call(std::move(swap));
}

// Others may have replaced our version already; the history still has it then.
auto applier::settle_by_history(operations::iterator each, coordination::entries_read const& answer,
                                acceptor& versions, outbox& out) -> void {
    auto const& service = each->second.request.service;
    for (auto const& entry : answer.entries) {
        auto const kept = parse_value(service, entry.value);
        if (kept && kept->write_id == each->second.request.write_id) {
            this->succeed(each, versions, out);
            return;
        }
    }
    this->lose(each, versions.table().find(service), out);
}

auto applier::succeed(operations::iterator each, acceptor& versions, outbox& out) -> void {
    versions.accept(each->second.candidate, out);
    out.add(applied{each->first, std::move(each->second.candidate)});
    this->under_way.erase(each);
}

auto applier::lose(operations::iterator each, version const* current, outbox& out) -> void {
    auto lost = conflict{each->first, std::nullopt};
    if (exists(current)) {
        lost.version = *current;
    }
    out.add(std::move(lost));
    this->under_way.erase(each);
}

auto applier::refuse(operations::iterator each, refusal reason, outbox& out) -> void {
    out.add(refused{each->first, reason, ""});
    this->under_way.erase(each);
}

auto applier::answer_history(coordination::store_answer const& answer, outbox& out) -> bool {
    auto const call = std::visit([](auto const& each) { return each.call; }, answer);
    auto const found = this->histories.find(call);
    if (found == this->histories.end()) {
        return false;
    }
    auto const wanted = found->second;
    this->histories.erase(found);
    auto const* const read = std::get_if<coordination::entries_read>(&answer);
    if (read == nullptr) {
        out.add(refused{wanted.number, refusal::platform_unavailable, ""});
        return true;
    }
    auto versions = std::vector<version>{};
    for (auto const& entry : read->entries) {
        if (auto kept = parse_value(wanted.service, entry.value)) {
            versions.push_back(std::move(*kept));
        }
    }
    out.add(history_read{wanted.number, newest_first(std::move(versions))});
    return true;
}

}  // namespace linnetlane::document

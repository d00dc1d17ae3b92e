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

// Whether `request` replaces the version in force. A removed service may be created again with
// generation 0.
auto replaces_current(apply const& request, version const* current) -> bool {
    auto const creates = !exists(current) && request.replaces == base::generation{};
    return creates || request.replaces == generation_of(current);
}

auto newest_first(std::vector<version> versions) -> std::vector<version> {
    std::sort(versions.begin(), versions.end(), [](version const& left, version const& right) {
        return left.generation > right.generation;
    });
    return versions;
}

}  // namespace

auto applier::begin(apply const& request, base::time_point now, acceptor& versions, outbox& out)
    -> void {
    auto candidate = version{request.service, request.replaces.next(), request.write_id,
                             !request.text.has_value(), request.text.value_or("")};
    if (auto const error = versions.validate(candidate)) {
        out.add(refused{request.number, refusal::invalid, error->text});
        return;
    }
    auto& started = this->in_progress[request.number];
    started.request = request;
    started.candidate = std::move(candidate);
    started.deadline = now + apply_timeout;
    this->read_current(started, out);
}

auto applier::begin(history const& request, outbox& out) -> void {
    auto const call = out.call(coordination::read_prefix{{}, history_prefix_of(request.service)});
    this->histories[call] = request;
}

auto applier::handle(coordination::store_answer const& answer, base::time_point now,
                     acceptor& versions, random_generator& random, outbox& out) -> bool {
    if (this->answer_history(answer, out)) {
        return true;
    }
    auto const call = std::visit([](auto const& each) { return each.call; }, answer);
    auto const op = this->find(call);
    if (op == this->in_progress.end()) {
        return false;
    }
    std::visit(
        base::overloaded{
            [&](coordination::entries_read const& read) { this->on_read(op, read, versions, out); },
            [&](coordination::swap_answer const& swapped) {
                this->on_swap(op, swapped, versions, out);
            },
            [&](coordination::call_failed const& failed) {
                this->on_failure(op, failed, now, random, out);
            },
            [](auto const& /*other*/) {},
        },
        answer);
    return true;
}

auto applier::run_due(base::time_point now, outbox& out) -> void {
    for (auto& [number, op] : this->in_progress) {
        if (op.stage == stage::settling && now >= op.retry_at) {
            this->read_current(op, out);
        }
    }
}

auto applier::next_deadline() const -> base::time_point {
    auto next = base::time_point::max();
    for (auto const& [number, op] : this->in_progress) {
        if (op.stage == stage::settling) {
            next = std::min(next, op.retry_at);
        }
    }
    return next;
}

auto applier::find(coordination::call_number call) -> operations::iterator {
    return std::find_if(this->in_progress.begin(), this->in_progress.end(), [&](auto const& op) {
        return op.second.call == call && op.second.stage != stage::settling;
    });
}

auto applier::read_current(operation& op, outbox& out) -> void {
    op.stage = stage::reading;
    op.call = out.call(coordination::read_key{{}, current_key(op.request.service)});
}

auto applier::on_read(operations::iterator op, coordination::entries_read const& answer,
                      acceptor& versions, outbox& out) -> void {
    if (op->second.stage == stage::reading_history) {
        this->settle_by_history(op, answer, versions, out);
        return;
    }
    auto stored = std::optional<coordination::entry>{};
    if (!answer.entries.empty()) {
        stored = answer.entries.front();
    }
    this->continue_from(op, stored, versions, out);
}

auto applier::on_swap(operations::iterator op, coordination::swap_answer const& answer,
                      acceptor& versions, outbox& out) -> void {
    if (answer.swapped) {
        this->report_applied(op, versions, out);
        return;
    }
    this->continue_from(op, answer.current, versions, out);
}

auto applier::on_failure(operations::iterator op, coordination::call_failed const& failed,
                         base::time_point now, random_generator& random, outbox& out) -> void {
    auto& change = op->second;
    auto const was_swap = change.stage == stage::swapping;
    if (was_swap && failed.reach == coordination::call_reach::may_have_run) {
        change.uncertain = true;
    }
    if (!change.uncertain) {
        this->refuse(op, refusal::platform_unavailable, out);
        return;
    }
    change.stage = stage::settling;
    change.retry_at = change.retries.next_attempt(now, random);
    if (change.retry_at >= change.deadline) {
        this->refuse(op, refusal::outcome_unknown, out);
    }
}

// Continues a change from the entry that the platform holds: reports that it was applied, conflicts
// or is refused, looks it up in the history, or writes it.
auto applier::continue_from(operations::iterator op,
                            std::optional<coordination::entry> const& stored, acceptor& versions,
                            outbox& out) -> void {
    auto& change = op->second;
    auto const& service = change.request.service;
    auto const parsed = stored ? parse_value(service, stored->value) : std::nullopt;
    if (parsed) {
        versions.accept(*parsed, out);
    }
    if (parsed && parsed->write_id == change.request.write_id) {
        change.candidate = *parsed;
        this->report_applied(op, versions, out);
        return;
    }
    auto const* const current = versions.table().find(service);
    if (change.uncertain && generation_of(current) > change.candidate.generation) {
        change.stage = stage::reading_history;
        auto const key = history_key(service, change.candidate.generation);
        change.call = out.call(coordination::read_key{{}, key});
        return;
    }
    if (!replaces_current(change.request, current)) {
        this->report_conflict(op, current, out);
        return;
    }
    if (change.candidate.removed && !exists(current)) {
        this->refuse(op, refusal::no_such_service, out);
        return;
    }
    this->swap(change, current, stored ? stored->modified : coordination::revision{}, out);
}

auto applier::swap(operation& op, version const* current, coordination::revision expected,
                   outbox& out) -> void {
    op.stage = stage::swapping;
    op.candidate.generation = generation_of(current).next();
    auto swap = coordination::compare_and_swap{};
    swap.key = current_key(op.request.service);
    swap.expected = expected;
    swap.value = to_value(op.candidate);
    swap.extra = history_writes(op.candidate);
    op.call = out.call(std::move(swap));
}

// The version may have been replaced by a later one already; in that case the history holds it.
auto applier::settle_by_history(operations::iterator op, coordination::entries_read const& answer,
                                acceptor& versions, outbox& out) -> void {
    auto const& service = op->second.request.service;
    for (auto const& entry : answer.entries) {
        auto const stored = parse_value(service, entry.value);
        if (stored && stored->write_id == op->second.request.write_id) {
            this->report_applied(op, versions, out);
            return;
        }
    }
    this->report_conflict(op, versions.table().find(service), out);
}

auto applier::report_applied(operations::iterator op, acceptor& versions, outbox& out) -> void {
    versions.accept(op->second.candidate, out);
    out.add(applied{op->first, std::move(op->second.candidate)});
    this->in_progress.erase(op);
}

auto applier::report_conflict(operations::iterator op, version const* current, outbox& out)
    -> void {
    auto reported = conflict{op->first, std::nullopt};
    if (exists(current)) {
        reported.version = *current;
    }
    out.add(std::move(reported));
    this->in_progress.erase(op);
}

auto applier::refuse(operations::iterator op, refusal reason, outbox& out) -> void {
    out.add(refused{op->first, reason, ""});
    this->in_progress.erase(op);
}

auto applier::answer_history(coordination::store_answer const& answer, outbox& out) -> bool {
    auto const call = std::visit([](auto const& each) { return each.call; }, answer);
    auto const found = this->histories.find(call);
    if (found == this->histories.end()) {
        return false;
    }
    auto const request = found->second;
    this->histories.erase(found);
    auto const* const read = std::get_if<coordination::entries_read>(&answer);
    if (read == nullptr) {
        out.add(refused{request.number, refusal::platform_unavailable, ""});
        return true;
    }
    auto versions = std::vector<version>{};
    for (auto const& entry : read->entries) {
        if (auto stored = parse_value(request.service, entry.value)) {
            versions.push_back(std::move(*stored));
        }
    }
    out.add(history_read{request.number, newest_first(std::move(versions))});
    return true;
}

}  // namespace linnetlane::document

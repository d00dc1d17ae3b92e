#include "linnetlane/claim/shard_keeper.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "linnetlane/base/result.h"

namespace linnetlane::claim {

namespace {

auto key_of(keeper_request const& request) -> shard_log::record_key {
    return std::visit(
        [](auto const& each) {
            return shard_log::record_key{each.service, each.key};
        },
        request);
}

auto claimant_of(keeper_request const& request) -> claimant const& {
    return std::visit([](auto const& each) -> claimant const& { return each.claimant; }, request);
}

auto is_settle(keeper_request const& request) -> bool {
    return std::holds_alternative<settle_request>(request);
}

auto reply_to(keeper_request const& request, verdict given) -> claim_reply {
    auto answer = claim_reply{};
    answer.number = claimant_of(request).number;
    answer.to_settle = is_settle(request);
    answer.verdict = given;
    return answer;
}

auto send(keeper_request const& request, claim_reply message, keeper_context& context) -> void {
    context.commands.emplace_back(reply{claimant_of(request).host, std::move(message)});
}

}  // namespace

shard_keeper::shard_keeper(shard_number number, limits claim_limits, std::string writer)
    : shard(number), bounds(claim_limits), writer_name(std::move(writer)) {}

auto shard_keeper::submit(keeper_request const& request, keeper_context& context) -> void {
    auto const* const claim = std::get_if<claim_request>(&request);
    auto const too_long = key_of(request).second.value.size() > this->bounds.max_key_bytes;
    if (this->waiting.size() >= this->bounds.max_waiting || too_long) {
        send(request, reply_to(request, verdict::overloaded), context);
        return;
    }
    if (claim != nullptr && this->reply_if_known(*claim, context)) {
        this->reread_if_under_way(*claim, context);
        return;
    }
    if (this->is_waiting(request)) {
        return;
    }
    this->waiting.push_back({request, context.now + this->bounds.request_timeout, false});
    if (this->stage == stage::unread) {
        this->read(context);
    }
}

auto shard_keeper::handle(coordination::store_answer const& answer, keeper_context& context)
    -> bool {
    auto const busy = this->stage == stage::reading || this->stage == stage::writing;
    auto const answered = std::visit([](auto const& each) { return each.call; }, answer);
    if (!busy || answered != this->call) {
        return false;
    }
    std::visit(
        base::overloaded{
            [&](coordination::entries_read const& read) { this->on_read(read, context); },
            [&](coordination::swap_answer const& swap) { this->on_written(swap, context); },
            [&](coordination::call_failed const& failed) { this->on_failed(failed, context); },
            [](auto const& /*other*/) {},
        },
        answer);
    return true;
}

auto shard_keeper::run_due(keeper_context& context) -> void {
    this->refuse_expired(context);
    if (context.now < this->next_call_at || !this->has_work()) {
        return;
    }
    if (this->stage == stage::unread) {
        this->read(context);
    } else if (this->stage == stage::idle) {
        this->write_batch(context);
    }
}

auto shard_keeper::redirect_waiting(keeper_context& context) -> void {
    this->requeue_batch(true);
    for (auto const& each : this->waiting) {
        send(each.request, reply_to(each.request, verdict::not_keeper), context);
    }
    this->waiting.clear();
}

auto shard_keeper::next_deadline() const -> base::time_point {
    auto next = base::time_point::max();
    for (auto const& each : this->waiting) {
        next = std::min(next, each.deadline);
    }
    auto const ready = this->stage == stage::unread || this->stage == stage::idle;
    return ready && this->has_work() ? std::min(next, this->next_call_at) : next;
}

auto shard_keeper::has_work() const -> bool {
    return !this->waiting.empty() || !this->lost_records.empty();
}

// Whether a request of the same kind from the same claimant is pending already.
auto shard_keeper::is_waiting(keeper_request const& request) const -> bool {
    auto const same = [&](pending_request const& each) {
        return claimant_of(each.request) == claimant_of(request) &&
               is_settle(each.request) == is_settle(request);
    };
    return std::any_of(this->waiting.begin(), this->waiting.end(), same) ||
           std::any_of(this->batch.begin(), this->batch.end(), same);
}

// Reads the shard again if the recorded call of another claimant is under way: a keeper in another
// data centre may have recorded its final state. The next request for the key gets the result.
auto shard_keeper::reread_if_under_way(claim_request const& request, keeper_context& context)
    -> void {
    auto const* const stored = this->log.find(key_of(request), context.wall, this->bounds);
    auto const is_foreign = stored != nullptr && stored->state == claim_state::under_way &&
                            stored->claimant != request.claimant;
    if (is_foreign && this->stage == stage::idle) {
        this->read(context);
    }
}

// Replies from the known records, if they decide the request.
auto shard_keeper::reply_if_known(claim_request const& request, keeper_context& context) -> bool {
    auto const* const stored = this->log.find(key_of(request), context.wall, this->bounds);
    auto const own = stored != nullptr && stored->claimant == request.claimant;
    if (stored == nullptr || (stored->state == claim_state::not_run && !own)) {
        return false;
    }
    if (stored->state == claim_state::not_run) {
        // The claimant has withdrawn its claim; this request is a delayed duplicate.
        send(request, reply_to(request, verdict::not_claimant), context);
        return true;
    }
    if (own && stored->state == claim_state::under_way) {
        this->reply_granted(request, context);
    } else {
        this->reply_already_claimed(request, *stored, context);
    }
    return true;
}

auto shard_keeper::read(keeper_context& context) -> void {
    this->stage = stage::reading;
    this->call = context.last_call = context.last_call.next();
    context.commands.emplace_back(
        call_store{coordination::read_prefix{this->call, shard_prefix(this->shard)}});
}

auto shard_keeper::on_read(coordination::entries_read const& answer, keeper_context& context)
    -> void {
    auto parsed = shard_log::parse(this->shard, answer.entries);
    if (!parsed) {
        this->stage = stage::unread;
        this->next_call_at = context.now + this->bounds.request_timeout;
        return;
    }
    if (parsed->head().sequence < this->log.head().sequence) {
        this->lost_records = parsed->missing_records(this->log);
    }
    std::erase_if(this->lost_records, [&](record const& each) {
        return parsed->find({each.service, each.key}, context.wall, this->bounds) != nullptr;
    });
    this->log = std::move(*parsed);
    this->stage = stage::idle;
}

auto shard_keeper::on_written(coordination::swap_answer const& answer, keeper_context& context)
    -> void {
    if (!answer.swapped) {
        // Another keeper wrote the shard, or an earlier write whose answer was lost took effect.
        this->requeue_batch(false);
        this->read(context);
        return;
    }
    this->log.commit(this->updates, this->write_id, answer.at, this->write_time, this->bounds);
    this->lost_records.clear();
    this->stage = stage::idle;
    for (auto const& each : std::exchange(this->batch, {})) {
        if (auto const* const claim = std::get_if<claim_request>(&each.request)) {
            this->reply_granted(*claim, context);
        } else {
            send(each.request, reply_to(each.request, verdict::settled), context);
        }
    }
}

auto shard_keeper::on_failed(coordination::call_failed const& failed, keeper_context& context)
    -> void {
    auto const was_write = this->stage == stage::writing;
    auto const may_be_written = was_write && failed.reach == coordination::call_reach::may_have_run;
    this->requeue_batch(may_be_written);
    this->stage = may_be_written ? stage::unread : this->stage;
    if (this->stage == stage::reading) {
        this->stage = stage::unread;
    } else if (this->stage == stage::writing) {
        this->stage = stage::idle;
    }
    this->next_call_at = context.now + this->bounds.batch_period;
    if (may_be_written) {
        return;
    }
    // Requests that can't have been recorded are refused at once.
    auto remaining = std::vector<pending_request>{};
    for (auto& each : std::exchange(this->waiting, {})) {
        if (each.may_be_written) {
            remaining.push_back(std::move(each));
        } else {
            this->refuse(each, verdict::platform_unavailable, context);
        }
    }
    this->waiting = std::move(remaining);
}

auto shard_keeper::write_batch(keeper_context& context) -> void {
    this->next_call_at = context.now + this->bounds.batch_period;
    this->updates = this->lost_records;
    if (this->lost_records.empty()) {
        this->fill_batch(context);
    }
    if (!this->updates.empty()) {
        this->write(context);
    }
}

auto shard_keeper::fill_batch(keeper_context& context) -> void {
    auto later = std::vector<pending_request>{};
    auto bytes = std::size_t{0};
    for (auto& each : std::exchange(this->waiting, {})) {
        auto const full = bytes >= this->bounds.batch_bytes;
        auto const same_key = [&](pending_request const& other) {
            return key_of(other.request) == key_of(each.request);
        };
        // A second request for the same key waits; the record of the first decides it.
        if (full || std::any_of(this->batch.begin(), this->batch.end(), same_key)) {
            later.push_back(std::move(each));
        } else if (this->prepare_record(each, context)) {
            bytes += max_serialized_size(this->updates.back());
            this->batch.push_back(std::move(each));
        }
    }
    this->waiting = std::move(later);
}

auto shard_keeper::write(keeper_context& context) -> void {
    ++this->writes;
    this->write_id = fmt::format("{}/{}/{}", this->writer_name, this->shard.value, this->writes);
    this->write_time = context.wall;
    auto write = this->log.make_write(this->shard, this->updates, this->write_id, context.wall,
                                      this->bounds);
    this->call = write.call = context.last_call = context.last_call.next();
    this->stage = stage::writing;
    context.commands.emplace_back(call_store{std::move(write)});
}

// Appends the record for `pending` to the updates. Returns false if none is needed, in which case
// the request was answered.
auto shard_keeper::prepare_record(pending_request const& pending, keeper_context& context) -> bool {
    return is_settle(pending.request) ? this->prepare_settle(pending, context)
                                      : this->prepare_claim(pending, context);
}

auto shard_keeper::prepare_claim(pending_request const& pending, keeper_context& context) -> bool {
    auto const& request = std::get<claim_request>(pending.request);
    if (this->reply_if_known(request, context)) {
        return false;
    }
    auto claimed = record{request.service,        request.key,  request.claimant,
                          claim_state::under_way, std::nullopt, request.keep_until};
    claimed.keep_until = std::max(claimed.keep_until, context.wall + this->bounds.min_retention);
    if (this->log.bytes_after_write(context.wall, this->bounds) + max_serialized_size(claimed) >
        this->bounds.max_shard_bytes) {
        this->refuse(pending, verdict::shard_full, context);
        return false;
    }
    this->updates.push_back(std::move(claimed));
    return true;
}

auto shard_keeper::prepare_settle(pending_request const& pending, keeper_context& context) -> bool {
    auto const& request = std::get<settle_request>(pending.request);
    auto const* const stored = this->log.find(key_of(request), context.wall, this->bounds);
    // Records the withdrawal even if the claim is not recorded: the write of the claim may still be
    // in flight, and it fails once the withdrawal is written.
    auto const withdraws_unrecorded_claim =
        stored == nullptr && request.state == claim_state::not_run;
    if (!withdraws_unrecorded_claim &&
        (stored == nullptr || stored->claimant != request.claimant)) {
        this->refuse(pending, verdict::not_claimant, context);
        return false;
    }
    auto settled =
        withdraws_unrecorded_claim
            ? record{request.service,      request.key,  request.claimant,
                     claim_state::not_run, std::nullopt, context.wall + this->bounds.min_retention}
            : *stored;
    settled.state = request.state;
    settled.answer = request.answer;
    if (settled.answer && settled.answer->body.size() > this->bounds.max_answer_bytes) {
        settled.answer.reset();
    }
    if (stored != nullptr && settled == *stored) {
        send(pending.request, reply_to(pending.request, verdict::settled), context);
        return false;
    }
    this->updates.push_back(std::move(settled));
    return true;
}

// Puts the requests of the batch back in front of those that arrived later.
auto shard_keeper::requeue_batch(bool may_be_written) -> void {
    for (auto& each : this->batch) {
        each.may_be_written = each.may_be_written || may_be_written;
    }
    this->waiting.insert(this->waiting.begin(), std::make_move_iterator(this->batch.begin()),
                         std::make_move_iterator(this->batch.end()));
    this->batch.clear();
    this->updates.clear();
}

auto shard_keeper::refuse_expired(keeper_context& context) -> void {
    auto remaining = std::vector<pending_request>{};
    for (auto& each : std::exchange(this->waiting, {})) {
        if (context.now < each.deadline) {
            remaining.push_back(std::move(each));
        } else {
            this->refuse(each, verdict::platform_unavailable, context);
        }
    }
    this->waiting = std::move(remaining);
}

auto shard_keeper::refuse(pending_request const& pending, verdict reason, keeper_context& context)
    -> void {
    auto answer = reply_to(pending.request, reason);
    answer.retry_after = this->bounds.request_timeout;
    answer.may_be_recorded = pending.may_be_written;
    send(pending.request, std::move(answer), context);
}

auto shard_keeper::reply_granted(claim_request const& request, keeper_context& context) -> void {
    auto answer = reply_to(request, verdict::granted);
    answer.send_within = this->bounds.send_within;
    send(request, std::move(answer), context);
}

auto shard_keeper::reply_already_claimed(claim_request const& request, record const& stored,
                                         keeper_context& context) -> void {
    auto answer = reply_to(request, verdict::already_claimed);
    answer.state = stored.state;
    answer.answer = stored.answer;
    auto const claimant_host = context.present.find(stored.claimant.host);
    auto const claimant_is_alive = claimant_host != context.present.end() &&
                                   claimant_host->second <= stored.claimant.incarnation;
    if (stored.state == claim_state::under_way && !claimant_is_alive) {
        answer.state = claim_state::outcome_unknown;
    }
    send(request, std::move(answer), context);
}

}  // namespace linnetlane::claim

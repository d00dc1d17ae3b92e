#include "linnetlane/claim/shard_keeper.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "linnetlane/base/result.h"

namespace linnetlane::claim {

namespace {

auto key_of(question const& asked) -> shard_log::record_key {
    return std::visit(
        [](auto const& each) {
            return shard_log::record_key{each.service, each.key};
        },
        asked);
}

auto claimant_of(question const& asked) -> claimant const& {
    return std::visit([](auto const& each) -> claimant const& { return each.claimant; }, asked);
}

auto is_settle(question const& asked) -> bool {
    return std::holds_alternative<settle_request>(asked);
}

auto reply_to(question const& asked, verdict given) -> claim_reply {
    auto answer = claim_reply{};
    answer.number = claimant_of(asked).number;
    answer.to_settle = is_settle(asked);
    answer.verdict = given;
    return answer;
}

auto send(question const& asked, claim_reply message, keeper_context& context) -> void {
    context.commands.emplace_back(reply{claimant_of(asked).host, std::move(message)});
}

}  // namespace

shard_keeper::shard_keeper(shard_number kept, limits limits_in_force, std::string writer)
    : shard(kept), bounds(limits_in_force), writer_name(std::move(writer)) {}

auto shard_keeper::ask(question const& asked, keeper_context& context) -> void {
    auto const* const claim = std::get_if<claim_request>(&asked);
    auto const too_long = key_of(asked).second.value.size() > this->bounds.key_bytes;
    if (this->waiting.size() >= this->bounds.waiting || too_long) {
        send(asked, reply_to(asked, verdict::overloaded), context);
        return;
    }
    if (claim != nullptr && this->reply_if_known(*claim, context)) {
        this->refresh_if_under_way(*claim, context);
        return;
    }
    if (this->is_waiting(asked)) {
        return;
    }
    this->waiting.push_back({asked, context.now + this->bounds.patience, false});
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
    this->refuse_overdue(context);
    if (context.now < this->next_step || !this->has_work()) {
        return;
    }
    if (this->stage == stage::unread) {
        this->read(context);
    } else if (this->stage == stage::idle) {
        this->write_batch(context);
    }
}

auto shard_keeper::give_up(keeper_context& context) -> void {
    this->put_back_batch(true);
    for (auto const& each : this->waiting) {
        send(each.question, reply_to(each.question, verdict::not_keeper), context);
    }
    this->waiting.clear();
}

auto shard_keeper::next_deadline() const -> base::time_point {
    auto next = base::time_point::max();
    for (auto const& each : this->waiting) {
        next = std::min(next, each.deadline);
    }
    auto const ready = this->stage == stage::unread || this->stage == stage::idle;
    return ready && this->has_work() ? std::min(next, this->next_step) : next;
}

auto shard_keeper::has_work() const -> bool {
    return !this->waiting.empty() || !this->lost.empty();
}

// Whether the same claimant's question of the same kind waits already.
auto shard_keeper::is_waiting(question const& asked) const -> bool {
    auto const same = [&](waiting_question const& each) {
        return claimant_of(each.question) == claimant_of(asked) &&
               is_settle(each.question) == is_settle(asked);
    };
    return std::any_of(this->waiting.begin(), this->waiting.end(), same) ||
           std::any_of(this->batch.begin(), this->batch.end(), same);
}

// Another data centre's keeper may have recorded the end of a call that is under way here: reads
// the shard for the next who asks.
auto shard_keeper::refresh_if_under_way(claim_request const& asked, keeper_context& context)
    -> void {
    auto const* const kept = this->log.find(key_of(asked), context.wall, this->bounds);
    auto const foreign = kept != nullptr && kept->state == claim_state::under_way &&
                         kept->claimant != asked.claimant;
    if (foreign && this->stage == stage::idle) {
        this->read(context);
    }
}

// Answers from what is on record, where that is final.
auto shard_keeper::reply_if_known(claim_request const& asked, keeper_context& context) -> bool {
    auto const* const kept = this->log.find(key_of(asked), context.wall, this->bounds);
    auto const own = kept != nullptr && kept->claimant == asked.claimant;
    if (kept == nullptr || (kept->state == claim_state::not_run && !own)) {
        return false;
    }
    if (kept->state == claim_state::not_run) {
        // The claimant took its claim back; this question is a late copy.
        send(asked, reply_to(asked, verdict::not_claimant), context);
        return true;
    }
    if (own && kept->state == claim_state::under_way) {
        this->reply_granted(asked, context);
    } else {
        this->reply_already(asked, *kept, context);
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
        this->next_step = context.now + this->bounds.patience;
        return;
    }
    if (parsed->head().sequence < this->log.head().sequence) {
        this->lost = parsed->missing_from(this->log);
    }
    std::erase_if(this->lost, [&](record const& each) {
        return parsed->find({each.service, each.key}, context.wall, this->bounds) != nullptr;
    });
    this->log = std::move(*parsed);
    this->stage = stage::idle;
}

auto shard_keeper::on_written(coordination::swap_answer const& answer, keeper_context& context)
    -> void {
    if (!answer.swapped) {
        // Another keeper wrote, or this write did before its answer was lost.
        this->put_back_batch(false);
        this->read(context);
        return;
    }
    this->log.commit(this->updates, this->write_id, answer.at, this->written_wall, this->bounds);
    this->lost.clear();
    this->stage = stage::idle;
    for (auto const& each : std::exchange(this->batch, {})) {
        if (auto const* const claim = std::get_if<claim_request>(&each.question)) {
            this->reply_granted(*claim, context);
        } else {
            send(each.question, reply_to(each.question, verdict::settled), context);
        }
    }
}

auto shard_keeper::on_failed(coordination::call_failed const& failed, keeper_context& context)
    -> void {
    auto const was_write = this->stage == stage::writing;
    auto const written = was_write && failed.reach == coordination::call_reach::may_have_run;
    this->put_back_batch(written);
    this->stage = written ? stage::unread : this->stage;
    if (this->stage == stage::reading) {
        this->stage = stage::unread;
    } else if (this->stage == stage::writing) {
        this->stage = stage::idle;
    }
    this->next_step = context.now + this->bounds.batch_period;
    if (written) {
        return;
    }
    // What surely isn't on record is refused at once.
    auto kept = std::vector<waiting_question>{};
    for (auto& each : std::exchange(this->waiting, {})) {
        if (each.may_be_written) {
            kept.push_back(std::move(each));
        } else {
            this->refuse(each, verdict::platform_unavailable, context);
        }
    }
    this->waiting = std::move(kept);
}

auto shard_keeper::write_batch(keeper_context& context) -> void {
    this->next_step = context.now + this->bounds.batch_period;
    this->updates = this->lost;
    if (this->lost.empty()) {
        this->fill_batch(context);
    }
    if (!this->updates.empty()) {
        this->write(context);
    }
}

auto shard_keeper::fill_batch(keeper_context& context) -> void {
    auto later = std::vector<waiting_question>{};
    auto bytes = std::size_t{0};
    for (auto& each : std::exchange(this->waiting, {})) {
        auto const full = bytes >= this->bounds.batch_bytes;
        auto const same_key = [&](waiting_question const& other) {
            return key_of(other.question) == key_of(each.question);
        };
        // Of two questions on one key, the second is answered by the first one's record.
        if (full || std::any_of(this->batch.begin(), this->batch.end(), same_key)) {
            later.push_back(std::move(each));
        } else if (this->propose(each, context)) {
            bytes += size_of(this->updates.back());
            this->batch.push_back(std::move(each));
        }
    }
    this->waiting = std::move(later);
}

auto shard_keeper::write(keeper_context& context) -> void {
    ++this->writes;
    this->write_id = fmt::format("{}/{}/{}", this->writer_name, this->shard.value, this->writes);
    this->written_wall = context.wall;
    auto write =
        this->log.write_of(this->shard, this->updates, this->write_id, context.wall, this->bounds);
    this->call = write.call = context.last_call = context.last_call.next();
    this->stage = stage::writing;
    context.commands.emplace_back(call_store{std::move(write)});
}

// Whether `each` needs a record, which is then among the updates; if not, it was answered.
auto shard_keeper::propose(waiting_question const& each, keeper_context& context) -> bool {
    return is_settle(each.question) ? this->propose_settle(each, context)
                                    : this->propose_claim(each, context);
}

auto shard_keeper::propose_claim(waiting_question const& each, keeper_context& context) -> bool {
    auto const& asked = std::get<claim_request>(each.question);
    if (this->reply_if_known(asked, context)) {
        return false;
    }
    auto made = record{asked.service,          asked.key,    asked.claimant,
                       claim_state::under_way, std::nullopt, asked.keep_until};
    made.keep_until = std::max(made.keep_until, context.wall + this->bounds.least_kept);
    if (this->log.bytes(context.wall, this->bounds) + size_of(made) > this->bounds.shard_bytes) {
        this->refuse(each, verdict::shard_full, context);
        return false;
    }
    this->updates.push_back(std::move(made));
    return true;
}

auto shard_keeper::propose_settle(waiting_question const& each, keeper_context& context) -> bool {
    auto const& asked = std::get<settle_request>(each.question);
    auto const* const kept = this->log.find(key_of(asked), context.wall, this->bounds);
    // A claim taken back is put on record even if it isn't there yet: its write may be on its way,
    // and fails once this one is made.
    auto const taken_back = kept == nullptr && asked.state == claim_state::not_run;
    if (!taken_back && (kept == nullptr || kept->claimant != asked.claimant)) {
        this->refuse(each, verdict::not_claimant, context);
        return false;
    }
    auto settled = taken_back ? record{asked.service,  asked.key,
                                       asked.claimant, claim_state::not_run,
                                       std::nullopt,   context.wall + this->bounds.least_kept}
                              : *kept;
    settled.state = asked.state;
    settled.answer = asked.answer;
    if (settled.answer && settled.answer->body.size() > this->bounds.answer_bytes) {
        settled.answer.reset();
    }
    if (kept != nullptr && settled == *kept) {
        send(each.question, reply_to(each.question, verdict::settled), context);
        return false;
    }
    this->updates.push_back(std::move(settled));
    return true;
}

// The batch's questions are asked again, before those that came later.
auto shard_keeper::put_back_batch(bool may_be_written) -> void {
    for (auto& each : this->batch) {
        each.may_be_written = each.may_be_written || may_be_written;
    }
    this->waiting.insert(this->waiting.begin(), std::make_move_iterator(this->batch.begin()),
                         std::make_move_iterator(this->batch.end()));
    this->batch.clear();
    this->updates.clear();
}

auto shard_keeper::refuse_overdue(keeper_context& context) -> void {
    auto kept = std::vector<waiting_question>{};
    for (auto& each : std::exchange(this->waiting, {})) {
        if (context.now < each.deadline) {
            kept.push_back(std::move(each));
        } else {
            this->refuse(each, verdict::platform_unavailable, context);
        }
    }
    this->waiting = std::move(kept);
}

auto shard_keeper::refuse(waiting_question const& each, verdict reason, keeper_context& context)
    -> void {
    auto answer = reply_to(each.question, reason);
    answer.retry_after = this->bounds.patience;
    answer.may_be_recorded = each.may_be_written;
    send(each.question, std::move(answer), context);
}

auto shard_keeper::reply_granted(claim_request const& asked, keeper_context& context) -> void {
    auto answer = reply_to(asked, verdict::granted);
    answer.send_within = this->bounds.send_within;
    send(asked, std::move(answer), context);
}

auto shard_keeper::reply_already(claim_request const& asked, record const& kept,
                                 keeper_context& context) -> void {
    auto answer = reply_to(asked, verdict::already_claimed);
    answer.state = kept.state;
    answer.answer = kept.answer;
    auto const holder = context.present.find(kept.claimant.host);
    auto const holder_lives =
        holder != context.present.end() && holder->second <= kept.claimant.incarnation;
    if (kept.state == claim_state::under_way && !holder_lives) {
        answer.state = claim_state::outcome_unknown;
    }
    send(asked, std::move(answer), context);
}

}  // namespace linnetlane::claim

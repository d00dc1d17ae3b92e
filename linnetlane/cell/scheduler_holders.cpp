// Handles the events of holders: renewals, releases, announcements and lost holders.

#include <algorithm>

#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

// Changes of an answer's predicted end up to this one don't reorder its engine.
constexpr base::duration end_prediction_slack = std::chrono::milliseconds{50};

auto is_live(record const* entry, holder const& holder) -> bool {
    return entry != nullptr && entry->state != record_state::aborting && entry->holder == holder;
}

}  // namespace

auto scheduler::on(renew const& message) -> void {
    if (this->is_gone(message.holder)) {
        return;
    }
    for (auto const& renewal : message.renewals) {
        auto* entry = this->grants.find(renewal.attempt);
        if (!is_live(entry, message.holder)) {
            continue;
        }
        entry->lease = this->now + lease_length + lease_grace;
        if (renewal.phase == phase::decoding && entry->phase != phase::decoding) {
            entry->decode_start = this->now;
        }
        auto const over = renewal.phase > phase::prefilling;
        entry->phase = std::max(entry->phase, renewal.phase);
        entry->produced = std::max(entry->produced, renewal.produced);
        this->update_prefill_end(*entry, over);
        this->update_progress(*entry);
    }
}

// Updates the predicted end. A wake time that is too early is not corrected, because the record is
// scheduled again when it wakes.
auto scheduler::update_progress(record& entry) -> void {
    auto const before = entry.expected_end;
    this->predict_end(entry);
    auto const wake = this->next_wake(entry);
    if (wake < entry.wake || entry.state == record_state::booked) {
        this->grants.schedule_wake(entry, wake);
    }
    auto const moved =
        before > entry.expected_end ? before - entry.expected_end : entry.expected_end - before;
    if (moved > end_prediction_slack) {
        this->refresh(entry.decode);
    }
}

auto scheduler::on(release const& message) -> void {
    if (this->interactive.remove(message.attempt) || this->batch.remove(message.attempt)) {
        this->remember_ended(message.attempt);
        return;
    }
    auto* entry = this->grants.find(message.attempt);
    if (entry == nullptr) {
        this->remember_ended(message.attempt);
        return;
    }
    if (!is_live(entry, message.holder)) {
        return;
    }
    if (entry->state == record_state::booked && message.ending == ending::expired) {
        this->confidence_for(entry->pieces, entry->priority).record_loss(entry->prompt);
    }
    this->learn(*entry, message);
    this->update_health(*entry, message.ending);
    this->update_prefill_end(*entry, true);
    if (message.engines_clear) {
        this->finish(*entry);
    } else {
        this->begin_abort(*entry);
    }
}

auto scheduler::on(holder_gone const& message) -> void {
    this->end_holder(message.holder);
}

auto scheduler::end_holder(holder const& holder) -> void {
    auto const known = this->gone_incarnations.find(holder.host);
    if (known != this->gone_incarnations.end() && known->second >= holder.incarnation) {
        return;
    }
    this->gone_incarnations.insert_or_assign(holder.host, holder.incarnation);
    for (auto* queue : {&this->interactive, &this->batch}) {
        for (auto const& key : queue->attempts_of(holder.host, holder.incarnation)) {
            queue->remove(key);
            this->remember_ended(key);
        }
    }
    for (auto const& key : this->grants.attempts_of(holder.host, holder.incarnation)) {
        this->begin_abort(*this->grants.find(key));
    }
}

auto scheduler::is_gone(holder const& holder) const -> bool {
    auto const known = this->gone_incarnations.find(holder.host);
    return known != this->gone_incarnations.end() && holder.incarnation <= known->second;
}

auto scheduler::on(announce const& message) -> void {
    if (this->is_gone(message.holder)) {
        return;
    }
    for (auto const& held : message.grants) {
        auto const queued =
            this->interactive.contains(held.attempt) || this->batch.contains(held.attempt);
        auto const known =
            this->grants.find(held.attempt) != nullptr || this->ended.contains(held.attempt);
        if (known || queued) {
            continue;
        }
        auto entry = record{};
        entry.kind = this->learned.kind_of({}, base::priority_class::interactive);
        entry.announced = true;
        entry.attempt = held.attempt;
        entry.holder = message.holder;
        if (held.prefill) {
            entry.prefill = this->pool.index_of(*held.prefill);
        }
        entry.decode = this->pool.index_of(held.decode);
        entry.pieces = held.pieces;
        entry.prompt = held.prompt;
        entry.output_bound = held.output_bound;
        entry.produced = held.produced;
        entry.phase = held.phase;
        entry.decode_start = this->now;
        entry.prefill_end = this->now;
        entry.lease = this->now + lease_length + lease_grace;
        entry.wake = entry.lease;
        this->grants.ensure_account(static_cast<upstream_index>(this->pool.size()));
        auto& added = this->grants.insert(entry);
        auto& foreign = this->pool.at(entry.decode).foreign;
        foreign = std::max(foreign - held.pieces, base::piece_count{0});
        this->predict_end(added);
        this->update_peak(entry.decode);
        this->refresh(entry.decode);
    }
}

}  // namespace linnetlane::cell

// The end of grants: expired leases, aborts, and the estimates and engine health updated from them.

#include <algorithm>
#include <cstddef>

#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {

auto scheduler::next_wake(record const& entry) const -> base::time_point {
    if (entry.state == record_state::booked) {
        auto const due_at = entry.prefill_end - ready_lead;
        return std::min(entry.lease, entry.due ? entry.useful_until : due_at);
    }
    return entry.state == record_state::aborting ? entry.next_abort : entry.lease;
}

auto scheduler::wake_record(record& entry) -> void {
    if (entry.state == record_state::aborting) {
        this->send_aborts(entry);
        return;
    }
    if (this->now >= entry.lease) {
        this->begin_abort(entry);
        return;
    }
    if (entry.state == record_state::booked && this->now >= entry.useful_until) {
        this->fail_booking(entry);
        return;
    }
    if (entry.state == record_state::booked) {
        this->mark_due(entry);
    }
    this->grants.schedule_wake(entry, this->next_wake(entry));
}

auto scheduler::begin_abort(record& entry) -> void {
    this->clear_due(entry);
    this->release_probes(entry);
    this->remember_ended(entry.attempt);
    this->update_prefill_end(entry, true);
    auto const held = entry.state == record_state::held;
    entry.abort_decode = held;
    entry.abort_prefill = entry.prefill.has_value() && entry.phase < phase::decoding;
    auto const engine = entry.decode;
    if (!entry.abort_decode && !entry.abort_prefill) {
        this->grants.erase(entry);
        this->refresh(engine);
        return;
    }
    this->grants.make_aborting(entry);
    this->refresh(engine);
    this->send_aborts(entry);
}

auto scheduler::send_aborts(record& entry) -> void {
    auto const send = [&](upstream_index engine) {
        this->commands.emplace_back(abort{this->pool.at(engine).settings.id, entry.attempt});
    };
    if (entry.abort_decode) {
        send(entry.decode);
    }
    if (entry.abort_prefill) {
        send(*entry.prefill);
    }
    auto const& decode = this->pool.at(entry.decode);
    auto const reachable_decode = !entry.abort_decode || (decode.present && decode.reachable);
    entry.next_abort = this->now + (reachable_decode ? abort_interval : unreachable_abort_interval);
    this->grants.schedule_wake(entry, entry.next_abort);
}

auto scheduler::on(aborted const& message) -> void {
    auto* entry = this->grants.find(message.attempt);
    auto const engine = this->pool.find(message.upstream);
    if (entry == nullptr || entry->state != record_state::aborting || !engine) {
        return;
    }
    this->confirm_abort(*entry, *engine);
}

auto scheduler::confirm_abort(record& entry, upstream_index engine) -> void {
    if (entry.abort_decode && engine == entry.decode) {
        entry.abort_decode = false;
        this->grants.free_pieces(entry);
    }
    if (entry.abort_prefill && engine == *entry.prefill) {
        entry.abort_prefill = false;
    }
    auto const decode = entry.decode;
    if (!entry.abort_decode && !entry.abort_prefill) {
        this->grants.erase(entry);
    }
    this->refresh(decode);
}

auto scheduler::finish(record& entry) -> void {
    this->clear_due(entry);
    this->release_probes(entry);
    this->remember_ended(entry.attempt);
    auto const engine = entry.decode;
    this->grants.erase(entry);
    this->refresh(engine);
}

auto scheduler::learn(record const& entry, release const& message) -> void {
    auto const& measured = message.observation;
    auto& decode = this->pool.at(entry.decode);
    if (entry.prefill && measured.prefill_took) {
        this->learned.record_prefill(measured.prefilled, *measured.prefill_took,
                                     this->pool.at(*entry.prefill).samples);
    }
    if (measured.transfer_took) {
        this->learned.record_transfer(entry.prompt, *measured.transfer_took, decode.samples);
    }
    if (measured.decode_took) {
        auto const sums = this->grants.account_of(entry.decode);
        auto const running = static_cast<double>(entry.running_at_start + sums.running) / 2;
        this->learned.record_decode(measured.produced, *measured.decode_took, running,
                                    decode.samples);
        this->update_batch_limit(entry.decode);
    }
    if (message.ending == ending::completed) {
        this->learned.record_output(entry.kind, measured.produced);
        this->residences.add(base::to_seconds(this->now - entry.held_since));
    }
}

auto scheduler::update_health(record const& entry, ending reason) -> void {
    auto const note_success = [this](upstream_index engine) {
        this->pool.at(engine).health.record_success();
    };
    if (entry.prefill) {
        if (reason == ending::prefill_failed) {
            this->record_failure(*entry.prefill);
        } else if (entry.phase >= phase::transferring || reason == ending::completed) {
            note_success(*entry.prefill);
        }
    }
    if (reason == ending::decode_failed || reason == ending::transfer_stalled) {
        this->record_failure(entry.decode);
    } else if (reason == ending::completed) {
        note_success(entry.decode);
    }
}

// Allows another probe of engines whose probe ended without an outcome.
auto scheduler::release_probes(record const& entry) -> void {
    this->pool.at(entry.decode).health.release_probe();
    if (entry.prefill) {
        this->pool.at(*entry.prefill).health.release_probe();
        this->refresh(*entry.prefill);
    }
}

auto scheduler::record_failure(upstream_index engine) -> void {
    auto& state = this->pool.at(engine);
    auto const decode = this->is_decode(engine);
    auto const& peers = decode ? this->decode_engines : this->prefill_engines;
    auto const ejected_count = std::count_if(
        peers.begin(), peers.end(),
        [this](upstream_index peer) { return !this->pool.at(peer).health.takes_work(); });
    if (!state.health.record_failure()) {
        return;
    }
    auto const others = ejected_count - (state.health.takes_work() ? 0 : 1);
    auto const allowed = static_cast<std::ptrdiff_t>(peers.size()) / engines_per_ejection;
    if (others < allowed) {
        state.health.eject(this->now);
        this->ejections.emplace(state.health.ejected_until, engine);
    } else {
        state.health.release_probe();
    }
    this->refresh(engine);
}

auto scheduler::end_ejections() -> void {
    while (!this->ejections.empty() && this->ejections.begin()->first <= this->now) {
        auto const engine = this->ejections.begin()->second;
        this->ejections.erase(this->ejections.begin());
        auto& health = this->pool.at(engine).health;
        if (health.state == health_state::ejected) {
            health.state = health_state::awaiting_probe;
        }
        this->refresh(engine);
    }
}

auto scheduler::remember_ended(attempt const& key) -> void {
    auto const until = this->now + ended_retention;
    if (this->ended.insert_or_assign(key, until).second) {
        this->ended_order.emplace_back(until, key);
    }
}

auto scheduler::forget_ended() -> void {
    while (!this->ended_order.empty() && this->ended_order.front().first <= this->now) {
        this->ended.erase(this->ended_order.front().second);
        this->ended_order.pop_front();
    }
}

}  // namespace linnetlane::cell

// Handles the events of upstreams and document changes, and decides which upstreams take work.

#include <algorithm>
#include <optional>

#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {

auto scheduler::on(upstream_report const& message) -> void {
    auto const engine = this->pool.find(message.upstream);
    if (!engine) {
        return;
    }
    auto& state = this->pool.at(*engine);
    state.last_report = message;
    state.reported = true;
    state.reported_leaving = message.leaving;
    this->update_peak(*engine);
    // A starting keeper can't tell which of its own grants a late report includes. It assumes that
    // the report includes only the announced ones.
    auto const peak = std::max(state.recent_peak, state.earlier_peak);
    auto const explained = this->starting ? this->grants.account_of(*engine).announced : peak;
    state.foreign = std::max(message.pieces_used - explained, base::piece_count{0});
    if (message.leaving) {
        this->drop_bookings(*engine);
    }
    this->refresh(*engine);
}

auto scheduler::update_peak(upstream_index engine) -> void {
    auto& state = this->pool.at(engine);
    auto const used = this->grants.account_of(engine).used;
    if (this->now >= state.peak_period_end) {
        auto const skipped = this->now >= state.peak_period_end + report_lag;
        state.earlier_peak = skipped ? used : state.recent_peak;
        state.recent_peak = used;
        state.peak_period_end = this->now + report_lag;
    }
    state.recent_peak = std::max(state.recent_peak, used);
}

auto scheduler::on(upstream_reachable const& message) -> void {
    auto const engine = this->pool.find(message.upstream);
    if (!engine) {
        return;
    }
    this->pool.at(*engine).reachable = message.reachable;
    if (!message.reachable) {
        this->prefixes.forget(*engine);
        this->drop_bookings(*engine);
    }
    this->refresh(*engine);
}

auto scheduler::on(cache_event const& message) -> void {
    if (auto const engine = this->pool.find(message.upstream)) {
        this->prefixes.apply(*engine, message);
    }
}

auto scheduler::on(configure const& message) -> void {
    this->shape = message.shape;
    this->targets = message.targets;
    this->policy = message.policy;
    for (auto& one : this->confidence) {
        one.set_waste_weight(message.policy.waste_weight);
    }
    this->learned.configure(message.shape);
    for (auto const& caller : message.callers) {
        this->gate.set_weight(caller.id, caller.share);
    }
    for (auto engine = upstream_index{0}; engine < this->pool.size(); ++engine) {
        this->pool.at(engine).present = false;
    }
    this->prefill_engines.clear();
    this->decode_engines.clear();
    for (auto const& upstream : message.upstreams) {
        auto const engine = this->pool.index_of(upstream.id);
        auto& state = this->pool.at(engine);
        state.present = true;
        state.settings = upstream;
        auto const prefill = upstream.role == service::upstream_role::prefill;
        (prefill ? this->prefill_engines : this->decode_engines).push_back(engine);
    }
    this->grants.ensure_account(static_cast<upstream_index>(this->pool.size()));
    this->affinity.assign(this->pool, this->prefill_engines);
    this->refresh_all();
}

auto scheduler::on(tick const& /*message*/) -> void {}

auto scheduler::refresh_all() -> void {
    for (auto engine = upstream_index{0}; engine < this->pool.size(); ++engine) {
        this->update_batch_limit(engine);
        if (!this->pool.at(engine).is_available()) {
            this->drop_bookings(engine);
        }
        this->refresh(engine);
    }
}

auto scheduler::end_starting() -> void {
    if (this->starting && this->now >= this->options.starting_until) {
        this->starting = false;
        this->refresh_all();
    }
}

auto scheduler::takes_work(upstream_index engine) const -> bool {
    auto const& state = this->pool.at(engine);
    return state.is_available() && state.health.takes_work();
}

auto scheduler::is_decode(upstream_index engine) const -> bool {
    return this->pool.at(engine).settings.role == service::upstream_role::decode;
}

auto scheduler::capacity_of(upstream_index engine) const -> base::piece_count {
    auto const prefill = this->pool.at(engine).settings.role == service::upstream_role::prefill;
    return prefill ? base::piece_count{0} : this->shape.decode_pieces;
}

auto scheduler::room(upstream_index engine) const -> base::piece_count {
    auto const& sums = this->grants.account_of(engine);
    auto const& state = this->pool.at(engine);
    auto free = this->capacity_of(engine) - sums.used - state.foreign;
    if (this->starting) {
        free -= base::piece_count{this->shape.decode_pieces.value / starting_margin_divisor};
    }
    auto const unreported = this->starting && !state.reported;
    if (unreported || sums.running >= state.batch_limit) {
        return base::piece_count{0};
    }
    return free;
}

auto scheduler::uncommitted(upstream_index engine) const -> std::int64_t {
    auto const& sums = this->grants.account_of(engine);
    auto const slots = this->pool.at(engine).batch_limit - sums.running - sums.bookings;
    return slots <= 0 ? 0 : this->room(engine).value - sums.booked.value;
}

auto scheduler::update_batch_limit(upstream_index engine) -> void {
    auto& state = this->pool.at(engine);
    auto limit = this->shape.decode_slots;
    auto const too_slow = [&](std::int64_t running) {
        auto const interval =
            this->learned.decode_interval(static_cast<double>(running), state.samples);
        return interval > this->targets.between_tokens;
    };
    while (limit > 1 && too_slow(limit)) {
        limit -= 1;
    }
    state.batch_limit = limit;
}

auto scheduler::refresh(upstream_index engine) -> void {
    auto& state = this->pool.at(engine);
    auto const active = this->takes_work(engine);
    if (state.settings.role == service::upstream_role::prefill) {
        this->pool.order_by_idle(engine, active ? std::optional{state.idle_at} : std::nullopt);
        return;
    }
    this->update_peak(engine);
    auto const unused = active ? this->room(engine).value : 0;
    auto const& sums = this->grants.account_of(engine);
    auto const load = decode_load{sums.used.value, sums.booked.value,
                                  std::max<std::int64_t>(unused, 0), sums.running};
    this->pool.set_load(engine, active ? load : decode_load{});
    this->pool.order_by_room(engine, unused > 0 ? std::optional{unused} : std::nullopt);
    auto const free = active ? this->uncommitted(engine) : 0;
    this->pool.order_by_free(engine, free > 0 ? std::optional{free} : std::nullopt);
    auto next = std::optional<base::time_point>{};
    for (auto const* entry : sums.records) {
        if (entry->state == record_state::held && (!next || entry->expected_end < *next)) {
            next = entry->expected_end;
        }
    }
    this->pool.order_by_release(engine, active ? next : std::nullopt);
}

}  // namespace linnetlane::cell

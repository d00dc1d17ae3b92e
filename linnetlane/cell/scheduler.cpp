#include "linnetlane/cell/scheduler.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace linnetlane::cell {

scheduler::scheduler(scheduler_options const& initial) : options(initial) {
    this->starting = initial.starting_until > base::time_point{};
}

auto scheduler::handle(event const& message, base::time_point at) -> std::vector<command> {
    this->now = std::max(this->now, at);
    this->commands.clear();
    this->end_starting();
    this->forget_ended();
    this->end_ejections();
    std::visit([this](auto const& one) { this->on(one); }, message);
    for (auto* entry = this->grants.next(); entry != nullptr && entry->wake <= this->now;
         entry = this->grants.next()) {
        this->wake_record(*entry);
    }
    this->dispatch();
    return std::move(this->commands);
}

auto scheduler::next_deadline() const -> std::optional<base::time_point> {
    auto earliest = std::optional<base::time_point>{};
    auto const consider = [&](base::time_point at) {
        if (!earliest || at < *earliest) {
            earliest = at;
        }
    };
    if (auto const* entry = this->grants.next()) {
        consider(entry->wake);
    }
    for (auto const* queue : {&this->interactive, &this->batch}) {
        if (auto const* request = queue->first()) {
            consider(request->latest_start + base::duration{1});
        }
    }
    auto const idle = this->pool.by_idle().begin();
    auto const waits = this->interactive.size() + this->batch.size() > 0;
    if (waits && idle != this->pool.by_idle().end()) {
        auto const engine_due = idle->first - prefill_lookahead;
        if (engine_due > this->now) {
            consider(engine_due);
        }
    }
    if (!this->ejections.empty()) {
        consider(this->ejections.begin()->first);
    }
    if (this->starting) {
        consider(this->options.starting_until);
    }
    return earliest;
}

auto scheduler::snapshot() const -> scheduler_snapshot {
    auto view = scheduler_snapshot{};
    for (auto engine = upstream_index{0}; engine < this->pool.size(); ++engine) {
        auto const& state = this->pool.at(engine);
        auto const& sums = this->grants.account_of(engine);
        auto& one = view.upstreams.emplace_back();
        one.id = state.settings.id;
        one.role = state.settings.role;
        one.capacity = this->capacity_of(engine);
        one.used = sums.used;
        one.booked = sums.booked;
        one.foreign = state.foreign;
        one.running = sums.running;
        one.batch_limit = state.batch_limit;
        one.takes_work = this->takes_work(engine);
        one.prefill_slowdown = this->learned.prefill_slowdown(state.samples);
        one.decode_slowdown = this->learned.decode_slowdown(state.samples);
    }
    view.interactive_waiting = this->interactive.size();
    view.batch_waiting = this->batch.size();
    view.grants = this->grants.size();
    view.refusals = this->refusals;
    view.granted = this->granted_count;
    view.booked_ahead = this->booked_count;
    view.moved = this->moved_count;
    auto const rough = this->summary();
    view.interactive_wait = rough.interactive_wait;
    view.batch_wait = rough.batch_wait;
    view.starting = this->starting;
    return view;
}

auto scheduler::summary() const -> scheduler_summary {
    auto view = scheduler_summary{};
    auto const wait_behind = [&](base::piece_count pieces, double prefill_seconds) {
        return std::max(this->prefill_wait(prefill_seconds),
                        this->decode_wait(pieces + base::piece_count{1}));
    };
    auto const pieces = this->interactive.pieces();
    auto const prefill_seconds = this->interactive.prefill_seconds();
    view.interactive_wait = wait_behind(pieces, prefill_seconds);
    view.batch_wait =
        wait_behind(pieces + this->batch.pieces(), prefill_seconds + this->batch.prefill_seconds());
    view.free_pieces = base::piece_count{this->pool.free_pieces()};
    view.starting = this->starting;
    return view;
}

}  // namespace linnetlane::cell

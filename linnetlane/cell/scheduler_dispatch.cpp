// Placement: assigns engines to waiting requests, and decode memory to bookings.

#include <algorithm>
#include <cmath>
#include <variant>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

// Requests that one pass over a queue fails to place before it stops.
constexpr int max_tries_per_pass = 8;
// How long before its prefill result expires a booking is given up if its pieces aren't free.
constexpr base::duration result_margin = std::chrono::milliseconds{20};
// How much longer a prefill is expected to take once it exceeds its prediction.
constexpr base::duration overrun_step = std::chrono::milliseconds{50};
// The quantile of the output length that predicts the end of an answer.
constexpr double expected_end_rank = 0.5;
// A booking is large if it takes at least 1/n of an engine's memory.
constexpr std::int64_t large_booking_divisor = 4;
// Decode memory is scarce if less than 1/n of it is free.
constexpr std::int64_t scarce_divisor = 6;
// The prefill backlog of an engine up to which a baseline policy assigns batch work to it.
constexpr base::duration max_batch_backlog = std::chrono::milliseconds{100};

}  // namespace

auto scheduler::dispatch() -> void {
    this->serve_due_bookings();
    this->decode_contended = false;
    this->dispatch(this->interactive);
    this->dispatch(this->batch);
}

auto scheduler::dispatch(waiting_queue& queue) -> void {
    this->refuse_late(queue);
    auto tried = 0;
    for (auto place_in_queue = queue.begin();
         place_in_queue != queue.end() && tried < max_tries_per_pass;) {
        auto const outcome = this->place(place_in_queue->second);
        if (outcome == placement_result::no_prefill) {
            return;
        }
        if (outcome == placement_result::placed) {
            place_in_queue = queue.erase(place_in_queue);
            continue;
        }
        this->decode_contended = true;
        tried += 1;
        ++place_in_queue;
    }
}

auto scheduler::refuse_late(waiting_queue& queue) -> void {
    while (queue.first() != nullptr && queue.first()->latest_start < this->now) {
        auto const message = queue.first()->acquire;
        queue.erase(queue.begin());
        this->refuse_now(message, refusal::overloaded,
                         this->retry_time(this->predict(message), message));
    }
}

auto scheduler::place(waiting_request const& request) -> placement_result {
    if (!std::holds_alternative<decode_first>(this->options.policy)) {
        return this->place_by_baseline(request);
    }
    if (this->prefill_engines.empty()) {
        auto const engine =
            find_free_engine(this->pool, request.pieces, request.acquire.avoid, packing::spread);
        if (!engine) {
            return placement_result::no_decode;
        }
        this->grant_now(request, std::nullopt, decode_placement{*engine, true, this->now});
        return placement_result::placed;
    }
    auto const plan = plan_prefill(this->pool, this->learned, this->prefixes, this->affinity,
                                   this->shape.piece_size, request.acquire, this->now);
    if (!plan || plan->start > this->now + prefill_lookahead) {
        return placement_result::no_prefill;
    }
    auto const where = this->choose_decode(request, *plan);
    if (!where) {
        return placement_result::no_decode;
    }
    this->grant_now(request, plan, *where);
    return placement_result::placed;
}

auto scheduler::choose_decode(waiting_request const& request, prefill_plan const& plan)
    -> std::optional<decode_placement> {
    auto const& avoid = request.acquire.avoid;
    auto const hold =
        this->confidence_for(request.pieces, request.acquire.priority).holds_during_prefill();
    auto const by = this->booking_deadline(request, plan);
    if (by < plan.end) {
        return std::nullopt;
    }
    if (auto const engine =
            find_free_engine(this->pool, request.pieces, avoid, this->choose_packing())) {
        return decode_placement{*engine, hold || !this->is_decode_scarce(), this->now};
    }
    if (hold || !this->is_release_expected(request, by)) {
        return std::nullopt;
    }
    return find_upcoming_engine(this->pool, this->grants, this->shape.decode_pieces, request.pieces,
                                avoid, this->now, by);
}

// Whether the cell as a whole is expected to have room for `request` by `by`, on top of all
// bookings. Bookings move to the engine that has room first, so only the total matters.
auto scheduler::is_release_expected(waiting_request const& request, base::time_point by) -> bool {
    auto const& load = this->pool.load();
    if (load.running == 0) {
        return false;
    }
    auto const& certainty = this->confidence_for(request.pieces, request.acquire.priority);
    auto const residence =
        this->residences.size() == 0 ? initial_residence_seconds : this->residences.mean();
    auto const span = base::to_seconds(by - this->now);
    auto const answers = static_cast<double>(load.running) * span / residence;
    auto const mean = static_cast<double>(load.used) / static_cast<double>(load.running);
    auto const assured = mean * (answers - certainty.deviations() * std::sqrt(answers));
    auto const missing = static_cast<double>(load.booked + request.pieces.value - load.unused);
    return missing <= assured;
}

// Whether decode memory is too scarce to leave any unused during a prefill.
auto scheduler::is_decode_scarce() const -> bool {
    auto const all =
        this->shape.decode_pieces.value * static_cast<std::int64_t>(this->pool.by_release().size());
    return this->pool.free_pieces() * scarce_divisor < all;
}

// The latest time at which decode memory for `request` may become free.
auto scheduler::booking_deadline(waiting_request const& request, prefill_plan const& plan)
    -> base::time_point {
    auto const kept = base::to_seconds(this->shape.result_kept);
    auto const part =
        this->confidence_for(request.pieces, request.acquire.priority).wait_fraction();
    auto const average_engine = engine_samples{};
    auto const transfer = this->learned.transfer_time(request.acquire.prompt, average_engine);
    return std::min(plan.end + base::from_seconds(kept * part),
                    request.acquire.first_token_deadline - transfer);
}

auto scheduler::confidence_for(base::piece_count pieces, base::priority_class priority)
    -> booking_confidence& {
    auto& own = this->confidence[static_cast<std::size_t>(priority)];
    return own.of(pieces, this->shape.decode_pieces);
}

auto scheduler::choose_packing() const -> packing {
    return this->decode_contended ? packing::pack : packing::spread;
}

auto scheduler::place_by_baseline(waiting_request const& request) -> placement_result {
    auto const usable = [this](std::vector<upstream_index> const& engines) {
        auto found = std::vector<upstream_index>{};
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(found),
                     [this](upstream_index engine) { return this->takes_work(engine); });
        return found;
    };
    auto const prefills = usable(this->prefill_engines);
    auto const decodes = usable(this->decode_engines);
    if (prefills.empty() || decodes.empty()) {
        return placement_result::no_prefill;
    }
    auto const choose = [this](std::vector<upstream_index> const& engines) {
        return std::visit(
            base::overloaded{[&](decode_first&) { return engines.front(); },
                             [&](auto& rule) { return rule.choose(this->pool, engines); }},
            this->options.policy);
    };
    auto const prefill = choose(prefills);
    auto const decode = choose(decodes);
    auto const plan = plan_prefill_on(this->pool, this->learned, prefill, base::token_count{0},
                                      request.acquire, this->now);
    auto const urgent = request.acquire.priority == base::priority_class::interactive;
    if (!urgent && plan.start > this->now + max_batch_backlog) {
        return placement_result::no_prefill;
    }
    if (plan.end > request.acquire.first_token_deadline) {
        return placement_result::no_decode;
    }
    auto const free = this->uncommitted(decode) >= request.pieces.value;
    this->grant_now(request, plan, decode_placement{decode, free, this->now});
    return placement_result::placed;
}

auto scheduler::grant_now(waiting_request const& request, std::optional<prefill_plan> const& plan,
                          decode_placement const& where) -> void {
    auto const& message = request.acquire;
    auto& decode = this->pool.at(where.engine);
    auto entry = record{};
    entry.attempt = message.attempt;
    entry.holder = message.holder;
    entry.kind = this->learned.kind_of(message.caller, message.priority);
    entry.priority = message.priority;
    entry.decode = where.engine;
    entry.pieces = request.pieces;
    entry.prompt = message.prompt;
    entry.output_bound = message.output_bound;
    entry.state = where.ready ? record_state::held : record_state::booked;
    entry.phase = message.kept_by ? phase::transferring : phase::granted;
    entry.prefill_start = plan ? plan->start : this->now;
    entry.prefill_end = plan ? plan->end : this->now;
    auto const length = this->learned.transfer_time(message.prompt, decode.samples);
    auto const transfers = plan.has_value() || message.kept_by.has_value();
    if (transfers) {
        decode.link.book(entry.prefill_end, length);
    }
    auto const kept = entry.prefill_end + this->shape.result_kept - result_margin;
    entry.useful_until = std::min(kept, message.first_token_deadline - length);
    entry.decode_start = entry.prefill_end + length;
    entry.held_since = this->now;
    entry.running_at_start = this->grants.account_of(where.engine).running + 1;
    entry.lease = this->now + lease_length + lease_grace;
    if (plan) {
        entry.prefill = plan->engine;
        this->pool.at(plan->engine).idle_at = plan->end;
        this->pool.at(plan->engine).health.record_request();
        this->confidence_for(request.pieces, message.priority).record_grant(message.prompt);
        this->prefixes.record_placement(plan->engine, message.prefixes);
        this->refresh(plan->engine);
    }
    entry.wake = this->next_wake(entry);
    decode.health.record_request();
    auto& added = this->grants.insert(entry);
    this->predict_end(added);
    this->granted_count += 1;
    this->booked_count += where.ready ? 0 : 1;
    auto answer = grant{};
    answer.attempt = message.attempt;
    answer.holder = message.holder;
    if (plan) {
        answer.prefill = this->pool.at(plan->engine).settings.id;
    }
    answer.decode = decode.settings.id;
    answer.pieces = request.pieces;
    answer.prefill_start = entry.prefill_start;
    answer.ready = where.ready;
    answer.deadline = this->now + lease_length;
    this->commands.emplace_back(std::move(answer));
    this->refresh(where.engine);
}

auto scheduler::predict_end(record& entry) -> void {
    auto const& sums = this->grants.account_of(entry.decode);
    auto const left = this->learned.remaining_output(entry.kind, entry.produced, entry.output_bound,
                                                     expected_end_rank);
    auto const interval = this->learned.decode_interval(static_cast<double>(sums.running),
                                                        this->pool.at(entry.decode).samples);
    auto const begin =
        entry.phase == phase::decoding ? this->now : std::max(this->now, entry.decode_start);
    entry.expected_end = begin + interval * left.value;
}

// Gives unused pieces to the bookings that are due. A booking may take room that others have booked
// for later, because those get the next room that becomes free.
auto scheduler::serve_due_bookings() -> void {
    this->reserved_engines.clear();
    auto const due = this->due_bookings;
    for (auto const& [useful_until, key] : due) {
        auto* entry = this->grants.find(key);
        auto const engine = this->engine_for_due(*entry);
        if (!engine) {
            this->reserved_engines.push_back(entry->decode);
            continue;
        }
        auto const before = entry->decode;
        this->make_ready(*entry, *engine);
        if (before != *engine) {
            this->moved_count += 1;
            this->swap_booking(*engine, before);
            this->refresh(before);
        }
        this->refresh(*engine);
    }
}

auto scheduler::engine_for_due(record const& entry) const -> std::optional<upstream_index> {
    auto const unreserved = [this](upstream_index engine) {
        return std::find(this->reserved_engines.begin(), this->reserved_engines.end(), engine) ==
               this->reserved_engines.end();
    };
    auto const fits = this->takes_work(entry.decode) && this->room(entry.decode) >= entry.pieces;
    if (fits && unreserved(entry.decode)) {
        return entry.decode;
    }
    if (!std::holds_alternative<decode_first>(this->options.policy)) {
        return std::nullopt;
    }
    auto const free = best_fit(this->pool, this->pool.by_free(), entry.pieces, {});
    if (free && unreserved(*free)) {
        return free;
    }
    auto const other = best_fit(this->pool, this->pool.by_room(), entry.pieces, {});
    if (other && unreserved(*other) && this->may_lend(*other)) {
        return other;
    }
    return std::nullopt;
}

// Whether a due booking may take room in `engine` that other bookings there wait for. Room for a
// large booking accumulates slowly, so it is not lent.
auto scheduler::may_lend(upstream_index engine) const -> bool {
    auto const& records = this->grants.account_of(engine).records;
    auto const large = this->shape.decode_pieces.value / large_booking_divisor;
    return std::none_of(records.begin(), records.end(), [&](record const* entry) {
        return entry->state == record_state::booked && entry->pieces.value >= large;
    });
}

auto scheduler::mark_due(record& entry) -> void {
    entry.due = true;
    this->due_bookings.emplace(entry.useful_until, entry.attempt);
}

auto scheduler::clear_due(record const& entry) -> void {
    if (entry.due) {
        this->due_bookings.erase({entry.useful_until, entry.attempt});
    }
}

// Moves the booking in `from` that needs its room last to the room in `into` that is no longer
// needed.
auto scheduler::swap_booking(upstream_index from, upstream_index into) -> void {
    auto* last = static_cast<record*>(nullptr);
    for (auto* entry : this->grants.account_of(from).records) {
        auto const later = last == nullptr || entry->prefill_end > last->prefill_end;
        if (entry->state == record_state::booked && later) {
            last = entry;
        }
    }
    if (last != nullptr) {
        this->grants.move_booking(*last, into);
    }
}

auto scheduler::make_ready(record& entry, upstream_index engine) -> void {
    this->clear_due(entry);
    entry.due = false;
    this->grants.make_held(entry, engine);
    entry.held_since = this->now;
    entry.running_at_start = this->grants.account_of(engine).running;
    this->predict_end(entry);
    this->grants.schedule_wake(entry, this->next_wake(entry));
    this->commands.emplace_back(
        decode_ready{entry.attempt, entry.holder, this->pool.at(engine).settings.id});
}

auto scheduler::fail_booking(record& entry) -> void {
    this->clear_due(entry);
    entry.due = false;
    if (entry.prefill && entry.prefill_start <= this->now) {
        this->confidence_for(entry.pieces, entry.priority).record_loss(entry.prompt);
    }
    this->refusals[static_cast<std::size_t>(refusal::booking_failed)] += 1;
    auto const backlog = this->decode_wait(this->interactive.pieces() + entry.pieces);
    auto const retry_at = this->now + std::max<base::duration>(backlog, abort_interval);
    this->commands.emplace_back(
        refuse{entry.attempt, entry.holder, refusal::booking_failed, retry_at});
    this->update_prefill_end(entry, true);
    this->finish(entry);
}

// Moves the bookings of an engine that takes no more work to other engines, or refuses them.
auto scheduler::drop_bookings(upstream_index engine) -> void {
    auto booked = std::vector<attempt>{};
    for (auto const* entry : this->grants.account_of(engine).records) {
        if (entry->state == record_state::booked) {
            booked.push_back(entry->attempt);
        }
    }
    std::sort(booked.begin(), booked.end());
    for (auto const& key : booked) {
        auto* entry = this->grants.find(key);
        auto const other = find_upcoming_engine(this->pool, this->grants, this->shape.decode_pieces,
                                                entry->pieces, {this->pool.at(engine).settings.id},
                                                this->now, entry->useful_until);
        if (!other) {
            this->fail_booking(*entry);
            continue;
        }
        this->grants.move_booking(*entry, other->engine);
        this->refresh(other->engine);
    }
}

// Corrects the predicted end of a prefill, and the idle time of its engine, by the phase that its
// holder reports.
auto scheduler::update_prefill_end(record& entry, bool prefill_over) -> void {
    if (!entry.prefill || entry.phase > phase::transferring) {
        return;
    }
    auto& state = this->pool.at(*entry.prefill);
    auto const last = state.idle_at == entry.prefill_end;
    auto const before = entry.prefill_end;
    auto end = before;
    if (prefill_over) {
        end = std::min(before, std::max(this->now, entry.prefill_start));
    } else {
        end = std::max(before, this->now + overrun_step);
    }
    if (end == before) {
        return;
    }
    this->clear_due(entry);
    entry.due = false;
    entry.prefill_end = end;
    entry.useful_until += end - before;
    if (last) {
        state.idle_at = end;
        this->refresh(*entry.prefill);
    }
}

}  // namespace linnetlane::cell

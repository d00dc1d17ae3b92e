// Handles acquires: predicts their times, and refuses or queues them.

#include <algorithm>
#include <optional>
#include <variant>

#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

// Bounds on the delay after which a refused request may retry.
constexpr base::duration min_retry_delay = std::chrono::milliseconds{100};
constexpr base::duration max_retry_delay = std::chrono::seconds{60};
// Safety margin subtracted from the latest start of a request.
constexpr base::duration start_margin = std::chrono::milliseconds{20};
// Retry delay if a role has no available upstream.
constexpr base::duration retry_without_upstream = std::chrono::seconds{2};
// A batch request is accepted if it meets its target even when it waits 5/4 of the predicted time.
constexpr std::int64_t batch_wait_numerator = 5;
constexpr std::int64_t batch_wait_denominator = 4;

auto latest_start_of(acquire const& message, base::duration service) -> base::time_point {
    return message.first_token_deadline - service - start_margin;
}

}  // namespace

auto scheduler::on(acquire const& received) -> void {
    auto const message = received.avoid.empty() ? received : this->with_satisfiable_avoid(received);
    auto const known = this->grants.find(message.attempt) != nullptr ||
                       this->interactive.contains(message.attempt) ||
                       this->batch.contains(message.attempt) ||
                       this->ended.contains(message.attempt);
    if (known || this->is_gone(message.holder)) {
        return;
    }
    if (auto const reason = this->unservable_reason(message)) {
        auto const at = *reason == refusal::keeper_starting ? this->options.starting_until
                                                            : this->now + retry_without_upstream;
        this->refuse_now(message, *reason, at);
        return;
    }
    if (message.kept_by) {
        this->grant_kept_result(message);
        return;
    }
    auto const expected = this->predict(message);
    if (auto const reason = this->reason_to_refuse(message, expected)) {
        this->refuse_now(message, *reason, this->retry_time(expected, message));
        return;
    }
    this->enqueue(message, expected);
}

// Clears the avoided engines of a role if the request avoids all available engines of that role: an
// engine that failed the request before is better than none.
auto scheduler::with_satisfiable_avoid(acquire message) const -> acquire {
    for (auto const* const engines : {&this->prefill_engines, &this->decode_engines}) {
        auto const usable = [&](upstream_index engine) {
            return this->pool.at(engine).is_available() &&
                   !is_avoided(this->pool, engine, message.avoid);
        };
        if (std::any_of(engines->begin(), engines->end(), usable)) {
            continue;
        }
        for (auto const engine : *engines) {
            std::erase(message.avoid, this->pool.at(engine).settings.id);
        }
    }
    return message;
}

auto scheduler::pieces_of(acquire const& message) const -> base::piece_count {
    return base::pieces_for(message.prompt + message.output_bound, this->shape.piece_size);
}

auto scheduler::unservable_reason(acquire const& message) const -> std::optional<refusal> {
    if (this->starting && this->pool.by_free().empty()) {
        return refusal::keeper_starting;
    }
    auto const available = [this](upstream_index engine) {
        return this->pool.at(engine).is_available();
    };
    if (std::none_of(this->decode_engines.begin(), this->decode_engines.end(), available)) {
        return refusal::no_upstream;
    }
    auto const has_decode_role = this->is_decode(this->decode_engines.front());
    auto const prefill_available =
        std::any_of(this->prefill_engines.begin(), this->prefill_engines.end(), available);
    if (has_decode_role && !message.kept_by && !prefill_available) {
        return refusal::no_upstream;
    }
    if (has_decode_role && this->pieces_of(message) > this->shape.decode_pieces) {
        return refusal::too_large;
    }
    return std::nullopt;
}

auto scheduler::predict(acquire const& message) const -> prediction {
    auto expected = prediction{};
    auto const average_engine = engine_samples{};
    if (!this->prefill_engines.empty()) {
        expected.prefill = this->learned.prefill_time(message.prompt, average_engine);
        expected.transfer = this->learned.transfer_time(message.prompt, average_engine);
    }
    auto const full = static_cast<double>(this->shape.decode_slots);
    expected.service = expected.prefill + expected.transfer +
                       this->learned.prefill_spread(message.prompt) +
                       this->learned.decode_interval(full, average_engine);
    auto const ahead = this->work_before(message, expected.service);
    auto const in_prefill = this->prefill_wait(ahead.prefill_seconds);
    auto const in_decode = this->decode_wait(ahead.pieces + this->pieces_of(message));
    expected.wait = std::max(in_prefill, in_decode - expected.prefill);
    return expected;
}

// Returns the work that engines do before `message` gets its turn: requests wait in the order of
// their latest start, and batch work behind all interactive requests.
auto scheduler::work_before(acquire const& message, base::duration service) const -> queued_work {
    auto const latest_start = latest_start_of(message, service);
    if (message.priority == base::priority_class::interactive) {
        return this->interactive.work_before(latest_start);
    }
    auto work = this->batch.work_before(latest_start);
    work.pieces += this->interactive.pieces();
    work.prefill_seconds += this->interactive.prefill_seconds();
    return work;
}

auto scheduler::prefill_wait(double queued_seconds) const -> base::duration {
    auto const& order = this->pool.by_idle();
    if (order.empty()) {
        return base::duration::zero();
    }
    auto const idle = std::max(base::duration::zero(), order.begin()->first - this->now);
    return idle + base::from_seconds(queued_seconds / static_cast<double>(order.size()));
}

auto scheduler::decode_wait(base::piece_count queued) const -> base::duration {
    auto const missing = queued.value - this->pool.free_pieces();
    if (missing <= 0 || this->decode_engines.empty()) {
        return base::duration::zero();
    }
    auto const residence =
        this->residences.size() == 0 ? initial_residence_seconds : this->residences.mean();
    auto const all = static_cast<double>(this->shape.decode_pieces.value) *
                     static_cast<double>(this->pool.by_release().size() + 1);
    return base::from_seconds(static_cast<double>(missing) * residence / all);
}

auto scheduler::reason_to_refuse(acquire const& message, prediction const& expected)
    -> std::optional<refusal> {
    auto const urgent = message.priority == base::priority_class::interactive;
    auto const work = base::to_seconds(expected.service);
    // Later attempts of this host at a request that has been accepted already. A caller that comes
    // back after a refusal makes a new request.
    auto const was_accepted = message.attempt.number.value > 1 || !message.avoid.empty();
    auto const shared =
        urgent && !was_accepted && std::holds_alternative<decode_first>(this->options.policy);
    if (shared) {
        this->gate.note_demand(message.caller, work, this->now);
    }
    auto const wait =
        urgent ? expected.wait : expected.wait * batch_wait_numerator / batch_wait_denominator;
    auto const affordable = message.first_token_deadline - this->now - expected.service;
    if (wait > affordable) {
        return refusal::overloaded;
    }
    if (shared && !this->gate.admits(message.caller, work, wait, affordable, this->now)) {
        return refusal::over_share;
    }
    return std::nullopt;
}

auto scheduler::retry_time(prediction const& expected, acquire const& message) const
    -> base::time_point {
    auto const allowed = message.first_token_deadline - this->now - expected.service;
    auto const excess = std::max(expected.wait - allowed, expected.wait / 2);
    return this->now + std::clamp<base::duration>(excess, min_retry_delay, max_retry_delay);
}

auto scheduler::enqueue(acquire const& message, prediction const& expected) -> void {
    auto request = waiting_request{};
    request.acquire = message;
    request.pieces = this->pieces_of(message);
    request.arrived = this->now;
    request.latest_start = latest_start_of(message, expected.service);
    request.prefill_seconds = base::to_seconds(expected.prefill);
    auto const urgent = message.priority == base::priority_class::interactive;
    auto& queue = urgent ? this->interactive : this->batch;
    queue.add(std::move(request));
}

auto scheduler::refuse_now(acquire const& message, refusal reason, base::time_point retry_at)
    -> void {
    this->refusals[static_cast<std::size_t>(reason)] += 1;
    this->commands.emplace_back(refuse{message.attempt, message.holder, reason, retry_at});
    this->remember_ended(message.attempt);
}

auto scheduler::grant_kept_result(acquire const& message) -> void {
    auto request = waiting_request{};
    request.acquire = message;
    request.pieces = this->pieces_of(message);
    request.arrived = this->now;
    auto const engine = best_fit(this->pool, this->pool.by_room(), request.pieces, message.avoid);
    if (!engine) {
        this->refuse_now(message, refusal::overloaded,
                         this->retry_time(this->predict(message), message));
        return;
    }
    this->grant_now(request, std::nullopt, decode_placement{*engine, true, this->now});
}

}  // namespace linnetlane::cell

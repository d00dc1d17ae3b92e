#include "linnetlane/daemon/entry_observer.h"

#include <utility>
#include <variant>

namespace linnetlane::daemon {

namespace {

using telemetry::request_ending;
using telemetry::span_kind;
using telemetry::span_status;
using telemetry::waste_cause;

auto to_waste_cause(cell::ending ending) -> waste_cause {
    switch (ending) {
        case cell::ending::cancelled:
            return waste_cause::caller_gone;
        case cell::ending::transfer_stalled:
            return waste_cause::transfer_stalled;
        case cell::ending::decode_failed:
            return waste_cause::decode_failed;
        case cell::ending::expired:
        // Never counted: `finish_answer` clears `unused_prefill` before the attempt is released.
        case cell::ending::completed:
            return waste_cause::expired;
        case cell::ending::prefill_failed:
            return waste_cause::refused;
    }
    return waste_cause::expired;
}

}  // namespace

request_observer::request_observer(telemetry_sinks const& sinks, model_plan const& planned,
                                   telemetry::trace_context const& context,
                                   base::time_point arrived)
    : traces(&sinks.traces),
      metrics(&sinks.metrics.of(planned.document->id)),
      plan(&planned),
      arrived_at(arrived),
      request_span(sinks.traces.start(context, "completion", span_kind::server, arrived)) {
    this->request_span.add(planned.spec.id);
    this->request_span.add(planned.document->id);
    this->request_span.add(planned.spec.caller);
}

auto request_observer::observe(request::command const& command, base::time_point now) -> void {
    std::visit([&](auto const& what) { this->on(what, now); }, command);
}

auto request_observer::observe_end(base::time_point now) -> void {
    this->count_waste(this->last_cause);
    this->end_step(span_status::error, now);
    if (this->accepted) {
        auto ended = telemetry::ended_request{};
        ended.priority = this->plan->spec.priority;
        ended.ending = this->ending;
        ended.within_targets = this->met_targets();
        ended.produced = this->delivered;
        this->metrics->count_ended(ended);
    }
    auto const request_status =
        this->ending == request_ending::completed ? span_status::ok : span_status::error;
    this->request_span.add({"tokens", this->delivered});
    this->traces->finish(std::move(this->request_span), request_status, now);
}

auto request_observer::traceparent() const -> std::string {
    auto const& innermost_span = this->step_span ? *this->step_span : this->request_span;
    return telemetry::format_traceparent(innermost_span.child_context());
}

auto request_observer::on(request::send_acquire const& command, base::time_point now) -> void {
    this->end_step(span_status::error, now);
    if (this->accepted) {
        this->metrics->count_retry();
    }
    if (this->delivered.value > 0) {
        this->metrics->count_resume();
    }
    this->begin_step("admission", span_kind::internal, now);
    this->step_span->add(command.acquire.attempt.number);
}

auto request_observer::on(request::start_prefill const& command, base::time_point now) -> void {
    this->count_waste(this->last_cause);
    this->unused_prefill = this->plan->spec.prompt;
    this->metrics->count_prefill(this->unused_prefill);
    this->begin_step("prefill", span_kind::client, now);
    this->step_span->add(command.attempt.number);
    this->step_span->add(command.upstream);
}

auto request_observer::on(request::start_decode const& command, base::time_point now) -> void {
    this->begin_step("decode", span_kind::client, now);
    this->step_span->add(command.attempt.number);
    this->step_span->add(command.upstream);
}

auto request_observer::on(request::cancel_call const& /*command*/, base::time_point now) -> void {
    this->end_step(span_status::error, now);
}

auto request_observer::on(request::deliver const& command, base::time_point now) -> void {
    this->unused_prefill = {};
    if (this->delivered.value == 0) {
        this->first_token_at = now;
        this->metrics->record_first_token(this->plan->spec.priority, now - this->arrived_at);
    } else {
        this->metrics->record_token_interval(now - this->last_token_at);
    }
    this->last_token_at = now;
    this->delivered += command.count;
}

auto request_observer::on(request::finish_answer const& /*command*/, base::time_point now) -> void {
    this->unused_prefill = {};
    this->ending = request_ending::completed;
    this->end_step(span_status::ok, now);
}

auto request_observer::on(request::refuse_caller const& command, base::time_point /*now*/) -> void {
    this->ending = request_ending::refused;
    this->metrics->count_refused(command.refusal.type);
}

auto request_observer::on(request::cut_answer const& /*command*/, base::time_point /*now*/)
    -> void {
    this->ending = request_ending::cut;
}

auto request_observer::on(request::release_attempt const& command, base::time_point /*now*/)
    -> void {
    this->last_cause = to_waste_cause(command.release.ending);
}

auto request_observer::on(request::report_progress const& /*command*/, base::time_point now)
    -> void {
    if (!std::exchange(this->accepted, true)) {
        this->metrics->count_accepted(this->plan->spec.priority);
        this->end_step(span_status::ok, now);
    }
}

auto request_observer::begin_step(telemetry::literal name, span_kind kind, base::time_point now)
    -> void {
    this->end_step(span_status::ok, now);
    this->step_span = this->traces->start(this->request_span.child_context(), name, kind, now);
}

auto request_observer::end_step(span_status status, base::time_point now) -> void {
    if (this->step_span) {
        this->traces->finish(std::move(*this->step_span), status, now);
        this->step_span.reset();
    }
}

auto request_observer::count_waste(waste_cause cause) -> void {
    if (this->unused_prefill.value > 0) {
        this->metrics->count_wasted_prefill(cause, this->unused_prefill);
        this->unused_prefill = {};
    }
}

// Whether the request completed with at least one token, its first token met the deadline and the
// mean time between tokens met the target.
auto request_observer::met_targets() const -> bool {
    if (this->ending != request_ending::completed || this->delivered.value == 0) {
        return false;
    }
    if (this->first_token_at > this->plan->spec.first_token_deadline) {
        return false;
    }
    auto const intervals = this->delivered.value - 1;
    auto const span = this->last_token_at - this->first_token_at;
    return span <= this->plan->document->targets.between_tokens * intervals;
}

}  // namespace linnetlane::daemon

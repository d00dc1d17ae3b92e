// Records the spans and metrics of one completions request.
//
// Observes the commands of the request's state machine and never affects them. Spans: `completion`
// for the whole request, and within it `admission`, `prefill` and `decode` for each attempt.

#ifndef LINNETLANE_DAEMON_ENTRY_OBSERVER_H_
#define LINNETLANE_DAEMON_ENTRY_OBSERVER_H_

#include <optional>
#include <string>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/daemon/entry_spec.h"
#include "linnetlane/request/state_machine.h"
#include "linnetlane/telemetry/metrics.h"
#include "linnetlane/telemetry/trace.h"

namespace linnetlane::daemon {

// Receivers of spans and metrics. Both must outlive the request.
struct telemetry_sinks {
    telemetry::tracer& traces;
    telemetry::metrics& metrics;
};

// Thread-compatible.
class request_observer {
public:
    // `plan` must outlive the observer. `arrived` is when the request came.
    request_observer(telemetry_sinks const& sinks, model_plan const& plan,
                     telemetry::trace_context const& context, base::time_point arrived);

    // Records a command that is about to be executed.
    auto observe(request::command const& command, base::time_point now) -> void;
    // Records the end of the request, after which it holds nothing at engines or cells.
    auto observe_end(base::time_point now) -> void;
    // Returns the value of the header `traceparent` for calls to engines.
    [[nodiscard]] auto traceparent() const -> std::string;

private:
    auto on(request::send_acquire const& command, base::time_point now) -> void;
    auto on(request::start_prefill const& command, base::time_point now) -> void;
    auto on(request::start_decode const& command, base::time_point now) -> void;
    auto on(request::cancel_call const& command, base::time_point now) -> void;
    auto on(request::deliver const& command, base::time_point now) -> void;
    auto on(request::finish_answer const& command, base::time_point now) -> void;
    auto on(request::refuse_caller const& command, base::time_point now) -> void;
    auto on(request::cut_answer const& command, base::time_point now) -> void;
    auto on(request::release_attempt const& command, base::time_point now) -> void;
    auto on(request::report_progress const& command, base::time_point now) -> void;

    auto begin_step(telemetry::literal name, telemetry::span_kind kind, base::time_point now)
        -> void;
    auto end_step(telemetry::span_status status, base::time_point now) -> void;
    auto count_waste(telemetry::waste_cause cause) -> void;
    [[nodiscard]] auto met_targets() const -> bool;

    telemetry::tracer* traces;
    telemetry::service_metrics* metrics;
    model_plan const* plan;
    base::time_point arrived_at;
    telemetry::span request_span;
    std::optional<telemetry::span> step_span;
    bool accepted = false;
    // The prompt tokens of a prefill of which no output token has been delivered.
    base::token_count unused_prefill;
    telemetry::waste_cause last_cause = telemetry::waste_cause::expired;
    base::token_count delivered;
    base::time_point first_token_at;
    base::time_point last_token_at;
    telemetry::request_ending ending = telemetry::request_ending::caller_gone;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_OBSERVER_H_

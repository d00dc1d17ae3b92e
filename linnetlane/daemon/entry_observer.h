// Turns the life of one completions request into spans and metrics.
//
// It is shown the machine's commands and decides nothing. Spans: `completion` for the whole
// request, and within it `admission`, `prefill` and `decode` for each attempt.

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

// Where spans and metrics go. Both outlive the request.
struct telemetry_sinks {
    telemetry::tracer& traces;
    telemetry::metrics& metrics;
};

// Thread-compatible.
class request_observer {
public:
    // `plan` outlives the observer. The request came at `arrived`.
    request_observer(telemetry_sinks const& sinks, model_plan const& plan,
                     telemetry::trace_context const& context, base::time_point arrived);

    auto saw(request::command const& command, base::time_point now) -> void;
    // The request holds nothing any more.
    auto saw_end(base::time_point now) -> void;
    // The header `traceparent` of calls to engines.
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
    telemetry::span whole;
    std::optional<telemetry::span> step;
    bool accepted = false;
    // A prefill of which no token came yet.
    base::token_count unused_prefill;
    telemetry::waste_cause last_cause = telemetry::waste_cause::expired;
    base::token_count delivered;
    base::time_point first_token_at;
    base::time_point last_token_at;
    telemetry::request_ending ending = telemetry::request_ending::caller_gone;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_OBSERVER_H_

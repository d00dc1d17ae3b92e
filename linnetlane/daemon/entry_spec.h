// Builds the input of a request's state machine from the parsed request and the service document.

#ifndef LINNETLANE_DAEMON_ENTRY_SPEC_H_
#define LINNETLANE_DAEMON_ENTRY_SPEC_H_

#include <memory>
#include <optional>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/daemon/entry_concepts.h"
#include "linnetlane/daemon/entry_request.h"
#include "linnetlane/request/refusal.h"
#include "linnetlane/request/state_machine.h"
#include "linnetlane/service/document.h"

namespace linnetlane::daemon {

// A planned completions request: the document it is served by and the state machine's parameters.
struct model_plan {
    std::shared_ptr<service::document const> document;
    request::request_spec spec;
    request::step_timeouts timeouts;
};

// Plans a request that arrived at `now`, or refuses it. `document` may be null.
[[nodiscard]] auto plan_request(std::shared_ptr<service::document const> document,
                                completion_request const& completion, base::time_point now)
    -> base::result<model_plan, request::refusal>;

// Returns the address of the upstream `id` in `document`; nothing if it has no such upstream.
[[nodiscard]] auto find_address(service::document const& document, base::upstream_id const& id)
    -> std::optional<base::endpoint>;

// Returns the caller's trace context, or the root of a new trace with the id of the request.
[[nodiscard]] auto continue_trace(std::optional<telemetry::trace_context> const& parent,
                                  base::request_id const& request) -> telemetry::trace_context;

// Returns the refusal of a request that arrives while the host is shutting down.
[[nodiscard]] auto make_shutdown_refusal(base::time_point now) -> request::refusal;

// Converts an answer of the cell to the state machine's event.
[[nodiscard]] auto to_event(cell_answer const& answer) -> request::event;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_SPEC_H_

// Turns what a caller asks and the service's document into what a request's machine needs.
// Pure functions.

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

// How a completions request is to be served.
struct model_plan {
    std::shared_ptr<service::document const> document;
    request::request_spec spec;
    request::step_timeouts patience;
};

// Plans a request that came at `now`, or refuses it. `document` may be null.
[[nodiscard]] auto plan_request(std::shared_ptr<service::document const> document,
                                completion_ask const& ask, base::time_point now)
    -> base::result<model_plan, request::refusal>;

// Where the upstream `id` listens, as `document` has it.
[[nodiscard]] auto find_address(service::document const& document, base::upstream_id const& id)
    -> std::optional<base::endpoint>;

// The trace that the caller began, or one of the request's own.
[[nodiscard]] auto continue_trace(std::optional<telemetry::trace_context> const& asked,
                                  base::request_id const& request) -> telemetry::trace_context;

// The refusal of a request that comes while the host is leaving.
[[nodiscard]] auto shutting_down(base::time_point now) -> request::refusal;

// The machine's event for an answer of the cell.
[[nodiscard]] auto to_event(cell_answer const& told) -> request::event;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_SPEC_H_

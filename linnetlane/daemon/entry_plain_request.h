// Parses a call to a plain service and builds the call to its upstream. Pure functions.

#ifndef LINNETLANE_DAEMON_ENTRY_PLAIN_REQUEST_H_
#define LINNETLANE_DAEMON_ENTRY_PLAIN_REQUEST_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/request/claims.h"
#include "linnetlane/request/plain_state_machine.h"
#include "linnetlane/request/refusal.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/service/document.h"

namespace linnetlane::daemon {

// A parsed call to a plain service, with what is needed to serve it.
struct plain_plan {
    std::shared_ptr<service::document const> document;
    base::request_id id;
    base::caller_id caller;
    std::optional<base::idempotency_key> key;
    request::plain_spec spec;
    // The call to the upstream.
    runtime::http_request call;
};

// Larger answers aren't stored for later calls with the same key.
inline constexpr auto max_stored_bytes = std::size_t{16} * 1024;

// Returns the path of an HTTP target, without its query.
[[nodiscard]] auto path_of(std::string_view target) -> std::string_view;

// Plans a call that arrived at `now`, or refuses it. `document` may be null.
[[nodiscard]] auto plan_plain(std::shared_ptr<service::document const> document,
                              runtime::http_request const& request, base::time_point now)
    -> base::result<plain_plan, request::refusal>;

// Returns the upstream's answer without the fields that concern a single connection.
[[nodiscard]] auto remove_connection_fields(runtime::http_response answer)
    -> runtime::http_response;

// Returns the form of `answer` that is stored for later calls with the same key; nothing if it is
// too large.
[[nodiscard]] auto to_stored(runtime::http_response const& answer)
    -> std::optional<request::stored_answer>;

// Returns the response for a stored answer, with the field `idempotency-replayed: true`.
[[nodiscard]] auto from_stored(request::stored_answer const& stored) -> runtime::http_response;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_PLAIN_REQUEST_H_

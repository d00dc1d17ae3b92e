// Typed refusals of requests: their HTTP status, JSON body and `Retry-After`.
//
//   auto const refused = refusal{.type = refusal_type::overloaded, .outcome = outcome::not_run};
//   auto const body = refusal_body(refused, now);
//
// The body reads
//
//   {"error":{"type":"overloaded","message":"..","outcome":"not_run","retry_after_ms":1500}}

#ifndef LINNETLANE_REQUEST_REFUSAL_H_
#define LINNETLANE_REQUEST_REFUSAL_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "linnetlane/base/time.h"
#include "linnetlane/cell/messages.h"

namespace linnetlane::request {

// Why a caller gets no answer or an incomplete one.
enum class refusal_type {
    malformed,
    unauthorized,
    unknown_service,
    body_too_large,
    prompt_too_large,
    overloaded,
    over_share,
    no_upstream,
    keeper_starting,
    booking_failed,
    deadline_exceeded,
    upstream_failed,
    cancelled,
    shutting_down,
    duplicate_under_way,
    already_answered,
    outcome_unknown,
    claim_unavailable,
};

// Whether the request ran. `not_run` is reported only if no byte of it was sent to an upstream,
// `ran` only for a call whose idempotency key was answered before.
enum class outcome { not_run, unknown, ran };

struct refusal {
    refusal_type type = refusal_type::overloaded;
    request::outcome outcome = request::outcome::not_run;
    // When a retry is expected to be accepted; absent if the unchanged request can't succeed.
    std::optional<base::time_point> retry_at;

    friend auto operator==(refusal const&, refusal const&) -> bool = default;
};

// Returns the refusal type that callers get for a cell's refusal.
[[nodiscard]] auto refusal_type_of(cell::refusal reason) -> refusal_type;

// Returns the value of the body's field `type`.
[[nodiscard]] auto name_of(refusal_type type) -> std::string_view;

// Returns the HTTP status of `type`.
[[nodiscard]] auto status_of(refusal_type type) -> int;

// Returns the JSON body of the response; `retry_after_ms` counts from `now`.
[[nodiscard]] auto refusal_body(refusal const& refused, base::time_point now) -> std::string;

// Returns the seconds from `now` for the header `Retry-After`, rounded up and at least 1; absent if
// the refusal has no retry time.
[[nodiscard]] auto retry_after_seconds(refusal const& refused, base::time_point now)
    -> std::optional<std::int64_t>;

auto operator<<(std::ostream& out, refusal const& refused) -> std::ostream&;

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_REFUSAL_H_

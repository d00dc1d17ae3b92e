// Claims on calls that may run at most once, as an entry host sees them.
//
// A call that carries an idempotency key is claimed before its first byte goes to an upstream. Of
// all calls with the same key on all hosts, one is granted the claim; the others get the state of
// that call.

#ifndef LINNETLANE_REQUEST_CLAIMS_H_
#define LINNETLANE_REQUEST_CLAIMS_H_

#include <concepts>
#include <optional>
#include <string>
#include <variant>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::request {

// An answer kept for later calls with the same key.
struct stored_answer {
    int status = 200;
    std::string content_type;
    std::string body;

    friend auto operator==(stored_answer const&, stored_answer const&) -> bool = default;
};

// State of a claimed call.
enum class claim_state {
    // It may still run.
    under_way,
    // It ran, and its answer was received.
    answered,
    // It was sent and no answer was received; whether it ran can't be determined.
    outcome_unknown,
    // It was certainly not run; a later call with the key may claim it again.
    not_run,
};

// This call holds the claim and may be sent once.
struct claim_granted {};

// Another call holds the claim.
struct claim_exists {
    request::claim_state state = request::claim_state::under_way;
    // Set in the state `answered` if the answer was small enough to store.
    std::optional<stored_answer> answer;
};

// Why a claim could not be made.
enum class claim_refusal { platform_unavailable, overloaded };

// This call made no claim and was not run. A retry may succeed from `retry_at` on.
struct claim_refused {
    claim_refusal reason = claim_refusal::platform_unavailable;
    base::time_point retry_at;
};

using claim_answer = std::variant<claim_granted, claim_exists, claim_refused>;

// Makes and settles claims. Thread-safe; both calls may suspend the calling fiber, `claim` at
// most until the deadline.
//
// `settle` records how a granted claim ended: `answered` with the answer, `outcome_unknown` or
// `not_run`. It is best effort: a claim that was never settled reads as `outcome_unknown` once its
// holder is gone.
template <typename Claims>
concept claims = requires(Claims& claims, base::service_id const& service,
                          base::idempotency_key const& key, base::request_id request,
                          base::time_point deadline, claim_state state,
                          std::optional<stored_answer> answer) {
    { claims.claim(service, key, request, deadline) } -> std::same_as<claim_answer>;
    { claims.settle(service, key, request, state, answer) } -> std::same_as<void>;
};

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_CLAIMS_H_

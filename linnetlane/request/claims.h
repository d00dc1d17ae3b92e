// The claim on a call that may run at most once, as its entry host sees it.
//
// A call that carries an idempotency key is claimed before its first byte goes to an upstream. Of
// all calls with one key, on all hosts, one is granted; the others learn what became of it.

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

// What became of a claimed call.
enum class claim_state {
    // It may still run.
    under_way,
    // It ran, and its answer came.
    answered,
    // It was sent and no answer came: nobody can tell whether it ran.
    outcome_unknown,
    // It surely was not run; a later call with the key may claim it again.
    not_run,
};

// This call holds the claim and may be sent once.
struct claim_granted {};

// Another call holds the claim.
struct claim_exists {
    request::claim_state state = request::claim_state::under_way;
    // With `answered`, if the answer was small enough to keep.
    std::optional<stored_answer> answer;
};

// Why no claim could be made.
enum class claim_refusal { platform_unavailable, overloaded };

// No claim was made by this call: it was not run. `retry_at` is when a new try may succeed.
struct claim_refused {
    claim_refusal reason = claim_refusal::platform_unavailable;
    base::time_point retry_at;
};

using claim_answer = std::variant<claim_granted, claim_exists, claim_refused>;

// Makes and settles claims. Thread-safe; both calls may suspend the calling fiber, `claim` at the
// latest until the deadline.
//
// `settle` records how a granted claim ended: `answered` with the answer, `outcome_unknown` or
// `not_run`. It does its best; a claim that was never settled reads as `outcome_unknown` once its
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

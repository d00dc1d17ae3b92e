// Parses callers' HTTP requests, identifies callers and hashes prompts.

#ifndef LINNETLANE_DAEMON_ENTRY_REQUEST_H_
#define LINNETLANE_DAEMON_ENTRY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/units.h"
#include "linnetlane/request/refusal.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/service/callers.h"
#include "linnetlane/service/document.h"
#include "linnetlane/telemetry/trace.h"

namespace linnetlane::daemon {

// Returns a new random id.
[[nodiscard]] auto make_request_id() -> base::request_id;

// Returns 64 random bits from a generator per thread, seeded from the system.
[[nodiscard]] auto make_random() -> std::uint64_t;

// The credentials that a request carries, not yet verified.
struct caller_credentials {
    // From `authorization: Bearer KEY`.
    std::optional<std::string> key;
    // From `x-caller`.
    std::optional<base::caller_id> name;
};

[[nodiscard]] auto read_credentials(runtime::http_fields const& fields) -> caller_credentials;

// Returns the account that the key in `credentials` belongs to or, if the document requires no
// keys, the one that they name or else `anonymous`; nothing if the key isn't valid.
[[nodiscard]] auto identify(service::document const& document,
                            caller_credentials const& credentials)
    -> std::optional<service::caller>;

// A parsed completions request.
struct completion_request {
    base::service_id service;
    caller_credentials caller;
    std::optional<base::priority_class> priority;
    bool repeatable = true;
    // Whether to stream the answer.
    bool stream = false;
    std::string prompt;
    base::token_count prompt_tokens;
    std::optional<base::token_count> output_bound;
    std::optional<telemetry::trace_context> trace;
};

// Why a completions request is malformed.
enum class request_error { not_json, no_service, no_prompt, bad_field, bad_header };

// Returns the error message for the caller.
[[nodiscard]] auto describe(request_error failure) -> std::string_view;

// Parses `POST /v1/completions`. The header `x-service` takes precedence over the field `model`,
// and the field `x_prompt_tokens` over the estimate of four characters per token.
[[nodiscard]] auto parse_completion(runtime::http_request const& request)
    -> base::result<completion_request, request_error>;

// Maximum number of leading pieces of a prompt that are hashed.
inline constexpr auto max_prefixes = std::size_t{16};

// Returns the hashes of the prompt's prefixes that consist of 1, 2, ... whole pieces.
// `piece_size` is in tokens, which are all taken to have the same number of characters.
[[nodiscard]] auto prefix_hashes(std::string_view prompt, base::token_count prompt_tokens,
                                 base::token_count piece_size) -> std::vector<base::prefix_hash>;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_REQUEST_H_

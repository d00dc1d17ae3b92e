// The wire format of the OpenAI completions API, with KV transfer parameters.
//
// Pure functions convert between typed calls and answers and their JSON texts. Extensions let a
// router track an answer. `x_resume_from` asks a decode engine to continue at a token offset, after
// the text `x_delivered_text`. `x_offset` is the offset of a part's first token, and `x_count` the
// number of its tokens. `max_tokens` counts from `x_resume_from`.
//
// A prefill asks for one token and states that a remote engine decodes:
//
//   {"request_id":"..","prompt":"..","max_tokens":1,"priority":0,
//    "kv_transfer_params":{"do_remote_decode":true}}
//
// Its answer holds `kv_transfer_params` with `do_remote_prefill` and the location of the KV cache,
// which the decode call passes on.

#ifndef LINNETLANE_UPSTREAM_COMPLETIONS_H_
#define LINNETLANE_UPSTREAM_COMPLETIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/upstream/engine_types.h"

namespace linnetlane::upstream {

// Fields that the prefill call and the decode call of an attempt share.
struct completion_call {
    cell::attempt attempt;
    // The body of the caller's request: a JSON object whose fields, such as those for sampling, are
    // passed on.
    std::string caller_body;
    base::priority_class priority = base::priority_class::interactive;
    // W3C trace context for the call's header; empty for none.
    std::string traceparent;
    // The token offset at which the answer continues, and the text of the tokens before it.
    base::token_count resume_from;
    std::string delivered_text;
};

// A decode call.
struct decode_call {
    completion_call call;
    std::optional<kv_transfer> transfer;
    // The maximum number of tokens of the whole answer, including those before `resume_from`.
    base::token_count output_bound;
};

// Returns the request id that an attempt has at engines: its request id and number, joined by `-`.
[[nodiscard]] auto wire_id(cell::attempt const& attempt) -> std::string;

// Parses a text that `wire_id` wrote. Returns nothing if `text` has another format.
[[nodiscard]] auto parse_wire_id(std::string_view text) -> std::optional<cell::attempt>;

// Returns the body of a prefill call.
[[nodiscard]] auto write_prefill(completion_call const& call) -> std::string;

// Returns the body of a decode call.
[[nodiscard]] auto write_decode(decode_call const& call) -> std::string;

// Returns the body of a call that aborts an attempt.
[[nodiscard]] auto write_abort(cell::attempt const& attempt) -> std::string;

// Why an answer could not be parsed.
enum class parse_failure {
    not_json,
    // The basic structure is missing or invalid, such as the request id, `choices` or `events`.
    wrong_shape,
    // A field within that structure is missing or has an invalid type or value.
    wrong_type,
    // `x_count` is not a valid number of tokens.
    out_of_range,
};

// The answer to a prefill call.
struct prefill_answer {
    cell::attempt attempt;
    kv_transfer transfer;
};

[[nodiscard]] auto parse_prefill_answer(std::string_view text)
    -> base::result<prefill_answer, parse_failure>;

// One part of a streamed answer.
struct answer_part {
    cell::attempt attempt;
    base::token_count offset;
    // Tokens in `text`: the field `x_count` if present, else one, or zero if `text` is empty.
    base::token_count count;
    std::string text;
    std::optional<finish_reason> finish;
};

// The marker `[DONE]` after the last part.
struct answer_end {};

// The type of an error that an engine reported.
enum class engine_error { transfer_stalled, overloaded, other };

using stream_item = std::variant<answer_part, answer_end, engine_error>;

// Parses the data of one server-sent event of a streamed answer.
[[nodiscard]] auto parse_stream_item(std::string_view data)
    -> base::result<stream_item, parse_failure>;

// Parses the body of an answer with an error status; `other` if it has no known error type.
[[nodiscard]] auto parse_error(std::string_view text) -> engine_error;

// An engine's report of its load.
struct load_report {
    base::piece_count pieces_used;
    // Requests that are running and waiting at the engine.
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    // Whether the engine is draining: it takes no new requests.
    bool leaving = false;
};

// Parses `{"pieces_used":..,"running":..,"waiting":..,"leaving":..}`; only `pieces_used` is
// required.
[[nodiscard]] auto parse_load(std::string_view text) -> base::result<load_report, parse_failure>;

// A change of an engine's prefix cache. A gap in `sequence` shows that changes were lost.
struct cache_change {
    std::uint64_t sequence = 0;
    std::vector<base::prefix_hash> stored;
    std::vector<base::prefix_hash> evicted;
};

// Parses `{"events":[{"sequence":..,"stored":[..],"evicted":[..]}]}`, with hashes as numbers.
[[nodiscard]] auto parse_cache_changes(std::string_view text)
    -> base::result<std::vector<cache_change>, parse_failure>;

}  // namespace linnetlane::upstream

#endif  // LINNETLANE_UPSTREAM_COMPLETIONS_H_

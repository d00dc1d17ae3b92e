// JSON encoding of the engine's calls: the published completions API with KV transfer parameters,
// and the engine's own report and order endpoints.
//
// Request extensions: `x_prompt_tokens` is the prompt's size in tokens, `x_output_tokens` the size
// of the whole answer, `x_resume_from` the offset of the first token to return. `max_tokens` limits
// the tokens of this call. In a response, `x_offset` is the offset of a chunk's first token.

#ifndef LINNETLANE_STANDIN_ENGINE_JSON_H_
#define LINNETLANE_STANDIN_ENGINE_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/standin/engine_model.h"
#include "linnetlane/standin/token_text.h"

namespace linnetlane::standin {

// The engine that keeps a prefill result, and the result's id there.
struct kv_source {
    base::endpoint engine;
    std::string request_id;
};

// A completions request.
struct completion_request {
    std::string request_id;
    prompt_id prompt;
    // Includes the answer tokens before `begin`, which the engine also has to process.
    base::token_count prompt_tokens;
    std::vector<base::prefix_hash> prefixes{};
    std::int64_t priority = 0;
    base::token_count output_bound;
    std::int64_t begin = 0;
    std::int64_t end = 0;
    // Whether the answer ends at its natural length rather than at `output_bound`.
    bool ends_naturally = true;
    bool stream = false;
    // Whether another engine decodes the answer.
    bool prefill_only = false;
    std::optional<kv_source> source{};
};

// Parses a completions request. Returns nothing if it has no prompt.
[[nodiscard]] auto read_completion(nlohmann::json const& body, base::token_count piece_size)
    -> std::optional<completion_request>;

[[nodiscard]] auto prefill_request_of(completion_request const& request) -> prefill_request;
[[nodiscard]] auto decode_request_of(completion_request const& request) -> decode_request;

// The response to a prefill whose result the engine at `at` keeps under `done.job`.
[[nodiscard]] auto write_prefill_answer(completion_request const& request, prefill_done const& done,
                                        base::endpoint const& at) -> nlohmann::json;
// One chunk of a streamed answer; without text if `offset` is the end.
[[nodiscard]] auto write_chunk(completion_request const& request, std::int64_t offset, bool last)
    -> nlohmann::json;
// The whole answer as a non-streamed response.
[[nodiscard]] auto write_answer(completion_request const& request) -> nlohmann::json;
// Formats `data` as a server-sent event.
[[nodiscard]] auto event_text(std::string_view data) -> std::string;

[[nodiscard]] auto write_load(engine_load const& load) -> nlohmann::json;
[[nodiscard]] auto write_cache_changes(std::vector<cache_change> const& changes) -> nlohmann::json;
[[nodiscard]] auto write_state(engine_state const& state, base::time_point now) -> nlohmann::json;
[[nodiscard]] auto write_stats(engine_model const& engine) -> nlohmann::json;
[[nodiscard]] auto write_abort_result(abort_result const& ended) -> nlohmann::json;
[[nodiscard]] auto read_order(nlohmann::json const& body) -> engine_order;
[[nodiscard]] auto write_error(char const* type) -> nlohmann::json;

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_ENGINE_JSON_H_

// One decode request at an engine stand-in: imports the KV cache and writes the response, with the
// active faults applied.

#ifndef LINNETLANE_STANDIN_DECODE_SESSION_H_
#define LINNETLANE_STANDIN_DECODE_SESSION_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "linnetlane/runtime/http.h"
#include "linnetlane/standin/engine_json.h"
#include "linnetlane/standin/engine_runner.h"

namespace linnetlane::standin {

// Faults that an engine injects into its responses. Thread-safe.
class stream_faults {
public:
    // Responses are malformed JSON.
    std::atomic<bool> nonsense = false;
    // Delay before each chunk.
    std::atomic<std::int64_t> chunk_delay_milliseconds = 0;
    // Every n-th chunk is sent twice; 0: none.
    std::atomic<std::int64_t> duplicate_each = 0;
    // Every n-th chunk is preceded by a chunk of another request; 0: none.
    std::atomic<std::int64_t> cross_each = 0;
    // The connection closes without an end mark after this many chunks; 0: never.
    std::atomic<std::int64_t> cut_after = 0;

    // Stores `chunk` as the latest chunk and returns the one stored before it, or an empty string
    // if that one belongs to `request_id` too.
    auto exchange_last_chunk(std::string const& request_id, std::string const& chunk)
        -> std::string;

private:
    std::mutex mutex;
    std::string last_id;
    std::string last_chunk;
};

// Serves one request from submission to end. Used by one fiber only.
class decode_session {
public:
    decode_session(engine_runner& runner, stream_faults& faults, completion_request const& request,
                   runtime::http_responder& out);

    // Writes the response. Returns when it is complete or the job is terminated.
    auto run(engine_runner::submission const& submitted) -> void;
    // Writes a response without tokens.
    auto write_empty() -> void;
    // Writes an error response with HTTP `status` and error type `type`.
    auto refuse(int status, char const* type) -> void;

private:
    auto handle(engine_notice const& notice) -> void;
    auto handle_token(token_produced const& token) -> void;
    auto import_begin() -> void;
    auto import_end() -> void;
    auto chunk_text(token_produced const& token) -> std::string;
    auto write(std::string const& chunk) -> void;
    auto write_end() -> void;
    auto cut() -> void;

    engine_runner& runner;
    stream_faults& faults;
    completion_request const& request;
    runtime::http_responder& out;
    job_number job;
    // Chunks sent so far.
    std::int64_t chunks_sent = 0;
    bool started = false;
    bool ended = false;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_DECODE_SESSION_H_

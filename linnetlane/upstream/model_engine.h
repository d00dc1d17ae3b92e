// Calls to a model engine, behind one concept, so that another protocol needs only another adapter.
//
// `completions_engine` uses the protocol of `completions.h` over HTTP. All calls suspend the
// calling fiber at most until their deadline.
//
//   auto engine = completions_engine{};
//   auto const prefilled = engine.prefill(address, call, deadline);
//   auto opened = engine.decode(address, {call, transfer, bound}, deadline);

#ifndef LINNETLANE_UPSTREAM_MODEL_ENGINE_H_
#define LINNETLANE_UPSTREAM_MODEL_ENGINE_H_

#include <concepts>
#include <cstdint>
#include <deque>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/upstream/completions.h"
#include "linnetlane/upstream/engine_types.h"
#include "linnetlane/upstream/sse.h"

namespace linnetlane::upstream {

// Why a call to an engine failed.
enum class call_failure_kind {
    unreachable,
    timed_out,
    // The connection was closed before the answer was complete.
    connection_closed,
    // The answer could not be parsed.
    malformed_answer,
    // The engine answered with the error `transfer_stalled`: the import of the KV cache has stalled
    // or failed.
    transfer_stalled,
    // The engine answered with any other error.
    refused,
};

// A failed call to an engine.
struct call_failure {
    call_failure_kind kind = call_failure_kind::connection_closed;
    upstream::send_state send_state = upstream::send_state::may_have_been_sent;
};

// A streamed answer. To be used only on the worker that opened it.
class token_stream {
public:
    explicit token_stream(runtime::http_stream opened);

    // Returns the next part, the end marker or an engine's error. The caller must check that a part
    // belongs to its request and attempt.
    [[nodiscard]] auto next(base::time_point deadline) -> base::result<stream_item, call_failure>;
    // Closes the connection. A reader that is suspended on the same worker gets
    // `connection_closed`.
    auto close() -> void;

private:
    auto read_more(base::time_point deadline) -> base::result<base::nothing, call_failure>;

    runtime::http_stream stream;
    sse_parser parser;
    std::deque<sse_event> events;
};

// A client for a model engine.
template <typename Engine>
concept model_engine = requires(Engine& engine, base::endpoint const& address,
                                completion_call const& call, decode_call const& decode,
                                cell::attempt const& attempt, std::string_view delivered_text,
                                std::uint64_t after_sequence, base::time_point deadline) {
    typename Engine::stream;
    {
        engine.prefill(address, call, deadline)
        } -> std::same_as<base::result<prefill_answer, call_failure>>;
    {
        engine.decode(address, decode, deadline)
        } -> std::same_as<base::result<typename Engine::stream, call_failure>>;
    // Returns whether the engine confirmed that it holds no state or memory for the attempt.
    { engine.abort(address, attempt, deadline) } -> std::same_as<bool>;
    { engine.load(address, deadline) } -> std::same_as<base::result<load_report, call_failure>>;
    {
        engine.cache_changes(address, after_sequence, deadline)
        } -> std::same_as<base::result<std::vector<cache_change>, call_failure>>;
};

// Thread-safe: it has no state.
class completions_engine {
public:
    using stream = token_stream;

    [[nodiscard]] auto prefill(base::endpoint const& address, completion_call const& call,
                               base::time_point deadline) const
        -> base::result<prefill_answer, call_failure>;
    [[nodiscard]] auto decode(base::endpoint const& address, decode_call const& call,
                              base::time_point deadline) const
        -> base::result<token_stream, call_failure>;
    [[nodiscard]] auto abort(base::endpoint const& address, cell::attempt const& attempt,
                             base::time_point deadline) const -> bool;
    [[nodiscard]] auto load(base::endpoint const& address, base::time_point deadline) const
        -> base::result<load_report, call_failure>;
    [[nodiscard]] auto cache_changes(base::endpoint const& address, std::uint64_t after_sequence,
                                     base::time_point deadline) const
        -> base::result<std::vector<cache_change>, call_failure>;
};

static_assert(model_engine<completions_engine>);

}  // namespace linnetlane::upstream

#endif  // LINNETLANE_UPSTREAM_MODEL_ENGINE_H_

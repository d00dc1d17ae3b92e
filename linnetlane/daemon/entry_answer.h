// Writes answers and refusals to a caller, in the format of the completions API.

#ifndef LINNETLANE_DAEMON_ENTRY_ANSWER_H_
#define LINNETLANE_DAEMON_ENTRY_ANSWER_H_

#include <string>
#include <string_view>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/request/refusal.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/upstream/engine_types.h"

namespace linnetlane::daemon {

// Sends a refusal as the complete response. Returns false if the caller is gone.
auto send_refusal(runtime::http_responder& responder, request::refusal const& refused,
                  base::time_point now) -> bool;

// Refuses a malformed request; `what` names the error. Returns false if the caller is gone.
auto send_malformed(runtime::http_responder& responder, std::string_view what) -> bool;

// Properties of the request that its answer contains.
struct answer_head {
    base::request_id id;
    base::service_id service;
    base::token_count prompt_tokens;
    bool stream = false;
};

// The answer to one request: streamed as server-sent events, or buffered and sent as one JSON body.
// All functions return false if the caller is gone. Thread-compatible.
class completion_answer {
public:
    completion_answer(runtime::http_responder& connection, answer_head about);

    // Adds `count` tokens, which begin at token `offset` of the answer.
    auto deliver(std::string_view text, base::token_count offset, base::token_count count) -> bool;
    // Completes the answer.
    auto finish(upstream::finish_reason reason) -> bool;
    // Sends a refusal; nothing may have been delivered before.
    auto refuse(request::refusal const& refused, base::time_point now) -> bool;
    // Ends an incomplete answer: a streamed one gets an event with the error and no `[DONE]`.
    auto cut(request::refusal const& refused, base::time_point now) -> bool;

private:
    auto start() -> bool;
    auto write_event(std::string_view data) -> bool;

    runtime::http_responder* responder;
    answer_head head;
    bool started = false;
    base::token_count delivered;
    // The text so far of an answer that is not streamed.
    std::string buffered_text;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_ANSWER_H_

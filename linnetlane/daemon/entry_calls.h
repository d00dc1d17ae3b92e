// The calls that one request makes to engines, each in its own fiber.
//
// Outcomes are pushed to the request's mailbox. A fiber that outlives the request keeps only that
// mailbox alive. All functions are called on the request's worker.

#ifndef LINNETLANE_DAEMON_ENTRY_CALLS_H_
#define LINNETLANE_DAEMON_ENTRY_CALLS_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include <boost/fiber/fiber.hpp>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/daemon/entry_mailbox.h"
#include "linnetlane/request/state_machine.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/upstream/model_engine.h"

namespace linnetlane::daemon {

// Timeout of one try to abort a call, and the delay before the next.
inline constexpr auto abort_timeout = std::chrono::milliseconds{1000};
inline constexpr auto abort_retry_delay = std::chrono::milliseconds{100};

// Thread-compatible. The engine client must outlive the worker pool.
template <upstream::model_engine Engine>
class engine_calls {
public:
    using events = mailbox<request::event>;

    engine_calls(Engine& client, std::shared_ptr<events> results)
        : engine(&client), inbox(std::move(results)) {}

    // Sends a prefill; reports it as not sent if `send_before` has passed when its fiber runs.
    auto prefill(base::endpoint const& address, upstream::completion_call call,
                 base::time_point send_before, base::time_point deadline) -> void {
        auto handle = this->add_handle(call.attempt, upstream::call_role::prefill);
        start([engine = this->engine, inbox = this->inbox, address, call = std::move(call),
               send_before, deadline, handle] {
            run_prefill(*engine, *inbox, address, call, send_before, deadline, *handle);
        });
    }

    // Streams a decode; reports it as not sent if `send_before` has passed when its fiber runs.
    auto decode(base::endpoint const& address, upstream::decode_call call,
                base::time_point send_before, base::time_point deadline) -> void {
        auto handle = this->add_handle(call.call.attempt, upstream::call_role::decode);
        start([engine = this->engine, inbox = this->inbox, address, call = std::move(call),
               send_before, deadline, handle] {
            run_decode(*engine, *inbox, address, call, send_before, deadline, *handle);
        });
    }

    // Closes the call's stream and aborts the call at its engine, with retries until `deadline`.
    auto cancel(base::endpoint const& address, cell::attempt const& attempt,
                upstream::call_role role, base::time_point deadline) -> void {
        auto const found = this->handles.find({attempt.number, role});
        if (found != this->handles.end()) {
            found->second->cancelled = true;
            if (found->second->stream != nullptr) {
                found->second->stream->close();
            }
        }
        start([engine = this->engine, inbox = this->inbox, address, attempt, role, deadline] {
            run_abort(*engine, *inbox, address, attempt, role, deadline);
        });
    }

private:
    // State shared by a call's fiber and the request's fiber.
    struct call_handle {
        bool cancelled = false;
        // Set while the fiber reads the answer.
        typename Engine::stream* stream = nullptr;
    };

    template <typename Body>
    static auto start(Body body) -> void {
        boost::fibers::fiber{std::move(body)}.detach();
    }

    auto add_handle(cell::attempt const& attempt, upstream::call_role role)
        -> std::shared_ptr<call_handle> {
        auto handle = std::make_shared<call_handle>();
        this->handles[{attempt.number, role}] = handle;
        return handle;
    }

    static auto may_send(call_handle const& handle, base::time_point send_before) -> bool {
        return !handle.cancelled && base::monotonic_clock::now() < send_before;
    }

    static auto run_prefill(Engine& engine, events& inbox, base::endpoint const& address,
                            upstream::completion_call const& call, base::time_point send_before,
                            base::time_point deadline, call_handle const& handle) -> void {
        if (!may_send(handle, send_before)) {
            inbox.push(request::prefill_failed{call.attempt, upstream::send_state::not_sent});
            return;
        }
        auto const answer = engine.prefill(address, call, deadline);
        if (auto const* const failure = base::failure_of(answer)) {
            inbox.push(request::prefill_failed{call.attempt, failure->send_state});
            return;
        }
        auto const& done = base::value_of(answer);
        if (done.attempt != call.attempt) {
            // The answer belongs to another request; the one to this request won't come.
            inbox.push(
                request::prefill_failed{call.attempt, upstream::send_state::may_have_been_sent});
            return;
        }
        inbox.push(request::prefill_done{done.attempt, done.transfer});
    }

    static auto run_decode(Engine& engine, events& inbox, base::endpoint const& address,
                           upstream::decode_call const& call, base::time_point send_before,
                           base::time_point deadline, call_handle& handle) -> void {
        auto const& attempt = call.call.attempt;
        if (!may_send(handle, send_before)) {
            inbox.push(request::decode_failed{attempt, upstream::send_state::not_sent});
            return;
        }
        auto opened = engine.decode(address, call, deadline);
        if (auto const* const failure = base::failure_of(opened)) {
            push_failure(inbox, attempt, *failure);
            return;
        }
        auto stream = base::take_value(std::move(opened));
        if (handle.cancelled) {
            return;
        }
        handle.stream = &stream;
        while (forward_next(inbox, attempt, stream, deadline)) {
        }
        handle.stream = nullptr;
    }

    // Forwards the next part of the answer. Returns false after the last one.
    static auto forward_next(events& inbox, cell::attempt const& attempt,
                             typename Engine::stream& stream, base::time_point deadline) -> bool {
        auto const item = stream.next(deadline);
        if (auto const* const failure = base::failure_of(item)) {
            push_failure(inbox, attempt, *failure);
            return false;
        }
        if (auto const* const part = std::get_if<upstream::answer_part>(&base::value_of(item))) {
            return forward_part(inbox, attempt, *part);
        }
        auto const* const error = std::get_if<upstream::engine_error>(&base::value_of(item));
        if (error != nullptr && *error == upstream::engine_error::transfer_stalled) {
            inbox.push(request::transfer_stalled{attempt});
            return false;
        }
        // An error, or the end of the stream before a part with a finish reason.
        inbox.push(request::decode_failed{attempt, upstream::send_state::may_have_been_sent});
        return false;
    }

    static auto forward_part(events& inbox, cell::attempt const& attempt,
                             upstream::answer_part const& part) -> bool {
        if (part.attempt != attempt) {
            // Belongs to another request or an earlier attempt.
            return true;
        }
        if (part.count.value > 0) {
            inbox.push(request::token_chunk{part.attempt, part.offset, part.count, part.text});
        }
        if (part.finish) {
            inbox.push(
                request::decode_finished{part.attempt, *part.finish, part.offset + part.count});
            return false;
        }
        return true;
    }

    static auto push_failure(events& inbox, cell::attempt const& attempt,
                             upstream::call_failure const& failure) -> void {
        if (failure.kind == upstream::call_failure_kind::transfer_stalled) {
            inbox.push(request::transfer_stalled{attempt});
            return;
        }
        inbox.push(request::decode_failed{attempt, failure.send_state});
    }

    static auto run_abort(Engine& engine, events& inbox, base::endpoint const& address,
                          cell::attempt const& attempt, upstream::call_role role,
                          base::time_point deadline) -> void {
        while (base::monotonic_clock::now() < deadline) {
            auto const until = std::min(deadline, base::monotonic_clock::now() + abort_timeout);
            if (engine.abort(address, attempt, until)) {
                inbox.push(request::cancel_confirmed{attempt, role});
                return;
            }
            runtime::sleep_until(base::monotonic_clock::now() + abort_retry_delay);
        }
    }

    Engine* engine;
    std::shared_ptr<events> inbox;
    std::map<std::pair<base::attempt_number, upstream::call_role>, std::shared_ptr<call_handle>>
        handles;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_CALLS_H_

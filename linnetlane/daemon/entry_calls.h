// The calls that one request makes to engines, each in a fiber of its own.
//
// Outcomes go to the request's mailbox; a fiber that outlives the request holds nothing but that
// mailbox. All functions are called on the request's worker.

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

// How long one try to abort a call may take, and the pause before the next.
inline constexpr auto abort_try = std::chrono::milliseconds{1000};
inline constexpr auto abort_pause = std::chrono::milliseconds{100};

// Thread-compatible. `Engine` outlives the worker pool.
template <upstream::model_engine Engine>
class engine_calls {
public:
    using events = mailbox<request::event>;

    engine_calls(Engine& client, std::shared_ptr<events> results)
        : engine(&client), box(std::move(results)) {}

    // Sends a prefill, unless `send_before` has passed when its fiber runs.
    auto prefill(base::endpoint const& address, upstream::completion_call call,
                 base::time_point send_before, base::time_point deadline) -> void {
        auto handle = this->open_handle(call.attempt, upstream::call_role::prefill);
        start([engine = this->engine, box = this->box, address, call = std::move(call), send_before,
               deadline, handle] {
            run_prefill(*engine, *box, address, call, send_before, deadline, *handle);
        });
    }

    // Streams a decode, unless `send_before` has passed when its fiber runs.
    auto decode(base::endpoint const& address, upstream::decode_call call,
                base::time_point send_before, base::time_point deadline) -> void {
        auto handle = this->open_handle(call.call.attempt, upstream::call_role::decode);
        start([engine = this->engine, box = this->box, address, call = std::move(call), send_before,
               deadline, handle] {
            run_decode(*engine, *box, address, call, send_before, deadline, *handle);
        });
    }

    // Ends a call here and aborts it at its engine, in as many tries as fit before `deadline`.
    auto cancel(base::endpoint const& address, cell::attempt const& attempt,
                upstream::call_role role, base::time_point deadline) -> void {
        auto const found = this->handles.find({attempt.number, role});
        if (found != this->handles.end()) {
            found->second->cancelled = true;
            if (found->second->stream != nullptr) {
                found->second->stream->close();
            }
        }
        start([engine = this->engine, box = this->box, address, attempt, role, deadline] {
            run_abort(*engine, *box, address, attempt, role, deadline);
        });
    }

private:
    // Shared by a call's fiber and the request's.
    struct call_handle {
        bool cancelled = false;
        // Set while the fiber reads the answer.
        typename Engine::stream* stream = nullptr;
    };

    template <typename Body>
    static auto start(Body body) -> void {
        boost::fibers::fiber{std::move(body)}.detach();
    }

    auto open_handle(cell::attempt const& attempt, upstream::call_role role)
        -> std::shared_ptr<call_handle> {
        auto handle = std::make_shared<call_handle>();
        this->handles[{attempt.number, role}] = handle;
        return handle;
    }

    static auto may_send(call_handle const& handle, base::time_point send_before) -> bool {
        return !handle.cancelled && base::monotonic_clock::now() < send_before;
    }

    static auto run_prefill(Engine& engine, events& box, base::endpoint const& address,
                            upstream::completion_call const& call, base::time_point send_before,
                            base::time_point deadline, call_handle const& handle) -> void {
        if (!may_send(handle, send_before)) {
            box.push(request::prefill_failed{call.attempt, upstream::send_state::not_sent});
            return;
        }
        auto const answer = engine.prefill(address, call, deadline);
        if (auto const* const failure = base::failure_of(answer)) {
            box.push(request::prefill_failed{call.attempt, failure->send_state});
            return;
        }
        auto const& done = base::value_of(answer);
        if (done.attempt != call.attempt) {
            // The answer to another request: ours will not come on this call.
            box.push(
                request::prefill_failed{call.attempt, upstream::send_state::may_have_been_sent});
            return;
        }
        box.push(request::prefill_done{done.attempt, done.transfer});
    }

    static auto run_decode(Engine& engine, events& box, base::endpoint const& address,
                           upstream::decode_call const& call, base::time_point send_before,
                           base::time_point deadline, call_handle& handle) -> void {
        auto const& attempt = call.call.attempt;
        if (!may_send(handle, send_before)) {
            box.push(request::decode_failed{attempt, upstream::send_state::not_sent});
            return;
        }
        auto opened = engine.decode(address, call, deadline);
        if (auto const* const failure = base::failure_of(opened)) {
            push_failure(box, attempt, *failure);
            return;
        }
        auto stream = base::take_value(std::move(opened));
        if (handle.cancelled) {
            return;
        }
        handle.stream = &stream;
        while (pass_on_next(box, attempt, stream, deadline)) {
        }
        handle.stream = nullptr;
    }

    // Passes the next part on; false after the last.
    static auto pass_on_next(events& box, cell::attempt const& attempt,
                             typename Engine::stream& stream, base::time_point deadline) -> bool {
        auto const item = stream.next(deadline);
        if (auto const* const failure = base::failure_of(item)) {
            push_failure(box, attempt, *failure);
            return false;
        }
        if (auto const* const part = std::get_if<upstream::answer_part>(&base::value_of(item))) {
            return pass_on_part(box, attempt, *part);
        }
        auto const* const error = std::get_if<upstream::engine_error>(&base::value_of(item));
        if (error != nullptr && *error == upstream::engine_error::transfer_stalled) {
            box.push(request::transfer_stalled{attempt});
            return false;
        }
        // An error, or an end mark before any part ended the answer.
        box.push(request::decode_failed{attempt, upstream::send_state::may_have_been_sent});
        return false;
    }

    static auto pass_on_part(events& box, cell::attempt const& attempt,
                             upstream::answer_part const& part) -> bool {
        if (part.attempt != attempt) {
            // Another request's, or an earlier attempt's.
            return true;
        }
        if (part.count.value > 0) {
            box.push(request::token_chunk{part.attempt, part.offset, part.count, part.text});
        }
        if (part.finish) {
            box.push(
                request::decode_finished{part.attempt, *part.finish, part.offset + part.count});
            return false;
        }
        return true;
    }

    static auto push_failure(events& box, cell::attempt const& attempt,
                             upstream::call_failure const& failure) -> void {
        if (failure.kind == upstream::call_failure_kind::transfer_stalled) {
            box.push(request::transfer_stalled{attempt});
            return;
        }
        box.push(request::decode_failed{attempt, failure.send_state});
    }

    static auto run_abort(Engine& engine, events& box, base::endpoint const& address,
                          cell::attempt const& attempt, upstream::call_role role,
                          base::time_point deadline) -> void {
        while (base::monotonic_clock::now() < deadline) {
            auto const until = std::min(deadline, base::monotonic_clock::now() + abort_try);
            if (engine.abort(address, attempt, until)) {
                box.push(request::cancel_confirmed{attempt, role});
                return;
            }
            runtime::sleep_until(base::monotonic_clock::now() + abort_pause);
        }
    }

    Engine* engine;
    std::shared_ptr<events> box;
    std::map<std::pair<base::attempt_number, upstream::call_role>, std::shared_ptr<call_handle>>
        handles;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_CALLS_H_

// Serves completions requests, each with a fiber that drives its state machine.
//
// `model_entry` is the HTTP handler. It parses the request, creates a mailbox for its events, and
// executes the machine's commands until nothing is held at engines or cells. Work that remains
// after the answer, such as a cancel that an engine has yet to confirm, continues in a separate
// fiber, so that the caller's connection is free.
//
//   auto const dependencies = model_entry_dependencies{
//       access, documents, engine, registry, budgets, telemetry_sinks{traces, metrics}};
//   auto entry = model_entry{dependencies};
//   entry.handle(request, responder);

#ifndef LINNETLANE_DAEMON_MODEL_ENTRY_H_
#define LINNETLANE_DAEMON_MODEL_ENTRY_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/fiber/fiber.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/daemon/entry_answer.h"
#include "linnetlane/daemon/entry_calls.h"
#include "linnetlane/daemon/entry_concepts.h"
#include "linnetlane/daemon/entry_mailbox.h"
#include "linnetlane/daemon/entry_observer.h"
#include "linnetlane/daemon/entry_registry.h"
#include "linnetlane/daemon/entry_request.h"
#include "linnetlane/daemon/entry_spec.h"
#include "linnetlane/request/state_machine.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::daemon {

// Shared by all completions requests of a host. All members must outlive the worker pool.
template <cell_access Access, document_source Documents, upstream::model_engine Engine>
struct model_entry_dependencies {
    Access& access;
    Documents const& documents;
    Engine& engine;
    request_registry& registry;
    retry_budgets& budgets;
    telemetry_sinks telemetry;
};

// One request in flight. Used on a single worker.
template <cell_access Access, document_source Documents, upstream::model_engine Engine>
class model_request
    : public std::enable_shared_from_this<model_request<Access, Documents, Engine>> {
public:
    using dependencies = model_entry_dependencies<Access, Documents, Engine>;

    model_request(dependencies const& shared_dependencies, completion_request parsed_completion,
                  model_plan planned, std::string body, runtime::http_responder& connection,
                  base::time_point arrived)
        : shared(shared_dependencies),
          completion(std::move(parsed_completion)),
          plan(std::move(planned)),
          caller_body(std::move(body)),
          inbox(std::make_shared<mailbox<request::event>>()),
          machine(this->plan.spec, this->plan.timeouts,
                  shared_dependencies.budgets.of(this->completion.service)),
          calls(shared_dependencies.engine, this->inbox),
          answer(completion_answer{
              connection, answer_head{this->plan.spec.id, this->completion.service,
                                      this->completion.prompt_tokens, this->completion.stream}}),
          observer(shared_dependencies.telemetry, this->plan,
                   continue_trace(this->completion.trace, this->plan.spec.id), arrived) {}

    // Serves the request until the caller's response is complete.
    auto run(runtime::http_responder& responder) -> void {
        auto const end = [inbox = this->inbox] { inbox->push(request::shutdown{}); };
        if (!this->shared.registry.add(this->plan.spec.id, end)) {
            auto const now = base::monotonic_clock::now();
            send_refusal(responder, make_shutdown_refusal(now), now);
            return;
        }
        auto const sink = [inbox = this->inbox](cell_answer const& received) {
            inbox->push(to_event(received));
        };
        this->shared.access.open(this->completion.service, this->plan.spec.id, sink);
        responder.on_client_disconnect(
            [inbox = this->inbox] { inbox->push(request::caller_gone{}); });
        this->execute(this->machine.start(base::monotonic_clock::now()));
        while (!this->machine.ended()) {
            this->step();
        }
        this->answer.reset();
        this->drain();
    }

private:
    // Waits for the next event or deadline and applies it to the state machine.
    auto step() -> void {
        auto next_event = this->inbox->pop(this->machine.wake_at());
        auto const event = std::move(next_event).value_or(request::event{request::tick{}});
        this->execute(this->machine.handle(event, base::monotonic_clock::now()));
    }

    // Handles what remains after the response; in a separate fiber unless nothing remains.
    auto drain() -> void {
        if (this->machine.drained()) {
            this->close();
            return;
        }
        boost::fibers::fiber{[self = this->shared_from_this()] {
            while (!self->machine.drained()) {
                self->step();
            }
            self->close();
        }}.detach();
    }

    auto close() -> void {
        this->observer.observe_end(base::monotonic_clock::now());
        this->shared.access.close(this->plan.spec.id);
        this->shared.registry.remove(this->plan.spec.id);
    }

    auto execute(request::commands const& commands) -> void {
        for (auto const& command : commands) {
            this->observer.observe(command, base::monotonic_clock::now());
            std::visit([this](auto const& what) { this->perform(what); }, command);
        }
    }

    auto perform(request::send_acquire const& command) -> void {
        this->shared.access.acquire(this->completion.service, command.acquire);
    }

    auto perform(request::start_prefill const& command) -> void {
        auto const address = this->address_of(command.upstream);
        if (!address) {
            this->inbox->push(
                request::prefill_failed{command.attempt, upstream::send_state::not_sent});
            return;
        }
        this->calls.prefill(*address, this->call_of(command.attempt), command.grant_deadline,
                            this->plan.spec.answer_deadline);
    }

    auto perform(request::start_decode const& command) -> void {
        auto const address = this->address_of(command.upstream);
        if (!address) {
            this->inbox->push(
                request::decode_failed{command.attempt, upstream::send_state::not_sent});
            return;
        }
        auto call = upstream::decode_call{};
        call.call = this->call_of(command.attempt);
        call.transfer = command.transfer;
        call.output_bound = this->plan.spec.output_bound;
        this->calls.decode(*address, std::move(call), command.grant_deadline,
                           this->plan.spec.answer_deadline);
    }

    auto perform(request::cancel_call const& command) -> void {
        auto const address = this->address_of(command.upstream);
        if (address) {
            auto const until = base::monotonic_clock::now() + this->plan.timeouts.cancel;
            this->calls.cancel(*address, command.attempt, command.role, until);
        }
    }

    auto perform(request::deliver const& command) -> void {
        this->delivered_text.append(command.text);
        this->check_reached_caller(
            this->answer->deliver(command.text, command.offset, command.count));
    }

    auto perform(request::finish_answer const& command) -> void {
        this->check_reached_caller(this->answer->finish(command.reason));
    }

    auto perform(request::refuse_caller const& command) -> void {
        this->check_reached_caller(
            this->answer->refuse(command.refusal, base::monotonic_clock::now()));
    }

    auto perform(request::cut_answer const& command) -> void {
        this->check_reached_caller(
            this->answer->cut(command.refusal, base::monotonic_clock::now()));
    }

    auto perform(request::release_attempt const& command) -> void {
        this->shared.access.release(command.release);
    }

    auto perform(request::report_progress const& command) -> void {
        this->shared.access.progress(command.renewal);
    }

    auto check_reached_caller(bool reached_caller) -> void {
        if (!reached_caller) {
            this->inbox->push(request::caller_gone{});
        }
    }

    // Prefers the newest document; an upstream that was removed from it may still serve this
    // request.
    [[nodiscard]] auto address_of(base::upstream_id const& id) const
        -> std::optional<base::endpoint> {
        auto const newest = this->shared.documents.find(this->completion.service);
        auto const address = newest ? find_address(*newest, id) : std::nullopt;
        return address ? address : find_address(*this->plan.document, id);
    }

    [[nodiscard]] auto call_of(cell::attempt const& attempt) const -> upstream::completion_call {
        auto call = upstream::completion_call{};
        call.attempt = attempt;
        call.caller_body = this->caller_body;
        call.priority = this->plan.spec.priority;
        call.resume_from = this->machine.delivered();
        call.delivered_text = this->delivered_text;
        call.traceparent = this->observer.traceparent();
        return call;
    }

    dependencies shared;
    completion_request completion;
    model_plan plan;
    std::string caller_body;
    std::shared_ptr<mailbox<request::event>> inbox;
    request::state_machine machine;
    engine_calls<Engine> calls;
    // Empty once the caller's response is complete; the connection is not used after that.
    std::optional<completion_answer> answer;
    request_observer observer;
    std::string delivered_text;
};

// The HTTP handler of `POST /v1/completions`. Thread-safe.
template <cell_access Access, document_source Documents, upstream::model_engine Engine>
class model_entry {
public:
    using dependencies = model_entry_dependencies<Access, Documents, Engine>;

    explicit model_entry(dependencies const& shared_dependencies) : shared(shared_dependencies) {}

    // Serves one request; returns once the caller's response is complete.
    auto handle(runtime::http_request const& request, runtime::http_responder& responder) -> void {
        auto const now = base::monotonic_clock::now();
        auto parsed = parse_completion(request);
        if (auto const* const failure = base::failure_of(parsed)) {
            send_malformed(responder, describe(*failure));
            return;
        }
        auto completion = base::take_value(std::move(parsed));
        auto planned =
            plan_request(this->shared.documents.find(completion.service), completion, now);
        if (auto const* const refused = base::failure_of(planned)) {
            send_refusal(responder, *refused, now);
            return;
        }
        using request_type = model_request<Access, Documents, Engine>;
        std::make_shared<request_type>(this->shared, std::move(completion),
                                       base::take_value(std::move(planned)), request.body,
                                       responder, now)
            ->run(responder);
    }

private:
    dependencies shared;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_MODEL_ENTRY_H_

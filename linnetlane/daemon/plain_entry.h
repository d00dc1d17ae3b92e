// Serves calls to plain services, each with a fiber that drives its state machine.
//
//   auto const dependencies = plain_entry_dependencies{
//       documents, claims, upstreams, registry, budgets,
//       telemetry_sinks{traces, metrics}, local_data_centre};
//   auto entry = plain_entry{dependencies};
//   entry.handle(request, responder);

#ifndef LINNETLANE_DAEMON_PLAIN_ENTRY_H_
#define LINNETLANE_DAEMON_PLAIN_ENTRY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include <boost/fiber/fiber.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/daemon/entry_answer.h"
#include "linnetlane/daemon/entry_concepts.h"
#include "linnetlane/daemon/entry_mailbox.h"
#include "linnetlane/daemon/entry_observer.h"
#include "linnetlane/daemon/entry_plain_request.h"
#include "linnetlane/daemon/entry_plain_upstreams.h"
#include "linnetlane/daemon/entry_registry.h"
#include "linnetlane/daemon/entry_request.h"
#include "linnetlane/request/claims.h"
#include "linnetlane/request/plain_state_machine.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::daemon {

// Maximum size of an upstream's answer.
inline constexpr auto max_answer_bytes = std::size_t{64} * 1024 * 1024;

// Shared by all plain calls of a host. All members must outlive the worker pool.
template <document_source Documents, request::claims Claims>
struct plain_entry_dependencies {
    Documents const& documents;
    Claims& claims;
    plain_upstreams& upstreams;
    request_registry& registry;
    retry_budgets& budgets;
    telemetry_sinks telemetry;
    base::data_centre_id local_data_centre;
};

// One try to send a call. Shared by its fiber and that of the call, which run on one worker.
struct plain_try {
    base::upstream_id upstream;
    bool dropped = false;
    // Set while the fiber reads the answer.
    runtime::http_stream* stream = nullptr;
    std::optional<runtime::http_response> answer;
};

// One call in flight. Used on a single worker.
template <document_source Documents, request::claims Claims>
class plain_request : public std::enable_shared_from_this<plain_request<Documents, Claims>> {
public:
    using dependencies = plain_entry_dependencies<Documents, Claims>;

    plain_request(dependencies const& shared_dependencies, plain_plan planned,
                  std::optional<telemetry::trace_context> const& parent, base::time_point arrived)
        : shared(shared_dependencies),
          plan(std::move(planned)),
          inbox(std::make_shared<mailbox<request::plain_event>>()),
          machine(this->plan.spec, shared_dependencies.budgets.of(this->plan.document->id)),
          span(shared_dependencies.telemetry.traces.start(continue_trace(parent, this->plan.id),
                                                          "call", telemetry::span_kind::server,
                                                          arrived)) {
        this->span.add(this->plan.id);
        this->span.add(this->plan.document->id);
        this->span.add(this->plan.caller);
        this->plan.call.fields.add("traceparent",
                                   telemetry::format_traceparent(this->span.child_context()));
    }

    // Serves the call until the caller's response is complete.
    auto run(runtime::http_responder& connection) -> void {
        auto const end = [inbox = this->inbox] { inbox->push(request::plain_shutdown{}); };
        if (!this->shared.registry.add(this->plan.id, end)) {
            auto const now = base::monotonic_clock::now();
            send_refusal(connection, make_shutdown_refusal(now), now);
            return;
        }
        this->responder = &connection;
        connection.on_client_disconnect(
            [inbox = this->inbox] { inbox->push(request::plain_caller_gone{}); });
        this->execute(this->machine.start(base::monotonic_clock::now()));
        while (!this->machine.ended()) {
            this->step();
        }
        this->responder = nullptr;
        boost::fibers::fiber{[self = this->shared_from_this()] { self->drain(); }}.detach();
    }

private:
    // Waits for the next event or deadline and applies it to the state machine.
    auto step() -> void {
        auto next_event = this->inbox->pop(this->machine.wake_at());
        auto const event =
            std::move(next_event).value_or(request::plain_event{request::plain_tick{}});
        this->execute(this->machine.handle(event, base::monotonic_clock::now()));
    }

    // Completes the remaining work after the caller's response.
    auto drain() -> void {
        while (!this->machine.drained()) {
            this->step();
        }
        if (this->settlement) {
            this->record_outcome(*this->settlement);
        }
        this->shared.telemetry.traces.finish(std::move(this->span), this->status,
                                             base::monotonic_clock::now());
        this->shared.registry.remove(this->plan.id);
    }

    auto record_outcome(request::settle_claim const& claim) -> void {
        auto answer = std::optional<request::stored_answer>{};
        if (claim.state == request::claim_state::answered) {
            answer = to_stored(*this->tries.at(claim.number)->answer);
        }
        this->shared.claims.settle(this->plan.document->id, *this->plan.key, this->plan.id,
                                   claim.state, std::move(answer));
    }

    auto execute(request::plain_commands const& commands) -> void {
        for (auto const& command : commands) {
            std::visit([this](auto const& what) { this->perform(what); }, command);
        }
    }

    auto perform(request::make_claim const& /*command*/) -> void {
        boost::fibers::fiber{[self = this->shared_from_this()] {
            auto answer = self->shared.claims.claim(self->plan.document->id, *self->plan.key,
                                                    self->plan.id, self->plan.spec.deadline);
            std::visit([&](auto const& received) { self->inbox->push(received); }, answer);
        }}.detach();
    }

    auto perform(request::send_call const& command) -> void {
        auto const now = base::monotonic_clock::now();
        auto const& newest = this->shared.documents.find(this->plan.document->id);
        auto const& document = newest ? *newest : *this->plan.document;
        auto const chosen = this->shared.upstreams.choose(document, this->shared.local_data_centre,
                                                          command.avoid, make_random(), now);
        if (!chosen) {
            this->inbox->push(request::no_upstream{command.number});
            return;
        }
        auto attempt = std::make_shared<plain_try>();
        attempt->upstream = chosen->id;
        this->tries[command.number] = attempt;
        this->span.add(chosen->id);
        boost::fibers::fiber{[self = this->shared_from_this(), attempt, address = chosen->address,
                              command] {
            self->call(*attempt, address, command);
        }}.detach();
    }

    auto perform(request::drop_call const& command) -> void {
        auto const found = this->tries.find(command.number);
        if (found == this->tries.end()) {
            return;
        }
        found->second->dropped = true;
        if (found->second->stream != nullptr) {
            found->second->stream->close();
        }
    }

    auto perform(request::forward_answer const& command) -> void {
        this->status = telemetry::span_status::ok;
        this->responder->send(remove_connection_fields(*this->tries.at(command.number)->answer));
    }

    auto perform(request::replay_answer const& command) -> void {
        this->status = telemetry::span_status::ok;
        this->responder->send(from_stored(command.answer));
    }

    auto perform(request::refuse_plain const& command) -> void {
        this->status = telemetry::span_status::error;
        this->shared.telemetry.metrics.of(this->plan.document->id)
            .count_refused(command.refusal.type);
        send_refusal(*this->responder, command.refusal, base::monotonic_clock::now());
    }

    auto perform(request::settle_claim const& command) -> void { this->settlement = command; }

    // Makes one try and pushes its outcome.
    auto call(plain_try& attempt, base::endpoint const& address, request::send_call const& command)
        -> void {
        auto reach = upstream::send_state::not_sent;
        if (!attempt.dropped) {
            this->shared.upstreams.record_start(attempt.upstream);
            reach = this->exchange(attempt, address, command.fresh_connection);
            this->shared.upstreams.record_end(attempt.upstream, result_of(attempt),
                                              base::monotonic_clock::now());
        }
        if (attempt.answer) {
            this->inbox->push(request::call_answered{command.number});
        } else {
            this->inbox->push(request::call_failed{command.number, attempt.upstream, reach});
        }
    }

    static auto result_of(plain_try const& attempt) -> call_result {
        if (attempt.answer) {
            return call_result::answered;
        }
        return attempt.dropped ? call_result::dropped : call_result::failed;
    }

    // Sends the call and reads its answer into `attempt`. Returns whether any of it may have been
    // sent.
    auto exchange(plain_try& attempt, base::endpoint const& address, bool fresh)
        -> upstream::send_state {
        auto const use = fresh ? runtime::connection_use::fresh : runtime::connection_use::pooled;
        auto const deadline = this->plan.spec.deadline;
        auto opened = runtime::open_stream(address, this->plan.call, use, deadline);
        if (auto const* const failure = base::failure_of(opened)) {
            auto const none_sent = failure->send_state == runtime::send_state::not_sent;
            return none_sent ? upstream::send_state::not_sent
                             : upstream::send_state::may_have_been_sent;
        }
        auto stream = base::take_value(std::move(opened));
        attempt.stream = &stream;
        auto body = stream.read_all(max_answer_bytes, deadline);
        attempt.stream = nullptr;
        if (base::succeeded(body)) {
            attempt.answer = runtime::http_response{stream.status(), stream.fields(),
                                                    base::take_value(std::move(body))};
        }
        return upstream::send_state::may_have_been_sent;
    }

    dependencies shared;
    plain_plan plan;
    std::shared_ptr<mailbox<request::plain_event>> inbox;
    request::plain_state_machine machine;
    telemetry::span span;
    telemetry::span_status status = telemetry::span_status::unset;
    // Null before the call starts and once the caller's response is complete.
    runtime::http_responder* responder = nullptr;
    std::map<request::try_number, std::shared_ptr<plain_try>> tries;
    std::optional<request::settle_claim> settlement;
};

// The HTTP handler of plain services' routes. Thread-safe.
template <document_source Documents, request::claims Claims>
class plain_entry {
public:
    using dependencies = plain_entry_dependencies<Documents, Claims>;

    explicit plain_entry(dependencies const& shared_dependencies) : shared(shared_dependencies) {}

    // Serves one call; returns once the caller's response is complete.
    auto handle(runtime::http_request const& request, runtime::http_responder& responder) -> void {
        auto const now = base::monotonic_clock::now();
        auto document = this->shared.documents.find_route(path_of(request.target));
        auto planned = plan_plain(std::move(document), request, now);
        if (auto const* const refused = base::failure_of(planned)) {
            send_refusal(responder, *refused, now);
            return;
        }
        auto const header = request.fields.find("traceparent");
        auto const trace = header ? telemetry::parse_traceparent(*header) : std::nullopt;
        using request_type = plain_request<Documents, Claims>;
        std::make_shared<request_type>(this->shared, base::take_value(std::move(planned)), trace,
                                       now)
            ->run(responder);
    }

private:
    dependencies shared;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_PLAIN_ENTRY_H_

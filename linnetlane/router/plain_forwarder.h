// Forwards one request to a plain service and its whole answer back.

#ifndef LINNETLANE_ROUTER_PLAIN_FORWARDER_H_
#define LINNETLANE_ROUTER_PLAIN_FORWARDER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "linnetlane/router/request_context.h"
#include "linnetlane/router/stream_relay.h"
#include "linnetlane/routing/retry_after.h"

namespace linnetlane::router {

template <router_wire Wire>
class plain_forward {
public:
    // Answers are taken in whole before they go to the caller, so that a broken one can be asked
    // for again; longer ones than this are not expected of plain services.
    static constexpr auto most_answer_bytes = std::size_t{8} * 1024 * 1024;
    // Sends beyond the route's attempts, for tries that are known not to have run.
    static constexpr auto extra_sends = std::size_t{2};

    explicit plain_forward(request_context const& own_context)
        : context{own_context}, relay{own_context} {}

    auto run() -> request_end {
        if (!this->admitted()) {
            return this->give_up(refusal_reason::overloaded);
        }
        for (;;) {
            if (this->context.cancelled.cancelled()) {
                return request_end{request_outcome::caller_left};
            }
            auto const now = base::monotonic_clock::now();
            if (now >= this->context.answer_by) {
                return this->give_up(refusal_reason::timed_out);
            }
            auto const target = this->next_target(now);
            if (!target) {
                return this->give_up(this->last_reason);
            }
            if (auto const end = this->try_once(*target)) {
                return *end;
            }
        }
    }

private:
    // Keeps the queues of overloaded upstreams short.
    auto admitted() const -> bool {
        auto const now = base::monotonic_clock::now();
        auto const& guard = this->context.state().admission;
        if (guard.admits(this->context.parts.known.draw(), now)) {
            return true;
        }
        this->context.parts.log.write(
            telemetry::log_level::info, "not admitted: queues are long",
            {this->context.caller.id,
             this->context.service,
             {"admitted_percent", static_cast<std::int64_t>(100 * guard.share(now))}});
        return false;
    }

    // The upstream to send to next; none when the request can't be sent again.
    auto next_target(base::time_point now) -> std::optional<routing::upstream_record> {
        auto const runs_left = this->runs < this->context.route.max_attempts;
        auto const sends_left =
            this->sends < this->context.route.max_attempts + extra_sends && runs_left;
        if (!sends_left) {
            return std::nullopt;
        }
        auto& known = this->context.parts.known;
        auto const id = this->context.state().plain.pick(this->tried, known.draw(), now);
        auto const* const record = id ? known.upstreams.find(*id) : nullptr;
        if (record == nullptr) {
            return std::nullopt;
        }
        if (this->arrivals > 0) {
            if (!known.try_retry(this->context.service, now)) {
                return std::nullopt;
            }
            this->context.parts.metrics.count_retry(request_kind::plain);
        }
        return *record;
    }

    // Sends once; the end of the request, or nothing if it may be tried elsewhere.
    auto try_once(routing::upstream_record const& target) -> std::optional<request_end> {
        ++this->sends;
        this->tried.insert(target.id);
        auto& pool = this->context.state().plain;
        pool.started(target.id);
        auto const sent_at = base::monotonic_clock::now();
        auto const terms = send_options{target.id, this->context.answer_by - sent_at};
        auto result = exchange<Wire>(this->context, target.address,
                                     Wire::execute(this->context.caller, terms),
                                     connection_for(this->context.route), this->context.answer_by);
        if (auto const* const failure = std::get_if<exchange_failure_kind>(&result)) {
            return this->after_failure(target, *failure, sent_at);
        }
        ++this->arrivals;
        return this->after_head(target, std::get<opened_answer>(result), sent_at);
    }

    auto after_failure(routing::upstream_record const& target, exchange_failure_kind failure,
                       base::time_point sent_at) -> std::optional<request_end> {
        auto const left = failure == exchange_failure_kind::caller_left;
        this->note(target,
                   left ? routing::exchange_outcome::abandoned
                        : routing::exchange_outcome::transport_failure,
                   sent_at, std::nullopt);
        auto const unsent = failure == exchange_failure_kind::not_sent;
        this->log_try(target,
                      unsent ? telemetry::literal{"not sent"} : telemetry::literal{"no answer"});
        if (left) {
            return request_end{request_outcome::caller_left};
        }
        if (unsent) {
            this->last_reason = refusal_reason::upstreams_unreachable;
            return std::nullopt;
        }
        ++this->arrivals;
        ++this->runs;
        this->may_have_run = true;
        if (failure == exchange_failure_kind::timed_out) {
            return this->give_up(refusal_reason::timed_out);
        }
        return this->repeat_or(refusal_reason::outcome_unknown);
    }

    auto after_head(routing::upstream_record const& target, opened_answer& opened,
                    base::time_point sent_at) -> std::optional<request_end> {
        auto const& head = opened.head;
        if (head.not_run) {
            this->note(target, routing::exchange_outcome::rejected, sent_at, head.load);
            this->log_try(target, head.other_instance
                                      ? telemetry::literal{"another process has the address"}
                                      : telemetry::literal{"upstream has no room"});
            this->last_reason = refusal_reason::overloaded;
            return std::nullopt;
        }
        ++this->runs;
        this->may_have_run = true;
        auto const success = head.status >= 200 && head.status < 300;
        if (success && !head.attested) {
            this->note(target, routing::exchange_outcome::failed_answer, sent_at, head.load);
            this->log_try(target, "answer is not vouched for");
            return this->repeat_or(refusal_reason::outcome_unknown);
        }
        if (success && this->context.route.streams) {
            return this->pass_stream(target, opened, sent_at);
        }
        return this->pass_whole(target, opened, sent_at);
    }

    auto pass_whole(routing::upstream_record const& target, opened_answer& opened,
                    base::time_point sent_at) -> std::optional<request_end> {
        auto body = opened.stream.read_all(most_answer_bytes, this->context.answer_by);
        if (auto const* const failed = base::failure_of(body)) {
            if (this->context.cancelled.cancelled()) {
                this->note(target, routing::exchange_outcome::abandoned, sent_at, std::nullopt);
                return request_end{request_outcome::caller_left};
            }
            this->note(target, routing::exchange_outcome::transport_failure, sent_at, std::nullopt);
            this->log_try(target, "answer broke off");
            return failed->kind == runtime::http_failure_kind::timed_out
                       ? this->give_up(refusal_reason::timed_out)
                       : this->repeat_or(refusal_reason::outcome_unknown);
        }
        auto const failed_there = opened.head.status >= 500;
        this->note(target,
                   failed_there ? routing::exchange_outcome::failed_answer
                                : routing::exchange_outcome::answered,
                   sent_at, opened.head.load);
        auto response =
            runtime::http_response{opened.head.status, Wire::answer_fields(opened.stream.fields()),
                                   base::take_value(std::move(body))};
        if (!failed_there) {
            return this->answer(response);
        }
        this->failed_answer = std::move(response);
        this->log_try(target, "upstream failed the request");
        return this->repeat_or(refusal_reason::outcome_unknown);
    }

    auto pass_stream(routing::upstream_record const& target, opened_answer& opened,
                     base::time_point sent_at) -> std::optional<request_end> {
        auto const ending = this->relay.run(opened);
        auto const whole = ending == relay_ending::complete || ending == relay_ending::caller_left;
        this->note(target,
                   whole ? routing::exchange_outcome::answered
                         : routing::exchange_outcome::transport_failure,
                   sent_at, opened.head.load);
        if (ending == relay_ending::complete) {
            return request_end{request_outcome::answered, this->relay.status()};
        }
        if (ending == relay_ending::caller_left) {
            return request_end{request_outcome::caller_left, this->relay.status()};
        }
        this->context.responder.cut();
        return request_end{request_outcome::cut_off, this->relay.status()};
    }

    // Goes on if the request may run again, or ends it.
    auto repeat_or(refusal_reason reason) -> std::optional<request_end> {
        this->last_reason = reason;
        if (this->context.route.semantics == routing::execution_semantics::idempotent) {
            return std::nullopt;
        }
        return this->give_up(reason);
    }

    auto give_up(refusal_reason reason) -> request_end {
        if (this->failed_answer) {
            return this->answer(*this->failed_answer);
        }
        auto refused = refusal{reason, std::nullopt};
        auto const must_not_promise = this->may_have_run && reason != refusal_reason::timed_out;
        if (must_not_promise) {
            refused.reason = refusal_reason::outcome_unknown;
        } else if (reason != refusal_reason::timed_out) {
            refused.retry_after = routing::retry_after(this->context.route.target_latency,
                                                       this->context.parts.known.draw());
        }
        return refuse<Wire>(this->context, refused);
    }

    auto answer(runtime::http_response const& response) -> request_end {
        auto const sent = this->context.responder.send(response);
        return request_end{sent ? request_outcome::answered : request_outcome::caller_left,
                           response.status};
    }

    auto note(routing::upstream_record const& target, routing::exchange_outcome outcome,
              base::time_point sent_at, std::optional<routing::load_report> load) -> void {
        auto const now = base::monotonic_clock::now();
        this->context.state().plain.ended(target.id, {outcome, now - sent_at, load}, now);
        if (load) {
            this->context.state().admission.note_load(target.id, *load, now);
        }
    }

    auto log_try(routing::upstream_record const& target, telemetry::literal what) const -> void {
        this->context.parts.log.write(
            telemetry::log_level::info, "try ended without an answer",
            {this->context.caller.id,
             this->context.service,
             target.id,
             {"what", what},
             {"tries", static_cast<std::int64_t>(this->sends)},
             {"age", base::monotonic_clock::now() - this->context.arrived}});
    }

    request_context const& context;
    stream_relay<Wire> relay;
    std::set<base::upstream_id> tried;
    std::size_t sends = 0;
    // Sends that reached an upstream.
    std::size_t arrivals = 0;
    // Sends that ran or may have.
    std::size_t runs = 0;
    bool may_have_run = false;
    refusal_reason last_reason = refusal_reason::no_upstream;
    // An upstream's own failure, for the caller if no other upstream does better.
    std::optional<runtime::http_response> failed_answer;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PLAIN_FORWARDER_H_

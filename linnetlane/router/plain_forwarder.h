// Forwards one request to a plain service, which is a service that is not a model engine, and its
// answer to the caller.

#ifndef LINNETLANE_ROUTER_PLAIN_FORWARDER_H_
#define LINNETLANE_ROUTER_PLAIN_FORWARDER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "linnetlane/router/request_context.h"
#include "linnetlane/router/stream_relay.h"
#include "linnetlane/routing/retry_after.h"
#include "linnetlane/runtime/response_memory.h"

namespace linnetlane::router {

// Handles one request. `run` is called once, in a fiber.
template <router_wire Wire>
class plain_forwarder {
public:
    // The limit on the body of an answer. Answers that are not streams are buffered completely
    // before they are forwarded, so that the request can be retried if the answer is interrupted.
    // Plain services aren't expected to send longer ones.
    static constexpr auto max_answer_bytes = std::size_t{8} * 1024 * 1024;
    // Sends allowed beyond the route's `max_attempts`. A send that the upstream is known not to
    // have run doesn't count as an attempt.
    static constexpr auto extra_sends = std::size_t{2};
    // How often a waiting request looks for room: about as often as an upstream ends a request.
    static constexpr auto room_check_interval = std::chrono::milliseconds{20};

    explicit plain_forwarder(request_context const& own_context)
        : context{own_context}, relay{own_context}, required{own_context.required} {}

    // Returns after the caller has been answered or has left.
    auto run() -> request_result {
        for (;;) {
            if (!this->await_room()) {
                return this->give_up(refusal_reason::overloaded);
            }
            if (this->context.cancelled.cancelled()) {
                return request_result{request_outcome::caller_left};
            }
            auto const now = base::monotonic_clock::now();
            if (!this->may_begin(now)) {
                return this->give_up(refusal_reason::leaving);
            }
            if (now >= this->context.answer_by()) {
                return this->give_up(refusal_reason::timed_out);
            }
            if (auto const refused = this->context.quarantine_refusal(now)) {
                return this->give_up(refused->reason);
            }
            if (!this->context.key_is_valid()) {
                return this->give_up(refusal_reason::configuration_too_old);
            }
            auto const target = this->is_isolated(now) ? std::nullopt : this->next_target(now);
            if (!target) {
                if (this->sent_nothing()) {
                    return unsent_request();
                }
                auto const blocked =
                    this->context.state().plain.paused_for(now) > base::duration::zero();
                return this->give_up(blocked && this->sends == 0 ? refusal_reason::overloaded
                                                                 : this->last_reason);
            }
            if (auto const end = this->attempt(*target)) {
                return *end;
            }
        }
    }

private:
    // Waits while every upstream has a full queue, as long as the caller allows. Returns false if
    // the request isn't expected to start in that time. Requests that end for another reason don't
    // wait.
    auto await_room() -> bool {
        auto& state = this->context.state();
        auto& waiting = state.waiting[this->required];
        auto place = std::optional<routing::waiting_requests::place>{};
        auto const leave = [&](bool found_room) {
            if (place) {
                waiting.leave(*place, found_room, base::monotonic_clock::now());
            }
            return found_room;
        };
        for (;;) {
            auto const now = base::monotonic_clock::now();
            auto const ends = this->context.cancelled.cancelled() || !this->may_begin(now) ||
                              now >= this->context.answer_by();
            if (ends) {
                leave(false);
                return true;
            }
            auto const latest_start =
                this->context.answer_by() - state.plain.time_behind_queues(now, this->required);
            if (now >= latest_start) {
                this->log_refusal();
                return leave(false);
            }
            auto const is_next = place ? waiting.is_first(*place) : waiting.size() == 0;
            if (is_next && !state.plain.is_full(now, this->required)) {
                leave(true);
                return true;
            }
            if (!place) {
                place = waiting.enter({1, latest_start}, now);
            }
            if (!place) {
                this->log_refusal();
                return false;
            }
            runtime::sleep_until(now + room_check_interval);
        }
    }

    auto log_refusal() const -> void {
        this->context.host.log.write(
            telemetry::log_level::info, "refused: upstream queues are too long",
            {this->context.caller.id,
             this->context.service,
             {"waiting",
              static_cast<std::int64_t>(this->context.state().waiting[this->required].size())}});
    }

    // Returns whether the request may be sent while this host shuts down. One that has not run is
    // better served by another host.
    [[nodiscard]] auto may_begin(base::time_point now) const -> bool {
        return this->may_have_run || this->context.host.shutdown.admits_work(now);
    }

    // Returns whether further attempts would fail like the last one, because this host reaches no
    // upstream.
    [[nodiscard]] auto is_isolated(base::time_point now) const -> bool {
        return this->sent_nothing() && this->context.is_isolated(now);
    }
    // Returns whether upstreams were tried and none was reached.
    [[nodiscard]] auto sent_nothing() const -> bool {
        return this->sends > 0 && this->possible_deliveries == 0 &&
               this->last_reason == refusal_reason::upstreams_unreachable;
    }

    // Returns the upstream to send to next, or nothing if none is available or no further send is
    // allowed.
    auto next_target(base::time_point now) -> std::optional<routing::upstream_record> {
        auto const may_run = this->runs < this->context.route.max_attempts;
        auto const may_send =
            this->sends < this->context.route.max_attempts + extra_sends && may_run;
        if (!may_send) {
            return std::nullopt;
        }
        auto& view = this->context.host.view;
        auto const id =
            this->context.state().plain.pick(this->tried, view.draw(), now, this->required);
        auto const* const record = id ? view.upstreams.find(*id) : nullptr;
        if (record == nullptr) {
            return std::nullopt;
        }
        if (this->possible_deliveries > 0) {
            if (!view.try_retry(this->context.service, now)) {
                return std::nullopt;
            }
            this->context.host.metrics.count_retry(request_kind::plain);
        }
        return *record;
    }

    // Sends the request once. Returns the result, or nothing if another upstream may be tried.
    auto attempt(routing::upstream_record const& target) -> std::optional<request_result> {
        ++this->sends;
        this->tried.insert(target.id);
        if (auto const bound = this->context.bind_version(target.software)) {
            this->required = bound;
            if (*bound != target.software) {
                // The request has been bound meanwhile.
                this->last_reason = refusal_reason::no_upstream;
                return std::nullopt;
            }
        }
        auto& pool = this->context.state().plain;
        pool.started(target.id);
        auto const sent_at = base::monotonic_clock::now();
        this->context.note_request_to(target.id);
        auto const options = send_options{target.id, this->context.answer_by() - sent_at};
        auto result = exchange_with_upstream<Wire>(
            this->context, target.address,
            Wire::make_execute_request(this->context.caller, options),
            connection_use_for(this->context.route), this->context.answer_by());
        if (auto const* const failure = std::get_if<exchange_failure_kind>(&result)) {
            return this->after_failure(target, *failure, sent_at);
        }
        ++this->possible_deliveries;
        return this->after_head(target, std::get<opened_answer>(result), sent_at);
    }

    auto after_failure(routing::upstream_record const& target, exchange_failure_kind failure,
                       base::time_point sent_at) -> std::optional<request_result> {
        auto const left = failure == exchange_failure_kind::caller_left;
        this->note(target,
                   left ? routing::exchange_outcome::abandoned
                        : routing::exchange_outcome::transport_failure,
                   sent_at, std::nullopt);
        auto const unsent = failure == exchange_failure_kind::not_sent;
        this->log_attempt(
            target, unsent ? telemetry::literal{"not sent"} : telemetry::literal{"no answer"});
        if (left) {
            return request_result{request_outcome::caller_left};
        }
        if (unsent) {
            this->last_reason = refusal_reason::upstreams_unreachable;
            return std::nullopt;
        }
        ++this->possible_deliveries;
        ++this->runs;
        this->may_have_run = true;
        if (failure == exchange_failure_kind::timed_out) {
            return this->give_up(refusal_reason::timed_out);
        }
        if (failure == exchange_failure_kind::unknown) {
            this->note_upstream_ended(target, false);
        }
        return this->retry_or_give_up(refusal_reason::outcome_unknown);
    }

    auto note_upstream_ended(routing::upstream_record const& target, bool answer_began) -> void {
        this->ends_before_answer += answer_began ? 0 : 1;
        this->context.note_upstream_ended(target.id, answer_began);
    }

    auto after_head(routing::upstream_record const& target, opened_answer& opened,
                    base::time_point sent_at) -> std::optional<request_result> {
        auto const& head = opened.head;
        note_announcements(this->context.host, this->context.service, target.id, head);
        if (head.not_run && !arrives_whole(this->context, opened)) {
            return this->after_broken_refusal(target, sent_at);
        }
        if (head.not_run) {
            this->note(target, routing::exchange_outcome::rejected, sent_at, head.load);
            this->log_attempt(
                target,
                head.other_instance
                    ? telemetry::literal{"another process has the address"}
                    : telemetry::literal{"upstream rejected the request without running it"});
            this->last_reason = refusal_reason::overloaded;
            if (routing::has_no_free_slot(head.load)) {
                // It may have room after a wait.
                this->tried.erase(target.id);
            }
            return std::nullopt;
        }
        ++this->runs;
        this->may_have_run = true;
        auto const success = head.status >= 200 && head.status < 300;
        if (success && !head.attested) {
            this->note(target, routing::exchange_outcome::failed_answer, sent_at, head.load);
            this->log_attempt(target, "answer lacks the upstream's attestation");
            return this->retry_or_give_up(refusal_reason::outcome_unknown);
        }
        if (success && this->context.route.streams) {
            return this->relay_stream(target, opened, sent_at);
        }
        return this->forward_whole(target, opened, sent_at);
    }

    auto after_broken_refusal(routing::upstream_record const& target, base::time_point sent_at)
        -> std::optional<request_result> {
        if (this->context.cancelled.cancelled()) {
            this->note(target, routing::exchange_outcome::abandoned, sent_at, std::nullopt);
            return request_result{request_outcome::caller_left};
        }
        ++this->runs;
        this->may_have_run = true;
        this->note(target, routing::exchange_outcome::transport_failure, sent_at, std::nullopt);
        this->log_attempt(target, "refusal is incomplete");
        return this->retry_or_give_up(refusal_reason::outcome_unknown);
    }

    auto forward_whole(routing::upstream_record const& target, opened_answer& opened,
                       base::time_point sent_at) -> std::optional<request_result> {
        auto body = opened.stream.read_all(max_answer_bytes, this->context.answer_by());
        if (auto const* const failed = base::failure_of(body)) {
            if (this->context.cancelled.cancelled()) {
                this->note(target, routing::exchange_outcome::abandoned, sent_at, std::nullopt);
                return request_result{request_outcome::caller_left};
            }
            this->note(target, routing::exchange_outcome::transport_failure, sent_at, std::nullopt);
            this->log_attempt(target, "answer is incomplete");
            log_broken_answer(this->context, target.address, *failed);
            if (this->context.has_timed_out(*failed)) {
                return this->give_up(refusal_reason::timed_out);
            }
            // The caller receives nothing of an answer that isn't whole.
            if (this->context.was_broken_off(*failed)) {
                this->note_upstream_ended(target, false);
            }
            return this->retry_or_give_up(refusal_reason::outcome_unknown);
        }
        auto const failed_there = opened.head.status >= 500;
        if (!failed_there) {
            this->context.note_answer_began();
            this->context.note_answer_complete();
        }
        this->note(target,
                   failed_there ? routing::exchange_outcome::failed_answer
                                : routing::exchange_outcome::answered,
                   sent_at, opened.head.load);
        auto response =
            runtime::http_response{opened.head.status, Wire::answer_fields(opened.stream.fields()),
                                   base::take_value(std::move(body))};
        if (!failed_there) {
            return this->send_answer(response);
        }
        this->failed_answer.emplace(target.address, std::move(response));
        this->log_attempt(target, "upstream answered with a server error");
        return this->retry_or_give_up(refusal_reason::outcome_unknown);
    }

    auto relay_stream(routing::upstream_record const& target, opened_answer& opened,
                      base::time_point sent_at) -> std::optional<request_result> {
        auto const relayed = this->relay.run(opened);
        auto const upstream_succeeded =
            relayed == relay_outcome::complete || relayed == relay_outcome::caller_left;
        this->note(target,
                   upstream_succeeded ? routing::exchange_outcome::answered
                                      : routing::exchange_outcome::transport_failure,
                   sent_at, opened.head.load);
        if (relayed == relay_outcome::complete) {
            return request_result{request_outcome::answered, this->relay.status()};
        }
        if (relayed == relay_outcome::caller_left) {
            return request_result{request_outcome::caller_left, this->relay.status()};
        }
        if (relayed == relay_outcome::interrupted) {
            this->note_upstream_ended(target, this->relay.answer_began());
        }
        this->context.responder.abort();
        return request_result{request_outcome::cut_off, this->relay.status()};
    }

    // Returns nothing if the request may run again; otherwise ends it.
    auto retry_or_give_up(refusal_reason reason) -> std::optional<request_result> {
        this->last_reason = reason;
        auto const may_repeat =
            this->context.route.semantics == routing::execution_semantics::idempotent &&
            this->context.allows_another_upstream(this->ends_before_answer);
        if (may_repeat) {
            return std::nullopt;
        }
        return this->give_up(reason);
    }

    auto give_up(refusal_reason reason) -> request_result {
        if (auto const failed = this->failed_answer ? this->failed_answer->take() : std::nullopt) {
            return this->send_answer(*failed);
        }
        auto refused = refusal{reason, std::nullopt};
        auto const outcome_is_unknown = this->may_have_run && reason != refusal_reason::timed_out;
        if (outcome_is_unknown) {
            refused.reason = refusal_reason::outcome_unknown;
        } else if (auto const kept_away =
                       this->context.quarantine_refusal(base::monotonic_clock::now());
                   kept_away && reason != refusal_reason::timed_out) {
            refused = *kept_away;
        } else if (reason != refusal_reason::timed_out) {
            auto const paused =
                this->context.state().plain.paused_for(base::monotonic_clock::now());
            auto const now = base::monotonic_clock::now();
            auto& state = this->context.state();
            auto const until_room =
                std::max(state.plain.time_behind_queues(now),
                         state.waiting[this->required].time_until_all_had_turns(now));
            refused.retry_after =
                std::max(paused, routing::retry_after(until_room, this->context.answer_by() - now,
                                                      this->context.host.view.draw()));
        }
        return refuse<Wire>(this->context, refused);
    }

    auto send_answer(runtime::http_response const& response) -> request_result {
        auto const sent = this->context.responder.send(response);
        return request_result{sent ? request_outcome::answered : request_outcome::caller_left,
                              response.status};
    }

    auto note(routing::upstream_record const& target, routing::exchange_outcome outcome,
              base::time_point sent_at, std::optional<routing::load_report> load) -> void {
        auto const now = base::monotonic_clock::now();
        this->context.state().plain.ended(target.id, {outcome, now - sent_at, load}, now);
    }

    auto log_attempt(routing::upstream_record const& target, telemetry::literal what) const
        -> void {
        this->context.host.log.write(
            telemetry::log_level::info, "attempt failed",
            {this->context.caller.id,
             this->context.service,
             target.id,
             telemetry::field::named("software", target.software),
             {"what", what},
             {"tries", static_cast<std::int64_t>(this->sends)},
             {"age", base::monotonic_clock::now() - this->context.arrived}});
    }

    request_context const& context;
    stream_relay<Wire> relay;
    // The software version of the upstreams that the request may be sent to; nothing if it may be
    // any.
    std::optional<base::software_version> required;
    std::set<base::upstream_id> tried;
    std::size_t sends = 0;
    // Sends that reached or may have reached an upstream.
    std::size_t possible_deliveries = 0;
    // Sends after which the upstream ran or may have run the request.
    std::size_t runs = 0;
    // Sends that the upstream broke off before an answer.
    std::size_t ends_before_answer = 0;
    bool may_have_run = false;
    refusal_reason last_reason = refusal_reason::no_upstream;
    // The failed answer of an upstream, which is forwarded if no other upstream succeeds.
    std::optional<runtime::kept_response> failed_answer;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PLAIN_FORWARDER_H_

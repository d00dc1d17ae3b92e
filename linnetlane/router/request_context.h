// The state and the helper functions that are used to forward one request.

#ifndef LINNETLANE_ROUTER_REQUEST_CONTEXT_H_
#define LINNETLANE_ROUTER_REQUEST_CONTEXT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/cancellation.h"
#include "linnetlane/router/host_shutdown.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/request_authentication.h"
#include "linnetlane/router/router_metrics.h"
#include "linnetlane/router/routing_view.h"
#include "linnetlane/router/settings.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/telemetry/log.h"

namespace linnetlane::router {

// The state that all requests of a host share. Must outlive them.
struct host_context {
    runtime::worker_pool& pool;
    routing_view& view;
    router_metrics& metrics;
    telemetry::event_log const& log;
    router_settings const& settings;
    host_shutdown const& shutdown;
};

// How long after a limit was named an answer without one counts as older than it.
inline constexpr auto rate_limit_settling = std::chrono::milliseconds{300};

// Records the limit that an upstream names for the requests of all hosts together, or that it names
// none any more. Only answers to callers' requests tell that it names none.
inline auto note_rate_limit(host_context const& host, base::service_id const& service,
                            base::upstream_id const& from, upstream_answer const& answer) -> void {
    auto const now = base::monotonic_clock::now();
    auto const key = routing::fact_key{routing::fact_kind::upstream_limit, from.value, {}};
    auto const known = host.view.facts.find(key, now);
    auto const was_limited = known && known->value >= 0;
    if (answer.other_instance || (!answer.rate_limit && !was_limited)) {
        return;
    }
    if (answer.rate_limit) {
        if (!was_limited || known->value != *answer.rate_limit) {
            constexpr auto thousandths = 1000.0;
            host.log.write(telemetry::log_level::info, "upstream names a limit",
                           {from,
                            service,
                            {"requests_per_1000_s",
                             static_cast<std::int64_t>(thousandths * *answer.rate_limit)}});
        }
        host.view.learn({{key, *answer.rate_limit, now}}, now);
    } else if (answer.attested && known->observed_at + rate_limit_settling <= now) {
        host.log.write(telemetry::log_level::info, "upstream names no limit any more",
                       {from, service});
        host.view.learn({{key, routing::no_limit, now}}, now);
    }
}

// Records what an upstream's answer says of the upstream itself: that it leaves, wants a pause,
// takes a limited rate of requests, or works at another pace than usual.
inline auto note_announcements(host_context const& host, base::service_id const& service,
                               base::upstream_id const& from, upstream_answer const& answer)
    -> void {
    note_rate_limit(host, service, from, answer);
    if (answer.load && answer.load->pace) {
        host.metrics.observe_pace(*answer.load->pace);
    }
    if (answer.leaving && host.view.note_leaving(from)) {
        host.log.write(telemetry::log_level::info, "upstream says that it leaves", {from, service});
    }
    if (answer.pause) {
        auto const now = base::monotonic_clock::now();
        auto const until = now + *answer.pause;
        auto& state = host.view.service(service);
        state.plain.note_pause(from, until, now);
        state.generation.note_pause(from, until, now);
        host.log.write(telemetry::log_level::info, "upstream asks for a pause",
                       {from, service, {"pause", *answer.pause}});
    }
}

// What was known of the configuration that decided a request, at that moment.
struct configuration_proof {
    // The time since it was known to be the newest one; nothing if it never was.
    std::optional<base::duration> age;
    // The host that stated the proof; empty if it was the registry.
    base::host_id told_by;
};

// One request and its environment. Lives until the request ends.
struct request_context {
    host_context host;
    runtime::http_responder& responder;
    caller_request const& caller;
    // Keeps `route` alive.
    std::shared_ptr<routing::configuration const> configuration;
    routing::route const& route;
    base::service_id service;
    base::time_point arrived;
    // The earlier of the limits of the caller and the route.
    base::time_point deadline;
    cancellation& cancelled;
    // The software version of the upstreams that the request may be sent to: the one that began the
    // stream which it resumes, or that another host has bound it to. Nothing if it may be any.
    std::optional<base::software_version> required;
    // The caller has received a part of the stream.
    bool resumes = false;
    // Another host sent the request, so that it is not sent on to a third one.
    bool from_peer = false;
    // What the quarantine knows the request by.
    routing::request_subjects subjects = {};
    configuration_proof proof = {};
    // The upstreams that the request was sent to.
    mutable std::set<base::endpoint> sent_to = {};

    [[nodiscard]] auto state() const -> service_state& {
        return this->host.view.service(this->service);
    }
    // Returns the deadline of the answer, which a shutdown of this host brings forward.
    [[nodiscard]] auto answer_by() const -> base::time_point {
        return this->host.shutdown.limited(this->deadline);
    }
    // Returns whether an exchange failed since the request has no more time.
    [[nodiscard]] auto has_timed_out(runtime::http_failure const& failed) const -> bool {
        return failed.kind == runtime::http_failure_kind::timed_out || this->cancelled.expired();
    }
    // Returns whether an exchange failed since the other side closed the connection.
    [[nodiscard]] auto was_broken_off(runtime::http_failure const& failed) const -> bool {
        return failed.kind == runtime::http_failure_kind::closed && !this->cancelled.cancelled() &&
               !this->cancelled.expired();
    }
    // Binds the request to a software version before it is sent to an upstream of it. Returns the
    // version that all upstreams must have which the request is sent to; nothing if they may
    // differ, since the caller can't resume the answer.
    auto bind_version(base::software_version const& software) const
        -> std::optional<base::software_version> {
        if (!this->route.resumable) {
            return std::nullopt;
        }
        return this->host.view.origins.bind({this->caller.id, software},
                                            base::monotonic_clock::now());
    }
    // Returns whether this host reaches no upstream, or none of the service.
    [[nodiscard]] auto is_isolated(base::time_point now) const -> bool {
        return this->host.view.isolation.is_isolated(now) ||
               this->state().isolation.is_isolated(now);
    }
    // Returns the account that the request runs for, or null if there are no accounts.
    [[nodiscard]] auto account() const -> routing::client_account const* {
        return this->caller.account ? this->configuration->accounts.find(*this->caller.account)
                                    : nullptr;
    }
    // Returns whether the request may be sent to an upstream as far as its key is concerned, which
    // may have been taken away or moved to another account since the request arrived.
    [[nodiscard]] auto key_is_valid() const -> bool {
        if (freshness_refusal(this->host.settings.accounts, *this->configuration, this->route,
                              this->host.view.freshness)) {
            return false;
        }
        auto const current = this->host.view.routes.current();
        auto const checked = this->configuration->requires_keys && !this->route.open_to_all &&
                             current != this->configuration && current->requires_keys;
        if (!checked) {
            return true;
        }
        auto const* const holder =
            this->caller.key ? current->accounts.find(*this->caller.key) : nullptr;
        return holder != nullptr && holder->id == this->caller.account;
    }
    // Records that a request is sent to an upstream, which counts against its rate limit.
    auto note_request_to(base::upstream_id const& upstream) const -> void {
        this->state().rate_limits.note_sent(upstream, base::monotonic_clock::now());
    }
    // Record the begin and the end of an exchange with an upstream.
    auto note_sent(base::endpoint const& to, base::time_point now) const -> void {
        this->host.view.isolation.note_sent(to, now);
        this->state().isolation.note_sent(to, now);
    }
    // Returns the refusal of a request that is kept away from upstreams, or has a part that is. The
    // caller is told when it may be tried again.
    [[nodiscard]] auto quarantine_refusal(base::time_point now) const -> std::optional<refusal> {
        auto const found = this->host.view.quarantine.find(this->subjects, now);
        if (!found) {
            return std::nullopt;
        }
        return refusal{routing::is_whole_request(found->subject)
                           ? refusal_reason::request_quarantined
                           : refusal_reason::prompt_quarantined,
                       found->until - now};
    }
    // Returns whether a further upstream may be tried after so many have broken off before the
    // answer began. If the request is the cause, a further one would end in the same way.
    [[nodiscard]] static auto allows_another_upstream(std::size_t ends_before_answer) -> bool {
        constexpr auto max_ends = std::size_t{2};
        return ends_before_answer < max_ends;
    }
    // Records that an answer to the prompt began.
    auto note_answer_began() const -> void { this->note_answered(this->subjects.parts); }
    // Records that a whole answer was received.
    auto note_answer_complete() const -> void { this->note_answered({this->subjects.whole}); }
    // Returns the shared parts of the prompt as one name, separated by commas, for the log.
    [[nodiscard]] auto joined_parts() const -> base::prompt_part_id {
        auto joined = base::prompt_part_id{};
        for (auto const& part : this->subjects.parts) {
            joined.value += (joined.value.empty() ? "" : ",") + part.value;
        }
        return joined;
    }
    // Records that an upstream broke off the request, before or after the answer began.
    auto note_upstream_ended(base::upstream_id const& upstream, bool answer_began) const -> void {
        auto const now = base::monotonic_clock::now();
        auto& view = this->host.view;
        this->host.metrics.count_upstream_ended();
        this->host.log.write(telemetry::log_level::info,
                             answer_began
                                 ? telemetry::literal{"upstream broke off the answer"}
                                 : telemetry::literal{"upstream broke off before the answer began"},
                             {this->caller.id, this->service, upstream,
                              telemetry::field::named("subject", this->subjects.whole),
                              telemetry::field::named("prompt_parts", this->joined_parts())});
        auto const suspects =
            answer_began ? std::vector{this->subjects.whole} : this->subjects.all();
        view.learn(view.quarantine.upstream_ended(suspects, upstream, now), now);
    }
    auto note_answer() const -> void {
        this->host.view.isolation.note_answer();
        this->state().isolation.note_answer();
    }
    auto note_no_answer(base::endpoint const& to) const -> void {
        this->host.view.isolation.note_no_answer(to);
        this->state().isolation.note_no_answer(to);
    }
    auto note_abandoned(base::endpoint const& to, base::time_point now) const -> void {
        this->host.view.isolation.note_abandoned(to, now);
        this->state().isolation.note_abandoned(to, now);
    }

private:
    auto note_answered(std::vector<routing::quarantine_subject> const& answered) const -> void {
        auto const now = base::monotonic_clock::now();
        auto& view = this->host.view;
        view.learn(view.quarantine.answered(answered, now), now);
    }
};

// The result of a request, for metrics and the log.
struct request_result {
    request_outcome outcome = request_outcome::answered;
    // The status of the answer to the caller, or 0 if there was none.
    int status = 0;
    std::optional<refusal_reason> refused = std::nullopt;
    std::optional<base::duration> retry_after = std::nullopt;
    // No upstream could be reached, and the request has not run. The caller has not been answered.
    bool unsent = false;
};

// Returns the result of a request that reached no upstream, for which the caller is still to be
// answered.
[[nodiscard]] inline auto unsent_request() -> request_result {
    auto result = request_result{request_outcome::refused, 0};
    result.refused = refusal_reason::upstreams_unreachable;
    result.unsent = true;
    return result;
}

// ---- Exchanges with upstreams ----

enum class exchange_failure_kind {
    // The request was not sent.
    not_sent,
    // The upstream broke off, and the request may have run.
    unknown,
    // What the upstream sent is no answer to the request, which may have run.
    unusable_answer,
    timed_out,
    caller_left,
};

// An answer whose head has been read.
struct opened_answer {
    base::endpoint from;
    runtime::http_stream stream;
    upstream_answer head;
};

// Returns why an answer could not be used, for the log.
[[nodiscard]] inline auto describe(runtime::http_failure_kind kind) -> telemetry::literal {
    switch (kind) {
        case runtime::http_failure_kind::connect_failed:
            return "no connection";
        case runtime::http_failure_kind::timed_out:
            return "timed out";
        case runtime::http_failure_kind::closed:
            return "connection ended";
        case runtime::http_failure_kind::malformed:
            return "malformed";
        case runtime::http_failure_kind::too_large:
            return "too large";
        case runtime::http_failure_kind::no_memory:
            break;
    }
    return "all answers together take too much memory";
}

// Returns whether bytes came that are no answer, as opposed to none.
[[nodiscard]] inline auto is_broken_answer(runtime::http_failure const& failed) -> bool {
    return failed.send_state == runtime::send_state::may_have_been_sent &&
           (failed.kind == runtime::http_failure_kind::malformed ||
            failed.kind == runtime::http_failure_kind::too_large ||
            failed.kind == runtime::http_failure_kind::no_memory);
}

// Logs that what an upstream or another host sent is no answer to the request, unless the caller's
// leaving ended it.
inline auto log_broken_answer(request_context const& context, base::endpoint const& from,
                              runtime::http_failure const& failed) -> void {
    if (context.cancelled.cancelled()) {
        return;
    }
    context.host.log.write(
        telemetry::log_level::info, "answer can't be used",
        {context.caller.id, context.service, from, {"cause", describe(failed.kind)}});
}

// Returns whether the rest of a refusal arrives. What a broken one promises isn't trusted, such as
// that the request has not run.
inline auto arrives_whole(request_context const& context, opened_answer& refusal) -> bool {
    // Refusals are short.
    constexpr auto longest = std::chrono::milliseconds{250};
    // A copy of the refusal may follow it, which the next request must not get.
    refusal.stream.close_after_response();
    auto const body = refusal.stream.read_all(
        static_cast<std::size_t>(max_control_answer.value),
        std::min(context.answer_by(), base::monotonic_clock::now() + longest));
    auto const* const failed = base::failure_of(body);
    if (failed != nullptr) {
        log_broken_answer(context, refusal.from, *failed);
    }
    return failed == nullptr;
}

using exchange_result = std::variant<opened_answer, exchange_failure_kind>;

// The number of answers to other requests that are skipped on a connection before it is abandoned.
inline constexpr auto max_skipped_answers = 3;

// Requests that may run only once use settled connections. A connection that the server resets
// right after accepting it then fails before the request is sent.
inline auto connection_use_for(routing::route const& route) -> runtime::connection_use {
    return route.semantics == routing::execution_semantics::at_most_once
               ? runtime::connection_use::verified
               : runtime::connection_use::pooled;
}

// Sends `message` to `to` and reads the head of the answer. Skips answers to other requests. On a
// connection that carried an earlier request, an answer that names no request may belong to that.
template <router_wire Wire>
auto exchange(request_context const& context, base::endpoint const& to,
              runtime::http_request const& message, runtime::connection_use use,
              base::time_point deadline) -> exchange_result {
    auto const failure = [&](runtime::http_failure const& failed) {
        if (context.cancelled.cancelled()) {
            return exchange_failure_kind::caller_left;
        }
        if (failed.send_state == runtime::send_state::not_sent) {
            return exchange_failure_kind::not_sent;
        }
        if (context.has_timed_out(failed)) {
            return exchange_failure_kind::timed_out;
        }
        switch (failed.kind) {
            case runtime::http_failure_kind::timed_out:
                return exchange_failure_kind::timed_out;
            case runtime::http_failure_kind::malformed:
            case runtime::http_failure_kind::too_large:
            case runtime::http_failure_kind::no_memory:
                log_broken_answer(context, to, failed);
                return exchange_failure_kind::unusable_answer;
            case runtime::http_failure_kind::connect_failed:
            case runtime::http_failure_kind::closed:
                break;
        }
        return exchange_failure_kind::unknown;
    };
    auto opened = runtime::open_stream(to, message, use, deadline, [&](std::function<void()> stop) {
        context.cancelled.attach(std::move(stop));
    });
    if (auto const* failed = base::failure_of(opened)) {
        return failure(*failed);
    }
    auto stream = base::take_value(std::move(opened));
    for (auto skipped = 0; skipped < max_skipped_answers; ++skipped) {
        auto head = Wire::read_answer(stream.status(), stream.fields());
        if (!head.request && stream.reuses_connection()) {
            return exchange_failure_kind::unusable_answer;
        }
        auto const foreign = head.request && !(*head.request == context.caller.id);
        if (!foreign) {
            return opened_answer{to, std::move(stream), std::move(head)};
        }
        auto const next = stream.read_next_response(deadline);
        if (auto const* failed = base::failure_of(next)) {
            return failure(*failed);
        }
    }
    return exchange_failure_kind::unusable_answer;
}

// As `exchange`, with an upstream. Records whether upstreams can be reached.
template <router_wire Wire>
auto exchange_with_upstream(request_context const& context, base::endpoint const& to,
                            runtime::http_request const& message, runtime::connection_use use,
                            base::time_point deadline) -> exchange_result {
    context.note_sent(to, base::monotonic_clock::now());
    // An answer to an earlier attempt at the same upstream would name the same request.
    auto const is_first = context.sent_to.insert(to).second;
    auto result = exchange<Wire>(context, to, message,
                                 is_first ? use : runtime::connection_use::fresh, deadline);
    auto const* const failure = std::get_if<exchange_failure_kind>(&result);
    if (failure == nullptr) {
        context.note_answer();
    } else if (*failure == exchange_failure_kind::caller_left ||
               *failure == exchange_failure_kind::unknown ||
               *failure == exchange_failure_kind::unusable_answer) {
        // An upstream that breaks off what it had received, or answers it badly, was reached.
        context.note_abandoned(to, base::monotonic_clock::now());
    } else {
        context.note_no_answer(to);
    }
    return result;
}

// The timeout of a release. By then the engine has freed the memory by itself.
inline constexpr auto release_timeout = std::chrono::seconds{1};

// Sends a message without waiting for the answer, such as the release of memory.
inline auto send_in_background(host_context const& host, base::endpoint to,
                               runtime::http_request message) -> void {
    host.pool.spawn([&log = host.log, to = std::move(to), message = std::move(message)] {
        auto const sent =
            runtime::fetch(to, message, runtime::connection_use::pooled,
                           base::monotonic_clock::now() + release_timeout, max_control_answer);
        if (base::failure_of(sent) != nullptr) {
            log.write(telemetry::log_level::warning, "release of engine memory got no answer",
                      {to});
        }
    });
}

// ---- Answers to callers ----

// Answers the request with a refusal.
template <router_wire Wire>
auto refuse(request_context const& context, refusal const& refused) -> request_result {
    auto response = Wire::write_refusal(refused, context.caller);
    if (context.from_peer && (refused.reason == refusal_reason::upstreams_unreachable ||
                              refused.reason == refusal_reason::leaving)) {
        // Another host may be able to serve the request.
        mark_forward_refusal(response);
    }
    auto const sent = context.responder.send(response);
    return request_result{sent ? request_outcome::refused : request_outcome::caller_left,
                          response.status, refused.reason, refused.retry_after};
}

enum class relay_outcome { complete, caller_left, interrupted, timed_out };

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REQUEST_CONTEXT_H_

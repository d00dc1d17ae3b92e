// What the forwarding of one request works with.

#ifndef LINNETLANE_ROUTER_REQUEST_CONTEXT_H_
#define LINNETLANE_ROUTER_REQUEST_CONTEXT_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/cancellation.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/router_metrics.h"
#include "linnetlane/router/routing_view.h"
#include "linnetlane/router/settings.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/telemetry/log.h"

namespace linnetlane::router {

// What all requests of a host share. Outlives them.
struct host_parts {
    runtime::worker_pool& pool;
    region& known;
    router_metrics& metrics;
    telemetry::event_log const& log;
    router_settings const& settings;
};

struct request_context {
    host_parts parts;
    runtime::http_responder& responder;
    caller_request const& caller;
    // Keeps `route` alive.
    std::shared_ptr<routing::configuration const> configuration;
    routing::route const& route;
    base::service_id service;
    base::time_point arrived;
    // The end of what the caller and the route allow.
    base::time_point answer_by;
    cancellation& cancelled;

    [[nodiscard]] auto state() const -> service_state& {
        return this->parts.known.service(this->service);
    }
};

// How a request ended, for metrics and the log.
struct request_end {
    request_outcome outcome = request_outcome::answered;
    // Of the answer that the caller got; 0 without one.
    int status = 0;
    std::optional<refusal_reason> refused = std::nullopt;
    std::optional<base::duration> retry_after = std::nullopt;
};

// ---- Exchanges with upstreams ----

enum class exchange_failure_kind {
    // Nothing was sent.
    not_sent,
    // It may have run.
    unknown,
    timed_out,
    caller_left,
};

struct opened_answer {
    runtime::http_stream stream;
    upstream_answer head;
};

using exchange_result = std::variant<opened_answer, exchange_failure_kind>;

// Answers to other requests that are skipped on a connection before it is given up.
inline constexpr auto most_foreign_answers = 3;

// A request that may run only once is best known not to have been sent when a connection fails.
inline auto connection_for(routing::route const& route) -> runtime::connection_use {
    return route.semantics == routing::execution_semantics::at_most_once
               ? runtime::connection_use::settled
               : runtime::connection_use::pooled;
}

// Sends `message` for `context` to `to` and reads the head of the answer to it.
template <router_wire Wire>
auto exchange(request_context const& context, base::endpoint const& to,
              runtime::http_request const& message, runtime::connection_use use,
              base::time_point deadline) -> exchange_result {
    auto const failure = [&](runtime::http_failure const& failed) {
        if (context.cancelled.cancelled()) {
            return exchange_failure_kind::caller_left;
        }
        if (failed.reach == runtime::request_reach::not_sent) {
            return exchange_failure_kind::not_sent;
        }
        return failed.kind == runtime::http_failure_kind::timed_out
                   ? exchange_failure_kind::timed_out
                   : exchange_failure_kind::unknown;
    };
    auto opened = runtime::open_stream(to, message, use, deadline, [&](std::function<void()> stop) {
        context.cancelled.attach(std::move(stop));
    });
    if (auto const* failed = base::failure_of(opened)) {
        return failure(*failed);
    }
    auto stream = base::take_value(std::move(opened));
    for (auto skipped = 0; skipped < most_foreign_answers; ++skipped) {
        auto head = Wire::read_answer(stream.status(), stream.fields());
        auto const foreign = head.request && !(*head.request == context.caller.id);
        if (!foreign) {
            return opened_answer{std::move(stream), std::move(head)};
        }
        auto const next = stream.read_next_answer(deadline);
        if (auto const* failed = base::failure_of(next)) {
            return failure(*failed);
        }
    }
    return exchange_failure_kind::unknown;
}

// After this the engine has freed the memory by itself.
inline constexpr auto release_patience = std::chrono::seconds{1};

// Sends a call that nobody waits for, such as the release of memory.
inline auto send_in_background(host_parts const& parts, base::endpoint to,
                               runtime::http_request message) -> void {
    parts.pool.spawn([&log = parts.log, to = std::move(to), message = std::move(message)] {
        auto const sent = runtime::fetch(to, message, runtime::connection_use::pooled,
                                         base::monotonic_clock::now() + release_patience);
        if (base::failure_of(sent) != nullptr) {
            log.write(telemetry::log_level::warning, "release of engine memory got no answer",
                      {to});
        }
    });
}

// ---- Answers to callers ----

// Refuses the request at once.
template <router_wire Wire>
auto refuse(request_context const& context, refusal const& refused) -> request_end {
    auto const response = Wire::write_refusal(refused, context.caller);
    auto const sent = context.responder.send(response);
    return request_end{sent ? request_outcome::refused : request_outcome::caller_left,
                       response.status, refused.reason, refused.retry_after};
}

enum class relay_ending { complete, caller_left, broke_off, timed_out };

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REQUEST_CONTEXT_H_

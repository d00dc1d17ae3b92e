// One host of the router: its servers, and the fibers that keep its view current.
//
//   auto running = router_host<my_registry, my_wire>{pool, settings, registry, log};
//   running.start();
//   ...
//   running.shut_down([] { std::_Exit(0); });

#ifndef LINNETLANE_ROUTER_HOST_H_
#define LINNETLANE_ROUTER_HOST_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "linnetlane/router/generation_forwarder.h"
#include "linnetlane/router/host_membership.h"
#include "linnetlane/router/plain_forwarder.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::router {

// Lives as long as its process. All of it runs on one worker.
template <router_registry Registry, router_wire Wire>
class router_host {
public:
    // After SIGTERM the balancer needs two checks, a second apart, to send no more connections.
    static constexpr auto balancer_notice = std::chrono::milliseconds{2600};
    // New requests are answered for this long after SIGTERM; the platform expects those that come
    // within three seconds to be answered, and later ones might not end in time.
    static constexpr auto accepts_for = std::chrono::milliseconds{2900};
    // Before the end of the grace time, for the process to end by itself.
    static constexpr auto exit_margin = std::chrono::milliseconds{800};
    static constexpr auto idle_check = std::chrono::milliseconds{100};
    // For a caller that comes before the first configuration.
    static constexpr auto configuration_wait = std::chrono::milliseconds{400};

    router_host(runtime::worker_pool& own_pool, router_settings own_settings, Registry own_registry,
                telemetry::event_log const& own_log, std::uint32_t seed)
        : settings{std::move(own_settings)},
          registry{std::move(own_registry)},
          log{own_log},
          known{this->settings, seed},
          parts{own_pool, this->known, this->metrics, this->log, this->settings},
          configurations{this->registry, this->parts,
                         [this](auto const& taken) { this->apply_limits(taken.limits); }},
          upstreams{this->registry, this->parts,
                    [this](auto const& offered) { this->configurations.take(offered); }},
          membership{this->registry, this->parts} {}

    // Throws `boost::system::system_error` if an address can't be bound.
    auto start() -> void {
        this->callers.emplace(
            this->parts.pool, this->settings.listen.callers, runtime::http_limits{},
            [this](auto const& request, auto& responder) { this->serve(request, responder); });
        this->operators.emplace(this->parts.pool, this->settings.listen.operators,
                                runtime::http_limits{},
                                [this](auto const& request, auto& responder) {
                                    this->serve_operator(request, responder);
                                });
        if (this->settings.listen.peers) {
            this->peers.emplace(this->parts.pool, *this->settings.listen.peers,
                                runtime::http_limits{},
                                [this](auto const& request, auto& responder) {
                                    this->serve_peer(request, responder);
                                });
        }
        this->parts.pool.spawn([this] { this->configurations.run(); });
        this->parts.pool.spawn([this] { this->upstreams.run(); });
        this->parts.pool.spawn([this] { this->upstreams.sweep(); });
        this->parts.pool.spawn([this] { this->membership.run(); });
        this->log.write(
            telemetry::log_level::info, "started",
            {this->settings.listen.callers, telemetry::field::named("host", this->settings.host)});
    }

    // Answers what is under way and calls `ended` then, within the grace time. Thread-safe; a
    // second call changes nothing.
    auto shut_down(std::function<void()> ended) -> void {
        this->parts.pool.spawn([this, ended = std::move(ended)] {
            if (!std::exchange(this->leaving, true)) {
                this->leave(ended);
            }
        });
    }

private:
    auto leave(std::function<void()> const& ended) -> void {
        auto const asked_at = base::monotonic_clock::now();
        this->log.write(telemetry::log_level::info, "shutting down",
                        {{"requests_under_way",
                          static_cast<std::int64_t>(this->callers->requests_under_way())}});
        this->callers->close_after_answers();
        this->known.feed.withdraw();
        this->membership.leave();
        runtime::sleep_until(asked_at + balancer_notice);
        this->callers->stop_accepting();
        runtime::sleep_until(asked_at + accepts_for);
        this->refuse_new = true;
        this->callers->close_idle();
        auto const latest = asked_at + this->settings.leaving.grace - exit_margin;
        while (this->callers->requests_under_way() > 0 && base::monotonic_clock::now() < latest) {
            runtime::sleep_until(base::monotonic_clock::now() + idle_check);
        }
        this->log.write(
            telemetry::log_level::info, "stopped",
            {{"requests_cut_off", static_cast<std::int64_t>(this->callers->requests_under_way())}});
        ended();
    }

    auto apply_limits(routing::caller_limits const& limits) -> void {
        auto applied = runtime::http_limits{};
        applied.header_bytes = limits.header_bytes;
        applied.body_bytes = limits.body_bytes;
        applied.request_arrival = limits.request_arrival;
        applied.idle = limits.idle;
        this->callers->set_limits(applied);
    }

    auto serve_operator(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto response = runtime::http_response{};
        if (Wire::is_readiness_check(request)) {
            response.status = this->known.ready() && !this->leaving ? 200 : 503;
        } else if (request.method == "GET" && request.target == "/metrics") {
            response.fields.add("Content-Type", "text/plain; version=0.0.4");
            response.body = this->metrics.scrape();
        } else {
            response.status = 404;
        }
        // A checker that left gets its answer with its next check.
        static_cast<void>(responder.send(response));
    }

    // A host of the same data centre asks for the changes of the registry.
    auto serve_peer(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const question = decode_question(request.body);
        auto response = runtime::http_response{};
        if (!question) {
            this->log.write(telemetry::log_level::warning, "unreadable question of a host", {});
            response.status = 400;
        } else {
            auto const deadline = base::monotonic_clock::now() + question->wait;
            response.body = encode(this->known.feed.await(*question, deadline));
        }
        // A host that left asks elsewhere.
        static_cast<void>(responder.send(response));
    }

    auto serve(runtime::http_request const& request, runtime::http_responder& responder) -> void {
        auto const arrived = base::monotonic_clock::now();
        auto const caller = Wire::read_caller_request(request);
        auto const configuration = this->known.routes.current();
        if (!this->known.ready()) {
            this->refuse_unrouted(caller, responder, refusal_reason::no_configuration, arrived);
            return;
        }
        if (this->refuse_new) {
            this->refuse_unrouted(caller, responder, refusal_reason::leaving, arrived);
            return;
        }
        auto const* const route = this->known.routes.match(caller.host, caller.forwarded.target);
        if (route == nullptr) {
            this->refuse_unrouted(caller, responder, refusal_reason::no_route, arrived);
            return;
        }
        auto const* const service = routing::choose_target(*route, this->known.draw());
        if (service == nullptr) {
            this->refuse_unrouted(caller, responder, refusal_reason::no_upstream, arrived);
            return;
        }
        auto const allowed = std::min(route->timeout, caller.timeout.value_or(route->timeout));
        auto cancelled = cancellation{};
        responder.on_client_gone([&] { cancelled.cancel(); });
        auto const context = request_context{this->parts, responder, caller,  configuration,
                                             *route,      *service,  arrived, arrived + allowed,
                                             cancelled};
        this->forward(context);
        responder.on_client_gone([] {});
    }

    auto forward(request_context const& context) -> void {
        auto& state = context.state();
        state.retries.note_request(context.arrived);
        auto const generates = context.route.generates && context.caller.size.has_value();
        auto const end = generates ? generation_forward<Wire>{context}.run()
                                   : plain_forward<Wire>{context}.run();
        this->note_end(context, generates ? request_kind::generation : request_kind::plain, end);
    }

    auto note_end(request_context const& context, request_kind kind, request_end const& end)
        -> void {
        auto const took = base::monotonic_clock::now() - context.arrived;
        this->metrics.count_request(kind, end.outcome, took);
        if (end.refused) {
            this->metrics.count_refusal(*end.refused);
        }
        this->log.write(
            telemetry::log_level::info, "request ended",
            {context.caller.id,
             context.service,
             telemetry::field::named("route", context.route.name),
             {"version", static_cast<std::int64_t>(context.configuration->version.value)},
             {"outcome", describe(end)},
             {"status", static_cast<std::int64_t>(end.status)},
             {"come_back_after", end.retry_after.value_or(base::duration::zero())},
             {"took", took}});
    }

    static auto describe(request_end const& end) -> telemetry::literal {
        if (end.refused) {
            return describe(*end.refused);
        }
        switch (end.outcome) {
            case request_outcome::answered:
                return "answered";
            case request_outcome::cut_off:
                return "cut off";
            case request_outcome::caller_left:
                return "caller left";
            case request_outcome::refused:
                break;
        }
        return "refused";
    }

    static auto describe(refusal_reason reason) -> telemetry::literal {
        switch (reason) {
            case refusal_reason::no_configuration:
                return "refused: no configuration";
            case refusal_reason::no_route:
                return "refused: no route";
            case refusal_reason::no_upstream:
                return "refused: no upstream";
            case refusal_reason::overloaded:
                return "refused: no room";
            case refusal_reason::upstreams_unreachable:
                return "refused: upstreams unreachable";
            case refusal_reason::outcome_unknown:
                return "failed: outcome unknown";
            case refusal_reason::timed_out:
                return "failed: timed out";
            case refusal_reason::leaving:
                break;
        }
        return "refused: host is leaving";
    }

    auto refuse_unrouted(caller_request const& caller, runtime::http_responder& responder,
                         refusal_reason reason, base::time_point arrived) -> void {
        auto refused = refusal{reason, std::nullopt};
        if (reason != refusal_reason::no_route) {
            refused.retry_after = configuration_wait;
        }
        auto const response = Wire::write_refusal(refused, caller);
        auto const sent = responder.send(response);
        this->metrics.count_refusal(reason);
        auto const configuration = this->known.routes.current();
        this->log.write(
            telemetry::log_level::info, "request ended",
            {caller.id,
             {"version",
              configuration ? static_cast<std::int64_t>(configuration->version.value) : 0},
             {"outcome", describe(reason)},
             {"status", static_cast<std::int64_t>(response.status)},
             {"caller_left", !sent},
             {"took", base::monotonic_clock::now() - arrived}});
    }

    router_settings settings;
    Registry registry;
    telemetry::event_log const& log;
    region known;
    router_metrics metrics;
    host_parts parts;
    configuration_follower<Registry> configurations;
    upstream_follower<Registry> upstreams;
    host_membership<Registry, Wire> membership;
    std::optional<runtime::http_server> callers;
    std::optional<runtime::http_server> operators;
    std::optional<runtime::http_server> peers;
    bool leaving = false;
    // Requests that come now could not be answered in time.
    bool refuse_new = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_HOST_H_

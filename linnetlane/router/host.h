// One host of the router: its HTTP servers and the fibers that keep its routing view current.
//
//   auto running = router_host<my_registry, my_wire>{pool, settings, registry, log};
//   running.start();
//   ...
//   running.shut_down([] { std::_Exit(0); });

#ifndef LINNETLANE_ROUTER_HOST_H_
#define LINNETLANE_ROUTER_HOST_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "linnetlane/router/account_activity.h"
#include "linnetlane/router/account_page.h"
#include "linnetlane/router/configuration_confirmer.h"
#include "linnetlane/router/fact_publisher.h"
#include "linnetlane/router/generation_forwarder.h"
#include "linnetlane/router/host_membership.h"
#include "linnetlane/router/host_shutdown.h"
#include "linnetlane/router/isolation_watch.h"
#include "linnetlane/router/peer_forwarder.h"
#include "linnetlane/router/plain_forwarder.h"
#include "linnetlane/router/quota_service.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"
#include "linnetlane/router/request_digest.h"
#include "linnetlane/router/shutdown_schedule.h"
#include "linnetlane/router/stream_origin_finder.h"
#include "linnetlane/router/stream_origin_recorder.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::router {

// Must exist until the process ends. Runs entirely on one worker.
template <router_registry Registry, router_wire Wire>
class router_host {
public:
    static constexpr auto drain_check_interval = std::chrono::milliseconds{100};
    // The retry delay of refusals before a route is known, such as before the first configuration.
    static constexpr auto configuration_wait = std::chrono::milliseconds{400};
    // How long a request waits for a proof that no newer configuration would handle it in another
    // way.
    static constexpr auto confirmation_wait = std::chrono::milliseconds{400};
    // The age of the proof that a refusal for good requires, as a share of the bound on changes.
    // The caller of a route that was added just now would not come back. Few requests match no
    // route, so that the registry can be asked for nearly each of them.
    static constexpr auto final_refusal_share = 1.0 / 8;
    // The age that log lines state for a configuration that was never known to be the newest one.
    static constexpr auto no_proof = base::duration{std::chrono::seconds{-1}};

    router_host(runtime::worker_pool& own_pool, router_settings own_settings, Registry own_registry,
                telemetry::event_log const& own_log, std::uint32_t seed)
        : settings{std::move(own_settings)},
          registry{std::move(own_registry)},
          log{own_log},
          view{this->settings, seed},
          host{own_pool, this->view, this->metrics, this->log, this->settings, this->shutdown},
          configurations{this->registry, this->host,
                         [this](auto const& applied) {
                             this->apply_limits(applied.limits);
                             this->activity.retain(applied.accounts);
                         }},
          confirmer{this->host, this->configurations},
          upstreams{this->registry, this->host,
                    [this](auto const& offered, auto const& told_by) {
                        this->configurations.offer(offered, told_by);
                    }},
          membership{this->registry, this->host},
          recorder{this->registry, this->host},
          origins{this->registry, this->host},
          publisher{this->host},
          quotas{this->host},
          activity{this->metrics},
          isolation{this->registry, this->host} {}

    // Binds the addresses and starts the fibers. Throws `boost::system::system_error` if an address
    // can't be bound.
    auto start() -> void {
        this->callers.emplace(this->host.pool, this->settings.listen.callers,
                              runtime::http_limits{}, [this](auto const& request, auto& responder) {
                                  this->serve(Wire::read_caller_request(request), responder, false);
                              });
        this->operators.emplace(this->host.pool, this->settings.listen.operators,
                                runtime::http_limits{},
                                [this](auto const& request, auto& responder) {
                                    this->serve_operator(request, responder);
                                });
        if (this->settings.listen.peers) {
            this->peers.emplace(this->host.pool, *this->settings.listen.peers,
                                runtime::http_limits{},
                                [this](auto const& request, auto& responder) {
                                    this->serve_peer(request, responder);
                                });
        }
        this->host.pool.spawn([this] { this->configurations.run(); });
        this->host.pool.spawn([this] { this->confirmer.run(); });
        this->host.pool.spawn([this] { this->upstreams.run(); });
        this->host.pool.spawn([this] { this->upstreams.sweep(); });
        this->host.pool.spawn([this] { this->membership.run(); });
        this->host.pool.spawn([this] { this->recorder.run(); });
        this->host.pool.spawn([this] { this->publisher.run(); });
        this->log.write(
            telemetry::log_level::info, "started",
            {this->settings.listen.callers, telemetry::field::named("host", this->settings.host)});
    }

    // Finishes the requests under way and then calls `ended`, within the grace time. Thread-safe.
    // Further calls have no effect.
    auto shut_down(std::function<void()> ended) -> void {
        this->host.pool.spawn([this, ended = std::move(ended)] {
            if (!std::exchange(this->leaving, true)) {
                this->leave(ended);
            }
        });
    }

private:
    auto leave(std::function<void()> const& ended) -> void {
        auto const schedule =
            make_shutdown_schedule(base::monotonic_clock::now(), this->settings.leaving.grace);
        this->shutdown.begin(schedule);
        this->log.write(
            telemetry::log_level::info, "shutting down",
            {{"requests_under_way", static_cast<std::int64_t>(this->requests_under_way())}});
        this->callers->close_after_responses();
        this->view.feed.invalidate();
        // Followers that wait are answered at once.
        this->view.feed.set_lost_registry(true);
        this->membership.leave();
        runtime::sleep_until(schedule.connections_until);
        this->callers->stop_accepting();
        runtime::sleep_until(schedule.requests_until);
        this->callers->close_idle();
        this->await_requests(schedule.work_until);
        this->shutdown.end_requests();
        this->recorder.hand_over(true, schedule.exit_by);
        this->await_requests(schedule.exit_by);
        this->close_to_peers(schedule.exit_by);
        this->log.write(
            telemetry::log_level::info, "stopped",
            {{"requests_cut_off", static_cast<std::int64_t>(this->requests_under_way())}});
        ended();
    }

    // Returns the number of requests of callers, also those that other hosts sent on, that have not
    // been answered.
    [[nodiscard]] auto requests_under_way() const -> std::size_t {
        auto const own = this->callers->requests_arriving() + this->callers->requests_under_way();
        auto const arriving_from_peers = this->peers ? this->peers->requests_arriving() : 0;
        return own + arriving_from_peers + this->forwarded_under_way;
    }

    // Suspends the calling fiber until no request is under way, at most until `deadline`.
    auto await_requests(base::time_point deadline) -> void {
        while (this->requests_under_way() > 0 && base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(
                std::min(deadline, base::monotonic_clock::now() + drain_check_interval));
        }
    }

    // Ends the connections of other hosts between two requests, so that the exit cuts none off.
    auto close_to_peers(base::time_point deadline) -> void {
        if (this->peers) {
            this->peers->close_after_responses();
            this->peers->stop_accepting();
            this->peers->close_idle();
            runtime::sleep_until(
                std::min(deadline, base::monotonic_clock::now() + drain_check_interval));
            this->await_requests(deadline);
        }
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
            response.status = this->view.ready() && !this->leaving ? 200 : 503;
        } else if (request.method == "GET" && request.target == "/metrics") {
            response.fields.add("Content-Type", "text/plain; version=0.0.4");
            this->metrics.set_unrecorded_streams(this->view.origins.unrecorded_count());
            this->metrics.set_configuration_age(this->view.freshness.age(base::boot_clock::now()));
            response.body = this->metrics.scrape();
        } else if (request.method == "GET" && request.target == "/accounts") {
            response.fields.add("Content-Type", "application/json");
            response.body =
                ctl::to_json_text(make_account_page(this->host, this->quotas, this->activity));
        } else {
            response.status = 404;
        }
        // If the client has disconnected, it checks again.
        static_cast<void>(responder.send(response));
    }

    // Keeps the versions of streams of another host.
    auto receive_origins(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const handed_over = decode_origin_hand_over(request.body);
        auto response = runtime::http_response{};
        if (!handed_over) {
            this->log.write(telemetry::log_level::warning,
                            "malformed versions of streams from a host", {});
            response.status = 400;
        } else if (this->leaving) {
            // The peer looks for another host.
            response.status = 503;
        } else {
            for (auto const& each : *handed_over) {
                this->view.origins.keep(each, base::monotonic_clock::now());
            }
        }
        // If the peer has disconnected, it hands them over again.
        static_cast<void>(responder.send(response));
    }

    // Answers another host.
    auto serve_peer(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        if (request.target == forward_target || request.target == keyed_forward_target) {
            ++this->forwarded_under_way;
            this->serve_forwarded(request, responder);
            --this->forwarded_under_way;
        } else if (request.target == facts_target) {
            this->receive_facts(request, responder);
        } else if (request.target == quota_target) {
            this->serve_quota(request, responder);
        } else if (request.target == origins_target) {
            this->serve_origin(request, responder);
        } else if (request.target == configuration_target) {
            // If the peer has disconnected, it asks again.
            auto const wanted = decode_configuration_question(request.body);
            static_cast<void>(
                responder.send({200, {}, encode(this->confirmer.state_for_host(wanted))}));
        } else if (request.target == origin_hand_over_target) {
            this->receive_origins(request, responder);
        } else if (request.target == registry_state_target) {
            auto const answered_for =
                this->view.registry_answers.time_without_gap(base::boot_clock::now());
            // If the peer has disconnected, it takes the registry for unavailable.
            static_cast<void>(responder.send({200, {}, encode(registry_state{answered_for})}));
        } else {
            this->serve_follower(request, responder);
        }
    }

    // Serves a request that another host sent on because it reaches no upstream.
    auto serve_forwarded(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const forwarded = decode_forwarded(request.body);
        if (!forwarded) {
            this->log.write(telemetry::log_level::warning, "malformed request from a host", {});
            // If the peer has disconnected, it doesn't wait for the answer.
            static_cast<void>(responder.send({400, {}, {}}));
            return;
        }
        auto caller = Wire::read_caller_request(forwarded->request);
        caller.timeout = forwarded->time_left;
        caller.key = forwarded->key;
        caller.bound_to = forwarded->software;
        if (forwarded->configuration && this->is_behind(*forwarded->configuration)) {
            this->refuse_unrouted(caller, responder, refusal_reason::older_configuration,
                                  base::monotonic_clock::now(), true);
            return;
        }
        this->serve(std::move(caller), responder, true);
    }

    // Returns whether the configuration in force here is older than `version`.
    [[nodiscard]] auto is_behind(routing::configuration_version version) const -> bool {
        auto const current = this->view.routes.current();
        return current == nullptr || current->version < version;
    }

    auto serve_quota(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const question = decode_quota_question(request.body);
        auto response = runtime::http_response{};
        if (!question) {
            this->log.write(telemetry::log_level::warning, "malformed quota request from a host",
                            {});
            response.status = 400;
        } else if (this->is_behind(question->configuration)) {
            // The account and its quota may have changed; the peer uses its own share.
            response.status = 503;
        } else {
            response.body = encode(this->quotas.answer(*question));
        }
        // If the peer has disconnected, it uses its own share.
        static_cast<void>(responder.send(response));
    }

    auto serve_origin(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const question = decode_origin_question(request.body);
        auto response = runtime::http_response{};
        if (!question) {
            this->log.write(telemetry::log_level::warning,
                            "malformed question for the origin of a stream from a host", {});
            response.status = 400;
        } else {
            response.body = encode(this->origins.find_for_host(*question));
        }
        // If the peer has disconnected, it has another answer.
        static_cast<void>(responder.send(response));
    }

    auto receive_facts(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const facts = decode_fact_report(request.body);
        auto response = runtime::http_response{};
        if (!facts) {
            this->log.write(telemetry::log_level::warning, "malformed facts from a host", {});
            response.status = 400;
        } else {
            auto const now = base::monotonic_clock::now();
            this->view.learn(without_ages(*facts, now), now);
        }
        // If the peer has disconnected, it tells the facts again.
        static_cast<void>(responder.send(response));
    }

    // Answers a host of the same data centre that asks for changes of the registry.
    auto serve_follower(runtime::http_request const& request, runtime::http_responder& responder)
        -> void {
        auto const question = decode_question(request.body);
        auto response = runtime::http_response{};
        if (!question) {
            this->log.write(telemetry::log_level::warning, "malformed changes request from a host",
                            {});
            response.status = 400;
        } else {
            response.body = encode(this->answer_follower(*question));
        }
        if (this->leaving) {
            // The follower looks for another host or reads the registry itself.
            response = runtime::http_response{503, {}, {}};
        }
        // If the peer has disconnected, it asks another host or the registry.
        static_cast<void>(responder.send(response));
    }

    auto answer_follower(changes_question const& question) -> changes_answer {
        auto const asked_at = base::monotonic_clock::now();
        this->view.feed.note_follower(question.sender, asked_at);
        this->view.learn(without_ages(question.facts, asked_at), asked_at);
        auto answer = this->view.feed.await(question, asked_at + question.wait);
        auto const now = base::monotonic_clock::now();
        auto relays = this->view.relays.order_for_followers(now);
        if (auto const* const failure = base::failure_of(answer)) {
            auto const follows_another = !this->view.reads_registry && !relays.empty();
            if (*failure != registry_failure::unavailable || !follows_another) {
                return answer;
            }
            auto update = registry_update{};
            update.upstreams.position = question.after;
            update.relays = std::move(relays);
            update.redirected = true;
            return update;
        }
        auto update = base::take_value(std::move(answer));
        if (question.complete) {
            update.complete = true;
            update.upstreams.put = this->view.upstreams.registered();
        }
        update.grace_left = this->view.upstreams.grace_left(now);
        update.registry_answered_for =
            this->view.registry_answers.time_without_gap(base::boot_clock::now());
        if (question.known_facts) {
            auto const same_process =
                question.known_facts->process == this->view.facts_mark().process;
            auto const known =
                same_process ? question.known_facts->position : routing::fact_position{};
            update.facts = with_ages(this->view.facts.changed_since(known, now), now);
            update.facts_at = this->view.facts_mark();
        }
        update.hosts = this->view.known_hosts();
        update.relays = std::move(relays);
        constexpr auto most_distant_readers = std::size_t{4};
        update.distant_readers = this->view.some_distant_readers(most_distant_readers);
        update.configuration_age = this->view.freshness.age(base::boot_clock::now());
        if (auto const current = this->view.routes.current()) {
            update.configuration_version = current->version;
            auto const& shown = this->view.last_shown();
            if (shown && shown->version == current->version) {
                update.configuration_position = shown->position;
            }
        }
        return update;
    }

    // Serves a request of a caller, or one that another host sent on.
    auto serve(caller_request caller, runtime::http_responder& responder, bool from_peer) -> void {
        auto const arrived = base::monotonic_clock::now();
        auto const refuse_unrouted = [&](refusal_reason reason) {
            this->refuse_unrouted(caller, responder, reason, arrived, from_peer);
        };
        if (!this->view.ready()) {
            refuse_unrouted(refusal_reason::no_configuration);
            return;
        }
        if (!this->shutdown.admits_work(arrived)) {
            refuse_unrouted(refusal_reason::leaving);
            return;
        }
        auto const is_confirmed = this->confirms_configuration(caller, arrived);
        // A newer configuration may have come meanwhile.
        auto const configuration = this->view.routes.current();
        auto const proof = this->present_proof();
        auto const* const route = this->view.routes.match(caller.host, caller.forwarded.target);
        if (route == nullptr) {
            refuse_unrouted(is_confirmed ? refusal_reason::no_route
                                         : refusal_reason::route_unconfirmed);
            return;
        }
        if (auto const refused = authenticate<Wire>(
                caller, *configuration, *route, this->settings.accounts, this->view.freshness)) {
            refuse_unrouted(*refused);
            return;
        }
        auto const* const service = routing::choose_target(*route, this->view.draw());
        if (service == nullptr) {
            refuse_unrouted(refusal_reason::no_upstream);
            return;
        }
        auto const allowed = std::min(route->timeout, caller.timeout.value_or(route->timeout));
        auto cancelled = cancellation{};
        responder.on_client_disconnect([&] { cancelled.cancel(); });
        this->shutdown.add(cancelled);
        auto const resumes = route->resumable && caller.resumes;
        auto context =
            request_context{this->host,
                            responder,
                            caller,
                            configuration,
                            *route,
                            *service,
                            arrived,
                            arrived + allowed,
                            cancelled,
                            caller.bound_to,
                            resumes,
                            from_peer,
                            routing::subjects_of(*service, caller.shared_parts, digest_of(caller)),
                            proof};
        if (!context.required && route->resumable) {
            // Of an earlier attempt under the same id.
            context.required = this->view.origins.find(caller.id);
        }
        if (!context.required && resumes) {
            context.required = this->origins.find(caller, *service);
        }
        if (resumes && context.required) {
            // The caller may name this request when it resumes again, also if this one is refused.
            static_cast<void>(context.bind_version(*context.required));
        }
        if (resumes && !context.required) {
            this->refuse_unknown_origin(context);
        } else {
            this->forward(context);
        }
        this->shutdown.remove(cancelled);
        responder.on_client_disconnect([] {});
    }

    [[nodiscard]] auto present_proof() const -> configuration_proof {
        auto const& freshness = this->view.freshness;
        return {freshness.age(base::boot_clock::now()), freshness.told_by()};
    }

    // Returns whether the configuration in force is known to be the newest one. Otherwise this host
    // is cut off from the registry, and can only go on with the last known one. Suspends the
    // calling fiber.
    auto confirms_configuration(caller_request const& caller, base::time_point arrived) -> bool {
        auto const wait =
            std::min<base::duration>(confirmation_wait, caller.timeout.value_or(confirmation_wait));
        auto const has_route =
            this->view.routes.match(caller.host, caller.forwarded.target) != nullptr;
        auto const bound =
            share_of(this->settings.changes.applied_within, has_route ? 1.0 : final_refusal_share);
        auto const confirmed = this->confirmer.confirm(bound, arrived + wait);
        if (!confirmed) {
            this->metrics.count_unconfirmed();
        }
        return confirmed;
    }

    auto forward(request_context const& context) -> void {
        if (!context.from_peer) {
            // Each request counts once, at the host that received it.
            context.state().retries.note_request(context.arrived);
        }
        auto const generates = context.route.generates && context.caller.size.has_value();
        if (auto const refused = context.quarantine_refusal(context.arrived)) {
            auto const end = refuse<Wire>(context, *refused);
            this->note_end(context, generates ? request_kind::generation : request_kind::plain,
                           end);
            return;
        }
        // The host that received a request has taken its work from the quota.
        auto const charged = !context.from_peer;
        if (auto const refused = charged ? this->quotas.charge(context) : std::nullopt) {
            auto const end = refuse<Wire>(context, *refused);
            this->note_end(context, generates ? request_kind::generation : request_kind::plain,
                           end);
            return;
        }
        auto end = this->isolation.is_isolated(context)
                       ? unsent_request()
                       : this->forward_to_upstream(context, generates);
        if (end.unsent && !context.from_peer) {
            end = this->forward_by_peer(context).value_or(end);
        }
        if (end.unsent) {
            auto const delay = this->delay_to_another_host(context);
            auto const reason = this->shutdown.admits_work(base::monotonic_clock::now())
                                    ? refusal_reason::upstreams_unreachable
                                    : refusal_reason::leaving;
            end = refuse<Wire>(context, refusal{reason, delay});
        }
        if (charged && end.refused && is_not_run(*end.refused)) {
            this->quotas.give_back(context);
        }
        this->note_end(context, generates ? request_kind::generation : request_kind::plain, end);
    }

    auto forward_to_upstream(request_context const& context, bool generates) -> request_result {
        return generates ? generation_forwarder<Wire>{context}.run()
                         : plain_forwarder<Wire>{context}.run();
    }

    // Sends a request that reached no upstream through another host. Returns nothing if no host
    // took it.
    auto forward_by_peer(request_context const& context) -> std::optional<request_result> {
        this->isolation.refresh_peers(context.answer_by());
        auto const end = peer_forwarder<Wire>{context}.run();
        this->metrics.count_forwarded(end.has_value());
        return end;
    }

    // Returns after which time a caller should return that another host may be able to serve now.
    auto delay_to_another_host(request_context const& context) -> base::duration {
        auto const left = context.answer_by() - base::monotonic_clock::now();
        return routing::retry_after(base::duration::zero(), left, this->view.draw());
    }

    auto refuse_unknown_origin(request_context const& context) -> void {
        auto const delay = this->delay_to_another_host(context);
        auto const end = refuse<Wire>(context, refusal{refusal_reason::unknown_origin, delay});
        this->note_end(
            context, context.route.generates ? request_kind::generation : request_kind::plain, end);
    }

    auto note_end(request_context const& context, request_kind kind, request_result const& end)
        -> void {
        auto const took = base::monotonic_clock::now() - context.arrived;
        this->metrics.count_request(kind, end.outcome, took);
        if (end.refused) {
            this->metrics.count_refusal(*end.refused);
        }
        auto const* const account = context.account();
        if (account != nullptr && !context.from_peer) {
            this->activity.note_end(account->id, end.outcome, end.refused);
        }
        this->log.write(
            telemetry::log_level::info, "request ended",
            {context.caller.id,
             context.service,
             telemetry::field::named("route", context.route.name),
             telemetry::field::named("account", context.caller.account.value_or(base::caller_id{})),
             {"version", static_cast<std::int64_t>(context.configuration->version.value)},
             {"proof_age", context.proof.age.value_or(no_proof)},
             telemetry::field::named("proof_from", context.proof.told_by),
             {"outcome", describe(end)},
             {"status", static_cast<std::int64_t>(end.status)},
             {"come_back_after", end.retry_after.value_or(base::duration::zero())},
             {"took", took}});
    }

    static auto describe(request_result const& end) -> telemetry::literal {
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
                return "refused: overloaded";
            case refusal_reason::upstreams_unreachable:
                return "refused: upstreams unreachable";
            case refusal_reason::outcome_unknown:
                return "failed: outcome unknown";
            case refusal_reason::timed_out:
                return "failed: timed out";
            case refusal_reason::unknown_origin:
                return "refused: origin of the stream is unknown";
            case refusal_reason::prompt_quarantined:
                return "refused: upstreams end under a part of the prompt";
            case refusal_reason::request_quarantined:
                return "refused: upstreams end under the request";
            case refusal_reason::unknown_key:
                return "refused: no account has the key";
            case refusal_reason::configuration_too_old:
                return "refused: keys may have been taken away";
            case refusal_reason::quota_exceeded:
                return "refused: account exceeds its quota";
            case refusal_reason::older_configuration:
                return "refused: the sending host has a newer configuration";
            case refusal_reason::route_unconfirmed:
                return "refused: a newer configuration may have a route";
            case refusal_reason::leaving:
                break;
        }
        return "refused: host is leaving";
    }

    auto refuse_unrouted(caller_request const& caller, runtime::http_responder& responder,
                         refusal_reason reason, base::time_point arrived, bool from_peer) -> void {
        auto refused = refusal{reason, std::nullopt};
        if (reason != refusal_reason::no_route && reason != refusal_reason::unknown_key) {
            refused.retry_after = configuration_wait;
        }
        auto response = Wire::write_refusal(refused, caller);
        if (from_peer) {
            // The other hosts may be able to serve the request.
            mark_forward_refusal(response);
        }
        auto const sent = responder.send(response);
        this->metrics.count_refusal(reason);
        if (caller.account && !from_peer) {
            this->activity.note_end(*caller.account,
                                    sent ? request_outcome::refused : request_outcome::caller_left,
                                    reason);
        }
        auto const configuration = this->view.routes.current();
        auto const proof = this->present_proof();
        this->log.write(
            telemetry::log_level::info, "request ended",
            {caller.id,
             telemetry::field::named("account", caller.account.value_or(base::caller_id{})),
             {"version",
              configuration ? static_cast<std::int64_t>(configuration->version.value) : 0},
             {"proof_age", proof.age.value_or(no_proof)},
             telemetry::field::named("proof_from", proof.told_by),
             {"outcome", describe(reason)},
             {"status", static_cast<std::int64_t>(response.status)},
             {"caller_left", !sent},
             {"took", base::monotonic_clock::now() - arrived}});
    }

    router_settings settings;
    Registry registry;
    telemetry::event_log const& log;
    routing_view view;
    router_metrics metrics;
    host_shutdown shutdown;
    host_context host;
    configuration_follower<Registry> configurations;
    configuration_confirmer<Registry> confirmer;
    upstream_follower<Registry> upstreams;
    host_membership<Registry, Wire> membership;
    stream_origin_recorder<Registry> recorder;
    stream_origin_finder<Registry> origins;
    fact_publisher publisher;
    quota_service quotas;
    account_activity activity;
    isolation_watch<Registry, Wire> isolation;
    std::optional<runtime::http_server> callers;
    std::optional<runtime::http_server> operators;
    std::optional<runtime::http_server> peers;
    // Requests that other hosts sent on and that have not been answered.
    std::size_t forwarded_under_way = 0;
    bool leaving = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_HOST_H_

// Keeps a routing view current from the registry: one fiber for the configuration, one for the
// upstreams.
//
// Both read the full state once and then wait for changes. After a failure they read the full state
// again, since changes may have been missed. Meanwhile the last known state stays in force.

#ifndef LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_
#define LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Timing of the calls to the registry and to other hosts.
struct follower_timing {
    // How long a call waits for changes. If the registry stops answering, this is detected earlier,
    // by keepalive probes of the connection and by `host_membership`, which interrupts the wait.
    static constexpr auto wait = std::chrono::seconds{15};
    // The time after the end of the wait at which a call fails.
    static constexpr auto timeout_margin = std::chrono::milliseconds{700};
    // The timeout of a read of the full state.
    static constexpr auto read_timeout = std::chrono::milliseconds{1500};
    // The pause between two reads of changes, so that one read returns several.
    static constexpr auto batch_interval = std::chrono::milliseconds{200};
    static constexpr auto initial_backoff = std::chrono::milliseconds{50};
    static constexpr auto max_backoff = std::chrono::milliseconds{800};
    // How long a followed host waits for changes before it answers.
    static constexpr auto peer_wait = std::chrono::milliseconds{400};
    // The time after the end of that wait at which the registry is read instead.
    static constexpr auto peer_timeout_margin = std::chrono::milliseconds{250};
    // How often `configuration_follower` checks whether another host still provides the
    // configuration.
    static constexpr auto relayed_check_interval = std::chrono::milliseconds{100};
};

// Exponential backoff with jitter.
class retry_backoff {
public:
    // Suspends the calling fiber for 0.5 to 1.5 times the current pause, by `draw` from [0, 1), and
    // doubles the pause up to the limit.
    auto after_failure(double draw) -> void {
        auto const span = this->current * (0.5 + draw);
        runtime::sleep_until(base::monotonic_clock::now() +
                             std::chrono::duration_cast<base::duration>(span));
        this->current = std::min<base::duration>(this->current * 2, follower_timing::max_backoff);
    }
    auto after_success() -> void { this->current = follower_timing::initial_backoff; }

private:
    base::duration current = follower_timing::initial_backoff;
};

// Logs the beginning and the end of an outage of the registry once each.
class outage_reporter {
public:
    explicit outage_reporter(host_context const& own_host, telemetry::literal own_subject)
        : host{own_host}, subject{own_subject} {}

    auto failed(registry_failure failure) -> void {
        this->host.metrics.count_registry_failure();
        if (this->lost_since) {
            return;
        }
        this->lost_since = base::monotonic_clock::now();
        this->host.log.write(telemetry::log_level::warning, "registry lost",
                             {{"subject", this->subject},
                              {"failure", failure == registry_failure::malformed
                                              ? telemetry::literal{"malformed"}
                                              : telemetry::literal{"no answer"}}});
    }
    auto succeeded() -> void {
        if (!this->lost_since) {
            return;
        }
        this->host.log.write(telemetry::log_level::info, "registry regained",
                             {{"subject", this->subject},
                              {"lost_for", base::monotonic_clock::now() - *this->lost_since}});
        this->lost_since.reset();
    }

private:
    host_context const& host;
    telemetry::literal subject;
    std::optional<base::time_point> lost_since;
};

// Follows the configuration in the registry. Not thread-safe; must be used on one worker only.
template <router_registry Registry>
class configuration_follower {
public:
    using applied_hook = std::function<void(routing::configuration const&)>;

    configuration_follower(Registry& own_registry, host_context const& own_host, applied_hook hook)
        : registry{own_registry},
          host{own_host},
          on_applied{std::move(hook)},
          outages{own_host, "configuration"} {}

    // Follows the configuration. Never returns.
    [[noreturn]] auto run() -> void {
        auto position = std::optional<registry_position>{};
        for (;;) {
            if (this->wait_while_relayed()) {
                position.reset();
            }
            auto const now = base::monotonic_clock::now();
            auto const reading =
                position ? this->registry.await_configuration(
                               *position, follower_timing::wait,
                               now + follower_timing::wait + follower_timing::timeout_margin)
                         : this->registry.read_configuration(now + follower_timing::read_timeout);
            auto const* const failure = base::failure_of(reading);
            this->host.view.feed.set_reads_configuration(failure == nullptr);
            if (failure != nullptr) {
                this->after_failure(*failure, position.has_value());
                position.reset();
                continue;
            }
            this->outages.succeeded();
            this->backoff.after_success();
            position = base::value_of(reading).position;
            this->offer(base::value_of(reading).configuration);
        }
    }

    // Puts `offered` in force if its version is newer than the current one. `offered` may be null.
    auto offer(std::shared_ptr<routing::configuration const> const& offered) -> void {
        if (offered == nullptr) {
            return;
        }
        auto const applied = this->host.view.routes.offer(offered);
        if (!applied) {
            return;
        }
        this->host.view.feed.publish(offered);
        this->host.metrics.set_configuration(offered->version);
        this->host.log.write(telemetry::log_level::info, "configuration in force",
                             {{"version", static_cast<std::int64_t>(offered->version.value)},
                              {"routes", static_cast<std::int64_t>(offered->routes.size())}});
        this->on_applied(*offered);
    }

private:
    // Waits while another host provides the configuration along with the changes of the upstreams.
    // Returns whether one did.
    auto wait_while_relayed() -> bool {
        auto const& until = this->host.view.relayed_until;
        auto const relayed = base::monotonic_clock::now() < until;
        if (relayed) {
            this->host.view.feed.set_reads_configuration(false);
        }
        while (base::monotonic_clock::now() < until) {
            runtime::sleep_until(base::monotonic_clock::now() +
                                 follower_timing::relayed_check_interval);
        }
        return relayed;
    }

    auto after_failure(registry_failure failure, bool was_waiting) -> void {
        if (failure == registry_failure::history_lost || was_waiting) {
            // The full read that follows shows whether the registry is available.
            return;
        }
        this->outages.failed(failure);
        this->backoff.after_failure(this->host.view.draw());
    }

    Registry& registry;
    host_context const& host;
    applied_hook on_applied;
    outage_reporter outages;
    retry_backoff backoff;
};

// Follows the upstreams in the registry, directly or through another host. Not thread-safe; must be
// used on one worker only.
template <router_registry Registry>
class upstream_follower {
public:
    static constexpr auto sweep_interval = std::chrono::milliseconds{200};

    // Receives the configurations that a followed host provides; null if there is no newer one.
    using configuration_hook =
        std::function<void(std::shared_ptr<routing::configuration const> const&)>;

    upstream_follower(Registry& own_registry, host_context const& own_host, configuration_hook hook)
        : registry{own_registry},
          host{own_host},
          on_configuration{std::move(hook)},
          outages{own_host, "upstreams"} {}

    // Drops records whose grace period has ended. Never returns.
    [[noreturn]] auto sweep() -> void {
        for (;;) {
            runtime::sleep_until(base::monotonic_clock::now() + sweep_interval);
            this->expire();
        }
    }

    // Follows the upstreams. Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            auto position = this->list();
            while (position) {
                position = this->follow(*position);
            }
        }
    }

private:
    // Applies a full listing. Returns its position, or nothing after a failure.
    auto list() -> std::optional<registry_position> {
        auto const listing = this->registry.list_upstreams(base::monotonic_clock::now() +
                                                           follower_timing::read_timeout);
        if (auto const* const failure = base::failure_of(listing)) {
            this->host.view.upstreams.note_outage();
            this->outages.failed(*failure);
            this->backoff.after_failure(this->host.view.draw());
            return std::nullopt;
        }
        this->outages.succeeded();
        this->backoff.after_success();
        auto const& listed = base::value_of(listing);
        if (listed.unreadable > 0) {
            this->host.log.write(telemetry::log_level::warning,
                                 "registry entries are not valid upstream records",
                                 {{"entries", static_cast<std::int64_t>(listed.unreadable)}});
        }
        for (auto const& record : listed.records) {
            this->note_change(record);
        }
        auto const dropped =
            this->host.view.upstreams.replace_all(listed.records, base::monotonic_clock::now());
        this->log_dropped(dropped);
        this->publish();
        this->host.view.feed.restart(listed.position);
        return listed.position;
    }

    // Waits for changes and applies them. Returns the new position, or nothing if a full listing is
    // needed.
    auto follow(registry_position position) -> std::optional<registry_position> {
        auto const now = base::monotonic_clock::now();
        auto const relay = this->host.view.relays.choose(now);
        this->note_source(relay);
        if (!relay) {
            return this->follow_registry(position);
        }
        this->host.view.feed.invalidate();
        auto const answer = this->ask_relay(*relay, position);
        if (auto const* const failure = base::failure_of(answer)) {
            this->host.view.relayed_until = base::time_point::min();
            if (*failure == registry_failure::history_lost) {
                return std::nullopt;
            }
            // Positions are the same at the registry, so reading continues there without a gap.
            this->host.log.write(telemetry::log_level::info, "no changes received from relay host",
                                 {telemetry::field::peer(relay->host),
                                  {"malformed", *failure == registry_failure::malformed}});
            this->host.view.relays.note_failure(relay->host, base::monotonic_clock::now());
            return this->follow_registry(position);
        }
        auto const& update = base::value_of(answer);
        this->host.view.relayed_until = base::monotonic_clock::now() + follower_timing::peer_wait +
                                        follower_timing::peer_timeout_margin;
        this->on_configuration(update.configuration);
        this->apply(update.upstreams);
        this->host.view.feed.publish(update.upstreams, change_source::peer);
        return update.upstreams.position;
    }

    auto ask_relay(host_entry const& relay, registry_position position) const -> changes_answer {
        auto const configuration = this->host.view.routes.current();
        auto const version =
            configuration ? configuration->version : routing::configuration_version{};
        auto request = runtime::http_request{"POST", "/upstream-changes", {}, {}};
        request.body = encode(changes_question{position, follower_timing::peer_wait, version});
        auto const answered =
            runtime::fetch(*relay.peers, request, runtime::connection_use::pooled,
                           base::monotonic_clock::now() + follower_timing::peer_wait +
                               follower_timing::peer_timeout_margin);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        if (response == nullptr || response->status != 200) {
            return registry_failure::unavailable;
        }
        return decode_answer(response->body);
    }

    auto note_source(std::optional<host_entry> const& relay) -> void {
        auto const now_followed = relay ? relay->host : base::host_id{};
        if (now_followed == this->followed) {
            return;
        }
        this->followed = now_followed;
        if (relay) {
            this->host.log.write(telemetry::log_level::info, "changes come from a host",
                                 {telemetry::field::peer(relay->host)});
        } else {
            this->host.log.write(telemetry::log_level::info, "changes come from the registry", {});
        }
    }

    auto follow_registry(registry_position position) -> std::optional<registry_position> {
        auto const asked_at = base::monotonic_clock::now();
        auto const changes = this->registry.await_upstreams(
            position, follower_timing::wait,
            asked_at + follower_timing::wait + follower_timing::timeout_margin);
        if (auto const* const failure = base::failure_of(changes)) {
            if (*failure != registry_failure::history_lost) {
                this->host.view.upstreams.note_outage();
            }
            this->host.view.feed.invalidate();
            return std::nullopt;
        }
        this->apply(base::value_of(changes));
        this->host.view.feed.publish(base::value_of(changes), change_source::registry);
        runtime::sleep_until(base::monotonic_clock::now() + follower_timing::batch_interval);
        return base::value_of(changes).position;
    }

    auto apply(upstream_changes const& changes) -> void {
        auto const now = base::monotonic_clock::now();
        auto& upstreams = this->host.view.upstreams;
        this->host.log.write(telemetry::log_level::debug, "upstream changes read",
                             {{"put", static_cast<std::int64_t>(changes.put.size())},
                              {"removed", static_cast<std::int64_t>(changes.removed.size())},
                              {"position", static_cast<std::int64_t>(changes.position.value)}});
        if (changes.removed.size() > upstreams.all().size() / 4 + 1) {
            // So many upstreams don't leave at once: their entries have expired during an outage of
            // the registry.
            upstreams.begin_grace(now);
        }
        for (auto const& record : changes.put) {
            this->note_change(record);
            upstreams.put(record);
        }
        auto dropped = std::vector<base::upstream_id>{};
        for (auto const& id : changes.removed) {
            if (upstreams.remove(id, now)) {
                dropped.push_back(id);
            }
        }
        this->log_dropped(dropped);
        if (!changes.put.empty() || !dropped.empty()) {
            this->publish();
        }
    }

    auto note_change(routing::upstream_record const& record) -> void {
        if (auto const* const ended = this->host.view.upstreams.superseded_by(record)) {
            this->host.log.write(telemetry::log_level::info, "upstream gone",
                                 {ended->id, telemetry::field::named("superseded_by", record.id)});
        }
        auto const* const known = this->host.view.upstreams.find(record.id);
        auto const restarted = known != nullptr && (known->started != record.started ||
                                                    known->address != record.address);
        if (restarted) {
            this->host.view.forget_load(record.id);
        }
        auto const changed = known == nullptr || restarted || known->leaving != record.leaving ||
                             known->stage != record.stage;
        if (changed) {
            this->host.log.write(telemetry::log_level::info, "upstream changed",
                                 {record.id,
                                  record.service,
                                  record.address,
                                  record.data_centre,
                                  {"new", known == nullptr},
                                  {"restarted", restarted},
                                  {"leaving", record.leaving},
                                  {"prefill", record.stage == routing::engine_stage::prefill}});
        }
    }

    auto expire() -> void {
        auto const dropped = this->host.view.upstreams.expire(base::monotonic_clock::now());
        if (!dropped.empty()) {
            this->log_dropped(dropped);
            this->publish();
        }
    }

    auto log_dropped(std::vector<base::upstream_id> const& dropped) const -> void {
        for (auto const& id : dropped) {
            this->host.log.write(telemetry::log_level::info, "upstream gone", {id});
        }
    }

    auto publish() -> void {
        this->host.view.refresh_pools();
        this->host.metrics.set_upstreams(this->host.view.upstreams.all().size());
    }

    Registry& registry;
    host_context const& host;
    configuration_hook on_configuration;
    outage_reporter outages;
    retry_backoff backoff;
    // The host that changes are read from; empty for the registry.
    base::host_id followed;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_

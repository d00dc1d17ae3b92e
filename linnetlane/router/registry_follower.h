// Keeps a region current from the registry: one fiber for the configuration, one for the upstreams.
//
// Both read everything once and then wait for changes. After any failure they read everything
// again, since changes may have been missed; what is known stays in force meanwhile.

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

// Timing of the calls on the registry.
struct follow_timing {
    // How long a call waits for changes. A registry that fell silent meanwhile is noticed sooner,
    // by probes of the connection and by the calls of `host_membership`, which interrupt the wait.
    static constexpr auto wait = std::chrono::seconds{15};
    // Beyond the wait, before a call counts as lost.
    static constexpr auto patience = std::chrono::milliseconds{700};
    // For a read of everything.
    static constexpr auto read_patience = std::chrono::milliseconds{1500};
    // Between two reads of changes, to take several at once.
    static constexpr auto gather = std::chrono::milliseconds{200};
    static constexpr auto first_pause = std::chrono::milliseconds{50};
    static constexpr auto longest_pause = std::chrono::milliseconds{800};
    // For a host that is followed, to answer when there is no change.
    static constexpr auto peer_wait = std::chrono::milliseconds{400};
    // Beyond that wait, before the registry is asked instead.
    static constexpr auto peer_patience = std::chrono::milliseconds{250};
    // How often the reader of the configuration looks whether another host still brings it.
    static constexpr auto relayed_check = std::chrono::milliseconds{100};
};

// Pauses between tries, longer after each failure, with a random part.
class retry_pause {
public:
    auto after_failure(double draw) -> void {
        auto const span = this->current * (0.5 + draw);
        runtime::sleep_until(base::monotonic_clock::now() +
                             std::chrono::duration_cast<base::duration>(span));
        this->current = std::min<base::duration>(this->current * 2, follow_timing::longest_pause);
    }
    auto after_success() -> void { this->current = follow_timing::first_pause; }

private:
    base::duration current = follow_timing::first_pause;
};

// Says once when the registry is lost, and once when it is back.
class registry_watchdog {
public:
    explicit registry_watchdog(host_parts const& own_parts, telemetry::literal own_subject)
        : parts{own_parts}, subject{own_subject} {}

    auto failed(registry_failure failure) -> void {
        this->parts.metrics.count_registry_failure();
        if (this->lost_since) {
            return;
        }
        this->lost_since = base::monotonic_clock::now();
        this->parts.log.write(telemetry::log_level::warning, "registry lost",
                              {{"subject", this->subject},
                               {"failure", failure == registry_failure::malformed
                                               ? telemetry::literal{"malformed"}
                                               : telemetry::literal{"no answer"}}});
    }
    auto succeeded() -> void {
        if (!this->lost_since) {
            return;
        }
        this->parts.log.write(telemetry::log_level::info, "registry regained",
                              {{"subject", this->subject},
                               {"lost_for", base::monotonic_clock::now() - *this->lost_since}});
        this->lost_since.reset();
    }

private:
    host_parts const& parts;
    telemetry::literal subject;
    std::optional<base::time_point> lost_since;
};

template <router_registry Registry>
class configuration_follower {
public:
    using taken_hook = std::function<void(routing::configuration const&)>;

    configuration_follower(Registry& own_registry, host_parts const& own_parts, taken_hook hook)
        : registry{own_registry},
          parts{own_parts},
          on_taken{std::move(hook)},
          watchdog{own_parts, "configuration"} {}

    // Never returns.
    [[noreturn]] auto run() -> void {
        auto position = std::optional<registry_position>{};
        for (;;) {
            if (this->wait_while_relayed()) {
                position.reset();
            }
            auto const now = base::monotonic_clock::now();
            auto const reading =
                position ? this->registry.await_configuration(
                               *position, follow_timing::wait,
                               now + follow_timing::wait + follow_timing::patience)
                         : this->registry.read_configuration(now + follow_timing::read_patience);
            auto const* const failure = base::failure_of(reading);
            this->parts.known.feed.set_reads_configuration(failure == nullptr);
            if (failure != nullptr) {
                this->after_failure(*failure, position.has_value());
                position.reset();
                continue;
            }
            this->watchdog.succeeded();
            this->pause.after_success();
            position = base::value_of(reading).position;
            this->take(base::value_of(reading).configuration);
        }
    }

    // Puts `offered` in force unless a newer one is; it may be null.
    auto take(std::shared_ptr<routing::configuration const> const& offered) -> void {
        if (offered == nullptr) {
            return;
        }
        auto const taken = this->parts.known.routes.offer(offered);
        if (!taken) {
            return;
        }
        this->parts.known.feed.publish(offered);
        this->parts.metrics.set_configuration(offered->version);
        this->parts.log.write(telemetry::log_level::info, "configuration in force",
                              {{"version", static_cast<std::int64_t>(offered->version.value)},
                               {"routes", static_cast<std::int64_t>(offered->routes.size())}});
        this->on_taken(*offered);
    }

private:
    // Another host brings configurations along with the changes of the upstreams; whether one did.
    auto wait_while_relayed() -> bool {
        auto const& until = this->parts.known.relayed_until;
        auto const relayed = base::monotonic_clock::now() < until;
        if (relayed) {
            this->parts.known.feed.set_reads_configuration(false);
        }
        while (base::monotonic_clock::now() < until) {
            runtime::sleep_until(base::monotonic_clock::now() + follow_timing::relayed_check);
        }
        return relayed;
    }

    auto after_failure(registry_failure failure, bool was_waiting) -> void {
        if (failure == registry_failure::history_lost || was_waiting) {
            // The full read that follows tells whether the registry is there.
            return;
        }
        this->watchdog.failed(failure);
        this->pause.after_failure(this->parts.known.draw());
    }

    Registry& registry;
    host_parts const& parts;
    taken_hook on_taken;
    registry_watchdog watchdog;
    retry_pause pause;
};

template <router_registry Registry>
class upstream_follower {
public:
    static constexpr auto sweep_interval = std::chrono::milliseconds{200};

    // Takes the configurations that a followed host brings along.
    using configuration_hook =
        std::function<void(std::shared_ptr<routing::configuration const> const&)>;

    upstream_follower(Registry& own_registry, host_parts const& own_parts, configuration_hook hook)
        : registry{own_registry},
          parts{own_parts},
          on_configuration{std::move(hook)},
          watchdog{own_parts, "upstreams"} {}

    // Drops records whose grace is over. Never returns.
    [[noreturn]] auto sweep() -> void {
        for (;;) {
            runtime::sleep_until(base::monotonic_clock::now() + sweep_interval);
            this->expire();
        }
    }

    // Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            auto position = this->list();
            while (position) {
                position = this->follow(*position);
            }
        }
    }

private:
    // Takes a full listing; its position, or nothing after a failure.
    auto list() -> std::optional<registry_position> {
        auto const listing = this->registry.list_upstreams(base::monotonic_clock::now() +
                                                           follow_timing::read_patience);
        if (auto const* const failure = base::failure_of(listing)) {
            this->parts.known.upstreams.note_outage();
            this->watchdog.failed(*failure);
            this->pause.after_failure(this->parts.known.draw());
            return std::nullopt;
        }
        this->watchdog.succeeded();
        this->pause.after_success();
        auto const& listed = base::value_of(listing);
        if (listed.unreadable > 0) {
            this->parts.log.write(telemetry::log_level::warning,
                                  "registered entries name no upstream",
                                  {{"entries", static_cast<std::int64_t>(listed.unreadable)}});
        }
        for (auto const& record : listed.records) {
            this->note_change(record);
        }
        auto const dropped =
            this->parts.known.upstreams.replace_all(listed.records, base::monotonic_clock::now());
        this->log_gone(dropped);
        this->publish();
        this->parts.known.feed.restart(listed.position);
        return listed.position;
    }

    // Waits for changes; the position after them, or nothing after a failure.
    auto follow(registry_position position) -> std::optional<registry_position> {
        auto const now = base::monotonic_clock::now();
        auto const relay = this->parts.known.relays.choose(now);
        this->note_source(relay);
        if (!relay) {
            return this->follow_registry(position);
        }
        this->parts.known.feed.withdraw();
        auto const answer = this->ask_relay(*relay, position);
        if (auto const* const failure = base::failure_of(answer)) {
            this->parts.known.relayed_until = base::time_point::min();
            if (*failure == registry_failure::history_lost) {
                return std::nullopt;
            }
            // The registry has the same positions, so nothing is lost by asking it instead.
            this->parts.log.write(telemetry::log_level::info, "followed host has no changes",
                                  {telemetry::field::peer(relay->host),
                                   {"malformed", *failure == registry_failure::malformed}});
            this->parts.known.relays.note_failure(relay->host, base::monotonic_clock::now());
            return this->follow_registry(position);
        }
        auto const& news = base::value_of(answer);
        this->parts.known.relayed_until =
            base::monotonic_clock::now() + follow_timing::peer_wait + follow_timing::peer_patience;
        this->on_configuration(news.configuration);
        this->take(news.upstreams);
        this->parts.known.feed.publish(news.upstreams, changes_from::neighbour);
        return news.upstreams.position;
    }

    auto ask_relay(host_entry const& relay, registry_position position) const -> changes_answer {
        auto const configuration = this->parts.known.routes.current();
        auto const version =
            configuration ? configuration->version : routing::configuration_version{};
        auto request = runtime::http_request{"POST", "/upstream-changes", {}, {}};
        request.body = encode(changes_question{position, follow_timing::peer_wait, version});
        auto const answered = runtime::fetch(
            *relay.peers, request, runtime::connection_use::pooled,
            base::monotonic_clock::now() + follow_timing::peer_wait + follow_timing::peer_patience);
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
            this->parts.log.write(telemetry::log_level::info, "changes come from a host",
                                  {telemetry::field::peer(relay->host)});
        } else {
            this->parts.log.write(telemetry::log_level::info, "changes come from the registry", {});
        }
    }

    auto follow_registry(registry_position position) -> std::optional<registry_position> {
        auto const asked_at = base::monotonic_clock::now();
        auto const changes = this->registry.await_upstreams(
            position, follow_timing::wait,
            asked_at + follow_timing::wait + follow_timing::patience);
        if (auto const* const failure = base::failure_of(changes)) {
            if (*failure != registry_failure::history_lost) {
                this->parts.known.upstreams.note_outage();
            }
            this->parts.known.feed.withdraw();
            return std::nullopt;
        }
        this->take(base::value_of(changes));
        this->parts.known.feed.publish(base::value_of(changes), changes_from::registry);
        runtime::sleep_until(base::monotonic_clock::now() + follow_timing::gather);
        return base::value_of(changes).position;
    }

    auto take(upstream_changes const& changes) -> void {
        auto const now = base::monotonic_clock::now();
        auto& upstreams = this->parts.known.upstreams;
        this->parts.log.write(telemetry::log_level::debug, "upstream changes read",
                              {{"put", static_cast<std::int64_t>(changes.put.size())},
                               {"removed", static_cast<std::int64_t>(changes.removed.size())},
                               {"position", static_cast<std::int64_t>(changes.position.value)}});
        if (changes.removed.size() > upstreams.all().size() / 4 + 1) {
            // So many at once have not left: their entries lapsed while the registry was away.
            upstreams.begin_grace(now);
        }
        for (auto const& record : changes.put) {
            this->note_change(record);
            upstreams.put(record);
        }
        auto gone = std::vector<base::upstream_id>{};
        for (auto const& id : changes.removed) {
            if (upstreams.remove(id, now)) {
                gone.push_back(id);
            }
        }
        this->log_gone(gone);
        if (!changes.put.empty() || !gone.empty()) {
            this->publish();
        }
    }

    auto note_change(routing::upstream_record const& record) -> void {
        if (auto const* const ended = this->parts.known.upstreams.superseded_by(record)) {
            this->parts.log.write(telemetry::log_level::info, "upstream gone",
                                  {ended->id, telemetry::field::named("superseded_by", record.id)});
        }
        auto const* const known = this->parts.known.upstreams.find(record.id);
        auto const restarted = known != nullptr && (known->started != record.started ||
                                                    known->address != record.address);
        if (restarted) {
            this->parts.known.forget_load(record.id);
        }
        auto const news = known == nullptr || restarted || known->leaving != record.leaving ||
                          known->stage != record.stage;
        if (news) {
            this->parts.log.write(telemetry::log_level::info, "upstream changed",
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
        auto const gone = this->parts.known.upstreams.expire(base::monotonic_clock::now());
        if (!gone.empty()) {
            this->log_gone(gone);
            this->publish();
        }
    }

    auto log_gone(std::vector<base::upstream_id> const& gone) const -> void {
        for (auto const& id : gone) {
            this->parts.log.write(telemetry::log_level::info, "upstream gone", {id});
        }
    }

    auto publish() -> void {
        this->parts.known.refresh_pools();
        this->parts.metrics.set_upstreams(this->parts.known.upstreams.all().size());
    }

    Registry& registry;
    host_parts const& parts;
    configuration_hook on_configuration;
    registry_watchdog watchdog;
    retry_pause pause;
    // The host that changes come from; empty for the registry.
    base::host_id followed;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_

// Keeps a routing view current: one fiber for the upstreams, which come from the registry or from
// another host, and one that reads the configuration from the registry as long as the upstreams
// come from there.
//
// Both read the full state once and then wait for changes. Positions are those of the registry at
// every source, so a change of the source leaves no gap. While no source is usable, the last known
// state stays in force.

#ifndef LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_
#define LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "linnetlane/router/messages.h"
#include "linnetlane/router/outage_inquiry.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/relay_selector.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Timing of the calls to the registry and to other hosts.
struct follower_timing {
    // The longest time for which a call waits for changes. If the registry stops answering, this is
    // detected earlier, by keepalive probes of the connection and by `host_membership`, which
    // interrupts the wait.
    static constexpr auto max_wait = std::chrono::seconds{15};
    // How long a call waits for a newer configuration while keys are required, as shares of the
    // time for which unknown keys can be rejected and of the bound on revocations. They leave time
    // for followers and, of the bound, for a lost call.
    static constexpr auto unknown_key_share = 1.0 / 6;
    static constexpr auto revocation_share = 1.0 / 6;
    // How long a call waits for a newer configuration, as a share of the bound on changes. Its end
    // is a proof that the configuration is the newest one, which followers have a moment later.
    static constexpr auto proof_share = 1.0 / 4;
    // The time after the end of the wait at which a call fails.
    static constexpr auto timeout_margin = std::chrono::milliseconds{700};
    // The timeout of a read of the full state.
    static constexpr auto read_timeout = std::chrono::milliseconds{1500};
    // The pause between two reads of changes, so that one read returns several.
    static constexpr auto batch_interval = std::chrono::milliseconds{400};
    static constexpr auto initial_backoff = std::chrono::milliseconds{50};
    static constexpr auto max_backoff = std::chrono::milliseconds{800};
    // How long a followed host waits for changes before it answers.
    static constexpr auto peer_wait = std::chrono::milliseconds{400};
    // The time after the end of that wait at which a host counts as silent if it has not begun to
    // answer.
    static constexpr auto peer_timeout_margin = std::chrono::milliseconds{250};
    // The time for the rest of an answer that has begun. Hosts send a large configuration to all of
    // their followers at once.
    static constexpr auto peer_answer_time = std::chrono::milliseconds{1000};
    static constexpr auto max_peer_answer_bytes = std::size_t{16} * 1024 * 1024;
    // How long a host may take to show that it is alive, after another one fell silent.
    static constexpr auto liveness_timeout = std::chrono::milliseconds{250};
    static constexpr auto liveness_check_interval = std::chrono::milliseconds{10};
    // The wait of the first read of changes after another source was used, short so that followers
    // soon can rely on this host.
    static constexpr auto first_wait = std::chrono::milliseconds{20};
    // How often a host checks whether a source has become usable.
    static constexpr auto source_check_interval = std::chrono::milliseconds{50};
    // The interval between reads of the list of hosts while no source is usable, for a host that
    // knows no other, and for one that does.
    static constexpr auto host_list_interval = std::chrono::milliseconds{400};
    static constexpr auto known_host_list_interval = std::chrono::seconds{2};
    // The mean delay, on a host with a whole core, before it reads the registry without being in
    // the order of hosts to follow. Hosts with less capacity wait longer, so that a host with more
    // is followed.
    static constexpr auto last_resort_delay = std::chrono::milliseconds{150};
    static constexpr auto max_last_resort_delay = std::chrono::milliseconds{1500};
};

[[nodiscard]] inline auto share_of(base::duration whole, double share) -> base::duration {
    return std::chrono::duration_cast<base::duration>(whole * share);
}

// Returns how long a call waits for changes of the upstreams. If the answer is lost while the
// registry answers other calls, only the end of the wait shows it.
[[nodiscard]] inline auto change_wait(change_settings const& changes) -> base::duration {
    return std::min<base::duration>(changes.applied_within, follower_timing::max_wait);
}

// Returns the registered hosts of the data centre of `self`.
[[nodiscard]] inline auto hosts_of(host_listing const& listing, host_entry const& self)
    -> std::vector<host_entry> {
    auto found = std::vector<host_entry>{};
    for (auto const& each : listing.hosts) {
        if (each.entry.data_centre == self.data_centre) {
            found.push_back(each.entry);
        }
    }
    return found;
}

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
    // Returns whether this ends an outage.
    auto succeeded() -> bool {
        if (!this->lost_since) {
            return false;
        }
        this->host.log.write(telemetry::log_level::info, "registry regained",
                             {{"subject", this->subject},
                              {"lost_for", base::monotonic_clock::now() - *this->lost_since}});
        this->lost_since.reset();
        return true;
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
        for (;;) {
            if (this->wait_while_relayed()) {
                this->position.reset();
            }
            auto const now = base::monotonic_clock::now();
            auto const asked_at = base::boot_clock::now();
            auto const wait = this->longest_wait();
            auto const after = this->position;
            if (!after) {
                // Only a configuration that the read returns counts.
                this->shown.reset();
            }
            auto const deadline = now + (after ? wait + follower_timing::timeout_margin
                                               : base::duration{follower_timing::read_timeout});
            auto const reading = after ? this->registry.await_configuration(*after, wait, deadline)
                                       : this->registry.read_configuration(deadline);
            auto const* const failure = base::failure_of(reading);
            auto const wait_timed_out =
                failure != nullptr && after && base::monotonic_clock::now() >= deadline;
            if (!wait_timed_out) {
                // Otherwise only this answer may be lost, and the full read that follows decides.
                this->host.view.feed.set_reads_configuration(failure == nullptr);
            }
            if (failure != nullptr) {
                this->after_failure(*failure, after.has_value());
                this->position.reset();
                continue;
            }
            this->outages.succeeded();
            this->backoff.after_success();
            this->position = base::value_of(reading).position;
            this->shown = this->apply(base::value_of(reading), this->shown, asked_at);
        }
    }

    // Asks the registry at once for what is newer than it has shown and applies it, beside the wait
    // for that, also on hosts that follow another one. Returns whether the registry answered.
    // Suspends the calling fiber, at most until `deadline`.
    auto read_newer(base::time_point deadline) -> bool {
        auto const known = this->host.view.last_shown();
        if (known) {
            auto const asked_at = base::boot_clock::now();
            auto const newer = this->registry.read_newer_configuration(known->position, deadline);
            auto const* const failure = base::failure_of(newer);
            if (failure == nullptr) {
                this->apply(base::value_of(newer), known->version, asked_at);
                return true;
            }
            if (*failure != registry_failure::history_lost) {
                // The wait under way, or the next query, shows whether the registry is available.
                return false;
            }
        }
        auto const asked_at = base::boot_clock::now();
        auto const reading = this->registry.read_configuration(deadline);
        if (base::failure_of(reading) != nullptr) {
            return false;
        }
        this->apply(base::value_of(reading), std::nullopt, asked_at);
        return true;
    }

    // Puts `offered`, which the host `told_by` or the registry provided, in force if its version is
    // newer than the current one. `offered` may be null.
    auto offer(std::shared_ptr<routing::configuration const> const& offered,
               base::host_id const& told_by = {}) -> void {
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
                              {"routes", static_cast<std::int64_t>(offered->routes.size())},
                              telemetry::field::named("from", told_by)});
        this->on_applied(*offered);
    }

private:
    using moment = routing::configuration_freshness::time_point;
    using shown_version = std::optional<routing::configuration_version>;

    // Applies an answer to a question at `asked_at` for what is newer than the version `before`, or
    // for whatever there is if that is nothing. Returns the version that the registry has at the
    // answer's position; nothing if there is none or it can't be read. One that isn't in force
    // proves nothing, such as an older one after a restoration, or after the answer was overtaken.
    auto apply(configuration_reading const& reading, shown_version const& before, moment asked_at)
        -> shown_version {
        for (auto const& path : reading.skipped) {
            this->host.log.write(telemetry::log_level::warning,
                                 "a part of the configuration can't be read",
                                 {telemetry::field::named("path", base::document_path{path})});
        }
        this->offer(reading.configuration);
        this->note_era();
        auto shows = reading.unreadable ? std::nullopt : before;
        if (reading.configuration != nullptr) {
            shows = reading.configuration->version;
        }
        auto& view = this->host.view;
        view.note_shown({shows, reading.position});
        auto const in_force = view.routes.current();
        if (in_force != nullptr && shows == in_force->version) {
            view.freshness.note_newest(asked_at);
        }
        return shows;
    }

    // Drops all proofs after a restoration of the registry.
    auto note_era() -> void {
        if (this->registry.era() != this->known_era) {
            this->known_era = this->registry.era();
            this->host.view.freshness.forget();
        }
    }

    // Returns how long to wait for a newer configuration. The end of a wait without one proves that
    // the configuration is the newest.
    [[nodiscard]] auto longest_wait() const -> base::duration {
        auto const current = this->host.view.routes.current();
        using seconds = std::chrono::duration<double>;
        auto longest = std::min<seconds>(
            this->host.settings.changes.applied_within * follower_timing::proof_share,
            follower_timing::max_wait);
        if (current != nullptr && current->requires_keys) {
            auto const& accounts = this->host.settings.accounts;
            longest = std::min<seconds>(
                longest, accounts.current_within * follower_timing::unknown_key_share);
            if (accounts.revocation_bound) {
                longest = std::min<seconds>(
                    longest, *accounts.revocation_bound * follower_timing::revocation_share);
            }
        }
        return std::chrono::duration_cast<base::duration>(longest);
    }

    // Waits while this host doesn't read the registry itself. Returns whether it waited.
    auto wait_while_relayed() -> bool {
        auto const& view = this->host.view;
        if (view.reads_registry) {
            return false;
        }
        this->host.view.feed.set_reads_configuration(false);
        while (!view.reads_registry) {
            runtime::sleep_until(base::monotonic_clock::now() +
                                 follower_timing::source_check_interval);
        }
        return true;
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
    registry_era known_era;
    // The position of the last answer of the registry; nothing if a full read is needed.
    std::optional<registry_position> position;
    // The version that the registry has at that position; nothing if there is none or it can't be
    // read.
    shown_version shown;
};

// Follows the upstreams in the registry, directly or through another host. Not thread-safe; must be
// used on one worker only.
template <router_registry Registry>
class upstream_follower {
public:
    static constexpr auto sweep_interval = std::chrono::milliseconds{200};
    // Memory for entries of other writers is bounded.
    static constexpr auto max_unreadable = std::size_t{1000};

    // Receives the configurations that a followed host provides; null if there is no newer one.
    using configuration_hook = std::function<void(
        std::shared_ptr<routing::configuration const> const&, base::host_id const&)>;

    upstream_follower(Registry& own_registry, host_context const& own_host, configuration_hook hook)
        : registry{own_registry},
          host{own_host},
          on_configuration{std::move(hook)},
          outages{own_host, "upstreams"},
          inquiry{own_host} {}

    // Drops records whose grace period has ended. Never returns.
    [[noreturn]] auto sweep() -> void {
        for (;;) {
            runtime::sleep_until(base::monotonic_clock::now() + sweep_interval);
            this->expire();
        }
    }

    // Follows the upstreams. Never returns.
    [[noreturn]] auto run() -> void {
        this->host.view.relays.set_last_resort_delay(this->draw_last_resort_delay());
        this->refresh_order();
        auto position = std::optional<registry_position>{};
        for (;;) {
            position = this->follow(position);
        }
    }

private:
    [[nodiscard]] auto draw_last_resort_delay() const -> base::duration {
        auto const share = std::max(this->host.settings.processor_share.value, 0.01);
        auto const mean = std::min<std::chrono::duration<double>>(
            follower_timing::last_resort_delay / share, follower_timing::max_last_resort_delay);
        return std::chrono::duration_cast<base::duration>(mean * (0.5 + this->host.view.draw()));
    }

    // Reads changes since `position`, or all upstreams if it is not set, from the source that is
    // usable now. Returns the new position, or nothing if all upstreams have to be read.
    auto follow(std::optional<registry_position> position) -> std::optional<registry_position> {
        auto& view = this->host.view;
        auto const choice = view.relays.choose(base::monotonic_clock::now());
        auto const turns_reader =
            choice.origin == change_origin::registry && !std::exchange(view.reads_registry, true);
        view.reads_registry = choice.origin == change_origin::registry;
        view.source = choice.relay;
        this->note_source(choice);
        switch (choice.origin) {
            case change_origin::registry:
                return position ? this->follow_registry(*position, turns_reader) : this->list();
            case change_origin::relay:
                return this->follow_relay(*choice.relay, position);
            case change_origin::none:
                break;
        }
        view.feed.invalidate();
        this->refresh_order_if_due();
        runtime::sleep_until(base::monotonic_clock::now() + follower_timing::source_check_interval);
        return position;
    }

    // ---- The registry ----

    // Applies a full listing. Returns its position, or nothing after a failure.
    auto list() -> std::optional<registry_position> {
        auto& view = this->host.view;
        auto const asked_at = base::boot_clock::now();
        auto const listing = this->registry.list_upstreams(base::monotonic_clock::now() +
                                                           follower_timing::read_timeout);
        if (auto const* const failure = base::failure_of(listing)) {
            this->note_registry_lost(*failure);
            return std::nullopt;
        }
        static_cast<void>(this->note_registry_answered());
        auto const& listed = base::value_of(listing);
        this->apply_listing(listed.records);
        view.note_upstreams_current(asked_at);
        this->unreadable.clear();
        this->note_unreadable(listed.unreadable);
        view.feed.restart(listed.position);
        return listed.position;
    }

    // Waits for changes and applies them. Returns the new position, or nothing if a full listing is
    // needed. After a loss of the registry the position stays valid, here and at other hosts.
    auto follow_registry(registry_position position, bool turns_reader)
        -> std::optional<registry_position> {
        auto const asked_at = base::monotonic_clock::now();
        auto const current_at = base::boot_clock::now();
        auto const wait = turns_reader ? base::duration{follower_timing::first_wait}
                                       : change_wait(this->host.settings.changes);
        auto const deadline = asked_at + wait + follower_timing::timeout_margin;
        auto const changes = this->registry.await_upstreams(position, wait, deadline);
        if (auto const* const failure = base::failure_of(changes)) {
            if (base::monotonic_clock::now() >= deadline) {
                // Only this answer may be lost. If the registry doesn't answer other calls either,
                // `host_membership` interrupts the next wait.
                return position;
            }
            this->host.view.feed.invalidate();
            if (*failure == registry_failure::history_lost) {
                return std::nullopt;
            }
            this->note_registry_lost(*failure);
            return position;
        }
        auto const may_have_lapsed = this->note_registry_answered();
        this->apply(base::value_of(changes), may_have_lapsed);
        this->host.view.note_upstreams_current(current_at);
        this->host.view.feed.publish(base::value_of(changes), change_source::registry);
        if (!turns_reader) {
            runtime::sleep_until(base::monotonic_clock::now() + follower_timing::batch_interval);
        }
        return base::value_of(changes).position;
    }

    auto note_registry_lost(registry_failure failure) -> void {
        auto& view = this->host.view;
        view.upstreams.note_outage();
        view.registry_answers.note_loss();
        ++this->losses;
        this->outages.failed(failure);
        view.relays.note_failure(view.relays.own_entry().host, relay_failure::without_registry,
                                 base::monotonic_clock::now());
        view.feed.set_lost_registry(true);
    }

    // Returns whether more time than usual has passed since the last answer, in which there may
    // have been an outage that this host has not noticed.
    auto note_registry_answered() -> bool {
        auto& view = this->host.view;
        auto const losses_before = this->losses;
        this->note_era();
        auto const was_restored = this->losses != losses_before;
        this->outages.succeeded();
        auto const had_gap = this->had_gap();
        if (view.upstreams.note_available(base::monotonic_clock::now()) || had_gap) {
            this->log_grace();
            if (!was_restored) {
                this->inquire_about_outage();
            }
        }
        this->last_answer = base::boot_clock::now();
        view.registry_answers.note_answer(*this->last_answer);
        view.relays.note_success(view.relays.own_entry().host);
        view.feed.set_lost_registry(false);
        return had_gap;
    }

    // Returns whether more time than usual has passed since the last answer of a source.
    [[nodiscard]] auto had_gap() const -> bool {
        return this->last_answer &&
               this->host.view.registry_answers.is_gap(*this->last_answer, base::boot_clock::now());
    }

    auto log_grace() const -> void {
        auto const now = base::boot_clock::now();
        this->host.log.write(
            telemetry::log_level::info, "removed upstreams may have lapsed",
            {{"without_answer_for", now - this->last_answer.value_or(now)},
             {"grace_left", this->host.view.upstreams.grace_left(base::monotonic_clock::now())}});
    }

    // Drops the upstreams whose entries were removed since the last answer, if the registry was
    // available to another host all the while: their entries have not lapsed.
    auto inquire_about_outage() -> void {
        if (!this->last_answer) {
            return;
        }
        this->host.pool.spawn([this, lost_at = *this->last_answer, known_losses = this->losses] {
            auto const witness = this->inquiry.find_witness(lost_at);
            // After another loss, there may have been another outage.
            if (!witness || this->losses != known_losses) {
                return;
            }
            this->host.log.write(telemetry::log_level::info,
                                 "the registry was available to another host: no upstream lapsed",
                                 {telemetry::field::peer(*witness)});
            this->host.view.upstreams.end_grace(base::monotonic_clock::now());
            this->expire();
        });
    }

    auto note_era() -> void {
        auto const era = this->registry.era();
        if (era == this->known_era) {
            return;
        }
        if (this->known_era.value != 0) {
            this->host.log.write(telemetry::log_level::warning,
                                 "registry was restored from an older copy",
                                 {{"era", static_cast<std::int64_t>(era.value)}});
            // The copy may lack live upstreams, which register again, and the versions of some.
            this->host.view.upstreams.note_outage();
            this->host.view.registry_answers.note_loss();
            ++this->losses;
            this->host.view.note_missed_changes();
            this->host.view.origins.record_again();
        }
        this->known_era = era;
    }

    auto refresh_order_if_due() -> void {
        if (base::monotonic_clock::now() >= this->next_order_refresh) {
            this->refresh_order();
        }
    }

    // Reads which hosts of the data centre are registered. Only hosts without a usable source do
    // this here; `host_membership` does it for hosts that read the registry.
    auto refresh_order() -> void {
        auto& view = this->host.view;
        auto const now = base::monotonic_clock::now();
        auto const interval = view.relays.has_order()
                                  ? base::duration{follower_timing::known_host_list_interval}
                                  : base::duration{follower_timing::host_list_interval};
        this->next_order_refresh = now + interval;
        auto const listing =
            this->registry.list_hosts(freshness::may_be_stale, now + follower_timing::read_timeout);
        if (auto const* const failure = base::failure_of(listing)) {
            this->note_registry_lost(*failure);
            this->next_order_refresh = base::monotonic_clock::now() + follower_timing::max_backoff;
            return;
        }
        view.feed.set_lost_registry(false);
        if (this->outages.succeeded()) {
            view.relays.note_registry_regained(base::monotonic_clock::now());
        }
        view.learn_quarantined(base::value_of(listing).quarantined, base::monotonic_clock::now());
        view.learn_stated_versions(base::value_of(listing), base::monotonic_clock::now());
        auto const registered = hosts_of(base::value_of(listing), view.relays.own_entry());
        if (!registered.empty()) {
            view.relays.set_order(order_relays(registered, {}));
        }
    }

    // ---- Another host ----

    auto follow_relay(host_entry const& relay, std::optional<registry_position> position)
        -> std::optional<registry_position> {
        auto& view = this->host.view;
        view.feed.invalidate();
        auto const asked_at = base::boot_clock::now();
        auto const answer = this->ask_relay(relay, position);
        if (auto const* const failure = base::failure_of(answer)) {
            if (*failure == registry_failure::history_lost) {
                return std::nullopt;
            }
            this->note_relay_lost(relay, *failure);
            return position;
        }
        auto const& update = base::value_of(answer);
        if (!update.relays.empty()) {
            view.relays.set_order(update.relays);
        }
        if (update.redirected) {
            // Hosts with different orders could otherwise redirect to each other without end.
            view.relays.note_failure(relay.host, relay_failure::without_registry,
                                     base::monotonic_clock::now());
            if (!update.relays.empty()) {
                view.relays.note_followed_elsewhere(update.relays.front().host);
            }
            return position;
        }
        view.relays.note_success(relay.host);
        this->learn_from(relay, update);
        view.distant_readers = update.distant_readers;
        if (update.hosts > 0) {
            view.note_hosts(update.hosts, base::monotonic_clock::now());
        }
        this->on_configuration(update.configuration, relay.host);
        // Older hosts state an age without the version.
        auto const current = view.routes.current();
        auto const is_same = current != nullptr && update.configuration_version.value_or(
                                                       current->version) == current->version;
        if (update.configuration_age && is_same) {
            view.freshness.note_newest(asked_at - *update.configuration_age, relay.host);
        }
        if (update.configuration_version && update.configuration_position) {
            view.note_shown({*update.configuration_version, *update.configuration_position});
        }
        auto const may_have_lapsed = this->adopt_grace(update);
        view.note_upstreams_current(asked_at);
        if (update.complete) {
            this->apply_listing(update.upstreams.put);
            this->note_unreadable(update.upstreams.unreadable);
            view.feed.restart(update.upstreams.position);
            view.feed.invalidate();
        } else {
            this->apply(update.upstreams, may_have_lapsed);
            view.feed.publish(update.upstreams, change_source::peer);
        }
        return update.upstreams.position;
    }

    // Keeps removed upstreams for as long as the followed host does. Returns whether there may have
    // been an outage since the last answer that neither host has noticed.
    auto adopt_grace(registry_update const& update) -> bool {
        auto& view = this->host.view;
        auto const had_gap = this->had_gap();
        auto const answered_before = std::exchange(this->last_answer, base::boot_clock::now());
        auto const now = base::monotonic_clock::now();
        if (update.grace_left > base::duration::zero()) {
            view.upstreams.extend_grace(now, update.grace_left);
            return false;
        }
        auto const was_available =
            answered_before &&
            *this->last_answer - update.registry_answered_for <= *answered_before;
        if (was_available) {
            view.upstreams.end_grace(now);
        }
        return !was_available && had_gap;
    }

    // Learns the facts in an answer, and remembers which ones both hosts know now.
    auto learn_from(host_entry const& relay, registry_update const& update) -> void {
        auto& view = this->host.view;
        if (!update.facts_at || relay.host != this->facts_from) {
            return;
        }
        auto const learned_meanwhile = view.facts.position() != this->asked_facts;
        auto const now = base::monotonic_clock::now();
        view.learn(without_ages(update.facts, now), now);
        this->received_facts = *update.facts_at;
        // The facts of the answer needn't be sent back.
        this->sent_facts = learned_meanwhile ? this->asked_facts : view.facts.position();
    }

    auto ask_relay(host_entry const& relay, std::optional<registry_position> position)
        -> changes_answer {
        auto const configuration = this->host.view.routes.current();
        auto question = changes_question{
            position.value_or(registry_position{}), follower_timing::peer_wait,
            configuration ? configuration->version : routing::configuration_version{}};
        question.complete = !position;
        auto& view = this->host.view;
        question.sender = view.relays.own_entry();
        if (this->facts_from != relay.host) {
            this->facts_from = relay.host;
            this->received_facts = fact_mark{};
            this->sent_facts = routing::fact_position{};
        }
        auto const now = base::monotonic_clock::now();
        question.known_facts = this->received_facts;
        question.facts = with_ages(view.facts.changed_since(this->sent_facts, now), now);
        this->asked_facts = view.facts.position();
        auto opened = runtime::open_stream(
            *relay.peers, make_changes_request(question), runtime::connection_use::pooled,
            base::monotonic_clock::now() + follower_timing::peer_wait +
                follower_timing::peer_timeout_margin);
        if (base::failure_of(opened) != nullptr) {
            return registry_failure::malformed;
        }
        auto answer = base::take_value(std::move(opened));
        auto const body =
            answer.read_all(follower_timing::max_peer_answer_bytes,
                            base::monotonic_clock::now() + follower_timing::peer_answer_time);
        if (base::failure_of(body) != nullptr || answer.status() != 200) {
            return registry_failure::malformed;
        }
        return decode_answer(base::value_of(body));
    }

    auto note_relay_lost(host_entry const& relay, registry_failure failure) -> void {
        auto const without_registry = failure == registry_failure::unavailable;
        this->host.log.write(
            telemetry::log_level::info, "no changes received from relay host",
            {telemetry::field::peer(relay.host), {"without_registry", without_registry}});
        this->host.view.relays.note_failure(
            relay.host,
            without_registry ? relay_failure::without_registry : relay_failure::unreachable,
            base::monotonic_clock::now());
        if (!without_registry) {
            this->find_silent_hosts();
        }
    }

    // Asks all hosts that may be followed next, at the same time, for a sign of life and records
    // those that give none. Followed in turn, each of them would cost the timeout of a question.
    auto find_silent_hosts() -> void {
        struct probe_results {
            std::set<base::host_id> alive;
            std::size_t ended = 0;
        };
        auto& relays = this->host.view.relays;
        auto const asked = relays.candidates(base::monotonic_clock::now());
        if (asked.empty()) {
            return;
        }
        auto const deadline = base::monotonic_clock::now() + follower_timing::liveness_timeout;
        auto const results = std::make_shared<probe_results>();
        for (auto const& each : asked) {
            this->host.pool.spawn([each, deadline, results] {
                // Every host answers a report without facts at once.
                auto const answered =
                    runtime::fetch(*each.peers, make_fact_report({}),
                                   runtime::connection_use::pooled, deadline, max_peer_answer);
                if (base::succeeded(answered)) {
                    results->alive.insert(each.host);
                }
                ++results->ended;
            });
        }
        while (results->ended < asked.size() && base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(base::monotonic_clock::now() +
                                 follower_timing::liveness_check_interval);
        }
        auto const now = base::monotonic_clock::now();
        for (auto const& each : asked) {
            if (!results->alive.contains(each.host)) {
                relays.note_failure(each.host, relay_failure::unreachable, now);
            }
        }
        this->host.log.write(telemetry::log_level::info, "checked which hosts can be followed",
                             {{"asked", static_cast<std::int64_t>(asked.size())},
                              {"alive", static_cast<std::int64_t>(results->alive.size())}});
    }

    auto note_source(relay_choice const& choice) -> void {
        auto const now_followed = choice.relay ? choice.relay->host : base::host_id{};
        if (now_followed == this->followed && choice.origin == this->origin) {
            return;
        }
        this->followed = now_followed;
        this->origin = choice.origin;
        switch (choice.origin) {
            case change_origin::relay:
                this->host.log.write(telemetry::log_level::info, "changes come from a host",
                                     {telemetry::field::peer(now_followed)});
                return;
            case change_origin::registry:
                this->host.log.write(telemetry::log_level::info, "changes come from the registry",
                                     {});
                return;
            case change_origin::none:
                break;
        }
        this->host.log.write(telemetry::log_level::info, "no source of changes is usable", {});
    }

    // ---- State ----

    auto apply_listing(std::vector<routing::upstream_record> const& listed) -> void {
        for (auto const& record : listed) {
            this->note_change(record);
        }
        auto const dropped =
            this->host.view.upstreams.replace_all(listed, base::monotonic_clock::now());
        this->log_dropped(dropped);
        this->publish();
    }

    // `may_have_lapsed`: there may have been an outage of the registry that this host has not
    // noticed.
    auto apply(upstream_changes const& changes, bool may_have_lapsed) -> void {
        auto const now = base::monotonic_clock::now();
        auto& upstreams = this->host.view.upstreams;
        this->host.log.write(telemetry::log_level::debug, "upstream changes read",
                             {{"put", static_cast<std::int64_t>(changes.put.size())},
                              {"removed", static_cast<std::int64_t>(changes.removed.size())},
                              {"position", static_cast<std::int64_t>(changes.position.value)}});
        auto const known_removed = std::ranges::count_if(
            changes.removed, [&](auto const& id) { return upstreams.find(id) != nullptr; });
        if (may_have_lapsed &&
            static_cast<std::size_t>(known_removed) > upstreams.all().size() / 4 + 1) {
            upstreams.begin_grace(now);
        }
        for (auto const& record : changes.put) {
            this->note_change(record);
            upstreams.put(record);
            this->unreadable.erase(record.id);
        }
        this->note_unreadable(changes.unreadable);
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

    // Logs entries that can't be read, each once until it changes. Their writers may repeat them.
    auto note_unreadable(std::vector<unreadable_entry> const& entries) -> void {
        for (auto const& entry : entries) {
            if (this->unreadable.size() >= max_unreadable) {
                this->unreadable.clear();
            }
            auto const [known, is_new] = this->unreadable.try_emplace(entry.id, entry.field);
            if (is_new || known->second != entry.field) {
                known->second = entry.field;
                this->host.log.write(telemetry::log_level::warning,
                                     "registry entry is not a valid upstream record",
                                     {entry.id, telemetry::field::named("field", entry.field)});
            }
        }
    }

    auto note_change(routing::upstream_record const& record) -> void {
        if (auto const* const ended = this->host.view.upstreams.superseded_by(record)) {
            this->host.log.write(telemetry::log_level::info, "upstream gone",
                                 {ended->id, telemetry::field::named("superseded_by", record.id)});
        }
        auto const* const known = this->host.view.upstreams.find(record.id);
        auto const restarted = known != nullptr && routing::has_restarted(*known, record);
        if (restarted) {
            this->host.view.forget_load(record.id);
        }
        auto const changed = known == nullptr || restarted || known->leaving != record.leaving ||
                             known->stage != record.stage || known->software != record.software;
        if (changed) {
            this->host.log.write(telemetry::log_level::info, "upstream changed",
                                 {record.id,
                                  record.service,
                                  record.address,
                                  record.data_centre,
                                  telemetry::field::named("software", record.software),
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
    outage_inquiry inquiry;
    // When a source of changes answered last.
    std::optional<base::boot_clock::time_point> last_answer;
    // The number of losses of the registry or of its changes that this host has noticed.
    std::uint64_t losses = 0;
    change_origin origin = change_origin::none;
    // The host that changes are read from; empty if there is none.
    base::host_id followed;
    base::time_point next_order_refresh = base::time_point::min();
    registry_era known_era;
    // The entries that can't be read and have been logged, with the field.
    std::map<base::upstream_id, base::document_path> unreadable;
    // The host with which facts were exchanged last, and what each of both knows.
    base::host_id facts_from;
    fact_mark received_facts;
    routing::fact_position sent_facts;
    // This host's facts at the last question.
    routing::fact_position asked_facts;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REGISTRY_FOLLOWER_H_

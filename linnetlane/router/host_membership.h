// Keeps a host registered while it reads the registry for others, counts the hosts, and claims the
// role of order giver when no host has it. The order giver is the host that orders engines to
// change their stage.

#ifndef LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_
#define LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"
#include "linnetlane/routing/stage_balancer.h"

namespace linnetlane::router {

// This host's claim to be the order giver. It is valid for as long as the host's lease.
struct order_giver_claim {
    base::fencing_number fence;
    // No order is given before this time, at which the lease of the previous order giver has
    // certainly ended.
    base::time_point not_before;
};

// Not thread-safe; must be used on one worker only. `run` occupies one fiber.
template <router_registry Registry, router_wire Wire>
class host_membership {
public:
    // Several intervals, so that the lease survives one or two lost calls.
    static constexpr auto lease_ttl = std::chrono::seconds{10};
    static constexpr auto interval = std::chrono::milliseconds{2000};
    // The interval and the timeout while other hosts follow this one. Within the sum of both,
    // followers learn that this host has lost the registry.
    static constexpr auto followed_interval = std::chrono::milliseconds{500};
    static constexpr auto followed_call_timeout = std::chrono::milliseconds{400};
    static constexpr auto list_interval = std::chrono::seconds{2};
    // How long a host that no longer reads the registry stays registered, so that a short change of
    // the source costs no calls.
    static constexpr auto unregister_delay = std::chrono::seconds{5};
    // How often the host checks whether it has become a reader of the registry.
    static constexpr auto role_check_interval = std::chrono::milliseconds{50};
    // The least relative change of the number of followers that is published.
    static constexpr auto min_follower_change = 0.1;
    // Shorter intervals after the host has registered, so that the pools reach their sizes before
    // callers send requests and others soon find this host.
    static constexpr auto first_interval = std::chrono::milliseconds{300};
    static constexpr auto first_intervals = 8;
    static constexpr auto call_timeout = std::chrono::milliseconds{800};
    // How long a recorded quarantine may be missing in the list before it is recorded again.
    static constexpr auto record_interval = std::chrono::seconds{30};
    // Added to `order_lease` after a claim, for orders of the previous order giver in transit.
    static constexpr auto takeover_margin = std::chrono::milliseconds{1500};
    // No order is given when less than this is left of the lease.
    static constexpr auto lease_margin = std::chrono::milliseconds{1500};
    // All hosts of a fleet that is started for the first time are up within this time.
    static constexpr auto fleet_startup = std::chrono::seconds{4};
    // The time after startup in which engines register and callers don't send requests yet.
    static constexpr auto pool_startup = std::chrono::seconds{8};
    // The additional time after a stage change until the engine's record shows the new stage.
    static constexpr auto record_lag = std::chrono::seconds{3};
    // How long an engine that declined an order is left alone.
    static constexpr auto declined_pause = std::chrono::seconds{2};
    // The longest time that an engine needs to finish its requests before a stage change.
    static constexpr auto max_request_time = std::chrono::seconds{6};

    host_membership(Registry& own_registry, host_context const& own_host)
        : registry{own_registry}, host{own_host} {}

    // Keeps the lease, lists the hosts and orders stage changes. Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            auto const was_reader = this->host.view.reads_registry;
            this->step();
            auto const until = base::monotonic_clock::now() + this->pause();
            while (base::monotonic_clock::now() < until &&
                   (was_reader || !this->host.view.reads_registry)) {
                runtime::sleep_until(
                    std::min(until, base::monotonic_clock::now() + role_check_interval));
            }
        }
    }

    // Ends the lease and with it the host's entries in the registry. Call from a fiber.
    auto leave() -> void {
        this->leaving = true;
        this->claim.reset();
        if (this->lease) {
            // If the call fails, the entries are removed when the lease expires.
            static_cast<void>(
                this->registry.leave(*this->lease, base::monotonic_clock::now() + call_timeout));
        }
    }

private:
    [[nodiscard]] auto pause() -> base::duration {
        if (this->first_steps > 0) {
            --this->first_steps;
            return first_interval;
        }
        return this->host.view.feed.has_followers(base::monotonic_clock::now()) ? followed_interval
                                                                                : interval;
    }

    auto step() -> void {
        if (this->leaving || !this->needs_lease()) {
            return;
        }
        auto const asked_at = base::monotonic_clock::now();
        if (!this->renew_or_join()) {
            // The calls that wait for changes may have lost the registry as well.
            this->host.view.feed.invalidate();
            this->registry.interrupt_waits();
            return;
        }
        if (this->host.view.reads_registry) {
            this->host.view.registry_answers.note_answer(base::boot_clock::now());
        }
        // Valid until the answer to the next call is due.
        this->host.view.feed.extend_validity(asked_at + interval + call_timeout);
        if (this->list_due()) {
            this->list();
        }
        this->order_changes();
    }

    // Returns whether the host has to be registered. Ends the lease of a host that no longer has
    // to.
    auto needs_lease() -> bool {
        auto const now = base::monotonic_clock::now();
        if (this->host.view.reads_registry || this->claim) {
            this->needed_until = now + unregister_delay;
            return true;
        }
        if (!this->lease) {
            return false;
        }
        if (now < this->needed_until) {
            return true;
        }
        // If the call fails, the entry is removed when the lease expires.
        static_cast<void>(this->registry.leave(*this->lease, now + call_timeout));
        this->lease.reset();
        return false;
    }

    // Returns whether to list the hosts: in every step soon after this host has registered.
    auto list_due() -> bool {
        auto const now = base::monotonic_clock::now();
        if (now < this->next_list) {
            return false;
        }
        auto const early = this->first_steps > 0;
        this->next_list =
            now + (early ? base::duration{first_interval} : base::duration{list_interval});
        return true;
    }

    auto list() -> void {
        auto const listing = this->registry.list_hosts(freshness::may_be_stale,
                                                       base::monotonic_clock::now() + call_timeout);
        if (base::failure_of(listing) != nullptr) {
            return;
        }
        auto const& listed = base::value_of(listing);
        auto& view = this->host.view;
        auto const now = base::monotonic_clock::now();
        view.learn_quarantined(listed.quarantined, now);
        this->note_unreadable(listed.unreadable);
        auto const followers = view.feed.followers(now);
        this->publish_entry(followers.size());
        view.other_readers.clear();
        for (auto const& each : listed.hosts) {
            if (each.entry.peers && each.entry.host != this->host.settings.host) {
                view.other_readers.push_back(each.entry);
            }
        }
        if (view.reads_registry) {
            auto registered = hosts_of(listed, view.relays.own_entry());
            // The list may be older than this host's entry.
            registered.push_back(view.relays.own_entry());
            view.relays.set_order(order_relays(std::move(registered), followers));
            view.note_hosts(this->count_hosts(listed), now);
        }
        this->claim_order_giver_role(listed);
        this->record_quarantines(listed);
    }

    // Logs each host whose entry can't be read once, until it can.
    auto note_unreadable(std::vector<base::host_id> const& hosts) -> void {
        auto found = std::set<base::host_id>{hosts.begin(), hosts.end()};
        for (auto const& each : found) {
            if (!this->unreadable.contains(each)) {
                this->host.log.write(telemetry::log_level::warning,
                                     "registry entry is not a valid host record",
                                     {telemetry::field::peer(each)});
            }
        }
        this->unreadable = std::move(found);
    }

    // Records what is quarantined in the registry, for hosts that start after all others were
    // lost.
    auto record_quarantines(host_listing const& listed) -> void {
        auto const now = base::monotonic_clock::now();
        std::erase_if(this->recorded_until, [&](auto const& each) { return each.second <= now; });
        for (auto const& subject : this->host.view.quarantine.convicted(now)) {
            auto const is_listed =
                std::ranges::find(listed.quarantined, subject) != listed.quarantined.end();
            if (is_listed || this->recorded_until.contains(subject)) {
                continue;
            }
            // The list may be stale.
            this->recorded_until[subject] = now + record_interval;
            auto const recorded = this->registry.record_quarantine(
                subject, routing::fact_board::lifetime(routing::fact_kind::quarantined),
                base::monotonic_clock::now() + call_timeout);
            if (base::failure_of(recorded) != nullptr) {
                this->recorded_until.erase(subject);
                this->host.log.write(telemetry::log_level::warning, "quarantine not recorded",
                                     {telemetry::field::named("part", subject)});
            }
        }
    }

    // Returns the number of registered hosts and their followers.
    [[nodiscard]] auto count_hosts(host_listing const& listed) const -> std::size_t {
        // A host may have entries of earlier processes.
        auto followers = std::map<base::host_id, std::size_t>{};
        for (auto const& each : listed.hosts) {
            auto& count = followers[each.entry.host];
            count = std::max(count, each.followers);
        }
        followers[this->host.settings.host] = this->published_followers;
        auto total = followers.size();
        for (auto const& [id, count] : followers) {
            total += count;
        }
        return total;
    }

    // Replaces this host's entry if the number of followers or the services with one software
    // version have changed.
    auto publish_entry(std::size_t followers) -> void {
        auto const published = static_cast<double>(this->published_followers);
        auto const change = std::abs(static_cast<double>(followers) - published);
        auto const now = base::monotonic_clock::now();
        auto versions = this->host.view.reads_registry ? this->host.view.sole_versions(now)
                                                       : this->published_versions;
        auto const changed =
            change > min_follower_change * published || versions != this->published_versions;
        if (!this->lease || !changed) {
            return;
        }
        auto const updated = this->registry.update_entry(
            registered_host{this->host.view.relays.own_entry(), followers, versions}, *this->lease,
            now + call_timeout);
        if (base::succeeded(updated)) {
            this->published_followers = followers;
            this->published_versions = std::move(versions);
        }
    }

    // Renews the lease or acquires a new one. Returns whether the registry confirmed it.
    auto renew_or_join() -> bool {
        auto const now = base::boot_clock::now();
        auto const asked_at = base::monotonic_clock::now();
        auto const deadline = asked_at + (this->host.view.feed.has_followers(asked_at)
                                              ? base::duration{followed_call_timeout}
                                              : base::duration{call_timeout});
        this->note_era();
        if (this->lease) {
            auto const renewed = this->registry.renew(*this->lease, deadline);
            if (auto const* const ttl = std::get_if<base::duration>(&renewed)) {
                this->lease_until = now + *ttl;
                return true;
            }
            if (std::get<registry_failure>(renewed) != registry_failure::lease_ended) {
                return false;
            }
            this->host.log.write(
                telemetry::log_level::warning, "lease in the registry ended",
                {this->host.settings.host, {"gave_orders", this->claim.has_value()}});
            this->lease.reset();
            this->claim.reset();
        }
        auto const joined = this->registry.join(
            registered_host{this->host.view.relays.own_entry(), 0}, lease_ttl, deadline);
        auto const* const granted = std::get_if<granted_lease>(&joined);
        if (granted == nullptr) {
            return false;
        }
        this->lease = granted->lease;
        this->lease_until = now + granted->ttl;
        this->published_followers = 0;
        this->published_versions.clear();
        this->first_steps = first_intervals;
        this->log_registered();
        return true;
    }

    // Ends the claim after the registry was restored from an older copy.
    auto note_era() -> void {
        auto const era = this->registry.era();
        if (era == this->known_era) {
            return;
        }
        if (this->known_era.value != 0) {
            this->claim.reset();
            this->claims_uncertain_until =
                base::monotonic_clock::now() + lease_ttl + takeover_margin;
        }
        this->known_era = era;
    }

    auto log_registered() const -> void {
        this->host.log.write(
            telemetry::log_level::info, "registered",
            {this->host.settings.host, {"lease", static_cast<std::int64_t>(this->lease->value)}});
    }

    auto claim_order_giver_role(host_listing const& listed) -> void {
        if (!this->lease || this->claim || listed.order_giver) {
            return;
        }
        auto const claimed = this->registry.claim_order_giver(
            this->host.settings.host, *this->lease, base::monotonic_clock::now() + call_timeout);
        auto const* const fence = std::get_if<std::optional<base::fencing_number>>(&claimed);
        if (fence == nullptr || !*fence) {
            return;
        }
        this->note_era();
        auto const now = base::monotonic_clock::now();
        auto const wait =
            this->is_first_claim_of_fleet()
                ? base::duration::zero()
                : std::max<base::duration>(this->host.settings.order_lease + takeover_margin,
                                           this->claims_uncertain_until - now);
        this->claim = order_giver_claim{**fence, now + wait};
        this->host.log.write(telemetry::log_level::info, "order giver claim acquired",
                             {**fence, {"first_order_after", wait}});
    }

    // Returns whether there can't be a previous order giver, because the whole fleet has just been
    // started for the first time.
    [[nodiscard]] auto is_first_claim_of_fleet() const -> bool {
        return this->host.settings.first_start &&
               base::monotonic_clock::now() < this->started_at + fleet_startup;
    }

    // Returns the time until which surplus prefill engines are changed without delay.
    [[nodiscard]] auto pool_startup_until() const -> base::time_point {
        return this->host.settings.first_start ? this->started_at + pool_startup
                                               : base::time_point::min();
    }

    // Returns whether the registry confirms that this host is the order giver. Drops the claim if
    // the registry denies it.
    auto confirm_claim() -> bool {
        auto const held =
            this->registry.is_claim_in_force(this->host.settings.host, this->claim->fence,
                                             base::monotonic_clock::now() + call_timeout);
        auto const* const answer = std::get_if<bool>(&held);
        if (answer != nullptr && !*answer) {
            this->host.log.write(telemetry::log_level::warning, "order giver claim lost",
                                 {this->claim->fence});
            this->claim.reset();
        }
        return answer != nullptr && *answer;
    }

    [[nodiscard]] auto may_order() const -> bool {
        return this->claim && base::monotonic_clock::now() >= this->claim->not_before &&
               base::boot_clock::now() + lease_margin < this->lease_until;
    }

    auto order_changes() -> void {
        auto const configuration = this->host.view.routes.current();
        if (!configuration || !this->host.view.upstreams.has_listing()) {
            return;
        }
        for (auto const& [id, service] : configuration->services) {
            if (service.engine) {
                this->order_changes_of(service);
            }
        }
    }

    enum class order_outcome {
        // The engine accepted the order or gave no answer.
        possibly_accepted,
        already_done,
        // The engine can't execute the order now.
        declined,
        // This host may not be the order giver any more.
        no_authority,
    };

    auto order_changes_of(routing::service const& service) -> void {
        auto& balancer = this->balancers
                             .try_emplace(service.id, this->host.settings.generation.prefill_share,
                                          this->pool_startup_until())
                             .first->second;
        while (this->may_order()) {
            auto engines = std::vector<routing::upstream_record>{};
            for (auto const& [id, record] : this->host.view.upstreams.all()) {
                if (record.service == service.id && record.stage) {
                    engines.push_back(record);
                }
            }
            auto const change = balancer.next_change(engines, base::monotonic_clock::now());
            if (!change) {
                return;
            }
            auto const outcome = this->order(*change);
            auto const now = base::monotonic_clock::now();
            switch (outcome) {
                case order_outcome::possibly_accepted:
                    balancer.note_ordered(*change, now + service.engine->stage_switch +
                                                       max_request_time + record_lag);
                    break;
                case order_outcome::already_done:
                    balancer.note_ordered(*change, now + record_lag);
                    break;
                case order_outcome::declined:
                    balancer.note_declined(change->engine, now + declined_pause);
                    break;
                case order_outcome::no_authority:
                    return;
            }
        }
    }

    auto order(routing::stage_change const& change) -> order_outcome {
        auto const* const record = this->host.view.upstreams.find(change.engine);
        if (record == nullptr) {
            return order_outcome::declined;
        }
        auto const address = record->address;
        auto const service = record->service;
        if (this->host.view.service(service).generation.is_paused(change.engine,
                                                                  base::monotonic_clock::now())) {
            this->log_order(change, "the engine asked for a pause");
            return order_outcome::declined;
        }
        auto const report = this->ask_report(change.engine, service, address);
        if (!report || report->busy) {
            this->log_order(change, report ? telemetry::literal{"another order is under way"}
                                           : telemetry::literal{"no report"});
            return order_outcome::declined;
        }
        if (report->stage == change.to) {
            this->log_order(change, "already done");
            return order_outcome::already_done;
        }
        if (!this->may_order() || !this->confirm_claim() || !this->may_order()) {
            this->log_order(change, "claim not confirmed");
            return order_outcome::no_authority;
        }
        auto const authority = order_authority{this->host.settings.host, this->claim->fence};
        auto const answered = runtime::fetch(
            address, Wire::make_stage_order(change.engine, change.to, authority, *report),
            runtime::connection_use::pooled, base::monotonic_clock::now() + call_timeout,
            max_control_answer);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        auto const accepted =
            response != nullptr && (response->status == 202 || response->status == 200);
        this->log_order(change, accepted ? telemetry::literal{"accepted"}
                                         : telemetry::literal{"no acceptance"});
        // An order without an answer may be carried out later.
        return accepted || response == nullptr ? order_outcome::possibly_accepted
                                               : order_outcome::declined;
    }

    auto ask_report(base::upstream_id const& engine, base::service_id const& service,
                    base::endpoint const& address) -> std::optional<engine_report> {
        auto const answered = runtime::fetch(
            address, Wire::make_report_request(engine), runtime::connection_use::pooled,
            base::monotonic_clock::now() + call_timeout, max_control_answer);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        if (response != nullptr) {
            note_announcements(this->host, service, engine,
                               Wire::read_answer(response->status, response->fields));
        }
        return response != nullptr && response->status == 200 ? Wire::read_report(response->body)
                                                              : std::nullopt;
    }

    auto log_order(routing::stage_change const& change, telemetry::literal outcome) const -> void {
        this->host.log.write(telemetry::log_level::info, "stage change ordered",
                             {change.engine,
                              {"to_prefill", change.to == routing::engine_stage::prefill},
                              {"outcome", outcome}});
    }

    Registry& registry;
    host_context const& host;
    std::optional<registry_lease> lease;
    base::boot_clock::time_point lease_until;
    std::optional<order_giver_claim> claim;
    base::time_point next_list = base::time_point::min();
    // Until this time the host stays registered although it doesn't read the registry.
    base::time_point needed_until = base::time_point::min();
    // The number of followers in the host's entry in the registry.
    std::size_t published_followers = 0;
    // The services with one software version in that entry.
    std::map<base::service_id, base::software_version> published_versions;
    // The number of steps that follow at `first_interval`.
    int first_steps = 0;
    std::map<base::service_id, routing::stage_balancer> balancers;
    base::time_point started_at = base::monotonic_clock::now();
    registry_era known_era;
    // Until this time an earlier order giver may hold a lease that the registry has forgotten:
    // after a restoration, of which a process that has just started doesn't know.
    base::time_point claims_uncertain_until = started_at + lease_ttl + takeover_margin;
    bool leaving = false;
    // The hosts in the last list whose entry can't be read.
    std::set<base::host_id> unreadable;
    // The subjects whose quarantine this host recorded, and when their absence from the list
    // counts again.
    std::map<routing::quarantine_subject, base::time_point> recorded_until;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_

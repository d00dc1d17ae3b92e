// Keeps a host registered, counts the other hosts, and claims the role of order giver when no host
// has it. The order giver is the host that orders engines to change their stage.

#ifndef LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_
#define LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
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
    static constexpr auto list_interval = std::chrono::seconds{6};
    // Shorter intervals at startup, so that the pools reach their sizes before callers send
    // requests.
    static constexpr auto first_interval = std::chrono::milliseconds{300};
    static constexpr auto first_intervals = 8;
    static constexpr auto call_timeout = std::chrono::milliseconds{800};
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
    // The longest time that an engine needs to finish its requests before a stage change.
    static constexpr auto max_request_time = std::chrono::seconds{6};

    host_membership(Registry& own_registry, host_context const& own_host)
        : registry{own_registry}, host{own_host} {}

    // Keeps the lease, lists the hosts and orders stage changes. Never returns.
    [[noreturn]] auto run() -> void {
        for (auto round = 0;; ++round) {
            this->step();
            auto const now = base::monotonic_clock::now();
            auto const usual = this->host.view.feed.has_followers(now)
                                   ? base::duration{followed_interval}
                                   : base::duration{interval};
            runtime::sleep_until(now + (round < first_intervals ? first_interval : usual));
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
    auto step() -> void {
        if (this->leaving) {
            return;
        }
        auto const asked_at = base::monotonic_clock::now();
        if (!this->renew_or_join()) {
            // The calls that wait for changes may have lost the registry as well.
            this->host.view.feed.invalidate();
            this->registry.interrupt_waits();
            return;
        }
        // Valid until the answer to the next call is due.
        this->host.view.feed.extend_validity(asked_at + interval + call_timeout);
        if (this->list_due()) {
            this->list();
        }
        this->order_changes();
    }

    // Returns whether to list the hosts. During startup they are listed in every step, so that the
    // pools reach their sizes before callers send requests.
    auto list_due() -> bool {
        auto const now = base::monotonic_clock::now();
        if (now < this->next_list) {
            return false;
        }
        auto const early = now < this->started_at + fleet_startup;
        this->next_list =
            now + (early ? base::duration{first_interval} : base::duration{list_interval});
        return true;
    }

    auto list() -> void {
        auto const listing = this->registry.list_hosts(base::monotonic_clock::now() + call_timeout);
        if (base::failure_of(listing) != nullptr) {
            return;
        }
        auto const& listed = base::value_of(listing);
        this->host.view.relays.set_hosts(listed.hosts);
        // Hosts that have left within the window may have used their share of the retry budget.
        auto const now = base::monotonic_clock::now();
        if (listed.hosts.size() >= this->peak_hosts || now >= this->peak_hosts_until) {
            this->peak_hosts = listed.hosts.size();
            this->peak_hosts_until = now + this->host.settings.retries.window;
        }
        this->host.view.hosts = std::max<std::size_t>(this->peak_hosts, 1);
        this->claim_order_giver_role(listed);
    }

    // Renews the lease or acquires a new one. Returns whether the registry confirmed it.
    auto renew_or_join() -> bool {
        auto const now = base::boot_clock::now();
        auto const asked_at = base::monotonic_clock::now();
        auto const deadline = asked_at + (this->host.view.feed.has_followers(asked_at)
                                              ? base::duration{followed_call_timeout}
                                              : base::duration{call_timeout});
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
        auto const& own = this->host.settings;
        auto const joined = this->registry.join(
            host_entry{own.host, own.data_centre, own.listen.peers}, lease_ttl, deadline);
        auto const* const granted = std::get_if<granted_lease>(&joined);
        if (granted == nullptr) {
            return false;
        }
        this->lease = granted->lease;
        this->lease_until = now + granted->ttl;
        return true;
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
        auto const wait = this->is_first_claim_of_fleet()
                              ? base::duration::zero()
                              : base::duration{this->host.settings.order_lease + takeover_margin};
        this->claim = order_giver_claim{**fence, base::monotonic_clock::now() + wait};
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
        auto const held = this->registry.is_claim_in_force(
            this->claim->fence, base::monotonic_clock::now() + call_timeout);
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
            balancer.note_ordered(*change, base::monotonic_clock::now() +
                                               service.engine->stage_switch + max_request_time +
                                               record_lag);
            this->order(*change);
        }
    }

    auto order(routing::stage_change const& change) -> void {
        auto const* const record = this->host.view.upstreams.find(change.engine);
        if (record == nullptr) {
            return;
        }
        auto const address = record->address;
        auto const report = this->ask_report(change.engine, address);
        auto const unneeded = report && (report->busy || report->stage == change.to);
        if (!report || unneeded) {
            this->log_order(change, unneeded ? telemetry::literal{"not needed"}
                                             : telemetry::literal{"no report"});
            return;
        }
        if (!this->may_order() || !this->confirm_claim() || !this->may_order()) {
            this->log_order(change, "claim not confirmed");
            return;
        }
        auto const authority = order_authority{this->host.settings.host, this->claim->fence};
        auto const answered = runtime::fetch(
            address, Wire::make_stage_order(change.engine, change.to, authority, *report),
            runtime::connection_use::pooled, base::monotonic_clock::now() + call_timeout);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        auto const accepted =
            response != nullptr && (response->status == 202 || response->status == 200);
        this->log_order(change, accepted ? telemetry::literal{"accepted"}
                                         : telemetry::literal{"no acceptance"});
    }

    auto ask_report(base::upstream_id const& engine, base::endpoint const& address)
        -> std::optional<engine_report> {
        auto const answered = runtime::fetch(address, Wire::make_report_request(engine),
                                             runtime::connection_use::pooled,
                                             base::monotonic_clock::now() + call_timeout);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
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
    std::size_t peak_hosts = 0;
    base::time_point peak_hosts_until = base::time_point::min();
    std::map<base::service_id, routing::stage_balancer> balancers;
    base::time_point started_at = base::monotonic_clock::now();
    bool leaving = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_

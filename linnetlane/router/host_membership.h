// Enters a host in the registry's list of hosts, counts the others, and takes the right to give
// orders to engines when nobody has it.

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

// The right to give orders, for as long as its lease stands.
struct order_right {
    base::fencing_number fence;
    // The first order is held back until the last holder's lease is over everywhere.
    base::time_point not_before;
};

template <router_registry Registry, router_wire Wire>
class host_membership {
public:
    // Several intervals, so that a lost call or two changes nothing.
    static constexpr auto lease_span = std::chrono::seconds{10};
    static constexpr auto interval = std::chrono::milliseconds{2000};
    // While other hosts follow this one: they learn within this and one call that it has lost the
    // registry.
    static constexpr auto followed_interval = std::chrono::milliseconds{500};
    static constexpr auto followed_patience = std::chrono::milliseconds{400};
    static constexpr auto list_interval = std::chrono::seconds{6};
    // In the first seconds the pools are brought to their sizes before callers come.
    static constexpr auto first_interval = std::chrono::milliseconds{300};
    static constexpr auto first_intervals = 8;
    static constexpr auto call_patience = std::chrono::milliseconds{800};
    // On top of the lease, for an order of the last holder that is still on its way.
    static constexpr auto takeover_margin = std::chrono::milliseconds{1500};
    // The lease is treated as over this much before its end.
    static constexpr auto lease_margin = std::chrono::milliseconds{1500};
    // All hosts of a fleet that starts for the first time are up by then.
    static constexpr auto fleet_start = std::chrono::seconds{4};
    // Engines have registered and callers have not come yet.
    static constexpr auto pools_settle = std::chrono::seconds{8};
    // On top of an engine's own time, until its record shows the change.
    static constexpr auto record_lag = std::chrono::seconds{3};
    // An engine that is changed lets its work run to completion first.
    static constexpr auto longest_work = std::chrono::seconds{6};

    host_membership(Registry& own_registry, host_parts const& own_parts)
        : registry{own_registry}, parts{own_parts} {}

    // Never returns.
    [[noreturn]] auto run() -> void {
        for (auto round = 0;; ++round) {
            this->step();
            auto const now = base::monotonic_clock::now();
            auto const usual = this->parts.known.feed.has_followers(now)
                                   ? base::duration{followed_interval}
                                   : base::duration{interval};
            runtime::sleep_until(now + (round < first_intervals ? first_interval : usual));
        }
    }

    // Gives the host's entries up. Call from a fiber.
    auto leave() -> void {
        this->leaving = true;
        this->right.reset();
        if (this->lease) {
            // What can't be told now ends with the lease.
            static_cast<void>(
                this->registry.leave(*this->lease, base::monotonic_clock::now() + call_patience));
        }
    }

private:
    auto step() -> void {
        if (this->leaving) {
            return;
        }
        auto const asked_at = base::monotonic_clock::now();
        if (!this->hold_lease()) {
            // The registry may have fallen silent towards the waiting calls as well.
            this->parts.known.feed.withdraw();
            this->registry.interrupt_waits();
            return;
        }
        // Until the next answer is due.
        this->parts.known.feed.vouch(asked_at + interval + call_patience);
        if (this->list_due()) {
            this->list();
        }
        this->order_changes();
    }

    // Early on, every step, so that the pools have their sizes before callers come.
    auto list_due() -> bool {
        auto const now = base::monotonic_clock::now();
        if (now < this->next_list) {
            return false;
        }
        auto const early = now < this->started_at + fleet_start;
        this->next_list =
            now + (early ? base::duration{first_interval} : base::duration{list_interval});
        return true;
    }

    auto list() -> void {
        auto const listing =
            this->registry.list_hosts(base::monotonic_clock::now() + call_patience);
        if (base::failure_of(listing) != nullptr) {
            return;
        }
        auto const& listed = base::value_of(listing);
        this->parts.known.relays.set_hosts(listed.hosts);
        // Hosts that were there lately may still use their share.
        auto const now = base::monotonic_clock::now();
        if (listed.hosts.size() >= this->most_hosts || now >= this->most_hosts_until) {
            this->most_hosts = listed.hosts.size();
            this->most_hosts_until = now + this->parts.settings.retries.window;
        }
        this->parts.known.hosts = std::max<std::size_t>(this->most_hosts, 1);
        this->claim_right(listed);
    }

    // Renews the lease or takes a new one; whether the registry answered.
    auto hold_lease() -> bool {
        auto const now = base::boot_clock::now();
        auto const asked_at = base::monotonic_clock::now();
        auto const deadline = asked_at + (this->parts.known.feed.has_followers(asked_at)
                                              ? base::duration{followed_patience}
                                              : base::duration{call_patience});
        if (this->lease) {
            auto const kept = this->registry.renew(*this->lease, deadline);
            if (auto const* const lasts = std::get_if<base::duration>(&kept)) {
                this->lease_until = now + *lasts;
                return true;
            }
            if (std::get<registry_failure>(kept) != registry_failure::lease_ended) {
                return false;
            }
            this->parts.log.write(
                telemetry::log_level::warning, "lease in the registry ended",
                {this->parts.settings.host, {"gave_orders", this->right.has_value()}});
            this->lease.reset();
            this->right.reset();
        }
        auto const& own = this->parts.settings;
        auto const joined = this->registry.join(
            host_entry{own.host, own.data_centre, own.listen.peers}, lease_span, deadline);
        auto const* const granted = std::get_if<granted_lease>(&joined);
        if (granted == nullptr) {
            return false;
        }
        this->lease = granted->lease;
        this->lease_until = now + granted->ttl;
        return true;
    }

    auto claim_right(host_listing const& listed) -> void {
        if (!this->lease || this->right || listed.order_giver) {
            return;
        }
        auto const claimed = this->registry.claim_order_giver(
            this->parts.settings.host, *this->lease, base::monotonic_clock::now() + call_patience);
        auto const* const fence = std::get_if<std::optional<base::fencing_number>>(&claimed);
        if (fence == nullptr || !*fence) {
            return;
        }
        auto const wait = this->first_claim_of_fleet()
                              ? base::duration::zero()
                              : base::duration{this->parts.settings.order_lease + takeover_margin};
        this->right = order_right{**fence, base::monotonic_clock::now() + wait};
        this->parts.log.write(telemetry::log_level::info, "right to give orders taken",
                              {**fence, {"first_order_after", wait}});
    }

    // A fleet that has just been started for the first time has no earlier order giver.
    [[nodiscard]] auto first_claim_of_fleet() const -> bool {
        return this->parts.settings.first_start &&
               base::monotonic_clock::now() < this->started_at + fleet_start;
    }

    // Before callers come, pools are brought to their sizes without patience.
    [[nodiscard]] auto pools_settle_until() const -> base::time_point {
        return this->parts.settings.first_start ? this->started_at + pools_settle
                                                : base::time_point::min();
    }

    // Whether the registry agrees right now that this host gives the orders.
    auto confirm_right() -> bool {
        auto const held = this->registry.is_claim_in_force(
            this->right->fence, base::monotonic_clock::now() + call_patience);
        auto const* const answer = std::get_if<bool>(&held);
        if (answer != nullptr && !*answer) {
            this->parts.log.write(telemetry::log_level::warning, "right to give orders lost",
                                  {this->right->fence});
            this->right.reset();
        }
        return answer != nullptr && *answer;
    }

    [[nodiscard]] auto may_order() const -> bool {
        return this->right && base::monotonic_clock::now() >= this->right->not_before &&
               base::boot_clock::now() + lease_margin < this->lease_until;
    }

    auto order_changes() -> void {
        auto const configuration = this->parts.known.routes.current();
        if (!configuration || !this->parts.known.upstreams.has_listing()) {
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
                             .try_emplace(service.id, this->parts.settings.generation.prefill_share,
                                          this->pools_settle_until())
                             .first->second;
        while (this->may_order()) {
            auto engines = std::vector<routing::upstream_record>{};
            for (auto const& [id, record] : this->parts.known.upstreams.all()) {
                if (record.service == service.id && record.stage) {
                    engines.push_back(record);
                }
            }
            auto const change = balancer.next_change(engines, base::monotonic_clock::now());
            if (!change) {
                return;
            }
            balancer.note_ordered(*change, base::monotonic_clock::now() +
                                               service.engine->stage_switch + longest_work +
                                               record_lag);
            this->order(*change);
        }
    }

    auto order(routing::stage_change const& change) -> void {
        auto const* const record = this->parts.known.upstreams.find(change.engine);
        if (record == nullptr) {
            return;
        }
        auto const address = record->address;
        auto const report = this->ask_report(change.engine, address);
        auto const already = report && (report->busy || report->stage == change.to);
        if (!report || already) {
            this->log_order(change, already ? telemetry::literal{"not needed"}
                                            : telemetry::literal{"no report"});
            return;
        }
        if (!this->may_order() || !this->confirm_right() || !this->may_order()) {
            this->log_order(change, "right not confirmed");
            return;
        }
        auto const authority = order_authority{this->parts.settings.host, this->right->fence};
        auto const answered = runtime::fetch(
            address, Wire::order_stage(change.engine, change.to, authority, *report),
            runtime::connection_use::pooled, base::monotonic_clock::now() + call_patience);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        auto const accepted =
            response != nullptr && (response->status == 202 || response->status == 200);
        this->log_order(change, accepted ? telemetry::literal{"accepted"}
                                         : telemetry::literal{"no acceptance"});
    }

    auto ask_report(base::upstream_id const& engine, base::endpoint const& address)
        -> std::optional<engine_report> {
        auto const answered =
            runtime::fetch(address, Wire::ask_report(engine), runtime::connection_use::pooled,
                           base::monotonic_clock::now() + call_patience);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        return response != nullptr && response->status == 200 ? Wire::read_report(response->body)
                                                              : std::nullopt;
    }

    auto log_order(routing::stage_change const& change, telemetry::literal outcome) const -> void {
        this->parts.log.write(telemetry::log_level::info, "stage change ordered",
                              {change.engine,
                               {"to_prefill", change.to == routing::engine_stage::prefill},
                               {"outcome", outcome}});
    }

    Registry& registry;
    host_parts const& parts;
    std::optional<registry_lease> lease;
    base::boot_clock::time_point lease_until;
    std::optional<order_right> right;
    base::time_point next_list = base::time_point::min();
    std::size_t most_hosts = 0;
    base::time_point most_hosts_until = base::time_point::min();
    std::map<base::service_id, routing::stage_balancer> balancers;
    base::time_point started_at = base::monotonic_clock::now();
    bool leaving = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_HOST_MEMBERSHIP_H_

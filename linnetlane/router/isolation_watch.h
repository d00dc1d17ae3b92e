// Ends the isolation of a host from the upstreams of a service: while requests go through other
// hosts, probes upstreams until one answers, and keeps the list of the other hosts current.

#ifndef LINNETLANE_ROUTER_ISOLATION_WATCH_H_
#define LINNETLANE_ROUTER_ISOLATION_WATCH_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <vector>

#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
template <router_registry Registry, router_wire Wire>
class isolation_watch {
public:
    static constexpr auto probe_timeout = std::chrono::milliseconds{300};
    static constexpr auto probe_interval = std::chrono::milliseconds{200};
    static constexpr auto list_timeout = std::chrono::milliseconds{400};
    static constexpr auto refresh_check_interval = std::chrono::milliseconds{5};
    // The time for a host to tell which hosts follow it.
    static constexpr auto peer_timeout = std::chrono::milliseconds{200};
    // The number of hosts that are asked which hosts follow them.
    static constexpr auto max_asked = std::size_t{8};

    isolation_watch(Registry& own_registry, host_context const& own_host)
        : registry{own_registry}, host{own_host} {}

    // Returns whether this host reaches no upstream of the request's service. Starts the probes if
    // it doesn't.
    auto is_isolated(request_context const& context) -> bool {
        if (!context.is_isolated(base::monotonic_clock::now())) {
            return false;
        }
        if (this->watched.insert(context.service).second) {
            this->host.pool.spawn([this, service = context.service] { this->watch(service); });
        }
        return true;
    }

    // Reads the list of the other hosts if it is outdated. Suspends the calling fiber, at most
    // until `deadline`.
    auto refresh_peers(base::time_point deadline) -> void {
        while (this->refreshing && base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(base::monotonic_clock::now() + refresh_check_interval);
        }
        auto const now = base::monotonic_clock::now();
        if (this->refreshing || this->host.view.peers.is_current(now)) {
            return;
        }
        this->refreshing = true;
        auto& peers = this->host.view.peers;
        auto known = this->host.view.relays.order_for_followers(now);
        auto const listing = this->registry.list_hosts(freshness::may_be_stale,
                                                       std::min(deadline, now + list_timeout));
        if (auto const* const listed = std::get_if<host_listing>(&listing)) {
            for (auto const& each : listed->hosts) {
                known.push_back(each.entry);
            }
            // A request doesn't wait for the hosts that follow the registered ones.
            for (auto const& each : this->draw_some(listed->hosts)) {
                this->host.pool.spawn([this, each] { this->add_peers(this->ask_followers(each)); });
            }
        }
        peers.restart(base::monotonic_clock::now());
        this->add_peers(known);
        this->refreshing = false;
    }

private:
    auto add_peers(std::vector<host_entry> const& hosts) -> void {
        for (auto const& each : hosts) {
            if (each.host != this->host.settings.host) {
                this->host.view.peers.add(each);
            }
        }
    }

    auto watch(base::service_id const& service) -> void {
        auto const began = base::monotonic_clock::now();
        auto& all = this->host.view.isolation;
        auto& own = this->host.view.service(service).isolation;
        this->host.log.write(telemetry::log_level::warning, "no upstream answers",
                             {service, {"of_all_services", all.is_isolated(began)}});
        auto const is_isolated = [&] {
            auto const now = base::monotonic_clock::now();
            return all.is_isolated(now) || own.is_isolated(now);
        };
        while (is_isolated() && !this->probe(service)) {
            this->refresh_peers(base::monotonic_clock::now() + list_timeout);
            runtime::sleep_until(base::monotonic_clock::now() + probe_interval);
        }
        all.note_answer();
        own.note_answer();
        this->host.log.write(telemetry::log_level::info, "an upstream answers again",
                             {service, {"after", base::monotonic_clock::now() - began}});
        this->watched.erase(service);
    }

    // Returns whether an upstream of the service answered on a new connection.
    auto probe(base::service_id const& service) -> bool {
        auto const target = this->draw_upstream(service);
        if (!target) {
            return false;
        }
        auto const answered = runtime::fetch(
            target->address, Wire::make_report_request(target->id), runtime::connection_use::fresh,
            base::monotonic_clock::now() + probe_timeout, max_control_answer);
        return base::succeeded(answered);
    }

    auto draw_upstream(base::service_id const& service) -> std::optional<routing::upstream_record> {
        auto from = std::vector<routing::upstream_record const*>{};
        for (auto const& [id, record] : this->host.view.upstreams.all()) {
            auto const paused = this->host.view.service(service).generation.is_paused(
                id, base::monotonic_clock::now());
            if (record.service == service && !paused) {
                from.push_back(&record);
            }
        }
        if (from.empty()) {
            return std::nullopt;
        }
        auto const index =
            static_cast<std::size_t>(this->host.view.draw() * static_cast<double>(from.size()));
        return *from[std::min(index, from.size() - 1)];
    }

    // Returns at most `max_asked` of the registered hosts.
    auto draw_some(std::vector<registered_host> const& hosts) -> std::vector<host_entry> {
        auto drawn = std::vector<host_entry>{};
        auto const count = std::min(hosts.size(), max_asked);
        auto const first =
            static_cast<std::size_t>(this->host.view.draw() * static_cast<double>(hosts.size()));
        for (auto index = std::size_t{0}; index < count; ++index) {
            drawn.push_back(hosts[(first + index) % hosts.size()].entry);
        }
        return drawn;
    }

    // Returns the hosts of its data centre that a registered host knows.
    auto ask_followers(host_entry const& reader) -> std::vector<host_entry> {
        if (!reader.peers || reader.host == this->host.settings.host) {
            return {};
        }
        auto const configuration = this->host.view.routes.current();
        auto const question = changes_question{
            this->host.view.feed.position(), base::duration::zero(),
            configuration ? configuration->version : routing::configuration_version{}};
        auto const answered = runtime::fetch(*reader.peers, make_changes_request(question),
                                             runtime::connection_use::pooled,
                                             base::monotonic_clock::now() + peer_timeout);
        auto const* const response = std::get_if<runtime::http_response>(&answered);
        if (response == nullptr || response->status != 200) {
            return {};
        }
        auto const update = decode_answer(response->body);
        return base::succeeded(update) ? base::value_of(update).relays : std::vector<host_entry>{};
    }

    Registry& registry;
    host_context const& host;
    // The services whose upstreams are probed.
    std::set<base::service_id> watched;
    bool refreshing = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ISOLATION_WATCH_H_

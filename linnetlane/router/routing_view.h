// One host's view of the system: the configuration, the upstreams and their load, and the number of
// hosts that share the budgets. Requests are routed according to it, and the followers of the
// registry keep it current.

#ifndef LINNETLANE_ROUTER_ROUTING_VIEW_H_
#define LINNETLANE_ROUTER_ROUTING_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_directory.h"
#include "linnetlane/router/registry_continuity.h"
#include "linnetlane/router/registry_feed.h"
#include "linnetlane/router/relay_selector.h"
#include "linnetlane/router/settings.h"
#include "linnetlane/router/stream_origins.h"
#include "linnetlane/routing/configuration.h"
#include "linnetlane/routing/configuration_freshness.h"
#include "linnetlane/routing/fact_board.h"
#include "linnetlane/routing/generation_pool.h"
#include "linnetlane/routing/isolation_detector.h"
#include "linnetlane/routing/plain_pool.h"
#include "linnetlane/routing/prefill_limiter.h"
#include "linnetlane/routing/request_quarantine.h"
#include "linnetlane/routing/request_ranking.h"
#include "linnetlane/routing/retry_budget.h"
#include "linnetlane/routing/upstream_rate_limits.h"
#include "linnetlane/routing/upstream_set.h"
#include "linnetlane/routing/version_history.h"
#include "linnetlane/routing/waiting_requests.h"

namespace linnetlane::router {

// The state of one service at this host.
struct service_state {
    service_state(routing::retry_budget_limits const& retry_limits,
                  routing::data_centre_reachability& shared_reachability)
        : plain{shared_reachability}, generation{shared_reachability}, retries{retry_limits} {
        this->plain.set_rate_limits(this->rate_limits);
        this->generation.set_rate_limits(this->rate_limits);
    }
    service_state(service_state const&) = delete;
    auto operator=(service_state const&) -> service_state& = delete;
    service_state(service_state&&) = delete;
    auto operator=(service_state&&) -> service_state& = delete;
    ~service_state() = default;

    // Of all upstreams of the service, which the pools refer to.
    routing::upstream_rate_limits rate_limits;
    routing::plain_pool plain;
    routing::generation_pool generation;
    routing::prefill_limiter prefill_limits;
    // Of requests with different priorities.
    routing::room_scarcity scarcity;
    // The requests that wait for room, by the software version of the upstreams that they may be
    // sent to; nothing if it may be any. Those that wait for room at one version don't hold up
    // others.
    std::map<std::optional<base::software_version>, routing::waiting_requests> waiting;
    routing::retry_budget retries;
    routing::version_history versions;
    // Whether this host reaches the upstreams of the service.
    routing::isolation_detector isolation;
};

// What the registry has shown of the configuration up to a position.
struct shown_configuration {
    // Nothing if there is none or it can't be read.
    std::optional<routing::configuration_version> version;
    registry_position position;
};

// Not thread-safe; must be used on one worker only.
class routing_view {
public:
    // The number of hosts that are assumed to share the budgets until their number is known. No
    // deployment within the target size has more.
    static constexpr auto assumed_hosts = std::size_t{360};
    // The least time for which the assumption holds after a restart. Hosts that restart together
    // need it to find each other. At the first start of the fleet, callers don't send requests yet.
    static constexpr auto assumption_time = std::chrono::seconds{3};

    routing_view(router_settings const& settings, std::uint32_t seed)
        : relays{host_entry{settings.host, settings.data_centre, settings.listen.peers,
                            capacity_of(settings)}},
          registry_answers{settings.changes.applied_within},
          peak_hosts_until{settings.first_start
                               ? base::time_point::min()
                               : base::monotonic_clock::now() + base::duration{assumption_time}},
          retry_limits{settings.retries},
          random{seed},
          process{seed} {
        this->feed.set_facts(this->facts_mark());
    }

    // Returns whether requests can be routed.
    [[nodiscard]] auto ready() const -> bool {
        return this->routes.current() != nullptr && this->upstreams.has_listing();
    }
    // Returns the state of a service; creates it on first use.
    [[nodiscard]] auto service(base::service_id const& id) -> service_state&;
    // Updates the pools of the services from `upstreams`.
    auto refresh_pools() -> void;
    // Drops the load and health of an upstream whose process has restarted.
    auto forget_load(base::upstream_id const& id) -> void;
    // Returns a random number, uniform in [0, 1).
    [[nodiscard]] auto draw() -> double;
    // Returns the number of hosts of all data centres, or 0 while it is not known.
    [[nodiscard]] auto known_hosts() const -> std::size_t {
        return this->hosts_known ? this->hosts : 0;
    }
    // Records the number of hosts of all data centres. Within the window of the retry budget, the
    // largest number holds, since hosts that have left may have used their share.
    auto note_hosts(std::size_t count, base::time_point now) -> void;
    // Records what the registry has shown, unless a later position is known.
    auto note_shown(shown_configuration const& seen) -> void {
        if (!this->shown || this->shown->position < seen.position) {
            this->shown = seen;
        }
    }
    // Returns what the registry, or a host that reads it, has shown last.
    [[nodiscard]] auto last_shown() const -> std::optional<shown_configuration> const& {
        return this->shown;
    }
    // Records that the upstreams of this view were those of the registry at `moment`. After a long
    // time without such a record, changes may have been missed.
    auto note_upstreams_current(base::boot_clock::time_point moment) -> void;
    // Records that changes of the upstreams may have been missed.
    auto note_missed_changes() -> void;
    // Learns from other hosts' entries which services had one software version only before this
    // host started. Has no effect once the upstreams are known.
    auto learn_stated_versions(host_listing const& listing, base::time_point now) -> void;
    // Returns the software version of each service that has had one only for as long as a stream
    // can be resumed.
    [[nodiscard]] auto sole_versions(base::time_point now) const
        -> std::map<base::service_id, base::software_version>;
    // Returns the software version of an upstream that may begin a stream of the service, drawn
    // from those that don't leave and, if it `generates`, decode; nothing if there is none.
    [[nodiscard]] auto draw_version(base::service_id const& id, bool generates)
        -> std::optional<base::software_version>;
    // Records that an upstream said that it leaves. Returns whether that is new.
    auto note_leaving(base::upstream_id const& id) -> bool;
    // Records facts that this host observed or another one told it.
    auto learn(std::vector<routing::shared_fact> const& learned, base::time_point now) -> void;
    // Adopts quarantines that the registry lists.
    auto learn_quarantined(std::vector<routing::quarantine_subject> const& subjects,
                           base::time_point now) -> void;
    // Returns how many changes of this host's facts there were.
    [[nodiscard]] auto facts_mark() const -> fact_mark {
        return fact_mark{this->process, this->facts.position()};
    }
    // Returns hosts to ask: at most `most` of this data centre, those that may be followed first,
    // and as many of others.
    [[nodiscard]] auto hosts_to_ask(std::size_t most, base::time_point now) const
        -> std::vector<host_entry>;
    // Returns at most `most` readers of other data centres.
    [[nodiscard]] auto some_distant_readers(std::size_t most) const -> std::vector<host_entry>;
    // Returns whether requests of the service are ranked under the configuration in force.
    [[nodiscard]] auto ranks_requests(base::service_id const& id) -> bool;
    // Takes one retry from the service's budget. Returns false if none is left.
    [[nodiscard]] auto try_retry(base::service_id const& id, base::time_point now) -> bool;

    routing::route_table routes;
    // Whether `routes` holds the newest configuration.
    routing::configuration_freshness freshness;
    routing::upstream_set upstreams;
    std::size_t hosts = assumed_hosts;
    // Serves the hosts that follow this one.
    registry_feed feed;
    relay_selector relays;
    stream_origins origins;
    // Whether this host reaches any upstream. With few requests for one service, the silence of all
    // shows earlier than that of the service.
    routing::isolation_detector isolation;
    // The hosts that forward requests while this one is isolated from the upstreams.
    peer_directory peers;
    // This host reads the registry itself.
    bool reads_registry = false;
    // For how long the registry has answered this host without a gap.
    registry_continuity registry_answers;
    // The host that changes come from, if it is another one.
    std::optional<host_entry> source;
    // The other hosts that read the registry, of all data centres.
    std::vector<host_entry> other_readers;
    // Some readers of other data centres, as the followed host told them last.
    std::vector<host_entry> distant_readers;
    // What this host and others have observed.
    routing::fact_board facts;
    routing::request_quarantine quarantine;

private:
    // Applies what other hosts stated, as soon as the upstreams are known.
    auto use_stated_versions(base::time_point now) -> void;
    // Applies that room was scarce for a rank of a service.
    auto apply_scarcity(routing::shared_fact const& fact, base::time_point now) -> void;
    // Applies what an upstream said of the rate that it takes.
    auto apply_rate_limit(routing::shared_fact const& fact, base::time_point now) -> void;
    [[nodiscard]] static auto capacity_of(router_settings const& settings) -> host_capacity {
        constexpr auto thousandths = 1000.0;
        return host_capacity{
            static_cast<std::uint64_t>(settings.processor_share.value * thousandths)};
    }

    // A version that comes and leaves within this time may be missed.
    static constexpr auto longest_unobserved = std::chrono::seconds{5};

    std::optional<shown_configuration> shown;
    // What other hosts stated before this one knew the upstreams, and until when that counts.
    std::map<base::service_id, base::software_version> stated_versions;
    base::time_point stated_until = base::time_point::min();
    std::optional<base::boot_clock::time_point> upstreams_current_at;
    // Until this time a smaller number of hosts is ignored.
    base::time_point peak_hosts_until;
    bool hosts_known = false;
    routing::retry_budget_limits retry_limits;
    routing::data_centre_reachability reachability;
    std::minstd_rand random;
    // Identifies this process in its facts' positions.
    std::uint64_t process;
    std::map<base::service_id, std::unique_ptr<service_state>> services;
    // The services whose requests are ranked under the configuration of that version.
    std::map<base::service_id, bool> ranked;
    routing::configuration_version ranked_version;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ROUTING_VIEW_H_

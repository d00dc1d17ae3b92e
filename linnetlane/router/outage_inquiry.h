// Finds out whether the registry was available to other hosts while this one had lost it. Entries
// lapse only while the registry is away from the upstreams, so a host that was cut off alone has
// missed removals and nothing else.

#ifndef LINNETLANE_ROUTER_OUTAGE_INQUIRY_H_
#define LINNETLANE_ROUTER_OUTAGE_INQUIRY_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class outage_inquiry {
public:
    // The number of hosts of this data centre, and of others, that are asked.
    static constexpr auto max_asked = std::size_t{4};
    static constexpr auto timeout = std::chrono::milliseconds{300};
    static constexpr auto check_interval = std::chrono::milliseconds{5};

    explicit outage_inquiry(host_context const& own_host) : host{own_host} {}

    // Returns a host that has received answers of the registry without a gap since `lost_at` or
    // longer, or nothing if none says so in time. Suspends the calling fiber.
    auto find_witness(base::boot_clock::time_point lost_at) -> std::optional<base::host_id> {
        struct answers {
            std::optional<base::host_id> witness;
            std::size_t ended = 0;
        };
        auto const asked = this->host.view.hosts_to_ask(max_asked, base::monotonic_clock::now());
        auto const deadline = base::monotonic_clock::now() + timeout;
        auto const results = std::make_shared<answers>();
        for (auto const& each : asked) {
            this->host.pool.spawn([each, lost_at, deadline, results] {
                if (answered_since(each, lost_at, deadline)) {
                    results->witness = each.host;
                }
                ++results->ended;
            });
        }
        while (!results->witness && results->ended < asked.size() &&
               base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(base::monotonic_clock::now() + check_interval);
        }
        return results->witness;
    }

private:
    static auto answered_since(host_entry const& asked, base::boot_clock::time_point lost_at,
                               base::time_point deadline) -> bool {
        auto const fetched =
            runtime::fetch(*asked.peers, make_registry_state_request(),
                           runtime::connection_use::pooled, deadline, max_peer_answer);
        auto const* const response = std::get_if<runtime::http_response>(&fetched);
        auto const state = response != nullptr && response->status == 200
                               ? decode_registry_state(response->body)
                               : std::nullopt;
        return state && base::boot_clock::now() - state->answered_for <= lost_at;
    }

    host_context const& host;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_OUTAGE_INQUIRY_H_

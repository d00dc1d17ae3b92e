// Finds out, when a request depends on it, whether the configuration in force is the newest one. A
// host that reads the registry queries it; any other host queries the one that it follows.
//
//   if (!confirmer.confirm(bound, deadline)) {
//       // A newer configuration may be in force elsewhere.
//   }

#ifndef LINNETLANE_ROUTER_CONFIGURATION_CONFIRMER_H_
#define LINNETLANE_ROUTER_CONFIGURATION_CONFIRMER_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <variant>

#include "linnetlane/base/time.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
template <router_registry Registry>
class configuration_confirmer {
public:
    // The timeout of a query to the registry. The followed host, which may have to query the
    // registry, takes longer.
    static constexpr auto registry_timeout = std::chrono::milliseconds{250};
    static constexpr auto peer_timeout = std::chrono::milliseconds{300};
    // The pause after a query that gave no proof, so that requests aren't delayed again and
    // again while there is none to be had.
    static constexpr auto retry_interval = std::chrono::milliseconds{400};
    static constexpr auto check_interval = std::chrono::milliseconds{10};

    configuration_confirmer(host_context const& own_host,
                            configuration_follower<Registry>& own_configurations)
        : host{own_host}, configurations{own_configurations} {}

    // Confirms that the configuration in force was the newest one at some moment no longer ago than
    // `bound`; returns false without a proof. Sends a query if there is none; requests that come
    // meanwhile share the answer. If there is a newer configuration, waits for it. Suspends the
    // calling fiber, at most until `deadline`.
    auto confirm(base::duration bound, base::time_point deadline) -> bool {
        if (this->is_proven(bound)) {
            return true;
        }
        auto const now = base::monotonic_clock::now();
        if (!this->query_pending && now >= this->next_query) {
            this->query_pending = true;
            this->host.pool.spawn([this, bound] { this->query(bound); });
        }
        while ((this->query_pending || this->is_behind()) && !this->is_proven(bound) &&
               base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(std::min(deadline, base::monotonic_clock::now() + check_interval));
        }
        return this->is_proven(bound);
    }

    // Answers another host. Suspends the calling fiber.
    auto state_for_host() -> configuration_state {
        // The answer is on its way for a part of the bound.
        static_cast<void>(this->confirm(this->host.settings.changes.applied_within / 2,
                                        base::monotonic_clock::now() + registry_timeout));
        auto const current = this->host.view.routes.current();
        return {current ? current->version : routing::configuration_version{},
                this->host.view.freshness.age(base::boot_clock::now())};
    }

private:
    [[nodiscard]] auto is_proven(base::duration bound) const -> bool {
        return this->host.view.freshness.is_within(bound, base::boot_clock::now());
    }

    // Returns whether the followed host has a newer configuration.
    [[nodiscard]] auto is_behind() const -> bool {
        auto const current = this->host.view.routes.current();
        return current != nullptr && current->version < this->stated_version;
    }

    auto query(base::duration bound) -> void {
        auto& view = this->host.view;
        if (view.reads_registry) {
            this->configurations.read_newer(base::monotonic_clock::now() + registry_timeout);
        } else if (view.source) {
            this->query_host(host_entry{*view.source});
        }
        if (!this->is_proven(bound)) {
            this->next_query = base::monotonic_clock::now() + retry_interval;
            this->host.log.write(
                telemetry::log_level::info, "no proof that the configuration is the newest one",
                {{"reads_registry", view.reads_registry}, {"behind", this->is_behind()}});
        }
        this->query_pending = false;
    }

    auto query_host(host_entry const& followed) -> void {
        auto const asked_at = base::boot_clock::now();
        auto const fetched = runtime::fetch(*followed.peers, make_configuration_request(),
                                            runtime::connection_use::pooled,
                                            base::monotonic_clock::now() + peer_timeout);
        auto const* const response = std::get_if<runtime::http_response>(&fetched);
        auto const state = response != nullptr && response->status == 200
                               ? decode_configuration_state(response->body)
                               : std::nullopt;
        if (!state) {
            this->stated_version = {};
            return;
        }
        this->stated_version = state->version;
        // What was newest there proves nothing for another version.
        auto const current = this->host.view.routes.current();
        if (state->age && current != nullptr && current->version == state->version) {
            this->host.view.freshness.note_newest(asked_at - *state->age, followed.host);
        }
    }

    host_context const& host;
    configuration_follower<Registry>& configurations;
    bool query_pending = false;
    base::time_point next_query = base::time_point::min();
    // The version that the followed host stated last.
    routing::configuration_version stated_version;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_CONFIGURATION_CONFIRMER_H_

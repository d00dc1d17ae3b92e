// Records in the registry the software versions that streams are bound to, beside the work on them,
// so that any host can resume a stream after its host is lost.

#ifndef LINNETLANE_ROUTER_STREAM_ORIGIN_RECORDER_H_
#define LINNETLANE_ROUTER_STREAM_ORIGIN_RECORDER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "linnetlane/router/messages.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"
#include "linnetlane/routing/version_history.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
template <router_registry Registry>
class stream_origin_recorder {
public:
    // The number of records in one write.
    static constexpr auto max_batch = std::size_t{32};
    // The rate of writes of all hosts together.
    static constexpr auto max_writes_per_second = 200;
    // A record is to be written before the prefill of its stream ends.
    static constexpr auto max_write_interval = std::chrono::milliseconds{400};
    static constexpr auto write_timeout = std::chrono::milliseconds{500};
    // A lease serves records for half of its length, so that each record lasts at least for the
    // other half.
    static constexpr auto lease_ttl = 2 * routing::stream_lifetime;

    stream_origin_recorder(Registry& own_registry, host_context const& own_host)
        : registry{own_registry}, host{own_host} {}

    // Writes records as requests are bound. Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            auto const batch = this->host.view.origins.await_unrecorded(max_batch);
            auto const began = base::monotonic_clock::now();
            if (batch.empty() || this->write(batch)) {
                this->backoff.after_success();
            } else {
                this->host.view.origins.put_back(batch);
                this->backoff.after_failure(this->host.view.draw());
            }
            runtime::sleep_until(began + this->write_interval());
        }
    }

private:
    [[nodiscard]] auto write_interval() const -> base::duration {
        auto const hosts = static_cast<std::int64_t>(this->host.view.hosts);
        return std::min<base::duration>(max_write_interval,
                                        hosts * std::chrono::seconds{1} / max_writes_per_second);
    }

    // Returns whether the registry confirmed the records.
    auto write(std::vector<stream_origin> const& batch) -> bool {
        if (!this->renew_lease()) {
            return false;
        }
        auto const written = this->registry.record_streams(
            batch, *this->lease, base::monotonic_clock::now() + write_timeout);
        auto const* const failure = base::failure_of(written);
        if (failure != nullptr) {
            this->host.log.write(telemetry::log_level::warning, "versions of streams not recorded",
                                 {{"streams", static_cast<std::int64_t>(batch.size())},
                                  {"lease_ended", *failure == registry_failure::lease_ended}});
        }
        if (failure != nullptr && *failure == registry_failure::lease_ended) {
            this->lease.reset();
            // The records under it have ended too.
            this->host.view.origins.record_again();
        }
        return failure == nullptr;
    }

    // Acquires a lease if the last one is too old or was granted in an earlier era of the registry.
    // Returns whether there is one.
    auto renew_lease() -> bool {
        auto const now = base::monotonic_clock::now();
        if (this->lease && now < this->lease_usable_until &&
            this->registry.era() == this->lease_era) {
            return true;
        }
        if (this->registry.era() != this->lease_era) {
            // The copy that the registry was restored from may lack records.
            this->host.view.origins.record_again();
        }
        this->lease.reset();
        auto const granted = this->registry.grant_lease(lease_ttl, now + write_timeout);
        if (base::failure_of(granted) != nullptr) {
            return false;
        }
        this->lease = base::value_of(granted).lease;
        this->lease_usable_until = now + base::value_of(granted).ttl / 2;
        this->lease_era = this->registry.era();
        return true;
    }

    Registry& registry;
    host_context const& host;
    retry_backoff backoff;
    std::optional<registry_lease> lease;
    base::time_point lease_usable_until = base::time_point::min();
    registry_era lease_era;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_ORIGIN_RECORDER_H_

// Records in the registry the software versions that streams are bound to, beside the work on them,
// so that any host can resume a stream after its host is lost.
//
// While the registry takes no records of this host, and before this host ends, the versions that
// aren't recorded are handed over to other hosts, which record them as soon as they can.

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
    // The number of hosts that keep a version which can't be recorded.
    static constexpr auto copies = std::size_t{2};
    // The number of hosts of this data centre, and of others, that are asked to keep it.
    static constexpr auto max_asked = std::size_t{4};
    // The number of versions in one message.
    static constexpr auto max_handed_over = std::size_t{256};
    static constexpr auto hand_over_timeout = std::chrono::milliseconds{250};
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
                this->host.view.origins.note_recorded(batch);
                this->backoff.after_success();
            } else {
                this->host.view.origins.put_back(batch);
                this->hand_over(false, began + max_hand_over_time);
                this->backoff.after_failure(this->host.view.draw());
            }
            runtime::sleep_until(began + this->write_interval());
        }
    }

    // Hands over the versions of this host that aren't recorded and no other host keeps; for `all`,
    // also those that this host keeps for others. Suspends the calling fiber, at most until
    // `deadline`.
    auto hand_over(bool all, base::time_point deadline) -> void {
        auto& origins = this->host.view.origins;
        for (;;) {
            auto const batch = origins.not_handed_over(max_handed_over, all);
            if (batch.empty()) {
                return;
            }
            auto const kept_by = this->send_to_others(batch, deadline);
            this->host.log.write(
                kept_by == 0 ? telemetry::log_level::warning : telemetry::log_level::info,
                "versions of streams handed over to other hosts",
                {{"streams", static_cast<std::int64_t>(batch.size())},
                 {"hosts", static_cast<std::int64_t>(kept_by)}});
            if (kept_by == 0) {
                return;
            }
            origins.note_handed_over(batch);
        }
    }

private:
    // How long a hand-over may delay the next attempt to write.
    static constexpr auto max_hand_over_time = std::chrono::seconds{2};

    // Returns the number of hosts that keep the versions.
    auto send_to_others(std::vector<stream_origin> const& batch, base::time_point deadline)
        -> std::size_t {
        auto const message = make_origin_hand_over(batch);
        auto kept_by = std::size_t{0};
        for (auto const& each :
             this->host.view.hosts_to_ask(max_asked, base::monotonic_clock::now())) {
            auto const now = base::monotonic_clock::now();
            if (kept_by == copies || now >= deadline) {
                break;
            }
            auto const sent =
                runtime::fetch(*each.peers, message, runtime::connection_use::pooled,
                               std::min(deadline, now + hand_over_timeout), max_peer_answer);
            auto const* const response = std::get_if<runtime::http_response>(&sent);
            kept_by += response != nullptr && response->status == 200 ? 1 : 0;
        }
        return kept_by;
    }

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

// Writes the software versions of new streams to the registry, and finds the version of a stream
// that a caller resumes.

#ifndef LINNETLANE_ROUTER_STREAM_ORIGIN_RECORDER_H_
#define LINNETLANE_ROUTER_STREAM_ORIGIN_RECORDER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "linnetlane/router/messages.h"
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
    static constexpr auto max_writes_per_second = 100;
    static constexpr auto max_write_interval = std::chrono::milliseconds{1000};
    static constexpr auto write_timeout = std::chrono::milliseconds{500};
    // A caller waits for the answer to a lookup.
    static constexpr auto lookup_timeout = std::chrono::milliseconds{400};
    // A lease serves records for half of its length, so that each record lasts at least for the
    // other half.
    static constexpr auto lease_ttl = 2 * routing::stream_lifetime;

    stream_origin_recorder(Registry& own_registry, host_context const& own_host)
        : registry{own_registry}, host{own_host} {}

    // Writes records as streams begin. Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            auto const batch = this->host.view.origins.await_unrecorded(max_batch);
            auto const began = base::monotonic_clock::now();
            if (!this->write(batch)) {
                this->host.view.origins.put_back(batch);
            }
            runtime::sleep_until(began + this->write_interval());
        }
    }

    // Returns the software version that began the stream that `request` resumes, or nothing if it
    // is not known. Suspends the calling fiber.
    auto find(caller_request const& request, base::service_id const& service)
        -> std::optional<base::software_version> {
        auto const found = this->search(request, service);
        auto const known = found.software.has_value();
        this->host.metrics.count_origin(found.source, known);
        this->host.log.write(
            telemetry::log_level::info, "origin of a resumed stream",
            {request.id,
             service,
             telemetry::field::named("resumes",
                                     request.resumed_request.value_or(base::caller_request_id{})),
             telemetry::field::named("software", found.software.value_or(base::software_version{})),
             {"known", known},
             {"source", describe(found.source)}});
        return found.software;
    }

private:
    struct finding {
        std::optional<base::software_version> software;
        origin_source source;
    };

    auto search(caller_request const& request, base::service_id const& service) -> finding {
        auto const& versions = this->host.view.service(service).versions;
        auto known = request.resumed_request
                         ? this->host.view.origins.find(*request.resumed_request)
                         : std::nullopt;
        if (known) {
            return {known, origin_source::memory};
        }
        if (auto certain = versions.certain_version(base::monotonic_clock::now())) {
            return {certain, origin_source::sole_version};
        }
        if (!request.resumed_request ||
            request.resumed_request->value.size() > stream_origins::max_id_bytes) {
            return {std::nullopt, origin_source::sole_version};
        }
        auto const found = this->registry.find_stream(
            *request.resumed_request, base::monotonic_clock::now() + lookup_timeout);
        if (base::failure_of(found) != nullptr) {
            return {std::nullopt, origin_source::registry_unavailable};
        }
        if (auto const& recorded = base::value_of(found)) {
            return {recorded, origin_source::record};
        }
        return {versions.version_without_record(base::monotonic_clock::now()),
                origin_source::no_record};
    }

    static auto describe(origin_source source) -> telemetry::literal {
        switch (source) {
            case origin_source::memory:
                return "this host";
            case origin_source::record:
                return "record";
            case origin_source::sole_version:
                return "one version only";
            case origin_source::no_record:
                return "no record";
            case origin_source::registry_unavailable:
                break;
        }
        return "no answer from the registry";
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
    std::optional<registry_lease> lease;
    base::time_point lease_usable_until = base::time_point::min();
    registry_era lease_era;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_ORIGIN_RECORDER_H_

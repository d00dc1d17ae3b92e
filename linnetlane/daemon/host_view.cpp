#include <chrono>
#include <map>

#include "linnetlane/claim/limits.h"
#include "linnetlane/daemon/host_state.h"

namespace linnetlane::daemon {

namespace {

// Interval at which state that depends on time is applied and the directory is checked.
constexpr auto refresh_interval = std::chrono::milliseconds{250};

}  // namespace

// Called while the membership's mutex is held.
auto host::state::record_host_change(membership::host_changed const& change) -> void {
    this->addresses.set(change.record.host, change.record.address);
    this->log.write(telemetry::log_level::info, event_name(change.kind),
                    {telemetry::field::peer(change.record.host), change.record.incarnation});
    auto ended = change.record.incarnation;
    if (change.kind == membership::change_kind::joined && ended.value > 0) {
        // An earlier process under the same name has ended, even if its end was never detected.
        --ended.value;
    }
    if (change.kind == membership::change_kind::joined ||
        change.kind == membership::change_kind::gone) {
        auto const gone = cell::holder{change.record.host, ended};
        this->pool.spawn([this, gone] { this->keepers.forget_holder(gone); });
    }
    this->refresh_soon();
}

auto host::state::event_name(membership::change_kind kind) -> telemetry::literal {
    switch (kind) {
        case membership::change_kind::joined:
            return "host joined";
        case membership::change_kind::gone:
            return "host gone";
        case membership::change_kind::leaving:
            return "host leaving";
        case membership::change_kind::attributes:
            break;
    }
    return "host changed";
}

// Called while the membership's mutex is held.
auto host::state::rejoin(base::incarnation next) -> void {
    this->incarnation = next.value;
    this->network->set_incarnation(next);
    this->log.write(telemetry::log_level::warning, "host rejoined with a new incarnation", {next});
    this->refresh_soon();
}

// Called while the documents' mutex is held.
auto host::state::put_in_force(document::version const& version) -> void {
    this->parsed_documents.apply(version);
    this->generations.record_in_force(version.service);
    this->metrics.of(version.service).set_generation(version.generation);
    this->log.write(telemetry::log_level::info, "document in force",
                    {version.service, version.generation});
    this->refresh_soon();
}

auto host::state::refresh_soon() -> void {
    this->view_is_stale = true;
    if (this->refresh_timer) {
        this->refresh_timer->wake_by(base::time_point::min());
    }
}

// Applies changes of the view to all components that depend on it.
auto host::state::refresh() -> base::time_point {
    auto const next = base::monotonic_clock::now() + refresh_interval;
    // Cleared before the view is read, so that a change after that triggers another refresh.
    auto const was_stale = this->view_is_stale.exchange(false);
    auto const hosts = this->membership->hosts();
    auto const marks_ended = this->parsed_documents.expire_marks(base::monotonic_clock::now());
    if (was_stale || marks_ended) {
        auto const built = build_directory(hosts, this->parsed_documents.all());
        {
            auto const lock = std::lock_guard{this->directory_mutex};
            this->directory = built;
        }
        this->keepers.update_directory(built);
        this->watched_instances.update_directory(built);
        this->client.update_directory(built);
        this->claim_keepers.update_view(this->claim_view(hosts));
    }
    this->documents.handle(this->membership->document_view());
    this->publish_attributes(hosts);
    return next;
}

// Returns the claim shards that this host keeps, and the hosts present in any data centre.
auto host::state::claim_view(membership::host_table const& hosts) -> claim::view_changed {
    auto view = claim::view_changed{};
    for (auto number = std::uint64_t{0}; number < claim::limits{}.shards; ++number) {
        auto const shard = claim::shard_number{number};
        if (this->membership->holder_of(duty_of(shard)) == this->settings.host) {
            view.kept.insert(shard);
        }
    }
    for (auto const& data_centre : hosts.data_centres()) {
        for (auto const& record : hosts.records_of(data_centre)) {
            if (record.liveness != membership::liveness::gone) {
                view.present[record.host] = record.incarnation;
            }
        }
    }
    return view;
}

auto host::state::publish_attributes(membership::host_table const& hosts) -> void {
    auto const digest = this->documents.digest();
    auto const ready = this->documents.all_known() && this->membership->joined();
    auto const self = this->membership->self();
    if (self.ready != ready || self.documents_digest != digest) {
        this->membership->handle(membership::attributes_changed{ready, digest});
        // The change may make this host eligible as a keeper.
        this->refresh_soon();
    }
    auto digests = std::map<base::host_id, std::uint64_t>{};
    for (auto const& data_centre : hosts.data_centres()) {
        for (auto const& record : hosts.records_of(data_centre)) {
            digests[record.host] = record.documents_digest;
        }
    }
    this->generations.record_digests(digests, digest);
}

auto host::state::current_directory() -> directory_pointer {
    auto const lock = std::lock_guard{this->directory_mutex};
    return this->directory;
}

auto host::state::unmet_conditions() -> std::vector<std::string> {
    auto unmet = std::vector<std::string>{};
    if (!this->documents.all_known()) {
        unmet.emplace_back("documents");
    }
    if (!this->membership->joined()) {
        unmet.emplace_back("peers");
    }
    if (this->leaving) {
        unmet.emplace_back("shutting_down");
    }
    return unmet;
}

}  // namespace linnetlane::daemon

#include "linnetlane/daemon/host.h"

#include <chrono>
#include <utility>

#include <boost/system/system_error.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/daemon/host_state.h"

namespace linnetlane::daemon {

namespace {

// Minimum time that a leaving host keeps serving, in which the balancer can detect that it leaves.
constexpr auto min_leaving_time = std::chrono::seconds{3};
// A leaving host exits once it has had no request for this long.
constexpr auto idle_time = std::chrono::seconds{1};
constexpr auto idle_check_interval = std::chrono::milliseconds{50};

// Returns the time in milliseconds, so that a later start of a host has a higher incarnation.
auto first_incarnation() -> base::incarnation {
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return base::incarnation{static_cast<std::uint64_t>(milliseconds.count())};
}

auto load_identity(std::optional<settings::tls_files> const& files)
    -> base::result<tls_pointer, runtime::tls_failure> {
    if (!files) {
        return tls_pointer{};
    }
    auto loaded = runtime::tls_identity::load({files->certificate, files->key, files->authority});
    if (auto const* const failure = base::failure_of(loaded)) {
        return *failure;
    }
    return base::take_value(std::move(loaded));
}

auto limits_of(settings::http_limits const& bounds) -> runtime::http_limits {
    auto limits = runtime::http_limits{};
    limits.header_bytes = bounds.header_bytes;
    limits.body_bytes = bounds.body_bytes;
    limits.connections = bounds.connections;
    limits.request_arrival = bounds.request_arrival;
    limits.idle = bounds.idle;
    return limits;
}

}  // namespace

host::state::state(runtime::worker_pool& own_pool, host_options const& options)
    : pool(own_pool),
      settings(options.settings),
      log(settings.log, {settings.host, settings.data_centre}),
      traces(settings.trace, {settings.host, settings.data_centre}),
      incarnation(first_incarnation().value),
      superseded(options.superseded),
      store(own_pool, settings.platform, this->make_platform_observer()),
      claim_store(own_pool, settings.platform, this->make_platform_observer()),
      documents(store, this->make_document_hooks()),
      client(own_pool, settings.data_centre, this->make_keeper_sender()),
      keepers(own_pool, settings.host, options.policy, this->make_keeper_hooks()),
      watched_instances(own_pool, settings.host, this->make_leaving_broadcast()),
      claim_keepers(claim_store, this->writer_name(), this->make_claim_reply_hook()),
      claims(own_pool, this->make_claim_hooks()) {}

auto host::state::self_record() const -> membership::host_record {
    auto record = membership::host_record{};
    record.host = this->settings.host;
    record.data_centre = this->settings.data_centre;
    record.address = this->network->address();
    record.incarnation.value = this->incarnation.load();
    return record;
}

auto host::state::seed_list() const -> membership::host_list {
    auto list = membership::host_list{};
    for (auto const& seed : this->settings.seeds) {
        list.hosts.push_back({seed.host, seed.data_centre, seed.address, false});
    }
    return list;
}

// Returns the first failure, or nothing.
auto host::state::load_identities() -> std::optional<start_failure> {
    auto callers = load_identity(this->settings.caller_tls);
    if (!base::succeeded(callers)) {
        return start_failure::caller_identity;
    }
    auto peers = load_identity(this->settings.peer_tls);
    if (!base::succeeded(peers)) {
        return start_failure::peer_identity;
    }
    this->caller_identity = base::take_value(std::move(callers));
    this->peer_identity = base::take_value(std::move(peers));
    return std::nullopt;
}

auto host::state::start_network() -> bool {
    try {
        auto const self = daemon::peer_identity{this->settings.host, this->settings.data_centre,
                                                base::incarnation{this->incarnation.load()}};
        this->network =
            std::make_unique<peer_network>(this->pool, self, this->settings.listen.peers,
                                           this->peer_identity, this->make_peer_handlers());
        return true;
    } catch (boost::system::system_error const&) {
        return false;
    }
}

auto host::state::start_roles() -> void {
    this->membership =
        std::make_unique<membership_service>(this->self_record(), this->make_membership_hooks());
    for (auto const& seed : this->settings.seeds) {
        this->addresses.set(seed.host, seed.address);
    }
    this->membership->handle(this->seed_list());
    this->refresh_timer = std::make_unique<ticker>(this->pool, [this] { return this->refresh(); });
    this->documents.start(this->pool);
    this->claim_keepers.start(this->pool);
    this->membership->start(this->pool);
}

auto host::state::start_callers() -> bool {
    auto const sinks = telemetry_sinks{this->traces, this->metrics};
    this->completions = std::make_unique<completions_entry>(completions_entry::dependencies{
        this->client, this->parsed_documents, this->engine, this->requests, this->budgets, sinks});
    this->calls = std::make_unique<calls_entry>(calls_entry::dependencies{
        this->parsed_documents, this->claims, this->plain_call_upstreams, this->requests,
        this->budgets, sinks, this->settings.data_centre});
    auto const handler = [this](runtime::http_request const& request,
                                runtime::http_responder& responder) {
        if (request.method == "POST" && request.target == "/v1/completions") {
            this->completions->handle(request, responder);
        } else {
            this->calls->handle(request, responder);
        }
    };
    return this->start_server(this->caller_server, this->settings.listen.callers, handler,
                              this->caller_identity);
}

auto host::state::start_operators() -> bool {
    this->operators = std::make_unique<operator_service>(operator_dependencies{
        *this->membership, this->documents, this->parsed_documents, this->keepers,
        this->generations, [this] { return this->current_directory(); },
        [this] { return this->unmet_conditions(); }, [this] { return this->metrics.scrape(); },
        [] { return std::vector<ctl::request_row>{}; }});
    auto const handler = [this](runtime::http_request const& request,
                                runtime::http_responder& responder) {
        this->operators->handle(request, responder);
    };
    return this->start_server(this->operator_server, this->settings.listen.operators, handler,
                              nullptr);
}

auto host::state::start_server(std::unique_ptr<runtime::http_server>& server,
                               base::endpoint const& address, runtime::http_handler const& handler,
                               tls_pointer const& identity) -> bool {
    try {
        server = std::make_unique<runtime::http_server>(
            this->pool, address, limits_of(this->settings.limits), handler, identity);
        return true;
    } catch (boost::system::system_error const&) {
        return false;
    }
}

auto host::state::is_idle() const -> bool {
    return this->requests.size() == 0 && this->caller_server->requests_under_way() == 0;
}

auto host::state::drain_and_exit(std::function<void()> const& done) -> void {
    auto const earliest_exit = base::monotonic_clock::now() + min_leaving_time;
    auto idle_since = base::monotonic_clock::now();
    for (;;) {
        runtime::sleep_until(base::monotonic_clock::now() + idle_check_interval);
        auto const now = base::monotonic_clock::now();
        if (!this->is_idle()) {
            idle_since = now;
        }
        if (now >= earliest_exit && now - idle_since >= idle_time) {
            break;
        }
    }
    this->membership->handle(membership::exit_notice{});
    runtime::sleep_until(base::monotonic_clock::now() + idle_check_interval);
    done();
}

host::host() = default;
host::~host() = default;

auto host::start(runtime::worker_pool& pool, host_options const& options)
    -> base::result<std::unique_ptr<host>, start_failure> {
    auto started = std::unique_ptr<host>(new host());
    started->impl = std::make_unique<state>(pool, options);
    auto& running = *started->impl;
    if (auto const failure = running.load_identities()) {
        return *failure;
    }
    if (!running.start_network()) {
        return start_failure::peer_address;
    }
    running.start_roles();
    if (!running.start_operators()) {
        return start_failure::operator_address;
    }
    if (!running.start_callers()) {
        return start_failure::caller_address;
    }
    return started;
}

auto host::addresses() const -> host_addresses {
    return {this->impl->caller_server->address(), this->impl->network->address(),
            this->impl->operator_server->address()};
}

auto host::shut_down(std::function<void()> const& done) -> void {
    if (this->impl->leaving.exchange(true)) {
        return;
    }
    this->impl->log.write(telemetry::log_level::info, "leaving", {});
    this->impl->membership->handle(membership::leave{});
    this->impl->refresh_soon();
    this->impl->pool.spawn([this, done] { this->impl->drain_and_exit(done); });
}

auto host::reload_identities() -> void {
    for (auto const& identity : {this->impl->caller_identity, this->impl->peer_identity}) {
        if (identity && !base::succeeded(identity->reload())) {
            this->impl->log.write(telemetry::log_level::error,
                                  "reload of certificates failed; the earlier ones stay in use",
                                  {});
        }
    }
}

}  // namespace linnetlane::daemon

// The components of a host and their connections. Private to the host's sources.
//
// Defined in host.cpp (start and shutdown), host_hooks.cpp (the hooks that components call),
// host_peers.cpp (frames to and from other hosts) and host_view.cpp (changes of the view).

#ifndef LINNETLANE_DAEMON_HOST_STATE_H_
#define LINNETLANE_DAEMON_HOST_STATE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "linnetlane/coordination/etcd_store.h"
#include "linnetlane/daemon/address_book.h"
#include "linnetlane/daemon/cell_client.h"
#include "linnetlane/daemon/claim_keeper_service.h"
#include "linnetlane/daemon/claim_service.h"
#include "linnetlane/daemon/document_service.h"
#include "linnetlane/daemon/document_table.h"
#include "linnetlane/daemon/host.h"
#include "linnetlane/daemon/instance_watch.h"
#include "linnetlane/daemon/keeper_table.h"
#include "linnetlane/daemon/membership_service.h"
#include "linnetlane/daemon/model_entry.h"
#include "linnetlane/daemon/operator_service.h"
#include "linnetlane/daemon/peer_network.h"
#include "linnetlane/daemon/plain_entry.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/tls.h"
#include "linnetlane/telemetry/log.h"
#include "linnetlane/telemetry/metrics.h"
#include "linnetlane/telemetry/trace.h"
#include "linnetlane/upstream/model_engine.h"

namespace linnetlane::daemon {

using tls_pointer = std::shared_ptr<runtime::tls_identity>;
using completions_entry = model_entry<cell_client, document_table, upstream::completions_engine>;
using calls_entry = plain_entry<document_table, claim_service>;

// All tables, services and servers of one host.
struct host::state {
    state(runtime::worker_pool& own_pool, host_options const& options);

    runtime::worker_pool& pool;
    settings::settings settings;
    telemetry::event_log log;
    telemetry::metrics metrics;
    telemetry::tracer traces;
    std::atomic<std::uint64_t> incarnation = 0;
    std::atomic<bool> leaving = false;
    std::function<void()> superseded;

    tls_pointer caller_identity;
    tls_pointer peer_identity;

    address_book addresses;
    // Call numbers are unique per store, so the documents and the claims each use their own.
    coordination::etcd_store store;
    coordination::etcd_store claim_store;
    document_table parsed_documents;
    generation_tracker generations;
    std::unique_ptr<membership_service> membership;
    document_service documents;
    cell_client client;
    keeper_table keepers;
    instance_watch watched_instances;
    claim_keeper_service claim_keepers;
    claim_service claims;
    std::unique_ptr<peer_network> network;
    std::unique_ptr<ticker> refresh_timer;
    std::atomic<bool> view_is_stale = true;
    std::mutex directory_mutex;
    // Guarded by `directory_mutex`.
    directory_pointer directory = std::make_shared<cell_directory const>();

    upstream::completions_engine engine;
    request_registry requests;
    retry_budgets budgets;
    plain_upstreams plain_call_upstreams;
    std::unique_ptr<completions_entry> completions;
    std::unique_ptr<calls_entry> calls;
    std::unique_ptr<operator_service> operators;
    std::unique_ptr<runtime::http_server> caller_server;
    std::unique_ptr<runtime::http_server> operator_server;

    // Hooks of the components, defined in host_hooks.cpp.

    auto make_platform_observer() -> coordination::call_observer;
    auto make_membership_hooks() -> membership_hooks;
    auto make_document_hooks() -> document_hooks;
    auto make_keeper_hooks() -> keeper_hooks;
    auto make_keeper_sender() -> keeper_sender;
    auto make_leaving_broadcast() -> broadcast_leaving;
    auto apply_leaving_marks(protocol::leaving_marks const& marks) -> void;
    auto writer_name() const -> std::string;
    auto make_claim_reply_hook() -> claim_reply_hook;
    auto make_claim_hooks() -> claim_hooks;
    auto submit_to_claim_keeper(claim::shard_number shard, claim_or_settle const& keeper_request)
        -> bool;

    // Messages between hosts, defined in host_peers.cpp.

    auto self_holder() const -> cell::holder;
    auto send(base::host_id const& to, protocol::body const& body) -> void;
    auto reply(cell::holder const& holder, protocol::reply_from_cell const& reply) -> void;
    auto receive(protocol::envelope const& frame) -> void;
    auto receive(claim::peer_message const& message) -> void;
    auto handle_link_lost(base::host_id const& host) -> void;
    auto make_peer_handlers() -> peer_handlers;

    // Changes of the view, defined in host_view.cpp.

    // Called while the membership's mutex is held.
    auto record_host_change(membership::host_changed const& change) -> void;
    static auto event_name(membership::change_kind kind) -> telemetry::literal;
    // Called while the membership's mutex is held.
    auto rejoin(base::incarnation next) -> void;
    // Called while the documents' mutex is held.
    auto put_in_force(document::version const& version) -> void;
    auto refresh_soon() -> void;
    // Applies changes of the view to all components that depend on it. Returns when to call it
    // next.
    auto refresh() -> base::time_point;
    // Returns the claim shards that this host keeps, and the hosts present in any data centre.
    auto claim_view(membership::host_table const& hosts) -> claim::view_changed;
    auto publish_attributes(membership::host_table const& hosts) -> void;
    auto current_directory() -> directory_pointer;
    auto unmet_conditions() -> std::vector<std::string>;

    // Start, defined in host.cpp.

    auto self_record() const -> membership::host_record;
    auto seed_list() const -> membership::host_list;
    // Returns the first failure, or nothing.
    auto load_identities() -> std::optional<start_failure>;
    auto start_network() -> bool;
    auto start_roles() -> void;
    auto start_callers() -> bool;
    auto start_operators() -> bool;
    auto start_server(std::unique_ptr<runtime::http_server>& server, base::endpoint const& address,
                      runtime::http_handler const& handler, tls_pointer const& identity) -> bool;

    // Shutdown, defined in host.cpp.

    auto is_idle() const -> bool;
    auto drain_and_exit(std::function<void()> const& done) -> void;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_HOST_STATE_H_

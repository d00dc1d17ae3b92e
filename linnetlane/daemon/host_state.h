// The parts of a host and how they are joined. Private to the host's sources.
//
// Definitions: host.cpp (start and shutdown), host_hooks.cpp (what the parts call),
// host_peers.cpp (frames to and from other hosts), host_view.cpp (changes of what is known).

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
    // Call numbers are unique for one store, so each package that calls has its own.
    coordination::etcd_store store;
    coordination::etcd_store claim_store;
    document_table parsed;
    generation_tracker generations;
    std::unique_ptr<membership_service> membership;
    document_service documents;
    cell_client client;
    keeper_table keepers;
    instance_watch watched_instances;
    claim_keeper_service claim_keepers;
    claim_service claims;
    std::unique_ptr<peer_network> network;
    std::unique_ptr<ticker> refresher;
    std::atomic<bool> view_is_stale = true;
    std::mutex directory_mutex;
    // Guarded by `directory_mutex`.
    directory_pointer directory = std::make_shared<cell_directory const>();

    upstream::completions_engine engine;
    request_registry requests;
    retry_budgets budgets;
    plain_upstreams instances;
    std::unique_ptr<completions_entry> completions;
    std::unique_ptr<calls_entry> calls;
    std::unique_ptr<operator_service> operators;
    std::unique_ptr<runtime::http_server> caller_server;
    std::unique_ptr<runtime::http_server> operator_server;

    // ---- Hooks ----

    auto platform_counter() -> coordination::call_observer;
    auto hooks_of_membership() -> membership_hooks;
    auto hooks_of_documents() -> document_hooks;
    auto hooks_of_keepers() -> keeper_hooks;
    auto keeper_asker() -> ask_keeper;
    auto leaving_teller() -> tell_leaving;
    auto take(protocol::leaving_marks const& marks) -> void;
    auto writer_name() const -> std::string;
    auto claim_replier() -> claim_reply_hook;
    auto hooks_of_claims() -> claim_hooks;
    auto ask_claim_keeper(claim::shard_number shard, claim_or_settle const& question) -> bool;

    // ---- Between hosts ----

    auto self_holder() const -> cell::holder;
    auto send(base::host_id const& to, protocol::body const& body) -> void;
    auto reply(cell::holder const& holder, protocol::reply_from_cell const& reply) -> void;
    auto receive(protocol::envelope const& frame) -> void;
    auto receive(claim::peer_message const& message) -> void;
    auto lose_link(base::host_id const& host) -> void;
    auto peer_handlers_of_host() -> peer_handlers;

    // ---- Changes ----

    // Called under the membership's mutex.
    auto note(membership::host_changed const& change) -> void;
    static auto word_of(membership::change_kind kind) -> telemetry::literal;
    // Called under the membership's mutex.
    auto rejoin(base::incarnation next) -> void;
    // Called under the documents' mutex.
    auto put_in_force(document::version const& version) -> void;
    auto refresh_soon() -> void;
    // Passes changes of the view on to all that goes by it.
    auto refresh() -> base::time_point;
    // The claim shards that fall to this host, and the hosts that are present anywhere.
    auto claim_view(membership::host_table const& hosts) -> claim::view_changed;
    auto tell_attributes(membership::host_table const& hosts) -> void;
    auto current_directory() -> directory_pointer;
    auto waiting_for() -> std::vector<std::string>;

    // ---- Start ----

    auto self_record() const -> membership::host_record;
    auto seed_list() const -> membership::host_list;
    // The first failure, or nothing.
    auto load_identities() -> std::optional<start_failure>;
    auto start_network() -> bool;
    auto start_roles() -> void;
    auto start_callers() -> bool;
    auto start_operators() -> bool;
    auto start_server(std::unique_ptr<runtime::http_server>& server, base::endpoint const& address,
                      runtime::http_handler const& handler, tls_pointer const& identity) -> bool;

    // ---- Shutdown ----

    auto is_quiet() const -> bool;
    auto finish_all(std::function<void()> const& done) -> void;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_HOST_STATE_H_

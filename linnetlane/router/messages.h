// What the router exchanges with callers, upstreams and the registry, in the project's own terms,
// and the concepts that an adapter to a platform has to meet.

#ifndef LINNETLANE_ROUTER_MESSAGES_H_
#define LINNETLANE_ROUTER_MESSAGES_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/configuration.h"
#include "linnetlane/routing/generation_pool.h"
#include "linnetlane/routing/load_report.h"
#include "linnetlane/routing/upstream_set.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::router {

// ---- Callers ----

// A request as it came, with what the router needs to know of it.
struct caller_request {
    base::caller_request_id id;
    // As the caller named it, with a port if it gave one.
    std::string host;
    // What the caller allows from the arrival on; none if it didn't say.
    std::optional<base::duration> timeout;
    // Of a prompt for an engine.
    std::optional<routing::generation_size> size;
    // Method, target and body unchanged, with the fields that are passed on.
    runtime::http_request forwarded;
};

// Why the router answers by itself.
enum class refusal_reason {
    no_configuration,
    no_route,
    no_upstream,
    // No room now; the caller is told when to come back.
    overloaded,
    // It has not run, but no upstream could be reached.
    upstreams_unreachable,
    // It may have run: its upstream gave no usable answer.
    outcome_unknown,
    // It may have run: the time that the route allows is over.
    timed_out,
    // The host is shutting down.
    leaving,
};

struct refusal {
    refusal_reason reason = refusal_reason::overloaded;
    // When another try may succeed, from now. Only for refusals that say that nothing has run.
    std::optional<base::duration> retry_after;
};

// ---- Upstreams ----

// The head of an upstream's answer.
struct upstream_answer {
    int status = 0;
    // The request that the answer belongs to, if it says so.
    std::optional<base::caller_request_id> request;
    // The upstream states that it has not run the request and won't.
    bool not_run = false;
    // Another process has the address now.
    bool other_instance = false;
    // The upstream vouches for the answer. One without this isn't passed on as a success.
    bool attested = false;
    std::optional<routing::load_report> load;
};

// Room for one generation, reserved at a decode engine.
using reservation_id = base::basic_name<struct reservation_tag>;
// A prefill's result, kept at the engine that made it.
using prefill_result_id = base::basic_name<struct prefill_result_tag>;

// Where a prefill's result is.
struct prefill_location {
    base::endpoint engine;
    prefill_result_id result;
};

// What goes along with a request to an upstream.
struct send_options {
    // The only process that may run it.
    base::upstream_id expected;
    // Time left for the whole answer.
    base::duration time_left{};
};

// What goes along with a request to a decode engine.
struct decode_options {
    std::optional<prefill_location> source;
    std::optional<reservation_id> reservation;
    // Continue after this event of an earlier run.
    std::optional<std::uint64_t> continue_after;
};

// What an engine says of itself.
struct engine_report {
    std::optional<routing::engine_stage> stage;
    // Orders that it accepted since its start.
    std::uint64_t accepted_orders = 0;
    // An order is being carried out.
    bool busy = false;
};

// Whoever gives orders, as engines are told.
struct order_authority {
    base::host_id holder;
    base::fencing_number fence;
};

// The messages of a platform towards callers and upstreams. All functions are static.
template <typename Wire>
concept router_wire = requires(runtime::http_request const& request, runtime::http_fields fields,
                               caller_request const& caller, send_options const& terms,
                               decode_options const& decode, refusal const& refused,
                               std::string_view text, std::string const& body,
                               order_authority const& authority, engine_report const& report) {
    { Wire::read_caller_request(request) } -> std::same_as<caller_request>;
    { Wire::write_refusal(refused, caller) } -> std::same_as<runtime::http_response>;
    { Wire::is_readiness_check(request) } -> std::same_as<bool>;
    { Wire::read_answer(200, fields) } -> std::same_as<upstream_answer>;
    // The fields of an upstream's answer that the caller gets.
    { Wire::answer_fields(fields) } -> std::same_as<runtime::http_fields>;
    { Wire::execute(caller, terms) } -> std::same_as<runtime::http_request>;
    { Wire::prefill(caller, terms) } -> std::same_as<runtime::http_request>;
    { Wire::read_prefill_result(body) } -> std::same_as<std::optional<prefill_result_id>>;
    { Wire::decode(caller, terms, decode) } -> std::same_as<runtime::http_request>;
    {
        Wire::reserve(base::upstream_id{}, base::token_count{}, base::duration{})
        } -> std::same_as<runtime::http_request>;
    { Wire::read_reservation(body) } -> std::same_as<std::optional<reservation_id>>;
    { Wire::release(reservation_id{}) } -> std::same_as<runtime::http_request>;
    { Wire::discard(prefill_result_id{}) } -> std::same_as<runtime::http_request>;
    { Wire::ask_report(base::upstream_id{}) } -> std::same_as<runtime::http_request>;
    { Wire::read_report(body) } -> std::same_as<std::optional<engine_report>>;
    {
        Wire::order_stage(base::upstream_id{}, routing::engine_stage::decode, authority, report)
        } -> std::same_as<runtime::http_request>;
};

// ---- Registry ----

// How far a reader has come in the registry's changes.
using registry_position = base::basic_number<struct registry_position_tag>;
// A lease that keeps a host's entries in the registry.
using registry_lease = base::basic_number<struct registry_lease_tag>;

enum class registry_failure {
    // No answer, or one that says that nothing was done.
    unavailable,
    // Changes since the position are no longer known: read everything again.
    history_lost,
    // The lease has ended.
    lease_ended,
    // What came can't be read.
    malformed,
};

struct configuration_reading {
    // Null if there is none, or none that can be read.
    std::shared_ptr<routing::configuration const> configuration;
    registry_position position;
};

struct upstream_listing {
    std::vector<routing::upstream_record> records;
    // Entries that name no upstream.
    std::size_t unreadable = 0;
    registry_position position;
};

struct upstream_changes {
    std::vector<routing::upstream_record> put;
    std::vector<base::upstream_id> removed;
    registry_position position;

    // Adds a later change: only the last one of an upstream counts.
    auto note_put(routing::upstream_record record) -> void {
        this->forget(record.id);
        this->put.push_back(std::move(record));
    }
    auto note_removed(base::upstream_id const& id) -> void {
        this->forget(id);
        this->removed.push_back(id);
    }
    // Drops what was noted of an upstream.
    auto forget(base::upstream_id const& id) -> void {
        std::erase_if(this->put, [&](auto const& record) { return record.id == id; });
        std::erase(this->removed, id);
    }
};

struct granted_lease {
    registry_lease lease;
    // From the moment at which the call was made.
    base::duration ttl{};
};

// A host, as it enters itself in the registry.
struct host_entry {
    base::host_id host;
    base::data_centre_id data_centre;
    // Where hosts of its data centre may ask it; none if they may not.
    std::optional<base::endpoint> peers;
};

struct host_listing {
    std::vector<host_entry> hosts;
    // The host that holds the right to give orders.
    std::optional<base::host_id> order_giver;
};

// The registry of a platform. Calls suspend the calling fiber until `deadline` at most.
template <typename Registry>
concept router_registry = requires(Registry& registry, registry_position position,
                                   base::duration wait, base::time_point deadline,
                                   host_entry const& self, base::host_id const& host,
                                   registry_lease lease) {
    {
        registry.read_configuration(deadline)
        } -> std::same_as<base::result<configuration_reading, registry_failure>>;
    // Waits for a newer configuration. Gives a reading without one when none came.
    {
        registry.await_configuration(position, wait, deadline)
        } -> std::same_as<base::result<configuration_reading, registry_failure>>;
    {
        registry.list_upstreams(deadline)
        } -> std::same_as<base::result<upstream_listing, registry_failure>>;
    {
        registry.await_upstreams(position, wait, deadline)
        } -> std::same_as<base::result<upstream_changes, registry_failure>>;
    // Ends the calls that wait for changes; they give `unavailable`.
    {registry.interrupt_waits()};
    // Enters this host in the list of hosts.
    {
        registry.join(self, wait, deadline)
        } -> std::same_as<base::result<granted_lease, registry_failure>>;
    {
        registry.renew(lease, deadline)
        } -> std::same_as<base::result<base::duration, registry_failure>>;
    { registry.list_hosts(deadline) } -> std::same_as<base::result<host_listing, registry_failure>>;
    // Takes the right to give orders if nobody has it. Nothing if somebody has.
    {
        registry.claim_order_giver(host, lease, deadline)
        } -> std::same_as<base::result<std::optional<base::fencing_number>, registry_failure>>;
    // Whether the claim with that number is still the one in force.
    {
        registry.is_claim_in_force(base::fencing_number{}, deadline)
        } -> std::same_as<base::result<bool, registry_failure>>;
    {
        registry.leave(lease, deadline)
        } -> std::same_as<base::result<base::nothing, registry_failure>>;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_MESSAGES_H_

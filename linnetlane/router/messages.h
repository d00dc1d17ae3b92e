// The messages between the router and callers, upstreams and the registry, independent of any
// platform, and the concepts that an adapter to a platform must satisfy.

#ifndef LINNETLANE_ROUTER_MESSAGES_H_
#define LINNETLANE_ROUTER_MESSAGES_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "linnetlane/base/account_key.h"
#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/configuration.h"
#include "linnetlane/routing/generation_pool.h"
#include "linnetlane/routing/load_report.h"
#include "linnetlane/routing/request_quarantine.h"
#include "linnetlane/routing/upstream_set.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::router {

// ---- Callers ----

// A request from a caller, with the parts that the router interprets.
struct caller_request {
    base::caller_request_id id;
    // The host as the caller sent it, possibly with a port.
    std::string host;
    // The time that the caller allows from the arrival on, if stated.
    std::optional<base::duration> timeout;
    // Set if the request resumes a stream that the caller has received in part: the caller's
    // request that the stream's first event answered, if it is stated.
    bool resumes = false;
    std::optional<base::caller_request_id> resumed_request;
    // The software version that the host which sent the request on has bound it to.
    std::optional<base::software_version> bound_to;
    // The id of the last event that the caller has received of that stream, if it is a number.
    std::optional<std::uint64_t> received_event;
    // Set for prompts that state their size.
    std::optional<routing::generation_size> size;
    // The parts of the prompt that other requests may share, in order; empty if there are none.
    std::vector<base::prompt_part_id> shared_parts;
    // What tells callers apart; requests with equal ones are of one caller. The account's name, if
    // there are accounts.
    std::string caller;
    // The account that the request runs for, if there are accounts.
    std::optional<base::caller_id> account;
    // The digest of the key that the request carried, if there are accounts.
    std::optional<base::key_digest> key;
    // The request to forward: method, target and body unchanged, with the fields to pass on.
    runtime::http_request forwarded;
};

// Why the router answers a request itself.
enum class refusal_reason {
    no_configuration,
    no_route,
    no_upstream,
    // There is no capacity now; the caller is told when to retry.
    overloaded,
    // The request has not run: no upstream could be reached.
    upstreams_unreachable,
    // The request may have run: the upstream gave no usable answer.
    outcome_unknown,
    // The request may have run: its time limit has passed.
    timed_out,
    // The request resumes a stream, and it isn't known which software version began it.
    unknown_origin,
    // The prompt has a part under which upstreams end.
    prompt_quarantined,
    // Upstreams end under the request.
    request_quarantined,
    // The host is shutting down.
    leaving,
    // No account has the request's key, or it carries none.
    unknown_key,
    // An account may have the key in a newer configuration, which this host may lack.
    configuration_too_old,
    // The account has requested more than its quota.
    quota_exceeded,
    // Another host sent the request on and has a newer configuration than this one.
    older_configuration,
    // No route matches, but a newer configuration, which this host may lack, may have one.
    route_unconfirmed,
};

// Returns whether a request that is refused for `reason` certainly hasn't run and never will.
[[nodiscard]] constexpr auto is_not_run(refusal_reason reason) -> bool {
    return reason != refusal_reason::outcome_unknown && reason != refusal_reason::timed_out;
}

struct refusal {
    refusal_reason reason = refusal_reason::overloaded;
    // The delay after which a retry may succeed. Set only if the request has not run.
    std::optional<base::duration> retry_after;
};

// ---- Upstreams ----

// The head of an upstream's answer.
struct upstream_answer {
    int status = 0;
    // The id of the request that the answer belongs to, if stated.
    std::optional<base::caller_request_id> request;
    // The upstream states that it has not run the request and will not run it.
    bool not_run = false;
    // The answer is from another process that now has the address.
    bool other_instance = false;
    // The upstream attests that the answer is its own. A success without this is not forwarded.
    bool attested = false;
    // The upstream finishes its requests and wants no new ones.
    bool leaving = false;
    // The upstream wants nothing from this host for so long.
    std::optional<base::duration> pause;
    // The requests per second that the upstream takes from all hosts together, for as long as its
    // answers say so.
    std::optional<double> rate_limit;
    std::optional<routing::load_report> load;
};

// The limit on the bodies of upstreams' answers to calls of the router itself: a reservation, its
// release, an order, a report. Sound ones have some hundred bytes.
inline constexpr auto max_control_answer = base::byte_count{std::int64_t{64} * 1024};
// The limit on the bodies of other hosts' answers that hold no configuration.
inline constexpr auto max_peer_answer = base::byte_count{std::int64_t{1} * 1024 * 1024};

// A reservation of memory for one generation at a decode engine.
using reservation_id = base::basic_name<struct reservation_tag>;
// The result of a prefill, which the prefill engine keeps.
using prefill_result_id = base::basic_name<struct prefill_result_tag>;

// The engine that keeps the result of a prefill, and the result's id there.
struct prefill_location {
    base::endpoint engine;
    prefill_result_id result;
};

// Metadata of a request to an upstream.
struct send_options {
    // The upstream that may run the request. Any other process at the address must reject it.
    base::upstream_id expected;
    // The time left until the end of the answer.
    base::duration time_left{};
};

// Additional metadata of a request to a decode engine.
struct decode_options {
    std::optional<prefill_location> source;
    std::optional<reservation_id> reservation;
    // Resume after this event of an earlier run.
    std::optional<std::uint64_t> continue_after;
};

// The state of an engine as it reports it.
struct engine_report {
    std::optional<routing::engine_stage> stage;
    // The number of orders accepted since the engine started.
    std::uint64_t accepted_orders = 0;
    // The engine is executing an order.
    bool busy = false;
};

// The order giver, as stated in an order to an engine.
struct order_authority {
    base::host_id holder;
    base::fencing_number fence;
};

// Translates messages to and from a platform's callers and upstreams. All functions are static.
template <typename Wire>
concept router_wire = requires(runtime::http_request const& request, runtime::http_fields fields,
                               caller_request const& caller, caller_request& account_target,
                               std::optional<base::caller_id> const& account,
                               send_options const& options, decode_options const& decode,
                               refusal const& refused, std::string_view text,
                               std::string const& body, order_authority const& authority,
                               engine_report const& report) {
    { Wire::read_caller_request(request) } -> std::same_as<caller_request>;
    // Returns the key of an account that the request carries.
    { Wire::account_key(request) } -> std::same_as<std::optional<std::string_view>>;
    // Names the account to upstreams, or none, whatever the caller named. Removes the key.
    {Wire::set_account(account_target, account)};
    { Wire::write_refusal(refused, caller) } -> std::same_as<runtime::http_response>;
    { Wire::is_readiness_check(request) } -> std::same_as<bool>;
    { Wire::read_answer(200, fields) } -> std::same_as<upstream_answer>;
    // Returns the fields of an upstream's answer that are forwarded to the caller.
    { Wire::answer_fields(fields) } -> std::same_as<runtime::http_fields>;
    { Wire::make_execute_request(caller, options) } -> std::same_as<runtime::http_request>;
    { Wire::make_prefill_request(caller, options) } -> std::same_as<runtime::http_request>;
    { Wire::read_prefill_result(body) } -> std::same_as<std::optional<prefill_result_id>>;
    { Wire::make_decode_request(caller, options, decode) } -> std::same_as<runtime::http_request>;
    {
        Wire::make_reserve_request(base::upstream_id{}, base::token_count{}, base::duration{})
        } -> std::same_as<runtime::http_request>;
    { Wire::read_reservation(body) } -> std::same_as<std::optional<reservation_id>>;
    { Wire::make_release_request(reservation_id{}) } -> std::same_as<runtime::http_request>;
    { Wire::make_discard_request(prefill_result_id{}) } -> std::same_as<runtime::http_request>;
    { Wire::make_report_request(base::upstream_id{}) } -> std::same_as<runtime::http_request>;
    { Wire::read_report(body) } -> std::same_as<std::optional<engine_report>>;
    {
        Wire::make_stage_order(base::upstream_id{}, routing::engine_stage::decode, authority,
                               report)
        } -> std::same_as<runtime::http_request>;
};

// ---- Registry ----

// Counts the times that the registry was restored from an older copy of itself, if it states that;
// otherwise 0. After a restoration, positions, leases and fencing numbers are given out again.
using registry_era = base::basic_number<struct registry_era_tag>;
// A position in the sequence of the registry's changes. Positions of a later era are greater.
using registry_position = base::basic_number<struct registry_position_tag>;
// A lease that a host's entries in the registry are bound to.
using registry_lease = base::basic_number<struct registry_lease_tag>;

enum class registry_failure {
    // There was no answer, or the call had no effect.
    unavailable,
    // Changes since the position are no longer available; a full listing is needed.
    history_lost,
    // The lease has ended.
    lease_ended,
    // The answer can't be parsed.
    malformed,
};

struct configuration_reading {
    // Null if there is none or it can't be parsed.
    std::shared_ptr<routing::configuration const> configuration;
    // There is one that can't be parsed, or it was removed.
    bool unreadable = false;
    // The paths of the parts of the configuration that can't be read and were left out.
    std::vector<std::string> skipped;
    registry_position position;
};

// An entry that names no upstream, since it can't be read.
struct unreadable_entry {
    base::upstream_id id;
    // The field that is missing or has a value that no upstream has; empty if it's the whole entry.
    base::document_path field;

    friend auto operator==(unreadable_entry const&, unreadable_entry const&) -> bool = default;
};

struct upstream_listing {
    std::vector<routing::upstream_record> records;
    std::vector<unreadable_entry> unreadable;
    registry_position position;
};

// The last change of each upstream up to `position`.
struct upstream_changes {
    std::vector<routing::upstream_record> put;
    std::vector<base::upstream_id> removed;
    registry_position position;
    // The entries among `removed` that exist and can't be read.
    std::vector<unreadable_entry> unreadable = {};

    // Add a later change, which replaces earlier ones of the same upstream.
    auto note_put(routing::upstream_record record) -> void {
        this->forget(record.id);
        this->put.push_back(std::move(record));
    }
    auto note_removed(base::upstream_id const& id) -> void {
        this->forget(id);
        this->removed.push_back(id);
    }
    auto note_unreadable(unreadable_entry entry) -> void {
        this->note_removed(entry.id);
        this->unreadable.push_back(std::move(entry));
    }
    // Drops the changes of an upstream.
    auto forget(base::upstream_id const& id) -> void {
        std::erase_if(this->put, [&](auto const& record) { return record.id == id; });
        std::erase(this->removed, id);
        std::erase_if(this->unreadable, [&](auto const& entry) { return entry.id == id; });
    }
};

// The software version of the upstreams that may begin the stream which answers a request.
struct stream_origin {
    base::caller_request_id request;
    base::software_version software;

    friend auto operator==(stream_origin const&, stream_origin const&) -> bool = default;
};

struct granted_lease {
    registry_lease lease;
    // The lifetime of the lease from the time of the call.
    base::duration ttl{};
};

// A number of hosts above this is read as not stated.
inline constexpr auto max_hosts = std::size_t{100'000};

// The processor capacity of a host, in thousandths of a core.
using host_capacity = base::basic_number<struct host_capacity_tag>;

// A host, as other hosts know it.
struct host_entry {
    base::host_id host;
    base::data_centre_id data_centre;
    // The address for requests of hosts of the same data centre, if the host accepts them.
    std::optional<base::endpoint> peers;
    host_capacity capacity;

    friend auto operator==(host_entry const&, host_entry const&) -> bool = default;
};

// The registry's entry of a host that reads the registry for others.
struct registered_host {
    host_entry entry;
    // The number of hosts that follow this one.
    std::size_t followers = 0;
    // The services whose upstreams have had one software version only for as long as a stream can
    // be resumed, with that version. Tells a host that starts of the time before.
    std::map<base::service_id, base::software_version> sole_versions = {};
};

struct host_listing {
    std::vector<registered_host> hosts;
    // The host that is the order giver, if any.
    std::optional<base::host_id> order_giver;
    // What hosts have quarantined.
    std::vector<routing::quarantine_subject> quarantined;
    // Hosts whose entry can't be read or has a value that no host writes.
    std::vector<base::host_id> unreadable = {};
};

// Whether a read of the registry may return stale data, at a lower cost.
enum class freshness { current, may_be_stale };

// The registry of a platform. Calls suspend the calling fiber, at most until `deadline`.
template <typename Registry>
concept router_registry = requires(Registry& registry, registry_position position,
                                   base::duration wait, base::time_point deadline,
                                   registered_host const& self, base::host_id const& host,
                                   registry_lease lease, base::caller_request_id const& request,
                                   std::vector<stream_origin> const& streams,
                                   routing::quarantine_subject const& subject) {
    {
        registry.read_configuration(deadline)
        } -> std::same_as<base::result<configuration_reading, registry_failure>>;
    // Waits for a newer configuration. The result has none if none came within `wait`.
    {
        registry.await_configuration(position, wait, deadline)
        } -> std::same_as<base::result<configuration_reading, registry_failure>>;
    // As `await_configuration`, for a configuration that there is at the time of the call.
    // `interrupt_waits` doesn't end the call.
    {
        registry.read_newer_configuration(position, deadline)
        } -> std::same_as<base::result<configuration_reading, registry_failure>>;
    {
        registry.list_upstreams(deadline)
        } -> std::same_as<base::result<upstream_listing, registry_failure>>;
    {
        registry.await_upstreams(position, wait, deadline)
        } -> std::same_as<base::result<upstream_changes, registry_failure>>;
    // Returns the changes after `position` that there are at the time of the call, without waiting
    // for others. `interrupt_waits` doesn't end the call.
    {
        registry.read_changes(position, deadline)
        } -> std::same_as<base::result<upstream_changes, registry_failure>>;
    // Returns the newest era that an answer stated. Answers of older eras count as `unavailable`.
    // After a change of the era, positions return `history_lost` and leases return `lease_ended`.
    { registry.era() } -> std::same_as<registry_era>;
    // Ends the calls that wait for changes. They return `unavailable`.
    {registry.interrupt_waits()};
    // Acquires a lease of length `wait` and registers this host.
    {
        registry.join(self, wait, deadline)
        } -> std::same_as<base::result<granted_lease, registry_failure>>;
    {
        registry.renew(lease, deadline)
        } -> std::same_as<base::result<base::duration, registry_failure>>;
    // Replaces the entry that `join` registered.
    {
        registry.update_entry(self, lease, deadline)
        } -> std::same_as<base::result<base::nothing, registry_failure>>;
    // Acquires a lease of length `wait` for records.
    {
        registry.grant_lease(wait, deadline)
        } -> std::same_as<base::result<granted_lease, registry_failure>>;
    // Records the versions of streams until the lease ends.
    {
        registry.record_streams(streams, lease, deadline)
        } -> std::same_as<base::result<base::nothing, registry_failure>>;
    // Records for `wait` that the subject is quarantined, unless that is recorded already.
    {
        registry.record_quarantine(subject, wait, deadline)
        } -> std::same_as<base::result<base::nothing, registry_failure>>;
    // Returns the recorded version of the stream that answered `request`; empty if there is none.
    {
        registry.find_stream(request, deadline)
        } -> std::same_as<base::result<std::optional<base::software_version>, registry_failure>>;
    {
        registry.list_hosts(freshness::current, deadline)
        } -> std::same_as<base::result<host_listing, registry_failure>>;
    // Makes `host` the order giver if there is none. The result is empty if there is one.
    {
        registry.claim_order_giver(host, lease, deadline)
        } -> std::same_as<base::result<std::optional<base::fencing_number>, registry_failure>>;
    // Returns whether the claim of `host` with that fencing number is still in force.
    {
        registry.is_claim_in_force(host, base::fencing_number{}, deadline)
        } -> std::same_as<base::result<bool, registry_failure>>;
    {
        registry.leave(lease, deadline)
        } -> std::same_as<base::result<base::nothing, registry_failure>>;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_MESSAGES_H_

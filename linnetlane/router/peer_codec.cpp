#include "linnetlane/router/peer_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <memory>
#include <new>
#include <utility>

#include <thrift/Thrift.h>

#include "linnetlane/protocol/compact_bytes.h"
#include "linnetlane/protocol/generated/router_types.h"

namespace linnetlane::router {

namespace {

using protocol::microseconds_of;

// Limits on the size of a message in bytes and on the length of a container. A listing of thousands
// of upstreams is within these limits.
constexpr auto size_bounds = protocol::compact_bounds{std::int32_t{4} * 1024 * 1024, 100'000};
// Requests with a longer wait are rejected; no host sends them.
constexpr auto max_wait = std::chrono::seconds{30};

// The limits for a caller's request, whose body and header are limited when it is received.
constexpr auto request_bounds = protocol::compact_bounds{std::int32_t{16} * 1024 * 1024, 10'000};
constexpr auto refusal_field = "Forwarding-Refused";

template <typename Message>
auto read(std::string_view text, protocol::compact_bounds const& bounds = size_bounds)
    -> std::optional<Message> {
    try {
        return protocol::read_compact<Message>(text, bounds);
    } catch (apache::thrift::TException const&) {
        return std::nullopt;
    } catch (std::bad_alloc const&) {
        return std::nullopt;
    }
}

auto to_wire(std::optional<routing::engine_stage> stage) -> peer_wire::stage::type {
    if (!stage) {
        return peer_wire::stage::none;
    }
    return *stage == routing::engine_stage::prefill ? peer_wire::stage::prefill
                                                    : peer_wire::stage::decode;
}

auto to_wire(routing::upstream_record const& record) -> peer_wire::upstream {
    auto out = peer_wire::upstream{};
    out.__set_id(record.id.value);
    out.__set_service_name(record.service.value);
    out.__set_address(record.address.address);
    out.__set_port(record.address.port);
    out.__set_data_centre(record.data_centre.value);
    out.__set_software_version(record.software.value);
    out.__set_started(static_cast<std::int64_t>(record.started.value));
    out.__set_slots(static_cast<std::int64_t>(record.slots));
    out.__set_leaving(record.leaving);
    out.__set_stage(to_wire(record.stage));
    return out;
}

auto to_wire(routing::route const& route) -> peer_wire::route {
    auto out = peer_wire::route{};
    out.__set_name(route.name.value);
    out.__set_host(route.host);
    out.__set_prefix(route.prefix);
    for (auto const& target : route.targets) {
        auto part = peer_wire::weighted_service{};
        part.__set_service_name(target.service.value);
        part.__set_weight(target.weight);
        out.targets.push_back(part);
    }
    out.__set_at_most_once(route.semantics == routing::execution_semantics::at_most_once);
    out.__set_streams(route.streams);
    out.__set_resumable(route.resumable);
    out.__set_generates(route.generates);
    out.__set_timeout(microseconds_of(route.timeout));
    out.__set_target_latency(microseconds_of(route.target_latency));
    out.__set_priority(route.priority);
    out.__set_most_attempts(static_cast<std::int64_t>(route.max_attempts));
    out.__set_open_to_all(route.open_to_all);
    out.__set_longest_pause(microseconds_of(route.longest_pause));
    return out;
}

auto to_wire(routing::service const& service) -> peer_wire::service_terms {
    auto out = peer_wire::service_terms{};
    out.__set_name(service.id.value);
    out.__set_most_connections(static_cast<std::int64_t>(service.max_connections));
    if (service.engine) {
        auto engine = peer_wire::engine_shape{};
        engine.__set_memory(service.engine->memory.value);
        engine.__set_slots(static_cast<std::int64_t>(service.engine->slots));
        engine.__set_longest_reservation(microseconds_of(service.engine->longest_reservation));
        engine.__set_result_kept(microseconds_of(service.engine->result_kept));
        engine.__set_stage_switch(microseconds_of(service.engine->stage_switch));
        out.__set_engine(engine);
    }
    return out;
}

auto to_wire(routing::client_account const& account) -> peer_wire::account {
    auto out = peer_wire::account{};
    out.__set_name(account.id.value);
    for (auto const& key : account.keys) {
        out.key_digests.push_back(key.value);
    }
    if (account.priority) {
        out.__set_priority(*account.priority);
    }
    if (account.quota) {
        auto quota = peer_wire::account_quota{};
        quota.__set_counts_tokens(account.quota->unit == routing::quota_unit::tokens);
        quota.__set_per_second(account.quota->per_second);
        quota.__set_burst(account.quota->burst);
        quota.__set_unsized_tokens(static_cast<std::int64_t>(account.quota->unsized_tokens));
        out.__set_quota(quota);
    }
    return out;
}

auto to_wire(routing::configuration const& configuration) -> peer_wire::configuration {
    auto out = peer_wire::configuration{};
    out.__set_version(static_cast<std::int64_t>(configuration.version.value));
    for (auto const& route : configuration.routes) {
        out.routes.push_back(to_wire(route));
    }
    for (auto const& [id, service] : configuration.services) {
        out.services.push_back(to_wire(service));
    }
    auto const& limits = configuration.limits;
    out.limits.__set_header_bytes(static_cast<std::int64_t>(limits.header_bytes));
    out.limits.__set_body_bytes(static_cast<std::int64_t>(limits.body_bytes));
    out.limits.__set_request_arrival(microseconds_of(limits.request_arrival));
    out.limits.__set_idle(microseconds_of(limits.idle));
    auto accounts = std::vector<peer_wire::account>{};
    for (auto const& account : configuration.accounts.all()) {
        accounts.push_back(to_wire(account));
    }
    out.__set_accounts(accounts);
    out.__set_requires_keys(configuration.requires_keys);
    return out;
}

auto to_wire(host_entry const& host) -> peer_wire::host {
    auto out = peer_wire::host{};
    out.__set_name(host.host.value);
    if (host.peers) {
        out.__set_address(host.peers->address);
        out.__set_port(host.peers->port);
    }
    out.__set_capacity(static_cast<std::int64_t>(host.capacity.value));
    return out;
}

auto to_wire(std::vector<aged_fact> const& facts) -> std::vector<peer_wire::fact> {
    auto out = std::vector<peer_wire::fact>{};
    for (auto const& fact : facts) {
        auto one = peer_wire::fact{};
        one.__set_kind(static_cast<std::int32_t>(fact.key.kind));
        one.__set_subject(fact.key.subject);
        if (!fact.key.witness.empty()) {
            one.__set_witness(fact.key.witness);
        }
        one.__set_amount(fact.value);
        one.__set_age(microseconds_of(fact.age));
        out.push_back(std::move(one));
    }
    return out;
}

auto to_wire(fact_mark const& mark) -> peer_wire::fact_mark {
    auto out = peer_wire::fact_mark{};
    out.__set_process(static_cast<std::int64_t>(mark.process));
    out.__set_position(static_cast<std::int64_t>(mark.position.value));
    return out;
}

auto to_wire(changes_answer const& answer) -> peer_wire::changes_answer {
    auto out = peer_wire::changes_answer{};
    if (auto const* const failure = base::failure_of(answer)) {
        out.__set_outcome(*failure == registry_failure::history_lost
                              ? peer_wire::outcome::history_lost
                              : peer_wire::outcome::unavailable);
        return out;
    }
    auto const& update = base::value_of(answer);
    auto const& changes = update.upstreams;
    if (update.configuration) {
        out.__set_newer_configuration(to_wire(*update.configuration));
    }
    out.__set_outcome(update.redirected ? peer_wire::outcome::redirected
                                        : peer_wire::outcome::changes);
    out.__set_position(static_cast<std::int64_t>(changes.position.value));
    for (auto const& record : changes.put) {
        out.put.push_back(to_wire(record));
    }
    for (auto const& id : changes.removed) {
        out.removed.push_back(id.value);
    }
    out.__set_complete(update.complete);
    out.__set_grace_left(microseconds_of(update.grace_left));
    out.__set_registry_answered_for(microseconds_of(update.registry_answered_for));
    out.__set_hosts(static_cast<std::int64_t>(update.hosts));
    auto relays = std::vector<peer_wire::host>{};
    for (auto const& host : update.relays) {
        relays.push_back(to_wire(host));
    }
    out.__set_relays(relays);
    if (!update.distant_readers.empty()) {
        auto readers = std::vector<peer_wire::host>{};
        for (auto const& host : update.distant_readers) {
            readers.push_back(to_wire(host));
        }
        out.__set_distant_readers(readers);
    }
    if (!update.facts.empty()) {
        out.__set_facts(to_wire(update.facts));
    }
    if (update.facts_at) {
        out.__set_facts_at(to_wire(*update.facts_at));
    }
    if (update.configuration_age) {
        out.__set_configuration_age(microseconds_of(*update.configuration_age));
    }
    if (update.configuration_version) {
        out.__set_configuration_version(
            static_cast<std::int64_t>(update.configuration_version->value));
    }
    if (update.configuration_position) {
        out.__set_configuration_position(
            static_cast<std::int64_t>(update.configuration_position->value));
    }
    return out;
}

// Returns nothing if the host has no name or no address.
auto from_wire(peer_wire::host&& in) -> std::optional<host_entry> {
    auto const port_fits = in.port > 0 && in.port <= std::numeric_limits<std::uint16_t>::max();
    if (in.name.empty() || in.address.empty() || !port_fits) {
        return std::nullopt;
    }
    auto entry = host_entry{};
    entry.host.value = std::move(in.name);
    entry.peers = base::endpoint{std::move(in.address), static_cast<std::uint16_t>(in.port)};
    entry.capacity.value = static_cast<std::uint64_t>(std::max<std::int64_t>(in.capacity, 0));
    return entry;
}

auto from_wire(peer_wire::upstream&& in) -> std::optional<routing::upstream_record> {
    auto const port_fits = in.port > 0 && in.port <= std::numeric_limits<std::uint16_t>::max();
    auto const stage_known =
        in.stage >= peer_wire::stage::none && in.stage <= peer_wire::stage::decode;
    if (in.id.empty() || !port_fits || !stage_known || in.slots < 0) {
        return std::nullopt;
    }
    auto record = routing::upstream_record{};
    record.id.value = std::move(in.id);
    record.service.value = std::move(in.service_name);
    record.address = {std::move(in.address), static_cast<std::uint16_t>(in.port)};
    record.data_centre.value = std::move(in.data_centre);
    record.software.value = std::move(in.software_version);
    record.started.value = static_cast<std::uint64_t>(in.started);
    record.slots = static_cast<std::size_t>(in.slots);
    record.leaving = in.leaving;
    if (in.stage != peer_wire::stage::none) {
        record.stage = in.stage == peer_wire::stage::prefill ? routing::engine_stage::prefill
                                                             : routing::engine_stage::decode;
    }
    return record;
}

// Negative counts on the wire are read as 0.
auto amount(std::int64_t value) -> std::size_t {
    return static_cast<std::size_t>(std::max<std::int64_t>(value, 0));
}

auto span(std::int64_t microseconds) -> base::duration {
    return std::max(base::limited_span<std::chrono::microseconds>(microseconds),
                    base::duration::zero());
}

// Amounts are converted to integers.
constexpr auto max_amount = 1e15;

// Facts of unknown kinds are left out; hosts of later versions may send them.
auto from_wire(std::vector<peer_wire::fact>&& in) -> std::vector<aged_fact> {
    auto facts = std::vector<aged_fact>{};
    for (auto& each : in) {
        auto const known =
            each.kind >= static_cast<std::int32_t>(routing::fact_kind::upstream_crash) &&
            each.kind <= static_cast<std::int32_t>(routing::fact_kind::room_scarce);
        if (!known || each.subject.empty() || !std::isfinite(each.amount)) {
            continue;
        }
        facts.push_back({{static_cast<routing::fact_kind>(each.kind), std::move(each.subject),
                          std::move(each.witness)},
                         std::clamp(each.amount, -max_amount, max_amount),
                         span(each.age)});
    }
    return facts;
}

auto from_wire(peer_wire::fact_mark const& in) -> fact_mark {
    return fact_mark{static_cast<std::uint64_t>(in.process),
                     routing::fact_position{static_cast<std::uint64_t>(in.position)}};
}

auto from_wire(peer_wire::route&& in) -> routing::route {
    auto route = routing::route{};
    route.name.value = std::move(in.name);
    route.host = std::move(in.host);
    route.prefix = std::move(in.prefix);
    for (auto& target : in.targets) {
        route.targets.push_back({base::service_id{std::move(target.service_name)}, target.weight});
    }
    route.semantics = in.at_most_once ? routing::execution_semantics::at_most_once
                                      : routing::execution_semantics::idempotent;
    route.streams = in.streams;
    route.resumable = in.resumable;
    route.generates = in.generates;
    route.timeout = span(in.timeout);
    route.target_latency = span(in.target_latency);
    route.priority = in.priority;
    route.max_attempts = amount(in.most_attempts);
    route.open_to_all = in.__isset.open_to_all && in.open_to_all;
    if (in.__isset.longest_pause) {
        route.longest_pause = span(in.longest_pause);
    }
    return route;
}

auto from_wire(peer_wire::service_terms&& in) -> routing::service {
    auto service = routing::service{};
    service.id.value = std::move(in.name);
    service.max_connections = amount(in.most_connections);
    if (in.__isset.engine) {
        auto engine = routing::engine_shape{};
        engine.memory.value = in.engine.memory;
        engine.slots = amount(in.engine.slots);
        engine.longest_reservation = span(in.engine.longest_reservation);
        engine.result_kept = span(in.engine.result_kept);
        engine.stage_switch = span(in.engine.stage_switch);
        service.engine = engine;
    }
    return service;
}

auto from_wire(peer_wire::account&& in) -> routing::client_account {
    auto account = routing::client_account{};
    account.id.value = std::move(in.name);
    for (auto& digest : in.key_digests) {
        account.keys.push_back(base::key_digest{std::move(digest)});
    }
    if (in.__isset.priority) {
        account.priority = in.priority;
    }
    if (in.__isset.quota) {
        auto const finite = std::isfinite(in.quota.per_second) && std::isfinite(in.quota.burst);
        account.quota = routing::account_quota{
            in.quota.counts_tokens ? routing::quota_unit::tokens : routing::quota_unit::requests,
            finite ? std::max(in.quota.per_second, 0.0) : 0.0,
            finite ? std::max(in.quota.burst, 0.0) : 0.0,
            static_cast<double>(std::max<std::int64_t>(in.quota.unsized_tokens, 0))};
    }
    return account;
}

auto from_wire(peer_wire::configuration&& in) -> routing::configuration {
    auto configuration = routing::configuration{};
    configuration.version.value = static_cast<std::uint64_t>(in.version);
    for (auto& route : in.routes) {
        configuration.routes.push_back(from_wire(std::move(route)));
    }
    for (auto& each : in.services) {
        auto service = from_wire(std::move(each));
        auto const id = service.id;
        configuration.services.insert_or_assign(id, std::move(service));
    }
    configuration.limits.header_bytes = amount(in.limits.header_bytes);
    configuration.limits.body_bytes = amount(in.limits.body_bytes);
    configuration.limits.request_arrival = span(in.limits.request_arrival);
    configuration.limits.idle = span(in.limits.idle);
    configuration.requires_keys = in.requires_keys;
    auto accounts = std::vector<routing::client_account>{};
    for (auto& account : in.accounts) {
        accounts.push_back(from_wire(std::move(account)));
    }
    configuration.accounts = routing::client_accounts{std::move(accounts)};
    return configuration;
}

}  // namespace

auto with_ages(std::vector<routing::shared_fact> const& facts, base::time_point now)
    -> std::vector<aged_fact> {
    auto aged = std::vector<aged_fact>{};
    for (auto const& fact : facts) {
        aged.push_back(
            {fact.key, fact.value, std::max(now - fact.observed_at, base::duration::zero())});
    }
    return aged;
}

auto without_ages(std::vector<aged_fact> const& facts, base::time_point now)
    -> std::vector<routing::shared_fact> {
    auto placed = std::vector<routing::shared_fact>{};
    for (auto const& fact : facts) {
        placed.push_back({fact.key, fact.value, now - fact.age});
    }
    return placed;
}

auto make_changes_request(changes_question const& question) -> runtime::http_request {
    return runtime::http_request{"POST", std::string{changes_target}, {}, encode(question)};
}

auto make_forward_request(forwarded_request const& forwarded) -> runtime::http_request {
    auto out = peer_wire::forwarded_request{};
    out.__set_method(forwarded.request.method);
    out.__set_target(forwarded.request.target);
    for (auto const& [name, value] : forwarded.request.fields.entries) {
        auto field = peer_wire::header_field{};
        field.__set_name(name);
        field.__set_value(value);
        out.fields.push_back(field);
    }
    out.__set_body(forwarded.request.body);
    out.__set_time_left(microseconds_of(forwarded.time_left));
    if (forwarded.key) {
        out.__set_key_digest(forwarded.key->value);
    }
    if (forwarded.configuration) {
        out.__set_configuration_version(static_cast<std::int64_t>(forwarded.configuration->value));
    }
    if (forwarded.software) {
        out.__set_software_version(forwarded.software->value);
    }
    auto const target = forwarded.key ? keyed_forward_target : forward_target;
    return runtime::http_request{"POST", std::string{target}, {}, protocol::write_compact(out)};
}

auto make_fact_report(std::vector<aged_fact> const& facts) -> runtime::http_request {
    auto out = peer_wire::fact_report{};
    out.__set_facts(to_wire(facts));
    return runtime::http_request{
        "POST", std::string{facts_target}, {}, protocol::write_compact(out)};
}

auto decode_fact_report(std::string_view text) -> std::optional<std::vector<aged_fact>> {
    auto in = read<peer_wire::fact_report>(text);
    return in ? std::optional{from_wire(std::move(in->facts))} : std::nullopt;
}

auto decode_forwarded(std::string_view text) -> std::optional<forwarded_request> {
    auto in = read<peer_wire::forwarded_request>(text, request_bounds);
    if (!in || in->method.empty() || in->target.empty() || in->time_left < 0) {
        return std::nullopt;
    }
    auto decoded = forwarded_request{};
    decoded.request.method = std::move(in->method);
    decoded.request.target = std::move(in->target);
    for (auto& field : in->fields) {
        decoded.request.fields.add(std::move(field.name), std::move(field.value));
    }
    decoded.request.body = std::move(in->body);
    decoded.time_left = span(in->time_left);
    if (in->__isset.key_digest) {
        decoded.key = base::key_digest{std::move(in->key_digest)};
    }
    if (in->__isset.configuration_version) {
        decoded.configuration =
            routing::configuration_version{static_cast<std::uint64_t>(in->configuration_version)};
    }
    if (in->__isset.software_version) {
        decoded.software = base::software_version{std::move(in->software_version)};
    }
    return decoded;
}

auto mark_forward_refusal(runtime::http_response& response) -> void {
    response.fields.add(refusal_field, "1");
}

auto is_forward_refusal(upstream_answer const& head, runtime::http_fields const& fields) -> bool {
    constexpr auto bad_request = 400;
    return fields.find(refusal_field).has_value() || (head.status == bad_request && !head.attested);
}

auto make_quota_request(quota_question const& question) -> runtime::http_request {
    auto out = peer_wire::quota_question{};
    out.__set_account_name(question.account.value);
    out.__set_amount(question.amount);
    out.__set_from_keeper(question.from_keeper);
    out.__set_configuration_version(static_cast<std::int64_t>(question.configuration.value));
    return runtime::http_request{
        "POST", std::string{quota_target}, {}, protocol::write_compact(out)};
}

auto decode_quota_question(std::string_view text) -> std::optional<quota_question> {
    auto in = read<peer_wire::quota_question>(text);
    if (!in || in->account_name.empty() || !std::isfinite(in->amount)) {
        return std::nullopt;
    }
    return quota_question{
        base::caller_id{std::move(in->account_name)}, in->amount, in->from_keeper,
        routing::configuration_version{static_cast<std::uint64_t>(in->configuration_version)}};
}

auto encode(quota_answer const& answer) -> std::string {
    auto out = peer_wire::quota_answer{};
    out.__set_granted(answer.granted);
    out.__set_wait(microseconds_of(answer.wait));
    return protocol::write_compact(out);
}

auto decode_quota_answer(std::string_view text) -> std::optional<quota_answer> {
    auto const in = read<peer_wire::quota_answer>(text);
    if (!in || !in->__isset.granted || !std::isfinite(in->granted)) {
        return std::nullopt;
    }
    return quota_answer{in->granted, span(in->wait)};
}

auto make_origin_request(origin_question const& question) -> runtime::http_request {
    auto out = peer_wire::origin_question{};
    out.__set_request(question.request.value);
    out.__set_service_name(question.service.value);
    out.__set_memory_only(question.memory_only);
    return runtime::http_request{
        "POST", std::string{origins_target}, {}, protocol::write_compact(out)};
}

auto decode_origin_question(std::string_view text) -> std::optional<origin_question> {
    auto in = read<peer_wire::origin_question>(text);
    if (!in) {
        return std::nullopt;
    }
    return origin_question{base::caller_request_id{std::move(in->request)},
                           base::service_id{std::move(in->service_name)},
                           in->__isset.memory_only && in->memory_only};
}

auto encode(origin_answer const& answer) -> std::string {
    auto out = peer_wire::origin_answer{};
    if (answer.software) {
        out.__set_software_version(answer.software->value);
    }
    out.__set_registry_answered(answer.registry_answered);
    if (answer.sole_version) {
        out.__set_sole_version(answer.sole_version->value);
    }
    return protocol::write_compact(out);
}

auto decode_origin_answer(std::string_view text) -> std::optional<origin_answer> {
    auto in = read<peer_wire::origin_answer>(text);
    if (!in || !in->__isset.registry_answered) {
        return std::nullopt;
    }
    auto answer = origin_answer{std::nullopt, in->registry_answered, std::nullopt};
    if (in->__isset.software_version) {
        answer.software = base::software_version{std::move(in->software_version)};
    }
    if (in->__isset.sole_version) {
        answer.sole_version = base::software_version{std::move(in->sole_version)};
    }
    return answer;
}

auto make_configuration_request(base::duration age) -> runtime::http_request {
    auto out = peer_wire::configuration_question{};
    out.__set_age(microseconds_of(age));
    return runtime::http_request{
        "POST", std::string{configuration_target}, {}, protocol::write_compact(out)};
}

auto decode_configuration_question(std::string_view text) -> std::optional<base::duration> {
    auto const in = read<peer_wire::configuration_question>(text);
    return in && in->__isset.age && in->age >= 0 ? std::optional{span(in->age)} : std::nullopt;
}

auto encode(configuration_state const& state) -> std::string {
    auto out = peer_wire::configuration_state{};
    out.__set_configuration_version(static_cast<std::int64_t>(state.version.value));
    if (state.age) {
        out.__set_age(microseconds_of(*state.age));
    }
    return protocol::write_compact(out);
}

auto decode_configuration_state(std::string_view text) -> std::optional<configuration_state> {
    auto const in = read<peer_wire::configuration_state>(text);
    auto const valid = in && in->__isset.configuration_version && in->configuration_version >= 0 &&
                       !(in->__isset.age && in->age < 0);
    if (!valid) {
        return std::nullopt;
    }
    auto state = configuration_state{};
    state.version.value = static_cast<std::uint64_t>(in->configuration_version);
    if (in->__isset.age) {
        state.age = span(in->age);
    }
    return state;
}

auto make_origin_hand_over(std::vector<stream_origin> const& origins) -> runtime::http_request {
    auto out = peer_wire::origin_hand_over{};
    for (auto const& each : origins) {
        auto& added = out.origins.emplace_back();
        added.__set_request(each.request.value);
        added.__set_software_version(each.software.value);
    }
    out.__set_origins(out.origins);
    return runtime::http_request{
        "POST", std::string{origin_hand_over_target}, {}, protocol::write_compact(out)};
}

auto decode_origin_hand_over(std::string_view text) -> std::optional<std::vector<stream_origin>> {
    auto in = read<peer_wire::origin_hand_over>(text);
    if (!in || !in->__isset.origins) {
        return std::nullopt;
    }
    auto origins = std::vector<stream_origin>{};
    for (auto& each : in->origins) {
        origins.push_back({base::caller_request_id{std::move(each.request)},
                           base::software_version{std::move(each.software_version)}});
    }
    return origins;
}

auto make_registry_state_request() -> runtime::http_request {
    return runtime::http_request{"POST", std::string{registry_state_target}, {}, {}};
}

auto encode(registry_state const& state) -> std::string {
    auto out = peer_wire::registry_state{};
    out.__set_answered_for(microseconds_of(state.answered_for));
    return protocol::write_compact(out);
}

auto decode_registry_state(std::string_view text) -> std::optional<registry_state> {
    auto const in = read<peer_wire::registry_state>(text);
    return in && in->__isset.answered_for && in->answered_for >= 0
               ? std::optional{registry_state{span(in->answered_for)}}
               : std::nullopt;
}

auto encode(changes_question const& question) -> std::string {
    auto out = peer_wire::changes_question{};
    out.__set_after(static_cast<std::int64_t>(question.after.value));
    out.__set_wait(microseconds_of(question.wait));
    out.__set_configuration_version(static_cast<std::int64_t>(question.configuration.value));
    out.__set_complete(question.complete);
    if (question.sender) {
        out.__set_sender(to_wire(*question.sender));
    }
    if (!question.facts.empty()) {
        out.__set_facts(to_wire(question.facts));
    }
    if (question.known_facts) {
        out.__set_known_facts(to_wire(*question.known_facts));
    }
    return protocol::write_compact(out);
}

auto encode(changes_answer const& answer) -> std::string {
    return protocol::write_compact(to_wire(answer));
}

auto decode_question(std::string_view text) -> std::optional<changes_question> {
    auto in = read<peer_wire::changes_question>(text);
    constexpr auto limit = std::chrono::microseconds{max_wait}.count();
    if (!in || !in->__isset.after || in->wait < 0 || in->wait > limit) {
        return std::nullopt;
    }
    auto question = changes_question{
        registry_position{static_cast<std::uint64_t>(in->after)},
        std::chrono::microseconds{in->wait},
        routing::configuration_version{static_cast<std::uint64_t>(in->configuration_version)}};
    question.complete = in->__isset.complete && in->complete;
    if (in->__isset.sender) {
        question.sender = from_wire(std::move(in->sender));
    }
    question.facts = from_wire(std::move(in->facts));
    if (in->__isset.known_facts) {
        question.known_facts = from_wire(in->known_facts);
    }
    return question;
}

auto decode_answer(std::string_view text) -> changes_answer {
    auto in = read<peer_wire::changes_answer>(text);
    if (!in || !in->__isset.outcome) {
        return registry_failure::malformed;
    }
    if (in->outcome == peer_wire::outcome::history_lost) {
        return registry_failure::history_lost;
    }
    auto update = registry_update{};
    update.redirected = in->outcome == peer_wire::outcome::redirected;
    if (in->outcome != peer_wire::outcome::changes && !update.redirected) {
        return registry_failure::unavailable;
    }
    auto& changes = update.upstreams;
    changes.position.value = static_cast<std::uint64_t>(in->position);
    for (auto& each : in->put) {
        auto const id = base::upstream_id{each.id};
        if (auto record = from_wire(std::move(each))) {
            changes.put.push_back(std::move(*record));
        } else if (!id.value.empty()) {
            changes.removed.push_back(id);
            changes.unreadable.push_back({id, {}});
        }
    }
    for (auto& id : in->removed) {
        changes.removed.push_back(base::upstream_id{std::move(id)});
    }
    if (in->__isset.newer_configuration) {
        if (!in->newer_configuration.__isset.accounts) {
            // A host that knows no accounts may have dropped some.
            return registry_failure::malformed;
        }
        update.configuration = std::make_shared<routing::configuration const>(
            from_wire(std::move(in->newer_configuration)));
    }
    update.complete = in->__isset.complete && in->complete;
    update.grace_left = in->__isset.grace_left ? span(in->grace_left) : base::duration{};
    if (in->__isset.registry_answered_for && in->registry_answered_for >= 0) {
        update.registry_answered_for = span(in->registry_answered_for);
    }
    update.hosts = in->__isset.hosts ? amount(in->hosts) : 0;
    if (update.hosts > max_hosts) {
        update.hosts = 0;
    }
    for (auto& host : in->relays) {
        if (auto entry = from_wire(std::move(host))) {
            update.relays.push_back(std::move(*entry));
        }
    }
    for (auto& host : in->distant_readers) {
        if (auto entry = from_wire(std::move(host))) {
            update.distant_readers.push_back(std::move(*entry));
        }
    }
    update.facts = from_wire(std::move(in->facts));
    if (in->__isset.facts_at) {
        update.facts_at = from_wire(in->facts_at);
    }
    if (in->__isset.configuration_age && in->configuration_age >= 0) {
        update.configuration_age = span(in->configuration_age);
    }
    if (in->__isset.configuration_version) {
        update.configuration_version =
            routing::configuration_version{static_cast<std::uint64_t>(in->configuration_version)};
    }
    if (in->__isset.configuration_position) {
        update.configuration_position =
            registry_position{static_cast<std::uint64_t>(in->configuration_position)};
    }
    return update;
}

}  // namespace linnetlane::router

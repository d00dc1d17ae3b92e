#include "linnetlane/daemon/operator_service.h"

#include "linnetlane/base/result.h"
#include "linnetlane/service/parse.h"

namespace linnetlane::daemon {

namespace {

constexpr auto status_ok = 200;
constexpr auto status_unavailable = 503;
constexpr auto retry_seconds = std::int64_t{2};

auto json_response(int status, std::string const& body) -> runtime::http_response {
    auto response = runtime::http_response{status, {}, body};
    response.fields.add("content-type", "application/json");
    return response;
}

template <typename Message>
auto ok_response(Message const& message) -> runtime::http_response {
    return json_response(status_ok, ctl::to_json_text(message));
}

auto error_response(ctl::api_error const& error) -> runtime::http_response {
    auto response = json_response(ctl::status_of(error.type), ctl::to_json_text(error));
    if (error.retry_after) {
        response.fields.add("retry-after", std::to_string(*error.retry_after));
    }
    return response;
}

auto make_error(ctl::api_failure type, std::string const& message) -> ctl::api_error {
    auto error = ctl::api_error{};
    error.type = type;
    error.message = message;
    return error;
}

auto not_found(base::service_id const& service) -> runtime::http_response {
    return error_response(make_error(ctl::api_failure::not_found, "no service " + service.value));
}

auto to_service_text(document::version const& version) -> ctl::service_text {
    return {version.service, version.generation, version.removed, version.text};
}

auto format(base::endpoint const& address) -> std::string {
    return address.address + ":" + std::to_string(address.port);
}

auto name_of(membership::liveness liveness) -> std::string {
    switch (liveness) {
        case membership::liveness::alive:
            return "alive";
        case membership::liveness::suspected:
            return "suspected";
        case membership::liveness::gone:
            return "gone";
    }
    return "gone";
}

auto name_of(service::upstream_role role) -> std::string {
    switch (role) {
        case service::upstream_role::prefill:
            return "prefill";
        case service::upstream_role::decode:
            return "decode";
        case service::upstream_role::plain:
            return "plain";
    }
    return "plain";
}

auto refusal_error(document::refused const& refused) -> ctl::api_error {
    switch (refused.reason) {
        case document::refusal::invalid:
            return make_error(ctl::api_failure::invalid_document, refused.error);
        case document::refusal::no_such_service:
            return make_error(ctl::api_failure::not_found, "there is no such service");
        case document::refusal::platform_unavailable: {
            auto error = make_error(ctl::api_failure::not_applied,
                                    "the platform can't be reached; nothing was written");
            error.retry_after = retry_seconds;
            return error;
        }
        case document::refusal::outcome_unknown:
            break;
    }
    return make_error(ctl::api_failure::outcome_unknown,
                      "the write was sent and could not be read back; look at the service again");
}

// Returns the records of all hosts in `table`.
auto records_of(membership::host_table const& table) -> std::vector<membership::host_record> {
    auto records = std::vector<membership::host_record>{};
    for (auto const& data_centre : table.data_centres()) {
        for (auto& record : table.records_of(data_centre)) {
            records.push_back(std::move(record));
        }
    }
    return records;
}

}  // namespace

auto generation_tracker::record_in_force(base::service_id const& service) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->services[service] = version_times{base::monotonic_clock::now(), {}};
}

auto generation_tracker::record_digests(std::map<base::host_id, std::uint64_t> const& digests,
                                        std::uint64_t own) -> void {
    auto const now = base::monotonic_clock::now();
    auto const lock = std::lock_guard{this->mutex};
    for (auto const& [host, digest] : digests) {
        if (digest != own) {
            continue;
        }
        for (auto& [service, times] : this->services) {
            times.reached.try_emplace(host, now);
        }
    }
}

auto generation_tracker::delay(base::service_id const& service, base::host_id const& host) const
    -> std::optional<double> {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->services.find(service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    auto const reached = found->second.reached.find(host);
    if (reached == found->second.reached.end()) {
        return std::nullopt;
    }
    return base::to_seconds(reached->second - found->second.in_force_at);
}

auto operator_service::handle(runtime::http_request const& request,
                              runtime::http_responder& responder) -> void {
    auto const parsed = ctl::parse_call(request.method, request.target);
    if (auto const* const error = base::failure_of(parsed)) {
        responder.send(error_response(*error));
        return;
    }
    responder.send(std::visit([&](auto const& call) { return this->answer(call, request.body); },
                              base::value_of(parsed)));
}

auto operator_service::find_version(base::service_id const& service) const
    -> std::optional<document::version> {
    for (auto& version : this->dependencies.documents.versions()) {
        if (version.service == service) {
            return std::move(version);
        }
    }
    return std::nullopt;
}

auto operator_service::answer(ctl::list_services const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    auto list = ctl::service_list{};
    for (auto const& version : this->dependencies.documents.versions()) {
        auto row =
            ctl::service_summary{version.service, version.generation, {}, version.removed, 0};
        if (auto const document = this->dependencies.parsed_documents.find(version.service)) {
            row.kind = document->kind == service::service_kind::model ? "model" : "plain";
            row.upstreams = static_cast<std::int64_t>(document->upstreams.size());
        }
        list.services.push_back(std::move(row));
    }
    return ok_response(list);
}

auto operator_service::answer(ctl::get_service const& call, std::string const& /*body*/)
    -> runtime::http_response {
    auto const version = this->find_version(call.service);
    return version ? ok_response(to_service_text(*version)) : not_found(call.service);
}

auto operator_service::to_answer(base::service_id const& service, change_outcome const& outcome)
    -> runtime::http_response {
    return std::visit(
        base::overloaded{
            [&](document::applied const& applied) {
                return ok_response(ctl::apply_answer{service, applied.version.generation});
            },
            [&](document::conflict const& conflict) {
                auto error = make_error(ctl::api_failure::conflict,
                                        "another generation is in force; nothing was written");
                if (conflict.version) {
                    error.in_force = to_service_text(*conflict.version);
                }
                return error_response(error);
            },
            [&](document::refused const& refused) {
                return error_response(refusal_error(refused));
            },
        },
        outcome);
}

auto operator_service::answer(ctl::apply_service const& call, std::string const& body)
    -> runtime::http_response {
    auto const parsed = service::parse_document(body);
    if (auto const* const errors = base::failure_of(parsed)) {
        auto error = make_error(ctl::api_failure::invalid_document, "the document has errors");
        error.problems = ctl::to_problems(*errors);
        return error_response(error);
    }
    return to_answer(call.service,
                     this->dependencies.documents.apply(call.service, call.replaces, body));
}

auto operator_service::answer(ctl::remove_service const& call, std::string const& /*body*/)
    -> runtime::http_response {
    return to_answer(call.service,
                     this->dependencies.documents.apply(call.service, call.replaces, std::nullopt));
}

auto operator_service::answer(ctl::get_history const& call, std::string const& /*body*/)
    -> runtime::http_response {
    auto const outcome = this->dependencies.documents.history(call.service);
    if (auto const* const refused = std::get_if<document::refused>(&outcome)) {
        return error_response(refusal_error(*refused));
    }
    auto history = ctl::service_history{};
    for (auto const& version : std::get<document::history_read>(outcome).versions) {
        history.versions.push_back(to_service_text(version));
    }
    return ok_response(history);
}

auto operator_service::answer(ctl::get_status const& call, std::string const& /*body*/)
    -> runtime::http_response {
    auto const version = this->find_version(call.service);
    if (!version) {
        return not_found(call.service);
    }
    auto status = ctl::service_status{call.service, version->generation, {}};
    auto const own_digest = this->dependencies.documents.digest();
    auto const self = this->dependencies.membership.self().host;
    for (auto const& record : records_of(this->dependencies.membership.hosts())) {
        if (record.liveness == membership::liveness::gone) {
            continue;
        }
        auto row = ctl::host_generation{record.host, record.data_centre, {}, {}};
        if (record.host == self || record.documents_digest == own_digest) {
            row.generation = version->generation;
            row.delay = this->dependencies.generations.delay(call.service, record.host);
        }
        status.hosts.push_back(std::move(row));
    }
    return ok_response(status);
}

auto operator_service::answer(ctl::list_hosts const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    auto list = ctl::host_list{this->dependencies.membership.self().host, {}};
    for (auto const& record : records_of(this->dependencies.membership.hosts())) {
        list.hosts.push_back({record.host, record.data_centre, format(record.address),
                              record.incarnation, name_of(record.liveness), record.leaving,
                              record.ready});
    }
    return ok_response(list);
}

auto operator_service::answer(ctl::list_upstreams const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    auto rows = std::map<std::pair<base::service_id, base::upstream_id>, ctl::upstream_row>{};
    for (auto const& [key, entry] : this->dependencies.directory()->cells) {
        for (auto const& upstream : entry.upstreams) {
            auto row = ctl::upstream_row{};
            row.service = key.service;
            row.upstream = upstream.id;
            row.data_centre = upstream.data_centre;
            row.role = name_of(upstream.role);
            row.address = format(upstream.address);
            row.keeper = entry.keeper ? entry.keeper->host : base::host_id{};
            row.leaving = upstream.leaving;
            rows[{key.service, upstream.id}] = std::move(row);
        }
    }
    for (auto const& kept : this->dependencies.keepers.kept()) {
        for (auto const& seen : kept.snapshot.upstreams) {
            auto const found = rows.find({kept.key.service, seen.id});
            if (found == rows.end()) {
                continue;
            }
            found->second.reachable = seen.takes_work;
            found->second.pieces_used = seen.used.value;
            found->second.pieces = seen.capacity.value;
            found->second.running = seen.running;
        }
    }
    auto list = ctl::upstream_list{};
    for (auto& [key, row] : rows) {
        list.upstreams.push_back(std::move(row));
    }
    return ok_response(list);
}

auto operator_service::answer(ctl::list_accounts const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    return error_response(
        make_error(ctl::api_failure::not_found, "only hosts in router mode list client accounts"));
}

auto operator_service::answer(ctl::list_requests const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    return ok_response(ctl::request_list{this->dependencies.requests()});
}

auto operator_service::answer(ctl::check_health const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    auto unmet = this->dependencies.unmet_conditions();
    auto const ready = unmet.empty();
    return ok_response(ctl::health{ready, std::move(unmet)});
}

auto operator_service::answer(ctl::check_readiness const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    auto unmet = this->dependencies.unmet_conditions();
    auto const ready = unmet.empty();
    auto const message = ctl::health{ready, std::move(unmet)};
    return json_response(ready ? status_ok : status_unavailable, ctl::to_json_text(message));
}

auto operator_service::answer(ctl::get_metrics const& /*call*/, std::string const& /*body*/)
    -> runtime::http_response {
    auto response = runtime::http_response{status_ok, {}, this->dependencies.scrape()};
    response.fields.add("content-type", "text/plain; version=0.0.4");
    return response;
}

}  // namespace linnetlane::daemon

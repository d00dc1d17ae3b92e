// The operator interface of a host: calls, messages and errors, independent of the HTTP library.
//
// A host parses the method and target of a request with `parse_call` and answers with one of the
// messages below as JSON, or with an `api_error` and the status that `status_of` returns.
// `linnetctl` uses the same types as the client. docs/OPERATORS.md describes them.
//
//   auto const call = parse_call("PUT", "/v1/services/finding?base=3");
//   auto const answer = to_json_text(apply_answer{...});

#ifndef LINNETLANE_CTL_OPERATOR_API_H_
#define LINNETLANE_CTL_OPERATOR_API_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/ctl/json_fields.h"
#include "linnetlane/service/error.h"

namespace linnetlane::ctl {

struct list_services {};
struct get_service {
    base::service_id service;
};
// The request body is the document's TOML. `replaces` is the generation to replace, 0 for a new
// service.
struct apply_service {
    base::service_id service;
    base::generation replaces;
};
// Replaces generation `replaces` by a tombstone.
struct remove_service {
    base::service_id service;
    base::generation replaces;
};
struct get_history {
    base::service_id service;
};
struct get_status {
    base::service_id service;
};
struct list_hosts {};
struct list_upstreams {};
struct list_requests {};
// Of a host in router mode.
struct list_accounts {};
// Liveness: whether the process works.
struct check_health {};
// Readiness: whether the load balancer may send callers to this host.
struct check_readiness {};
struct get_metrics {};

using operator_call =
    std::variant<list_services, get_service, apply_service, remove_service, get_history, get_status,
                 list_hosts, list_upstreams, list_requests, list_accounts, check_health,
                 check_readiness, get_metrics>;

// Method and target of an HTTP request.
struct request_line {
    std::string_view method;
    std::string target;
};

// Returns the method and target of `call`.
[[nodiscard]] auto format_call(operator_call const& call) -> request_line;

enum class api_failure {
    bad_request,
    not_found,
    method_not_allowed,
    // The generation to replace is not the one in force; nothing was written.
    conflict,
    // The document is invalid; nothing was written.
    invalid_document,
    // The platform is unreachable; nothing was written.
    not_applied,
    // The write was sent, and reading back its result failed.
    outcome_unknown,
};

// Returns the name of `failure` in JSON.
[[nodiscard]] auto name_of(api_failure failure) -> std::string_view;

// Returns the HTTP status for `failure`.
[[nodiscard]] auto status_of(api_failure failure) -> int;

// One error in a document.
struct document_problem {
    std::uint64_t line = 0;
    std::string key;
    // Machine-readable kind, such as `unknown_key`.
    std::string fault;
    // Human-readable.
    std::string message;

    static constexpr auto fields = std::tuple{json_field{"line", &document_problem::line},
                                              json_field{"key", &document_problem::key},
                                              json_field{"fault", &document_problem::fault},
                                              json_field{"message", &document_problem::message}};
};

[[nodiscard]] auto to_problems(std::vector<service::document_error> const& errors)
    -> std::vector<document_problem>;

// A document with its generation, as stored on the platform.
struct service_text {
    base::service_id service;
    base::generation generation;
    bool removed = false;
    // TOML; empty in a tombstone.
    std::string text;

    static constexpr auto fields = std::tuple{json_field{"service", &service_text::service},
                                              json_field{"generation", &service_text::generation},
                                              json_field{"removed", &service_text::removed},
                                              json_field{"text", &service_text::text}};
};

// Why a call failed.
struct api_error {
    api_failure type = api_failure::bad_request;
    // Human-readable.
    std::string message;
    // With `conflict`: the document in force; nothing if the service does not exist.
    std::optional<service_text> in_force;
    // With `invalid_document`: all errors of the document.
    std::vector<document_problem> problems;
    // Seconds to wait before a retry.
    std::optional<std::int64_t> retry_after;

    static constexpr auto fields = std::tuple{
        json_field{"type", &api_error::type}, json_field{"message", &api_error::message},
        json_field{"in_force", &api_error::in_force}, json_field{"problems", &api_error::problems},
        json_field{"retry_after", &api_error::retry_after}};
};

auto to_json(nlohmann::json& target, api_failure const& source) -> void;
auto from_json(nlohmann::json const& source, api_failure& target) -> void;

// Parses the method and target of a request. Fails with `not_found`, `method_not_allowed` or
// `bad_request`.
[[nodiscard]] auto parse_call(std::string_view method, std::string_view target)
    -> base::result<operator_call, api_error>;

struct service_summary {
    base::service_id service;
    base::generation generation;
    // `model` or `plain`.
    std::string kind;
    bool removed = false;
    std::int64_t upstreams = 0;

    static constexpr auto fields =
        std::tuple{json_field{"service", &service_summary::service},
                   json_field{"generation", &service_summary::generation},
                   json_field{"kind", &service_summary::kind},
                   json_field{"removed", &service_summary::removed},
                   json_field{"upstreams", &service_summary::upstreams}};
};

struct service_list {
    std::vector<service_summary> services;

    static constexpr auto fields = std::tuple{json_field{"services", &service_list::services}};
};

// Answer to `apply_service` and `remove_service`.
struct apply_answer {
    base::service_id service;
    base::generation generation;

    static constexpr auto fields = std::tuple{json_field{"service", &apply_answer::service},
                                              json_field{"generation", &apply_answer::generation}};
};

struct service_history {
    // Newest first.
    std::vector<service_text> versions;

    static constexpr auto fields = std::tuple{json_field{"versions", &service_history::versions}};
};

// The generation of a service that one host has in force.
struct host_generation {
    base::host_id host;
    base::data_centre_id data_centre;
    // Nothing if the host has not reported it.
    std::optional<base::generation> generation;
    // Seconds from acceptance until it was in force on the host; nothing if unknown.
    std::optional<double> delay;

    static constexpr auto fields =
        std::tuple{json_field{"host", &host_generation::host},
                   json_field{"data_centre", &host_generation::data_centre},
                   json_field{"generation", &host_generation::generation},
                   json_field{"delay_seconds", &host_generation::delay}};
};

struct service_status {
    base::service_id service;
    // The newest generation that the answering host knows.
    base::generation generation;
    std::vector<host_generation> hosts;

    static constexpr auto fields = std::tuple{json_field{"service", &service_status::service},
                                              json_field{"generation", &service_status::generation},
                                              json_field{"hosts", &service_status::hosts}};
};

struct host_row {
    base::host_id host;
    base::data_centre_id data_centre;
    // The address for other hosts, `IP:PORT`.
    std::string address;
    base::incarnation incarnation;
    // `alive`, `suspected` or `gone`.
    std::string liveness;
    bool leaving = false;
    bool ready = false;

    static constexpr auto fields = std::tuple{json_field{"host", &host_row::host},
                                              json_field{"data_centre", &host_row::data_centre},
                                              json_field{"address", &host_row::address},
                                              json_field{"incarnation", &host_row::incarnation},
                                              json_field{"liveness", &host_row::liveness},
                                              json_field{"leaving", &host_row::leaving},
                                              json_field{"ready", &host_row::ready}};
};

// All hosts, as seen by the answering host.
struct host_list {
    base::host_id seen_by;
    std::vector<host_row> hosts;

    static constexpr auto fields = std::tuple{json_field{"seen_by", &host_list::seen_by},
                                              json_field{"hosts", &host_list::hosts}};
};

struct upstream_row {
    base::service_id service;
    base::upstream_id upstream;
    base::data_centre_id data_centre;
    // `prefill`, `decode` or `plain`.
    std::string role;
    std::string address;
    // The keeper of its cell.
    base::host_id keeper;
    bool leaving = false;
    // The fields below are known to the keeper only.
    std::optional<bool> reachable;
    std::optional<std::int64_t> pieces_used;
    std::optional<std::int64_t> pieces;
    std::optional<std::int64_t> running;

    static constexpr auto fields = std::tuple{json_field{"service", &upstream_row::service},
                                              json_field{"upstream", &upstream_row::upstream},
                                              json_field{"data_centre", &upstream_row::data_centre},
                                              json_field{"role", &upstream_row::role},
                                              json_field{"address", &upstream_row::address},
                                              json_field{"keeper", &upstream_row::keeper},
                                              json_field{"leaving", &upstream_row::leaving},
                                              json_field{"reachable", &upstream_row::reachable},
                                              json_field{"pieces_used", &upstream_row::pieces_used},
                                              json_field{"pieces", &upstream_row::pieces},
                                              json_field{"running", &upstream_row::running}};
};

struct upstream_list {
    std::vector<upstream_row> upstreams;

    static constexpr auto fields = std::tuple{json_field{"upstreams", &upstream_list::upstreams}};
};

// One request in progress on the answering host. Contains no part of a prompt or an answer.
struct request_row {
    // 32 hexadecimal digits; also the trace id.
    std::string request;
    base::service_id service;
    base::caller_id caller;
    // `interactive` or `batch`.
    std::string priority;
    // Such as `prefilling` or `decoding`.
    std::string phase;
    base::attempt_number attempt;
    std::optional<base::upstream_id> prefill;
    std::optional<base::upstream_id> decode;
    // Seconds since arrival.
    double age = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t produced_tokens = 0;

    static constexpr auto fields =
        std::tuple{json_field{"request", &request_row::request},
                   json_field{"service", &request_row::service},
                   json_field{"caller", &request_row::caller},
                   json_field{"priority", &request_row::priority},
                   json_field{"phase", &request_row::phase},
                   json_field{"attempt", &request_row::attempt},
                   json_field{"prefill", &request_row::prefill},
                   json_field{"decode", &request_row::decode},
                   json_field{"age_seconds", &request_row::age},
                   json_field{"prompt_tokens", &request_row::prompt_tokens},
                   json_field{"produced_tokens", &request_row::produced_tokens}};
};

struct request_list {
    std::vector<request_row> requests;

    static constexpr auto fields = std::tuple{json_field{"requests", &request_list::requests}};
};

// Amounts are in `unit`.
struct account_quota_row {
    // `requests` or `tokens`.
    std::string unit;
    double per_second = 0;
    double burst = 0;

    static constexpr auto fields =
        std::tuple{json_field{"unit", &account_quota_row::unit},
                   json_field{"per_second", &account_quota_row::per_second},
                   json_field{"burst", &account_quota_row::burst}};
};

// A client account. Contains no key and no digest of one.
struct account_row {
    base::caller_id account;
    // The number of its keys.
    std::uint64_t keys = 0;
    // Nothing if that of routes applies.
    std::optional<int> priority;
    // Nothing if the account isn't limited.
    std::optional<account_quota_row> quota;
    // What can be taken from this host's bucket now, in the unit of the quota; may be below zero.
    // Nothing without a quota, or if another host keeps it.
    std::optional<double> level;
    // Requests that ended, and those refused by cause, since the host started. Each request counts
    // at the host that received it.
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> refusals;

    static constexpr auto fields = std::tuple{json_field{"account", &account_row::account},
                                              json_field{"keys", &account_row::keys},
                                              json_field{"priority", &account_row::priority},
                                              json_field{"quota", &account_row::quota},
                                              json_field{"level", &account_row::level},
                                              json_field{"requests", &account_row::requests},
                                              json_field{"refusals", &account_row::refusals}};
};

// The accounts of the configuration in force at the answering host.
struct account_list {
    base::host_id seen_by;
    // Nothing before the first configuration.
    std::optional<std::uint64_t> version;
    // Seconds since the configuration was known to be the newest one; nothing if it never was.
    std::optional<double> age;
    bool requires_keys = false;
    // Whether requests of this host take from its own buckets.
    bool keeps_quotas = false;
    // The host that keeps the quotas otherwise.
    std::optional<base::host_id> keeper;
    // The share of all quotas that fills this host's buckets, from 0 to 1.
    double share = 0;
    std::vector<account_row> accounts;

    static constexpr auto fields =
        std::tuple{json_field{"seen_by", &account_list::seen_by},
                   json_field{"version", &account_list::version},
                   json_field{"age_seconds", &account_list::age},
                   json_field{"requires_keys", &account_list::requires_keys},
                   json_field{"keeps_quotas", &account_list::keeps_quotas},
                   json_field{"keeper", &account_list::keeper},
                   json_field{"share", &account_list::share},
                   json_field{"accounts", &account_list::accounts}};
};

// Answer to `check_health` and `check_readiness`.
struct health {
    bool ready = false;
    // Conditions that keep the host from being ready, such as `documents` or `shutting_down`; empty
    // if it is ready.
    std::vector<std::string> waiting_for;

    static constexpr auto fields = std::tuple{json_field{"ready", &health::ready},
                                              json_field{"waiting_for", &health::waiting_for}};
};

// Why a message could not be parsed.
struct message_failure {
    std::string detail;
};

// Returns the JSON text of an answer. Replaces invalid UTF-8.
template <has_json_fields Message>
[[nodiscard]] auto to_json_text(Message const& message) -> std::string {
    return nlohmann::json(message).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns the JSON text of an error: `{"error":{...}}`.
[[nodiscard]] auto to_json_text(api_error const& error) -> std::string;

// Parses an answer written by `to_json_text`.
template <has_json_fields Message>
[[nodiscard]] auto parse_message(std::string_view text) -> base::result<Message, message_failure> {
    try {
        return nlohmann::json::parse(text).template get<Message>();
    } catch (nlohmann::json::exception const& error) {
        return message_failure{error.what()};
    }
}

// Parses an error written by `to_json_text`.
[[nodiscard]] auto parse_error(std::string_view text) -> base::result<api_error, message_failure>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_OPERATOR_API_H_

#include "linnetlane/ctl/operator_api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "linnetlane/settings/text_values.h"

namespace linnetlane::ctl {

namespace {

constexpr auto services_path = std::string_view{"/v1/services"};
constexpr auto base_query = std::string_view{"base="};

struct failure_entry {
    api_failure failure;
    std::string_view name;
    int status;
};

constexpr auto failures = std::array{
    failure_entry{api_failure::bad_request, "bad_request", 400},
    failure_entry{api_failure::not_found, "not_found", 404},
    failure_entry{api_failure::method_not_allowed, "method_not_allowed", 405},
    failure_entry{api_failure::conflict, "conflict", 409},
    failure_entry{api_failure::invalid_document, "invalid_document", 422},
    failure_entry{api_failure::not_applied, "not_applied", 503},
    failure_entry{api_failure::outcome_unknown, "outcome_unknown", 504},
};

auto entry_of(api_failure failure) -> failure_entry const& {
    return failures[static_cast<std::size_t>(failure)];
}

auto make_error(api_failure type, std::string message) -> api_error {
    return {type, std::move(message), std::nullopt, {}, std::nullopt};
}

auto service_target(base::service_id const& service) -> std::string {
    return fmt::format("{}/{}", services_path, service.value);
}

auto service_target_with_base(base::service_id const& service, base::generation replaces)
    -> std::string {
    return fmt::format("{}?{}{}", service_target(service), base_query, replaces.value);
}

struct split_target {
    std::string_view path;
    std::string_view query;
};

auto split_query(std::string_view target) -> split_target {
    auto const question_mark = target.find('?');
    if (question_mark == std::string_view::npos) {
        return {target, {}};
    }
    return {target.substr(0, question_mark), target.substr(question_mark + 1)};
}

auto parse_base(std::string_view query) -> std::optional<base::generation> {
    if (query.substr(0, base_query.size()) != base_query) {
        return std::nullopt;
    }
    auto const digits = query.substr(base_query.size());
    auto number = std::uint64_t{0};
    auto const* const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return base::generation{number};
}

using call_result = base::result<operator_call, api_error>;

auto parse_fixed_path(std::string_view path) -> std::optional<operator_call> {
    if (path == services_path) {
        return list_services{};
    }
    if (path == "/v1/hosts") {
        return list_hosts{};
    }
    if (path == "/v1/upstreams") {
        return list_upstreams{};
    }
    if (path == "/v1/requests") {
        return list_requests{};
    }
    if (path == "/accounts") {
        return list_accounts{};
    }
    if (path == "/healthz") {
        return check_health{};
    }
    if (path == "/readyz") {
        return check_readiness{};
    }
    if (path == "/metrics") {
        return get_metrics{};
    }
    return std::nullopt;
}

auto parse_write(std::string_view method, base::service_id service, std::string_view query)
    -> call_result {
    auto const replaces = parse_base(query);
    if (!replaces) {
        return make_error(api_failure::bad_request,
                          "the query must be base=GENERATION, with 0 for a new service");
    }
    if (method == "PUT") {
        return apply_service{std::move(service), *replaces};
    }
    return remove_service{std::move(service), *replaces};
}

// `rest` is the path after `/v1/services/`, such as `finding/history`.
auto parse_service_call(std::string_view method, std::string_view rest, std::string_view query)
    -> call_result {
    auto const slash = rest.find('/');
    auto const name = rest.substr(0, slash);
    auto const subresource =
        slash == std::string_view::npos ? std::string_view{} : rest.substr(slash);
    if (!settings::is_name(name)) {
        return make_error(api_failure::not_found, "no service can have this name");
    }
    auto service = base::service_id{std::string{name}};
    auto const reads = method == "GET";
    if (reads && subresource.empty()) {
        return get_service{std::move(service)};
    }
    if (reads && subresource == "/history") {
        return get_history{std::move(service)};
    }
    if (reads && subresource == "/status") {
        return get_status{std::move(service)};
    }
    if (subresource.empty() && (method == "PUT" || method == "DELETE")) {
        return parse_write(method, std::move(service), query);
    }
    return make_error(reads ? api_failure::not_found : api_failure::method_not_allowed,
                      reads ? "no such part of a service" : "this method isn't used here");
}

}  // namespace

auto format_call(operator_call const& call) -> request_line {
    return std::visit(
        base::overloaded{
            [](list_services const&) -> request_line {
                return {"GET", std::string{services_path}};
            },
            [](get_service const& operation) -> request_line {
                return {"GET", service_target(operation.service)};
            },
            [](apply_service const& operation) -> request_line {
                return {"PUT", service_target_with_base(operation.service, operation.replaces)};
            },
            [](remove_service const& operation) -> request_line {
                return {"DELETE", service_target_with_base(operation.service, operation.replaces)};
            },
            [](get_history const& operation) -> request_line {
                return {"GET", service_target(operation.service) + "/history"};
            },
            [](get_status const& operation) -> request_line {
                return {"GET", service_target(operation.service) + "/status"};
            },
            [](list_hosts const&) -> request_line {
                return {"GET", "/v1/hosts"};
            },
            [](list_upstreams const&) -> request_line {
                return {"GET", "/v1/upstreams"};
            },
            [](list_requests const&) -> request_line {
                return {"GET", "/v1/requests"};
            },
            [](list_accounts const&) -> request_line {
                return {"GET", "/accounts"};
            },
            [](check_health const&) -> request_line {
                return {"GET", "/healthz"};
            },
            [](check_readiness const&) -> request_line {
                return {"GET", "/readyz"};
            },
            [](get_metrics const&) -> request_line {
                return {"GET", "/metrics"};
            }},
        call);
}

auto parse_call(std::string_view method, std::string_view target)
    -> base::result<operator_call, api_error> {
    auto const [path, query] = split_query(target);
    if (auto fixed = parse_fixed_path(path)) {
        if (method != "GET") {
            return make_error(api_failure::method_not_allowed, "only GET is used here");
        }
        return *std::move(fixed);
    }
    auto const prefix = services_path.size() + 1;
    if (path.size() > prefix && path.substr(0, services_path.size()) == services_path &&
        path[services_path.size()] == '/') {
        return parse_service_call(method, path.substr(prefix), query);
    }
    return make_error(api_failure::not_found, "no such path in the operator interface");
}

auto name_of(api_failure failure) -> std::string_view {
    return entry_of(failure).name;
}

auto status_of(api_failure failure) -> int {
    return entry_of(failure).status;
}

auto to_problems(std::vector<service::document_error> const& errors)
    -> std::vector<document_problem> {
    auto problems = std::vector<document_problem>{};
    for (auto const& error : errors) {
        problems.push_back(
            {error.line, error.key, service::fault_word(error), service::to_string(error)});
    }
    return problems;
}

auto to_json(nlohmann::json& target, api_failure const& source) -> void {
    target = name_of(source);
}

auto from_json(nlohmann::json const& source, api_failure& target) -> void {
    auto const name = source.get<std::string>();
    auto const* const found =
        std::find_if(failures.begin(), failures.end(),
                     [&name](failure_entry const& entry) { return entry.name == name; });
    // A host of a later version may send other names. All of them mean that the call was refused.
    target = found == failures.end() ? api_failure::bad_request : found->failure;
}

auto to_json_text(api_error const& error) -> std::string {
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
}

auto parse_error(std::string_view text) -> base::result<api_error, message_failure> {
    try {
        return nlohmann::json::parse(text).at("error").get<api_error>();
    } catch (nlohmann::json::exception const& error) {
        return message_failure{error.what()};
    }
}

}  // namespace linnetlane::ctl

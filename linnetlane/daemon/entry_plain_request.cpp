#include "linnetlane/daemon/entry_plain_request.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "linnetlane/daemon/entry_request.h"

namespace linnetlane::daemon {

namespace {

// Header fields that concern a single connection.
constexpr auto connection_fields = std::array{std::string_view{"connection"},
                                              std::string_view{"keep-alive"},
                                              std::string_view{"transfer-encoding"},
                                              std::string_view{"content-length"},
                                              std::string_view{"te"},
                                              std::string_view{"trailer"},
                                              std::string_view{"upgrade"},
                                              std::string_view{"proxy-connection"}};

// Header fields for the router itself, which aren't passed to the upstream; `x-caller` is set anew.
constexpr auto router_fields = std::array{
    std::string_view{"host"}, std::string_view{"authorization"}, std::string_view{"x-caller"},
    std::string_view{"x-repeatable"}, std::string_view{"expect"}};

auto lower(std::string_view text) -> std::string {
    auto copy = std::string{text};
    std::ranges::transform(copy, copy.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return copy;
}

template <typename Names>
auto contains(Names const& names, std::string const& name) -> bool {
    return std::ranges::find(names, name) != names.end();
}

auto is_repeatable(runtime::http_request const& request, service::document const& document)
    -> bool {
    if (auto const header = request.fields.find("x-repeatable")) {
        return *header == "true";
    }
    if (request.method == "GET" || request.method == "HEAD") {
        return true;
    }
    return document.repeatable_by_default;
}

auto make_call(runtime::http_request const& request, base::caller_id const& caller)
    -> runtime::http_request {
    auto call = runtime::http_request{request.method, request.target, {}, request.body};
    for (auto const& [name, value] : request.fields.entries) {
        auto const lower_name = lower(name);
        if (!contains(connection_fields, lower_name) && !contains(router_fields, lower_name)) {
            call.fields.add(name, value);
        }
    }
    call.fields.add("x-caller", caller.value);
    return call;
}

auto refuse(request::refusal_type type) -> request::refusal {
    auto refused = request::refusal{};
    refused.type = type;
    return refused;
}

}  // namespace

auto path_of(std::string_view target) -> std::string_view {
    return target.substr(0, target.find('?'));
}

auto plan_plain(std::shared_ptr<service::document const> document,
                runtime::http_request const& request, base::time_point now)
    -> base::result<plain_plan, request::refusal> {
    if (!document || document->removed || document->kind != service::service_kind::plain) {
        return refuse(request::refusal_type::unknown_service);
    }
    auto const caller = identify(*document, read_credentials(request.fields));
    if (!caller) {
        return refuse(request::refusal_type::unauthorized);
    }
    auto plan = plain_plan{};
    plan.id = make_request_id();
    plan.caller = caller->id;
    if (auto const key = request.fields.find("idempotency-key"); key && !key->empty()) {
        plan.key = base::idempotency_key{std::string{*key}};
    }
    plan.spec.repeatable = is_repeatable(request, *document);
    plan.spec.keyed = plan.key.has_value();
    plan.spec.retry_share = document->policy.retry_share;
    plan.spec.deadline = now + document->targets.whole_answer;
    plan.call = make_call(request, caller->id);
    plan.document = std::move(document);
    return plan;
}

auto remove_connection_fields(runtime::http_response answer) -> runtime::http_response {
    std::erase_if(answer.fields.entries, [](auto const& field) {
        return contains(connection_fields, lower(field.first));
    });
    return answer;
}

auto to_stored(runtime::http_response const& answer) -> std::optional<request::stored_answer> {
    if (answer.body.size() > max_stored_bytes) {
        return std::nullopt;
    }
    auto const type = answer.fields.find("content-type").value_or("");
    return request::stored_answer{answer.status, std::string{type}, answer.body};
}

auto from_stored(request::stored_answer const& stored) -> runtime::http_response {
    auto answer = runtime::http_response{stored.status, {}, stored.body};
    if (!stored.content_type.empty()) {
        answer.fields.add("content-type", stored.content_type);
    }
    answer.fields.add("idempotency-replayed", "true");
    return answer;
}

}  // namespace linnetlane::daemon

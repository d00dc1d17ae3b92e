#include "linnetlane/daemon/entry_request.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>
#include <nlohmann/json.hpp>

namespace linnetlane::daemon {

namespace {

using json = nlohmann::json;

constexpr auto characters_per_token = std::int64_t{4};
constexpr auto max_tokens = std::int64_t{1} << 32;

// Reads an optional positive number; fails with `bad_field` if the member has any other value.
auto read_tokens(json const& body, char const* name)
    -> base::result<std::optional<base::token_count>, request_error> {
    auto const found = body.find(name);
    if (found == body.end() || found->is_null()) {
        return std::optional<base::token_count>{};
    }
    if (!found->is_number_unsigned()) {
        return request_error::bad_field;
    }
    auto const number = found->get<std::uint64_t>();
    if (number == 0 || number > static_cast<std::uint64_t>(max_tokens)) {
        return request_error::bad_field;
    }
    return std::optional{base::token_count{static_cast<std::int64_t>(number)}};
}

auto read_flag(json const& body, char const* name)
    -> base::result<std::optional<bool>, request_error> {
    auto const found = body.find(name);
    if (found == body.end() || found->is_null()) {
        return std::optional<bool>{};
    }
    if (!found->is_boolean()) {
        return request_error::bad_field;
    }
    return std::optional{found->get<bool>()};
}

auto read_priority(runtime::http_fields const& fields)
    -> base::result<std::optional<base::priority_class>, request_error> {
    auto const text = fields.find("x-priority");
    if (!text) {
        return std::optional<base::priority_class>{};
    }
    if (*text == "interactive") {
        return std::optional{base::priority_class::interactive};
    }
    if (*text == "batch") {
        return std::optional{base::priority_class::batch};
    }
    return request_error::bad_header;
}

auto read_service(runtime::http_fields const& fields, json const& body)
    -> std::optional<base::service_id> {
    if (auto const header = fields.find("x-service")) {
        return base::service_id{std::string{*header}};
    }
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return std::nullopt;
    }
    return base::service_id{model->get<std::string>()};
}

auto estimate_tokens(std::string_view prompt) -> base::token_count {
    auto const characters = static_cast<std::int64_t>(prompt.size());
    return base::token_count{
        std::max<std::int64_t>(1, (characters + characters_per_token - 1) / characters_per_token)};
}

}  // namespace

auto make_request_id() -> base::request_id {
    return {make_random(), make_random()};
}

auto make_random() -> std::uint64_t {
    thread_local auto engine = std::mt19937_64{[] {
        auto device = std::random_device{};
        return (std::uint64_t{device()} << 32U) | device();
    }()};
    return engine();
}

auto read_credentials(runtime::http_fields const& fields) -> caller_credentials {
    constexpr auto scheme = std::string_view{"Bearer "};
    auto credentials = caller_credentials{};
    if (auto const header = fields.find("authorization"); header && header->starts_with(scheme)) {
        credentials.key = std::string{header->substr(scheme.size())};
    }
    if (auto const header = fields.find("x-caller")) {
        credentials.name = base::caller_id{std::string{*header}};
    }
    return credentials;
}

auto identify(service::document const& document, caller_credentials const& credentials)
    -> std::optional<service::caller> {
    auto given = service::credentials{};
    if (credentials.key) {
        given.key = *credentials.key;
    }
    if (credentials.name) {
        given.name = credentials.name->value;
    }
    auto authenticated = service::authenticate(document, given);
    if (!base::succeeded(authenticated)) {
        return std::nullopt;
    }
    return base::take_value(std::move(authenticated));
}

auto describe(request_error failure) -> std::string_view {
    switch (failure) {
        case request_error::not_json:
            return "the body is no JSON object";
        case request_error::no_service:
            return "neither the header x-service nor the field model names a service";
        case request_error::no_prompt:
            return "the field prompt is no text";
        case request_error::bad_field:
            return "a field has a wrong type or is out of range";
        case request_error::bad_header:
            return "a header has a value that is not known";
    }
    return "";
}

auto parse_completion(runtime::http_request const& request)
    -> base::result<completion_request, request_error> {
    auto const body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return request_error::not_json;
    }
    auto const service = read_service(request.fields, body);
    if (!service) {
        return request_error::no_service;
    }
    auto const prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return request_error::no_prompt;
    }
    auto const priority = read_priority(request.fields);
    if (!base::succeeded(priority)) {
        return request_error::bad_header;
    }
    auto const tokens = read_tokens(body, "x_prompt_tokens");
    auto const bound = read_tokens(body, "max_tokens");
    auto const stream = read_flag(body, "stream");
    if (!base::succeeded(tokens) || !base::succeeded(bound) || !base::succeeded(stream)) {
        return request_error::bad_field;
    }
    auto completion = completion_request{};
    completion.service = *service;
    completion.caller = read_credentials(request.fields);
    completion.priority = base::value_of(priority);
    completion.repeatable = request.fields.find("x-repeatable") != "false";
    completion.stream = base::value_of(stream).value_or(false);
    completion.prompt = prompt->get<std::string>();
    completion.prompt_tokens = base::value_of(tokens).value_or(estimate_tokens(completion.prompt));
    completion.output_bound = base::value_of(bound);
    if (auto const header = request.fields.find("traceparent")) {
        completion.trace = telemetry::parse_traceparent(*header);
    }
    return completion;
}

auto prefix_hashes(std::string_view prompt, base::token_count prompt_tokens,
                   base::token_count piece_size) -> std::vector<base::prefix_hash> {
    auto hashes = std::vector<base::prefix_hash>{};
    if (piece_size.value < 1 || prompt_tokens.value < 1) {
        return hashes;
    }
    auto const pieces = std::min<std::size_t>(max_prefixes, prompt_tokens.value / piece_size.value);
    auto const characters_per_piece = static_cast<double>(prompt.size()) *
                                      static_cast<double>(piece_size.value) /
                                      static_cast<double>(prompt_tokens.value);
    auto* const state = XXH3_createState();
    XXH3_64bits_reset(state);
    auto hashed = std::size_t{0};
    for (auto piece = std::size_t{1}; piece <= pieces; ++piece) {
        auto const end =
            std::min(prompt.size(),
                     static_cast<std::size_t>(static_cast<double>(piece) * characters_per_piece));
        XXH3_64bits_update(state, prompt.data() + hashed, end - hashed);
        hashed = end;
        hashes.push_back(base::prefix_hash{XXH3_64bits_digest(state)});
    }
    XXH3_freeState(state);
    return hashes;
}

}  // namespace linnetlane::daemon

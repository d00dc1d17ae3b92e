#include "linnetlane/upstream/completions.h"

#include <charconv>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace linnetlane::upstream {

namespace {

using json = nlohmann::json;

constexpr auto end_marker = std::string_view{"[DONE]"};
constexpr auto max_token_count = std::int64_t{1} << 40;
constexpr auto interactive_priority = 0;
constexpr auto batch_priority = 10;

auto parse_json(std::string_view text) -> json {
    return json::parse(text, nullptr, false);
}

// Returns the member `name` of `object`; null if `object` has none or is no JSON object.
auto find_member(json const& object, char const* name) -> json const* {
    if (!object.is_object()) {
        return nullptr;
    }
    auto const found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

auto text_member(json const& object, char const* name) -> std::optional<std::string> {
    auto const* const found = find_member(object, name);
    if (found == nullptr || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

// Returns `value` if it is an integer from 0 to `limit`.
auto to_count(json const& value, std::int64_t limit) -> std::optional<std::int64_t> {
    if (!value.is_number_integer()) {
        return std::nullopt;
    }
    if (value.is_number_unsigned()) {
        auto const number = value.get<std::uint64_t>();
        auto const fits = number <= static_cast<std::uint64_t>(limit);
        return fits ? std::optional{static_cast<std::int64_t>(number)} : std::nullopt;
    }
    auto const number = value.get<std::int64_t>();
    return number >= 0 && number <= limit ? std::optional{number} : std::nullopt;
}

auto count_member(json const& object, char const* name, std::int64_t limit)
    -> std::optional<std::int64_t> {
    auto const* const found = find_member(object, name);
    return found == nullptr ? std::nullopt : to_count(*found, limit);
}

auto parse_caller_body(completion_call const& call) -> json {
    auto body = parse_json(call.caller_body);
    if (!body.is_object()) {
        body = json::object();
    }
    return body;
}

auto common_body(completion_call const& call) -> json {
    auto body = parse_caller_body(call);
    body["request_id"] = wire_id(call.attempt);
    body["priority"] =
        call.priority == base::priority_class::interactive ? interactive_priority : batch_priority;
    body["x_resume_from"] = call.resume_from.value;
    if (!call.delivered_text.empty()) {
        body["x_delivered_text"] = call.delivered_text;
    }
    return body;
}

// Serializes `body`. Text that was passed in may be invalid UTF-8; invalid bytes are replaced.
auto dump(json const& body) -> std::string {
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto write_transfer(kv_transfer const& transfer) -> json {
    return json{{"do_remote_prefill", true},
                {"remote_engine_id", transfer.remote_engine_id},
                {"remote_request_id", transfer.remote_request_id},
                {"remote_host", transfer.remote_host},
                {"remote_port", transfer.remote_port},
                {"remote_block_ids", transfer.remote_block_ids}};
}

auto read_block_ids(json const& ids) -> std::optional<std::vector<std::int64_t>> {
    if (!ids.is_array()) {
        return std::nullopt;
    }
    auto numbers = std::vector<std::int64_t>{};
    for (auto const& id : ids) {
        auto const number = to_count(id, std::numeric_limits<std::int64_t>::max());
        if (!number) {
            return std::nullopt;
        }
        numbers.push_back(*number);
    }
    return numbers;
}

auto read_transfer(json const& params) -> std::optional<kv_transfer> {
    auto const engine = text_member(params, "remote_engine_id");
    auto const request = text_member(params, "remote_request_id");
    auto const host = text_member(params, "remote_host");
    auto const port =
        count_member(params, "remote_port", std::numeric_limits<std::uint16_t>::max());
    auto const* const ids = find_member(params, "remote_block_ids");
    if (!engine || !request || !host || !port || ids == nullptr) {
        return std::nullopt;
    }
    auto blocks = read_block_ids(*ids);
    if (!blocks) {
        return std::nullopt;
    }
    return kv_transfer{*engine, *request, *host, static_cast<std::uint16_t>(*port),
                       std::move(*blocks)};
}

auto read_error(json const& error) -> engine_error {
    auto const type = text_member(error, "type");
    if (type == "transfer_stalled") {
        return engine_error::transfer_stalled;
    }
    if (type == "overloaded") {
        return engine_error::overloaded;
    }
    return engine_error::other;
}

// Returns no reason if the field is null or absent: the answer continues.
auto read_finish(json const& choice) -> base::result<std::optional<finish_reason>, parse_failure> {
    auto const* const reason = find_member(choice, "finish_reason");
    if (reason == nullptr || reason->is_null()) {
        return std::optional<finish_reason>{};
    }
    if (*reason == "length") {
        return std::optional{finish_reason::length};
    }
    if (*reason == "stop") {
        return std::optional{finish_reason::stop};
    }
    return parse_failure::wrong_type;
}

auto read_part(json const& body) -> base::result<stream_item, parse_failure> {
    auto const id = text_member(body, "id");
    auto const attempt = id ? parse_wire_id(*id) : std::nullopt;
    auto const* const choices = find_member(body, "choices");
    if (!attempt || choices == nullptr || !choices->is_array() || choices->size() != 1) {
        return parse_failure::wrong_shape;
    }
    auto const& choice = choices->front();
    auto text = text_member(choice, "text");
    if (!text) {
        return parse_failure::wrong_type;
    }
    auto const offset = count_member(body, "x_offset", max_token_count);
    auto const finish = read_finish(choice);
    if (!offset || !base::succeeded(finish)) {
        return parse_failure::wrong_type;
    }
    auto count = std::optional<std::int64_t>{text->empty() ? 0 : 1};
    if (auto const* const stated = find_member(body, "x_count")) {
        count = to_count(*stated, max_token_count);
    }
    if (!count) {
        return parse_failure::out_of_range;
    }
    return stream_item{answer_part{*attempt, base::token_count{*offset}, base::token_count{*count},
                                   std::move(*text), base::value_of(finish)}};
}

auto read_hashes(json const& event, char const* name)
    -> std::optional<std::vector<base::prefix_hash>> {
    auto hashes = std::vector<base::prefix_hash>{};
    auto const* const found = find_member(event, name);
    if (found == nullptr) {
        return hashes;
    }
    if (!found->is_array()) {
        return std::nullopt;
    }
    for (auto const& hash : *found) {
        if (!hash.is_number_unsigned()) {
            return std::nullopt;
        }
        hashes.push_back(base::prefix_hash{hash.get<std::uint64_t>()});
    }
    return hashes;
}

auto read_cache_change(json const& event) -> std::optional<cache_change> {
    auto const* const sequence = find_member(event, "sequence");
    auto stored = read_hashes(event, "stored");
    auto evicted = read_hashes(event, "evicted");
    if (sequence == nullptr || !sequence->is_number_unsigned() || !stored || !evicted) {
        return std::nullopt;
    }
    return cache_change{sequence->get<std::uint64_t>(), std::move(*stored), std::move(*evicted)};
}

}  // namespace

auto wire_id(cell::attempt const& attempt) -> std::string {
    return base::to_string(attempt.request) + "-" + std::to_string(attempt.number.value);
}

auto parse_wire_id(std::string_view text) -> std::optional<cell::attempt> {
    auto const dash = text.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    auto const request = base::parse_request_id(text.substr(0, dash));
    auto const digits = text.substr(dash + 1);
    auto number = std::uint64_t{0};
    auto const* const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, number);
    if (!request || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return cell::attempt{*request, base::attempt_number{number}};
}

auto write_prefill(completion_call const& call) -> std::string {
    auto body = common_body(call);
    body["max_tokens"] = 1;
    body["stream"] = false;
    body["kv_transfer_params"] = json{{"do_remote_decode", true}};
    return dump(body);
}

auto write_decode(decode_call const& call) -> std::string {
    auto body = common_body(call.call);
    body["max_tokens"] = (call.output_bound - call.call.resume_from).value;
    body["stream"] = true;
    body.erase("kv_transfer_params");
    if (call.transfer) {
        body["kv_transfer_params"] = write_transfer(*call.transfer);
    }
    return dump(body);
}

auto write_abort(cell::attempt const& attempt) -> std::string {
    return json{{"request_id", wire_id(attempt)}}.dump();
}

auto parse_prefill_answer(std::string_view text) -> base::result<prefill_answer, parse_failure> {
    auto const body = parse_json(text);
    if (body.is_discarded()) {
        return parse_failure::not_json;
    }
    auto const id = text_member(body, "id");
    auto const attempt = id ? parse_wire_id(*id) : std::nullopt;
    auto const* const params = find_member(body, "kv_transfer_params");
    if (!attempt || params == nullptr) {
        return parse_failure::wrong_shape;
    }
    auto transfer = read_transfer(*params);
    if (!transfer) {
        return parse_failure::wrong_type;
    }
    return prefill_answer{*attempt, std::move(*transfer)};
}

auto parse_stream_item(std::string_view data) -> base::result<stream_item, parse_failure> {
    if (data == end_marker) {
        return stream_item{answer_end{}};
    }
    auto const body = parse_json(data);
    if (body.is_discarded()) {
        return parse_failure::not_json;
    }
    if (auto const* const error = find_member(body, "error")) {
        return stream_item{read_error(*error)};
    }
    return read_part(body);
}

auto parse_error(std::string_view text) -> engine_error {
    auto const body = parse_json(text);
    auto const* const error = find_member(body, "error");
    return error == nullptr ? engine_error::other : read_error(*error);
}

auto parse_load(std::string_view text) -> base::result<load_report, parse_failure> {
    auto const body = parse_json(text);
    if (body.is_discarded()) {
        return parse_failure::not_json;
    }
    auto const pieces = count_member(body, "pieces_used", max_token_count);
    if (!pieces) {
        return parse_failure::wrong_shape;
    }
    auto const* const leaving = find_member(body, "leaving");
    auto report = load_report{};
    report.pieces_used = base::piece_count{*pieces};
    report.running = count_member(body, "running", max_token_count).value_or(0);
    report.waiting = count_member(body, "waiting", max_token_count).value_or(0);
    report.leaving = leaving != nullptr && leaving->is_boolean() && leaving->get<bool>();
    return report;
}

auto parse_cache_changes(std::string_view text)
    -> base::result<std::vector<cache_change>, parse_failure> {
    auto const body = parse_json(text);
    if (body.is_discarded()) {
        return parse_failure::not_json;
    }
    auto const* const events = find_member(body, "events");
    if (events == nullptr || !events->is_array()) {
        return parse_failure::wrong_shape;
    }
    auto changes = std::vector<cache_change>{};
    for (auto const& event : *events) {
        auto change = read_cache_change(event);
        if (!change) {
            return parse_failure::wrong_type;
        }
        changes.push_back(std::move(*change));
    }
    return changes;
}

}  // namespace linnetlane::upstream

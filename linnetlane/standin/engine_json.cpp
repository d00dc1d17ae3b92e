#include "linnetlane/standin/engine_json.h"

#include <algorithm>

#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;

constexpr auto default_output_bound = std::int64_t{4096};

// The prompt as text; an array of token ids is returned as its JSON.
auto prompt_text(json const& prompt) -> std::optional<std::string> {
    if (prompt.is_string()) {
        return prompt.get<std::string>();
    }
    if (prompt.is_array()) {
        return prompt.dump();
    }
    return std::nullopt;
}

auto prompt_size(json const& body, json const& prompt, std::string const& text)
    -> base::token_count {
    auto const counted = prompt.is_array() ? std::ssize(prompt) : tokens_in(text).value;
    return base::token_count{integer_field(body, "x_prompt_tokens", counted)};
}

// The offset from which a resumed answer continues.
auto resume_offset(json const& body) -> std::int64_t {
    auto const delivered = std::ssize(text_field(body, "x_delivered_text"));
    auto const tokens = delivered / std::int64_t{answer_characters_per_token};
    return std::max(std::int64_t{0}, integer_field(body, "x_resume_from", tokens));
}

auto read_source(json const& transfer) -> std::optional<kv_source> {
    if (!flag_field(transfer, "do_remote_prefill")) {
        return std::nullopt;
    }
    auto source = kv_source{};
    source.engine.address = text_field(transfer, "remote_host");
    source.engine.port = static_cast<std::uint16_t>(integer_field(transfer, "remote_port"));
    source.request_id = text_field(transfer, "remote_request_id");
    return source;
}

auto finish_reason(completion_request const& request) -> char const* {
    return request.ends_naturally ? "stop" : "length";
}

auto write_hashes(std::vector<base::prefix_hash> const& hashes) -> json {
    auto list = json::array();
    for (auto const hash : hashes) {
        list.push_back(hash.value);
    }
    return list;
}

}  // namespace

auto read_completion(json const& body, base::token_count piece_size)
    -> std::optional<completion_request> {
    auto const prompt = nested_field(body, "prompt");
    auto const text = prompt_text(prompt);
    if (!text) {
        return std::nullopt;
    }
    auto read = completion_request{};
    read.request_id = text_field(body, "request_id");
    read.prompt = prompt_key(*text);
    auto const size = prompt_size(body, prompt, *text);
    read.prefixes = piece_hashes(*text, size, piece_size);
    read.priority = integer_field(body, "priority");
    read.begin = resume_offset(body);
    read.prompt_tokens = size + base::token_count{read.begin};
    read.output_bound = base::token_count{integer_field(body, "max_tokens", default_output_bound)};
    auto const whole = integer_field(body, "x_output_tokens", natural_length(read.prompt).value);
    auto const bounded = read.begin + read.output_bound.value;
    read.end = std::max(read.begin, std::min(whole, bounded));
    read.ends_naturally = whole <= bounded;
    read.stream = flag_field(body, "stream");
    auto const transfer = nested_field(body, "kv_transfer_params");
    read.prefill_only = flag_field(transfer, "do_remote_decode");
    read.source = read_source(transfer);
    return read;
}

auto prefill_request_of(completion_request const& request) -> prefill_request {
    return prefill_request{request.request_id, request.priority, request.prompt_tokens,
                           request.prefixes};
}

auto decode_request_of(completion_request const& request) -> decode_request {
    auto result = decode_request{};
    result.request_id = request.request_id;
    result.priority = request.priority;
    result.prompt = request.prompt_tokens;
    result.prefixes = request.prefixes;
    result.output_bound = request.output_bound;
    result.begin = request.begin;
    result.end = request.end;
    result.imports = request.source.has_value();
    return result;
}

auto write_prefill_answer(completion_request const& request, prefill_done const& done,
                          base::endpoint const& at) -> json {
    auto const choice = json{{"index", 0},
                             {"text", token_text(request.prompt, request.begin)},
                             {"finish_reason", "length"}};
    auto const transfer = json{{"do_remote_prefill", true},
                               {"remote_engine_id", at.address + ":" + std::to_string(at.port)},
                               {"remote_request_id", std::to_string(done.job.value)},
                               {"remote_host", at.address},
                               {"remote_port", at.port},
                               {"remote_block_ids", json::array({done.job.value})}};
    return json{{"id", request.request_id},
                {"object", "text_completion"},
                {"choices", json::array({choice})},
                {"usage", json{{"prompt_tokens", done.prompt.value},
                               {"cached_tokens", done.cached.value},
                               {"completion_tokens", 1}}},
                {"kv_transfer_params", transfer}};
}

auto write_chunk(completion_request const& request, std::int64_t offset, bool last) -> json {
    auto const text = offset < request.end ? token_text(request.prompt, offset) : std::string{};
    auto choice = json{{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
    if (last) {
        choice["finish_reason"] = finish_reason(request);
    }
    return json{{"id", request.request_id},
                {"object", "text_completion"},
                {"choices", json::array({choice})},
                {"x_offset", offset}};
}

auto write_answer(completion_request const& request) -> json {
    auto const choice = json{{"index", 0},
                             {"text", answer_text(request.prompt, request.begin, request.end)},
                             {"finish_reason", finish_reason(request)}};
    return json{{"id", request.request_id},
                {"object", "text_completion"},
                {"choices", json::array({choice})},
                {"usage", json{{"prompt_tokens", request.prompt_tokens.value},
                               {"completion_tokens", request.end - request.begin}}},
                {"x_offset", request.begin}};
}

auto event_text(std::string_view data) -> std::string {
    auto text = std::string{"data: "};
    text += data;
    text += "\n\n";
    return text;
}

auto write_load(engine_load const& load) -> json {
    return json{{"pieces_used", load.pieces_used.value},
                {"running", load.running},
                {"waiting", load.waiting},
                {"waiting_tokens", load.waiting_tokens.value},
                {"leaving", load.leaving}};
}

auto write_cache_changes(std::vector<cache_change> const& changes) -> json {
    auto events = json::array();
    for (auto const& change : changes) {
        events.push_back(json{{"sequence", change.sequence},
                              {"stored", write_hashes(change.stored)},
                              {"evicted", write_hashes(change.evicted)}});
    }
    return json{{"events", events}};
}

auto write_state(engine_state const& state, base::time_point now) -> json {
    return json{{"role", state.role == engine_role::prefill ? "prefill" : "decode"},
                {"model", state.model},
                {"version", state.version},
                {"adapters", state.adapters},
                {"fencing", state.fencing},
                {"orders_done", state.orders_done},
                {"loading", now < state.loading_until},
                {"leaving", state.leaving}};
}

auto write_stats(engine_model const& engine) -> json {
    auto const& counts = engine.stats();
    auto held = json::object();
    for (auto const& [request, pieces] : engine.held()) {
        held[request] = pieces.value;
    }
    auto runs = json::object();
    for (auto const& [request, count] : counts.runs) {
        runs[request] = json{{"prefill", count.prefill}, {"decode", count.decode}};
    }
    return json{{"prefilled_tokens", counts.prefilled.value},
                {"imported_tokens", counts.imported.value},
                {"expired_tokens", counts.expired.value},
                {"cancelled_tokens", counts.cancelled.value},
                {"wasted_tokens", (counts.expired + counts.cancelled).value},
                {"kept_tokens", engine.kept_tokens().value},
                {"cached_tokens", counts.from_cache.value},
                {"local_prefilled_tokens", counts.local_prefilled.value},
                {"produced_tokens", counts.produced.value},
                {"over_grant_waits", counts.over_grant_waits},
                {"imports_failed", counts.imports_failed},
                {"load", write_load(engine.actual_load())},
                {"held", held},
                {"runs", runs}};
}

auto write_abort_result(abort_result const& ended) -> json {
    return json{
        {"jobs", ended.jobs.size()}, {"pieces", ended.pieces.value}, {"results", ended.results}};
}

auto read_order(json const& body) -> engine_order {
    auto order = engine_order{};
    order.kind = text_field(body, "order");
    order.version = text_field(body, "version");
    order.fencing = static_cast<std::uint64_t>(integer_field(body, "fencing"));
    for (auto const* name : {"model", "adapter", "role"}) {
        if (has_field(body, name) && order.kind.ends_with(name)) {
            order.argument = text_field(body, name);
        }
    }
    return order;
}

auto write_error(char const* type) -> json {
    return json{{"error", json{{"type", type}, {"message", type}}}};
}

}  // namespace linnetlane::standin

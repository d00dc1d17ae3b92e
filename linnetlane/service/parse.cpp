#include "linnetlane/service/parse.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "linnetlane/service/check.h"
#include "linnetlane/service/words.h"

namespace linnetlane::service {

namespace {

using settings::toml_reader;

// Optional prefix of UTF-8 text.
constexpr auto byte_order_mark = std::string_view{"\xEF\xBB\xBF"};

auto read_shape(toml_reader& reader, engine_shape& target) -> void {
    reader.read("piece_size", target.piece_size);
    reader.read("decode_pieces", target.decode_pieces);
    reader.read("decode_slots", target.decode_slots);
    reader.read("prefill_rate", target.prefill_rate);
    reader.read("decode_rate", target.decode_rate);
    reader.read("link_rate", target.link_rate);
    reader.read("kv_bytes_per_token", target.kv_bytes_per_token);
    reader.read("result_kept", target.result_kept);
}

auto read_targets(toml_reader& reader, targets& target) -> void {
    reader.read("first_token", target.first_token);
    reader.read("between_tokens", target.between_tokens);
    reader.read("whole_answer", target.whole_answer);
    reader.read("batch_first_token", target.batch_first_token);
}

auto read_policy(toml_reader& reader, policy& target) -> void {
    reader.read("waste_weight", target.waste_weight);
    reader.read("retry_share", target.retry_share);
    reader.read("spill", target.spill);
    reader.read("default_output_bound", target.default_output_bound);
}

auto read_deployment(toml_reader& reader, deployment& target) -> void {
    reader.read("model", target.model);
    reader.read("version", target.version);
    reader.read_list("adapters", target.adapters);
    reader.read("least_decode", target.least_decode);
    reader.read("most_decode", target.most_decode);
    reader.read("weight_loads_per_second", target.weight_loads_per_second);
}

auto read_caller(toml_reader& reader) -> caller {
    auto result = caller{};
    reader.require("id", result.id);
    reader.read("key_hash", result.key_hash);
    reader.read("share", result.share);
    reader.read_word("priority", result.priority, priority_words);
    return result;
}

auto read_upstream(toml_reader& reader) -> upstream {
    auto result = upstream{};
    reader.require("id", result.id);
    reader.require("data_centre", result.data_centre);
    reader.expect("role");
    reader.read_word("role", result.role, role_words);
    reader.require("address", result.address);
    reader.read("leaving", result.leaving);
    reader.read("checks_fencing", result.checks_fencing);
    return result;
}

auto read_document(toml_reader& reader) -> document {
    auto result = document{};
    reader.require("id", result.id);
    reader.read("generation", result.generation);
    reader.expect("kind");
    reader.read_word("kind", result.kind, kind_words);
    reader.read("removed", result.removed);
    reader.read("route", result.route);
    reader.read("repeatable_by_default", result.repeatable_by_default);
    reader.read_table("shape", [&](toml_reader& inner) { read_shape(inner, result.shape); });
    reader.read_table("targets", [&](toml_reader& inner) { read_targets(inner, result.targets); });
    reader.read_table("policy", [&](toml_reader& inner) { read_policy(inner, result.policy); });
    reader.read_table("deployment",
                      [&](toml_reader& inner) { read_deployment(inner, result.deployment); });
    reader.read_tables("callers",
                       [&](toml_reader& inner) { result.callers.push_back(read_caller(inner)); });
    reader.read_tables(
        "upstreams", [&](toml_reader& inner) { result.upstreams.push_back(read_upstream(inner)); });
    return result;
}

// The line of `key`, or of the closest enclosing table that is present in the text.
auto line_of(std::string_view key, settings::toml_diagnostics const& findings) -> std::size_t {
    while (!key.empty()) {
        auto const found = findings.lines.find(key);
        if (found != findings.lines.end()) {
            return found->second;
        }
        auto const end = key.find_last_of(".[");
        key = key.substr(0, end == std::string_view::npos ? 0 : end);
    }
    return 1;
}

auto to_errors(std::vector<settings::toml_problem> problems) -> std::vector<document_error> {
    auto errors = std::vector<document_error>{};
    for (auto& problem : problems) {
        errors.push_back(
            {problem.fault, problem.line, std::move(problem.key), std::move(problem.detail)});
    }
    return errors;
}

// The line of the top-level key `generation`, from 1; 0 if there is none.
auto generation_line(std::string_view text) -> std::size_t {
    auto const table = settings::parse_toml(text);
    if (!base::succeeded(table)) {
        return 0;
    }
    auto const* const node = base::value_of(table).get("generation");
    return node == nullptr ? 0 : node->source().begin.line;
}

// Offset of the start of line `number`, from 1, in `text`.
auto line_start(std::string_view text, std::size_t number) -> std::size_t {
    auto place = std::size_t{0};
    for (auto line = std::size_t{1}; line < number; ++line) {
        place = text.find('\n', place) + 1;
    }
    return place;
}

auto sort_by_line(std::vector<document_error>& errors) -> void {
    std::stable_sort(errors.begin(), errors.end(),
                     [](document_error const& left, document_error const& right) {
                         return left.line < right.line;
                     });
}

}  // namespace

auto parse_document(std::string_view text) -> base::result<document, std::vector<document_error>> {
    if (text.size() > max_document_bytes) {
        return std::vector{document_error{document_fault::too_long, 1, "", ""}};
    }
    auto table = settings::parse_toml(text);
    if (auto const* problem = base::failure_of(table)) {
        return to_errors({*problem});
    }
    auto findings = settings::toml_diagnostics{};
    auto reader = toml_reader{base::value_of(table), "", findings};
    auto result = read_document(reader);
    reader.finish();
    // Skipped after read errors, since the checks would report the same values again.
    auto errors =
        findings.problems.empty() ? check_document(result) : std::vector<document_error>{};
    for (auto& error : errors) {
        error.line = line_of(error.key, findings);
    }
    auto problems = to_errors(std::move(findings.problems));
    errors.insert(errors.end(), problems.begin(), problems.end());
    if (errors.empty()) {
        return result;
    }
    sort_by_line(errors);
    return errors;
}

auto with_generation(std::string_view text, base::generation generation) -> std::string {
    auto const written = fmt::format("generation = {}\n", generation.value);
    auto result = std::string{text};
    auto const line = generation_line(text);
    if (line == 0) {
        auto const has_mark = text.substr(0, byte_order_mark.size()) == byte_order_mark;
        return result.insert(has_mark ? byte_order_mark.size() : 0, written);
    }
    auto const start = line_start(text, line);
    auto const end = result.find('\n', start);
    auto const length = end == std::string::npos ? result.size() - start : end + 1 - start;
    return result.replace(start, length, written);
}

}  // namespace linnetlane::service

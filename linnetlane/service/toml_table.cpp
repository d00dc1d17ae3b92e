#include "linnetlane/service/toml_table.h"

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "linnetlane/service/parse.h"
#include "linnetlane/service/words.h"
#include "linnetlane/settings/text_values.h"

namespace linnetlane::service {

namespace {

auto put_text(toml::table& table, std::string_view key, std::string_view text) -> void {
    if (!text.empty()) {
        table.insert(key, std::string{text});
    }
}

auto put_flag(toml::table& table, std::string_view key, bool flag) -> void {
    if (flag) {
        table.insert(key, true);
    }
}

auto put_span(toml::table& table, std::string_view key, base::duration span) -> void {
    table.insert(key, settings::format_duration(span));
}

auto table_of(engine_shape const& shape) -> toml::table {
    auto table = toml::table{};
    table.insert("piece_size", shape.piece_size.value);
    table.insert("decode_pieces", shape.decode_pieces.value);
    table.insert("decode_slots", shape.decode_slots);
    table.insert("prefill_rate", shape.prefill_rate.per_second);
    table.insert("decode_rate", shape.decode_rate.per_second);
    table.insert("link_rate", shape.link_rate.value);
    table.insert("kv_bytes_per_token", shape.kv_bytes_per_token.value);
    put_span(table, "result_kept", shape.result_kept);
    return table;
}

auto table_of(targets const& goals) -> toml::table {
    auto table = toml::table{};
    put_span(table, "first_token", goals.first_token);
    put_span(table, "between_tokens", goals.between_tokens);
    put_span(table, "whole_answer", goals.whole_answer);
    put_span(table, "batch_first_token", goals.batch_first_token);
    return table;
}

auto table_of(policy const& weights) -> toml::table {
    auto table = toml::table{};
    table.insert("waste_weight", weights.waste_weight.value);
    table.insert("retry_share", weights.retry_share.value);
    table.insert("spill", weights.spill);
    table.insert("default_output_bound", weights.default_output_bound.value);
    return table;
}

auto table_of(deployment const& wanted) -> toml::table {
    auto table = toml::table{};
    put_text(table, "model", wanted.model);
    put_text(table, "version", wanted.version);
    if (!wanted.adapters.empty()) {
        auto adapters = toml::array{};
        for (auto const& adapter : wanted.adapters) {
            adapters.push_back(adapter);
        }
        table.insert("adapters", std::move(adapters));
    }
    table.insert("least_decode", wanted.least_decode);
    table.insert("most_decode", wanted.most_decode);
    table.insert("weight_loads_per_second", wanted.weight_loads_per_second);
    return table;
}

auto table_of(caller const& one) -> toml::table {
    auto table = toml::table{};
    put_text(table, "id", one.id.value);
    put_text(table, "key_hash", one.key_hash);
    table.insert("share", one.share);
    put_text(table, "priority", word_of(priority_words, one.priority));
    return table;
}

auto table_of(upstream const& one) -> toml::table {
    auto table = toml::table{};
    put_text(table, "id", one.id.value);
    put_text(table, "data_centre", one.data_centre.value);
    put_text(table, "role", word_of(role_words, one.role));
    put_text(table, "address", settings::format_endpoint(one.address));
    put_flag(table, "leaving", one.leaving);
    put_flag(table, "checks_fencing", one.checks_fencing);
    return table;
}

template <typename Element>
auto put_tables(toml::table& table, std::string_view key, std::vector<Element> const& elements)
    -> void {
    if (elements.empty()) {
        return;
    }
    auto array = toml::array{};
    for (auto const& element : elements) {
        array.push_back(table_of(element));
    }
    table.insert(key, std::move(array));
}

auto put_values(std::string& text, toml::table const& table) -> void {
    for (auto const& [key, node] : table) {
        if (!node.is_table() && !node.is_array_of_tables()) {
            text += fmt::format("{} = {}\n", key.str(), value_text(node));
        }
    }
}

// Writes the tables, then the arrays of tables, of a document's top-level table.
auto put_inner_tables(std::string& text, toml::table const& table) -> void {
    for (auto const& [key, node] : table) {
        if (auto const* const inner = node.as_table()) {
            text += fmt::format("\n[{}]\n", key.str());
            put_values(text, *inner);
        }
    }
    for (auto const& [key, node] : table) {
        if (!node.is_array_of_tables()) {
            continue;
        }
        for (auto const& element : *node.as_array()) {
            text += fmt::format("\n[[{}]]\n", key.str());
            put_values(text, *element.as_table());
        }
    }
}

}  // namespace

auto to_table(document const& written) -> toml::table {
    auto table = toml::table{};
    put_text(table, "id", written.id.value);
    table.insert("generation", static_cast<std::int64_t>(written.generation.value));
    put_text(table, "kind", word_of(kind_words, written.kind));
    put_flag(table, "removed", written.removed);
    put_text(table, "route", written.route);
    put_flag(table, "repeatable_by_default", written.repeatable_by_default);
    table.insert("shape", table_of(written.shape));
    table.insert("targets", table_of(written.targets));
    table.insert("policy", table_of(written.policy));
    table.insert("deployment", table_of(written.deployment));
    put_tables(table, "callers", written.callers);
    put_tables(table, "upstreams", written.upstreams);
    return table;
}

auto value_text(toml::node const& node) -> std::string {
    if (auto const* const number = node.as_floating_point()) {
        return fmt::format("{}", number->get());
    }
    auto out = std::ostringstream{};
    node.visit([&out](auto const& value) {
        out << toml::toml_formatter{value, toml::format_flags::none};
    });
    return std::move(out).str();
}

auto format_document(document const& written) -> std::string {
    auto const table = to_table(written);
    auto text = std::string{};
    put_values(text, table);
    put_inner_tables(text, table);
    return text;
}

}  // namespace linnetlane::service

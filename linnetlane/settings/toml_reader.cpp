#include "linnetlane/settings/toml_reader.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "linnetlane/settings/text_values.h"

namespace linnetlane::settings {

namespace {

auto line_of(toml::node const& node) -> std::size_t {
    return std::max<std::size_t>(1, node.source().begin.line);
}

auto expected(std::string_view what) -> toml_mismatch {
    return {toml_fault::wrong_type, fmt::format("expected {}", what)};
}

}  // namespace

auto describe(toml_fault fault) -> std::string_view {
    switch (fault) {
        case toml_fault::malformed:
            return "not TOML";
        case toml_fault::unknown_key:
            return "unknown key";
        case toml_fault::missing_key:
            return "missing key";
        case toml_fault::wrong_type:
            return "wrong type";
        case toml_fault::not_an_ip_address:
            return "not an IP number with a port";
        case toml_fault::not_a_duration:
            return "not a duration";
        case toml_fault::not_a_name:
            return "not a name";
        case toml_fault::unknown_word:
            return "unknown word";
        case toml_fault::out_of_bounds:
            return "out of bounds";
    }
    return "unknown error";
}

auto parse_toml(std::string_view text) -> base::result<toml::table, toml_problem> {
    try {
        return toml::parse(text);
    } catch (toml::parse_error const& error) {
        auto const line = std::max<std::size_t>(1, error.source().begin.line);
        return toml_problem{toml_fault::malformed, "", line, std::string{error.description()}};
    } catch (toml_assertion_failure const&) {
        return toml_problem{toml_fault::malformed, "", 1, "the text can't be parsed"};
    }
}

auto convert(toml::node const& node, std::string& target) -> std::optional<toml_mismatch> {
    auto const* const value = node.as_string();
    if (value == nullptr) {
        return expected("a string");
    }
    target = value->get();
    return std::nullopt;
}

auto convert(toml::node const& node, bool& target) -> std::optional<toml_mismatch> {
    auto const* const value = node.as_boolean();
    if (value == nullptr) {
        return expected("true or false");
    }
    target = value->get();
    return std::nullopt;
}

auto convert(toml::node const& node, double& target) -> std::optional<toml_mismatch> {
    auto const value = node.is_number() ? node.value<double>() : std::nullopt;
    if (!value) {
        return expected("a number");
    }
    if (!std::isfinite(*value)) {
        return toml_mismatch{toml_fault::out_of_bounds, "expected a finite number"};
    }
    target = *value;
    return std::nullopt;
}

auto convert(toml::node const& node, std::int64_t& target) -> std::optional<toml_mismatch> {
    auto const* const value = node.as_integer();
    if (value == nullptr) {
        return expected("an integer");
    }
    target = value->get();
    return std::nullopt;
}

auto convert(toml::node const& node, std::size_t& target) -> std::optional<toml_mismatch> {
    auto number = std::int64_t{0};
    auto mismatch = convert(node, number);
    if (mismatch) {
        return mismatch;
    }
    if (number < 0) {
        return toml_mismatch{toml_fault::out_of_bounds, "expected 0 or more"};
    }
    target = static_cast<std::size_t>(number);
    return std::nullopt;
}

auto convert(toml::node const& node, base::duration& target) -> std::optional<toml_mismatch> {
    auto text = std::string{};
    if (convert(node, text)) {
        return expected("a duration such as \"1.8s\" or \"40ms\"");
    }
    auto const parsed = parse_duration(text);
    if (!parsed) {
        return toml_mismatch{toml_fault::not_a_duration, text};
    }
    target = *parsed;
    return std::nullopt;
}

auto convert(toml::node const& node, base::endpoint& target) -> std::optional<toml_mismatch> {
    auto text = std::string{};
    if (convert(node, text)) {
        return expected("an address such as \"10.0.0.1:8080\"");
    }
    auto parsed = parse_endpoint(text);
    if (!parsed) {
        return toml_mismatch{toml_fault::not_an_ip_address, text};
    }
    target = std::move(*parsed);
    return std::nullopt;
}

auto convert_name(toml::node const& node, std::string& target) -> std::optional<toml_mismatch> {
    auto mismatch = convert(node, target);
    if (!mismatch && !is_name(target)) {
        return toml_mismatch{toml_fault::not_a_name, target};
    }
    return mismatch;
}

toml_reader::toml_reader(toml::table const& read_table, std::string prefix, toml_diagnostics& found)
    : table{&read_table}, path{std::move(prefix)}, findings{&found} {
    this->findings->lines.emplace(this->path, line_of(read_table));
}

auto toml_reader::expect(std::string_view key) -> void {
    if (!this->table->contains(key)) {
        this->add(toml_fault::missing_key, this->path_of(key), *this->table, "");
    }
}

auto toml_reader::report(toml_fault fault, std::string_view key, std::string detail) -> void {
    auto const* const node = this->look_up(key);
    auto const& place = node == nullptr ? static_cast<toml::node const&>(*this->table) : *node;
    this->add(fault, this->path_of(key), place, std::move(detail));
}

auto toml_reader::finish() -> void {
    for (auto const& [key, node] : *this->table) {
        if (!this->asked.contains(key.str())) {
            this->add(toml_fault::unknown_key, this->path_of(key.str()), node, "");
        }
    }
}

auto toml_reader::look_up(std::string_view key) -> toml::node const* {
    this->asked.emplace(key);
    auto const* const node = this->table->get(key);
    if (node != nullptr) {
        this->findings->lines.emplace(this->path_of(key), line_of(*node));
    }
    return node;
}

auto toml_reader::look_up_array(std::string_view key) -> toml::array const* {
    auto const* const node = this->look_up(key);
    if (node != nullptr && !node->is_array()) {
        this->add(toml_fault::wrong_type, this->path_of(key), *node, "expected an array");
    }
    return node == nullptr ? nullptr : node->as_array();
}

auto toml_reader::look_up_table(std::string_view key) -> toml::table const* {
    auto const* const node = this->look_up(key);
    if (node != nullptr && !node->is_table()) {
        this->add(toml_fault::wrong_type, this->path_of(key), *node, "expected a table");
    }
    return node == nullptr ? nullptr : node->as_table();
}

auto toml_reader::path_of(std::string_view key) const -> std::string {
    return this->path.empty() ? std::string{key} : fmt::format("{}.{}", this->path, key);
}

auto toml_reader::path_of(std::string_view key, std::size_t index) const -> std::string {
    return fmt::format("{}[{}]", this->path_of(key), index);
}

auto toml_reader::add(toml_fault fault, std::string key, toml::node const& node, std::string detail)
    -> void {
    this->findings->problems.push_back({fault, std::move(key), line_of(node), std::move(detail)});
}

}  // namespace linnetlane::settings

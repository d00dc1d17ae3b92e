// Reads TOML tables into aggregates. Strict: unknown keys are errors. Collects every error with its
// key and line.
//
//   auto findings = toml_diagnostics{};
//   auto reader = toml_reader{table, "", findings};
//   reader.require("host", result.host);
//   reader.read("workers", result.workers);
//   reader.finish();  // reports keys that were not read as unknown
//
// Used for the settings of a host and for service documents.

#ifndef LINNETLANE_SETTINGS_TOML_READER_H_
#define LINNETLANE_SETTINGS_TOML_READER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/settings/toml_library.h"

namespace linnetlane::settings {

// What is wrong with a TOML text or a value in it.
enum class toml_fault {
    malformed,
    unknown_key,
    missing_key,
    wrong_type,
    not_an_ip_address,
    not_a_duration,
    not_a_name,
    unknown_word,
    out_of_bounds,
};

// One error and its location.
struct toml_problem {
    toml_fault fault = toml_fault::malformed;
    // Path of the key, such as `upstreams[2].address`; empty for the text as a whole.
    std::string key;
    // Counted from 1.
    std::size_t line = 1;
    // What was expected or found, for display.
    std::string detail;

    friend auto operator==(toml_problem const&, toml_problem const&) -> bool = default;
};

// A description of `fault`, without its location.
[[nodiscard]] auto describe(toml_fault fault) -> std::string_view;

// The errors and key positions found while reading a text.
struct toml_diagnostics {
    std::vector<toml_problem> problems;
    // The line of each key that was present.
    std::map<std::string, std::size_t, std::less<>> lines;
};

// Why a value can't be converted.
struct toml_mismatch {
    toml_fault fault = toml_fault::wrong_type;
    std::string detail;
};

// One name of a closed set and the value it denotes.
template <typename Value>
struct toml_word {
    std::string_view text;
    Value value;
};

// Parses `text`. On failure, returns only the first syntax error.
[[nodiscard]] auto parse_toml(std::string_view text) -> base::result<toml::table, toml_problem>;

// Convert one value. Return nullopt on success.
[[nodiscard]] auto convert(toml::node const& node, std::string& target)
    -> std::optional<toml_mismatch>;
[[nodiscard]] auto convert(toml::node const& node, bool& target) -> std::optional<toml_mismatch>;
[[nodiscard]] auto convert(toml::node const& node, double& target) -> std::optional<toml_mismatch>;
[[nodiscard]] auto convert(toml::node const& node, std::int64_t& target)
    -> std::optional<toml_mismatch>;
[[nodiscard]] auto convert(toml::node const& node, std::size_t& target)
    -> std::optional<toml_mismatch>;
[[nodiscard]] auto convert(toml::node const& node, base::duration& target)
    -> std::optional<toml_mismatch>;
[[nodiscard]] auto convert(toml::node const& node, base::endpoint& target)
    -> std::optional<toml_mismatch>;
// Accepts strings for which `is_name` is true.
[[nodiscard]] auto convert_name(toml::node const& node, std::string& target)
    -> std::optional<toml_mismatch>;

template <typename Tag>
[[nodiscard]] auto convert(toml::node const& node, base::basic_name<Tag>& target)
    -> std::optional<toml_mismatch> {
    return convert_name(node, target.value);
}

template <typename Tag>
[[nodiscard]] auto convert(toml::node const& node, base::basic_number<Tag>& target)
    -> std::optional<toml_mismatch> {
    auto count = std::size_t{target.value};
    auto mismatch = convert(node, count);
    target.value = count;
    return mismatch;
}

template <typename Tag>
[[nodiscard]] auto convert(toml::node const& node, base::basic_amount<Tag>& target)
    -> std::optional<toml_mismatch> {
    return convert(node, target.value);
}

[[nodiscard]] inline auto convert(toml::node const& node, base::fraction& target)
    -> std::optional<toml_mismatch> {
    return convert(node, target.value);
}

[[nodiscard]] inline auto convert(toml::node const& node, base::token_rate& target)
    -> std::optional<toml_mismatch> {
    return convert(node, target.per_second);
}

// Reads one table. The table and the diagnostics passed to the constructor must outlive the reader.
class toml_reader {
public:
    toml_reader(toml::table const& read_table, std::string prefix, toml_diagnostics& found);

    // Sets `target` if `key` is present and its value can be converted. Returns whether it did.
    template <typename Value>
    auto read(std::string_view key, Value& target) -> bool {
        auto const* const node = this->look_up(key);
        return node != nullptr && this->take(*node, this->path_of(key), target);
    }

    // As `read`, but reports a missing `key`.
    template <typename Value>
    auto require(std::string_view key, Value& target) -> bool {
        this->expect(key);
        return this->read(key, target);
    }

    // As `read`, for a string that must be one of `words`.
    template <typename Value>
    auto read_word(std::string_view key, Value& target,
                   std::type_identity_t<std::span<toml_word<Value> const>> words) -> bool {
        auto text = std::string{};
        if (!this->read(key, text)) {
            return false;
        }
        for (auto const& word : words) {
            if (word.text == text) {
                target = word.value;
                return true;
            }
        }
        this->report(toml_fault::unknown_word, key, text);
        return false;
    }

    // As `read`, for an array of values.
    template <typename Value>
    auto read_list(std::string_view key, std::vector<Value>& target) -> void {
        auto const* const array = this->look_up_array(key);
        if (array == nullptr) {
            return;
        }
        target.clear();
        for (auto index = std::size_t{0}; index < array->size(); ++index) {
            auto value = Value{};
            if (this->take(*array->get(index), this->path_of(key, index), value)) {
                target.push_back(std::move(value));
            }
        }
    }

    // Runs `body` with a reader of the table under `key`, if there is one.
    template <std::invocable<toml_reader&> Body>
    auto read_table(std::string_view key, Body body) -> bool {
        auto const* const node = this->look_up_table(key);
        if (node == nullptr) {
            return false;
        }
        this->enter(*node, this->path_of(key), body);
        return true;
    }

    // Runs `body` with a reader of each table of the array under `key`.
    template <std::invocable<toml_reader&> Body>
    auto read_tables(std::string_view key, Body body) -> void {
        auto const* const array = this->look_up_array(key);
        if (array == nullptr) {
            return;
        }
        for (auto index = std::size_t{0}; index < array->size(); ++index) {
            auto const* const element = array->get(index)->as_table();
            auto element_path = this->path_of(key, index);
            if (element == nullptr) {
                this->add(toml_fault::wrong_type, std::move(element_path), *array->get(index),
                          "expected a table");
                continue;
            }
            this->enter(*element, std::move(element_path), body);
        }
    }

    // Reports `key` as missing if it is.
    auto expect(std::string_view key) -> void;
    // Reports a problem with the value of `key`.
    auto report(toml_fault fault, std::string_view key, std::string detail) -> void;
    // Reports the keys that were not read as unknown. Call last.
    auto finish() -> void;

private:
    [[nodiscard]] auto look_up(std::string_view key) -> toml::node const*;
    [[nodiscard]] auto look_up_array(std::string_view key) -> toml::array const*;
    [[nodiscard]] auto look_up_table(std::string_view key) -> toml::table const*;
    [[nodiscard]] auto path_of(std::string_view key) const -> std::string;
    [[nodiscard]] auto path_of(std::string_view key, std::size_t index) const -> std::string;
    auto add(toml_fault fault, std::string key, toml::node const& node, std::string detail) -> void;

    template <typename Value>
    auto take(toml::node const& node, std::string const& value_path, Value& target) -> bool {
        auto mismatch = convert(node, target);
        if (mismatch) {
            this->add(mismatch->fault, value_path, node, std::move(mismatch->detail));
            return false;
        }
        return true;
    }

    template <typename Body>
    auto enter(toml::table const& inner, std::string inner_path, Body& body) -> void {
        auto reader = toml_reader{inner, std::move(inner_path), *this->findings};
        body(reader);
        reader.finish();
    }

    toml::table const* table;
    std::string path;
    toml_diagnostics* findings;
    std::set<std::string, std::less<>> asked;
};

}  // namespace linnetlane::settings

#endif  // LINNETLANE_SETTINGS_TOML_READER_H_

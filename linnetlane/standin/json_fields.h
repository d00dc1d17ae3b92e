// Lenient access to JSON objects: an absent field, or one of another type, yields `fallback`, or an
// empty string from `text_field`.

#ifndef LINNETLANE_STANDIN_JSON_FIELDS_H_
#define LINNETLANE_STANDIN_JSON_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace linnetlane::standin {

// Parses `text` as a JSON object; an empty text yields an empty object. Returns nothing if `text`
// is not an object.
[[nodiscard]] auto parse_object(std::string_view text) -> std::optional<nlohmann::json>;

[[nodiscard]] auto has_field(nlohmann::json const& object, char const* name) -> bool;

[[nodiscard]] auto text_field(nlohmann::json const& object, char const* name) -> std::string;

// The value of an integer field. Also accepts a string that holds a number: the platform's gateway
// writes 64-bit integers as strings.
[[nodiscard]] auto integer_field(nlohmann::json const& object, char const* name,
                                 std::int64_t fallback = 0) -> std::int64_t;

[[nodiscard]] auto number_field(nlohmann::json const& object, char const* name, double fallback)
    -> double;

[[nodiscard]] auto flag_field(nlohmann::json const& object, char const* name, bool fallback = false)
    -> bool;

// The value under `name`; null if it is absent.
[[nodiscard]] auto nested_field(nlohmann::json const& object, char const* name) -> nlohmann::json;

// The JSON text of `value`, with invalid UTF-8 replaced.
[[nodiscard]] auto to_text(nlohmann::json const& value) -> std::string;

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_JSON_FIELDS_H_

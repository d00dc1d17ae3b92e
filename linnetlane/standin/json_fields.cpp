#include "linnetlane/standin/json_fields.h"

#include <charconv>

namespace linnetlane::standin {

auto parse_object(std::string_view text) -> std::optional<nlohmann::json> {
    if (text.empty()) {
        return nlohmann::json::object();
    }
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

auto has_field(nlohmann::json const& object, char const* name) -> bool {
    return object.is_object() && object.contains(name);
}

auto text_field(nlohmann::json const& object, char const* name) -> std::string {
    if (!has_field(object, name) || !object[name].is_string()) {
        return {};
    }
    return object[name].get<std::string>();
}

auto integer_field(nlohmann::json const& object, char const* name, std::int64_t fallback)
    -> std::int64_t {
    if (!has_field(object, name)) {
        return fallback;
    }
    auto const& value = object[name];
    if (value.is_number()) {
        return value.get<std::int64_t>();
    }
    if (!value.is_string()) {
        return fallback;
    }
    auto const& text = value.get_ref<std::string const&>();
    auto number = fallback;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} ? number : fallback;
}

auto number_field(nlohmann::json const& object, char const* name, double fallback) -> double {
    if (!has_field(object, name) || !object[name].is_number()) {
        return fallback;
    }
    return object[name].get<double>();
}

auto flag_field(nlohmann::json const& object, char const* name, bool fallback) -> bool {
    if (!has_field(object, name) || !object[name].is_boolean()) {
        return fallback;
    }
    return object[name].get<bool>();
}

auto nested_field(nlohmann::json const& object, char const* name) -> nlohmann::json {
    if (!has_field(object, name)) {
        return nullptr;
    }
    return object[name];
}

auto to_text(nlohmann::json const& value) -> std::string {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace linnetlane::standin

#include "linnetlane/document/stored_value.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

namespace linnetlane::document {

auto current_key(base::service_id const& service) -> std::string {
    return fmt::format("{}{}", current_prefix, service.value);
}

auto history_key(base::service_id const& service, base::generation generation) -> std::string {
    // Padded, so that keys sort by generation.
    return fmt::format("{}{}/{:020}", history_prefix, service.value, generation.value);
}

auto history_prefix_of(base::service_id const& service) -> std::string {
    return fmt::format("{}{}/", history_prefix, service.value);
}

auto service_of_key(std::string_view key) -> std::optional<base::service_id> {
    if (!key.starts_with(current_prefix)) {
        return std::nullopt;
    }
    auto const name = key.substr(current_prefix.size());
    if (name.empty() || name.find('/') != std::string_view::npos) {
        return std::nullopt;
    }
    return base::service_id{std::string{name}};
}

auto to_value(version const& stored) -> std::string {
    auto const value = nlohmann::json{{"generation", stored.generation.value},
                                      {"write", stored.write_id},
                                      {"removed", stored.removed},
                                      {"text", stored.text}};
    // Text that isn't UTF-8 can't be stored unchanged. Validation has refused it before.
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto parse_value(base::service_id const& service, std::string_view value)
    -> std::optional<version> {
    auto const parsed = nlohmann::json::parse(value, nullptr, false);
    auto const has = [&](char const* name, auto is_kind) {
        return parsed.contains(name) && (parsed[name].*is_kind)();
    };
    using json = nlohmann::json;
    auto const shaped = parsed.is_object() && has("generation", &json::is_number_unsigned) &&
                        has("write", &json::is_string) && has("removed", &json::is_boolean) &&
                        has("text", &json::is_string);
    if (!shaped) {
        return std::nullopt;
    }
    auto stored = version{service, base::generation{parsed["generation"].get<std::uint64_t>()},
                          parsed["write"].get<std::string>(), parsed["removed"].get<bool>(),
                          parsed["text"].get<std::string>()};
    if (stored.generation == base::generation{}) {
        return std::nullopt;
    }
    return stored;
}

auto history_writes(version const& stored) -> std::vector<coordination::extra_write> {
    auto writes = std::vector<coordination::extra_write>{};
    writes.push_back({history_key(stored.service, stored.generation), to_value(stored)});
    if (stored.generation.value > history_length) {
        auto const oldest = base::generation{stored.generation.value - history_length};
        writes.push_back({history_key(stored.service, oldest), std::nullopt});
    }
    return writes;
}

}  // namespace linnetlane::document

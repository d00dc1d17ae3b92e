#include "linnetlane/telemetry/log.h"

#include <string>
#include <utility>

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <nlohmann/json.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/settings/text_values.h"

namespace linnetlane::telemetry {

namespace {

auto to_spdlog(log_level level) -> spdlog::level::level_enum {
    switch (level) {
        case log_level::debug:
            return spdlog::level::debug;
        case log_level::info:
            return spdlog::level::info;
        case log_level::warning:
            return spdlog::level::warn;
        case log_level::error:
            break;
    }
    return spdlog::level::err;
}

auto to_json(field::value_type const& value) -> nlohmann::json {
    return std::visit(base::overloaded{[](base::request_id const& id) -> nlohmann::json {
                                           return base::to_string(id);
                                       },
                                       [](base::endpoint const* address) -> nlohmann::json {
                                           return settings::format_endpoint(*address);
                                       },
                                       [](auto plain) -> nlohmann::json { return plain; }},
                      value);
}

auto dump(nlohmann::json const& value) -> std::string {
    return value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

// Returns the members of a JSON object, without its braces.
auto json_members(literal event, std::initializer_list<field> fields) -> std::string {
    auto text = fmt::format("\"event\":{}", dump(event.text));
    for (auto const& one : fields) {
        text += fmt::format(",{}:{}", dump(one.name().text), dump(to_json(one.value())));
    }
    return text;
}

auto plain_text(literal event, std::initializer_list<field> fields) -> std::string {
    auto text = std::string{event.text};
    for (auto const& one : fields) {
        auto const value = to_json(one.value());
        // Names are written unquoted for readability; any other value is quoted and escaped.
        auto const unquoted = value.is_string() && settings::is_name(value.get<std::string>());
        text += fmt::format(" {}={}", one.name().text,
                            unquoted ? value.get<std::string>() : dump(value));
    }
    return text;
}

// Doubles each `%`, which spdlog's patterns would read as the start of a flag.
auto escape_pattern(std::string text) -> std::string {
    for (auto position = text.find('%'); position != std::string::npos;
         position = text.find('%', position + 2)) {
        text.insert(position, 1, '%');
    }
    return text;
}

auto pattern_for(settings::log_format format, origin const& source) -> std::string {
    auto const host = escape_pattern(dump(source.host.value));
    auto const data_centre = escape_pattern(dump(source.data_centre.value));
    if (format == settings::log_format::json) {
        return fmt::format(
            R"({{"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","host":{},"data_centre":{},%v}})",
            host, data_centre);
    }
    return fmt::format("%Y-%m-%dT%H:%M:%S.%fZ %l host={} data_centre={} %v", host, data_centre);
}

}  // namespace

event_log::event_log(settings::log_settings const& chosen, origin const& source)
    : event_log{chosen, source, std::make_shared<spdlog::sinks::stderr_sink_mt>()} {}

event_log::event_log(settings::log_settings const& chosen, origin const& source,
                     std::shared_ptr<spdlog::sinks::sink> sink)
    : format{chosen.format}, logger{std::make_shared<spdlog::logger>("events", std::move(sink))} {
    this->logger->set_pattern(pattern_for(chosen.format, source), spdlog::pattern_time_type::utc);
    this->logger->set_level(to_spdlog(chosen.level));
    this->logger->flush_on(spdlog::level::debug);
}

auto event_log::write(log_level level, literal event, std::initializer_list<field> fields) const
    -> void {
    if (!this->writes(level)) {
        return;
    }
    auto const text = this->format == settings::log_format::json ? json_members(event, fields)
                                                                 : plain_text(event, fields);
    this->logger->log(to_spdlog(level), spdlog::string_view_t{text});
}

auto event_log::writes(log_level level) const -> bool {
    return this->logger->should_log(to_spdlog(level));
}

}  // namespace linnetlane::telemetry

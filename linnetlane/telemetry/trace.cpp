#include "linnetlane/telemetry/trace.h"

#include <charconv>
#include <chrono>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/settings/text_values.h"

namespace linnetlane::telemetry {

namespace {

// Offsets and lengths in `00-<32 digits>-<16 digits>-<2 digits>`.
constexpr auto trace_offset = std::size_t{3};
constexpr auto trace_digits = std::size_t{32};
constexpr auto parent_offset = std::size_t{36};
constexpr auto parent_digits = std::size_t{16};
constexpr auto flags_offset = std::size_t{53};
constexpr auto flags_digits = std::size_t{2};
constexpr auto header_size = std::size_t{55};
constexpr auto sampled_flag = std::uint64_t{1};
constexpr auto hexadecimal = 16;

auto is_lower_hexadecimal(std::string_view text) -> bool {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto parse_hexadecimal(std::string_view text) -> std::optional<std::uint64_t> {
    auto number = std::uint64_t{0};
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number, hexadecimal);
    if (!is_lower_hexadecimal(text) || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

// Later versions of the header may have more parts after the flags.
auto is_well_formed(std::string_view header) -> bool {
    auto const version = header.substr(0, trace_offset - 1);
    auto const fits = version == "00"
                          ? header.size() == header_size
                          : header.size() == header_size ||
                                (header.size() > header_size && header[header_size] == '-');
    return fits && version != "ff" && is_lower_hexadecimal(version) &&
           header[trace_offset - 1] == '-' && header[parent_offset - 1] == '-' &&
           header[flags_offset - 1] == '-';
}

auto to_attribute_value(field::value_type const& value) -> decltype(span_attribute::value) {
    using result = decltype(span_attribute::value);
    return std::visit(
        base::overloaded{
            [](std::string_view text) -> result { return std::string{text}; },
            [](std::uint64_t number) -> result { return static_cast<std::int64_t>(number); },
            [](base::request_id const& id) -> result { return base::to_string(id); },
            [](base::endpoint const* address) -> result {
                return settings::format_endpoint(*address);
            },
            [](auto plain) -> result { return plain; }},
        value);
}

// OTLP writes 64-bit integers as strings.
auto value_json(std::string_view key, nlohmann::json value) -> nlohmann::json {
    auto const* type = "stringValue";
    if (value.is_boolean()) {
        type = "boolValue";
    } else if (value.is_number_float()) {
        type = "doubleValue";
    } else if (value.is_number_integer()) {
        type = "intValue";
        value = std::to_string(value.get<std::int64_t>());
    }
    return {{"key", key}, {"value", {{type, std::move(value)}}}};
}

auto attributes_json(std::vector<span_attribute> const& attributes) -> nlohmann::json {
    auto list = nlohmann::json::array();
    for (auto const& one : attributes) {
        auto value = std::visit([](auto const& plain) { return nlohmann::json(plain); }, one.value);
        list.push_back(value_json(one.name.text, std::move(value)));
    }
    return list;
}

auto resource_json(origin const& source) -> nlohmann::json {
    return {{"attributes",
             {value_json("service.name", "linnetlaned"), value_json("host.name", source.host.value),
              value_json("cloud.availability_zone", source.data_centre.value)}}};
}

auto unix_nanoseconds(base::time_point when, std::int64_t epoch_offset) -> std::string {
    auto const since_epoch =
        std::chrono::duration_cast<std::chrono::nanoseconds>(when.time_since_epoch());
    return std::to_string(since_epoch.count() + epoch_offset);
}

// Returns the nanoseconds to add to a monotonic time to get Unix time.
auto current_epoch_offset() -> std::int64_t {
    auto const wall = std::chrono::system_clock::now().time_since_epoch();
    auto const monotonic = base::monotonic_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wall - monotonic).count();
}

auto make_sink(settings::trace_settings const& chosen) -> std::shared_ptr<spdlog::sinks::sink> {
    switch (chosen.output) {
        case settings::trace_output::standard_error:
            return std::make_shared<spdlog::sinks::stderr_sink_mt>();
        case settings::trace_output::file:
            return std::make_shared<spdlog::sinks::basic_file_sink_mt>(chosen.file);
        case settings::trace_output::off:
            break;
    }
    return nullptr;
}

}  // namespace

auto parse_traceparent(std::string_view header) -> std::optional<trace_context> {
    if (header.size() < header_size || !is_well_formed(header)) {
        return std::nullopt;
    }
    auto const trace_text = header.substr(trace_offset, trace_digits);
    auto const trace = base::parse_request_id(trace_text);
    auto const parent = parse_hexadecimal(header.substr(parent_offset, parent_digits));
    auto const flags = parse_hexadecimal(header.substr(flags_offset, flags_digits));
    if (!is_lower_hexadecimal(trace_text) || !trace || !parent || !flags) {
        return std::nullopt;
    }
    if (*trace == base::request_id{} || *parent == 0) {
        return std::nullopt;
    }
    return trace_context{*trace, span_id{*parent}, (*flags & sampled_flag) != 0};
}

auto format_traceparent(trace_context const& context) -> std::string {
    return fmt::format("00-{}-{:016x}-{:02x}", base::to_string(context.trace), context.parent.value,
                       context.sampled ? sampled_flag : 0);
}

auto span::add(field const& attribute) -> void {
    if (this->active) {
        this->attributes.push_back({attribute.name(), to_attribute_value(attribute.value())});
    }
}

auto span::child_context() const -> trace_context {
    return {this->context.trace, this->active ? this->id : this->context.parent,
            this->context.sampled};
}

tracer::tracer(settings::trace_settings const& chosen, origin const& own_source)
    : tracer{own_source, make_sink(chosen)} {}

tracer::tracer(origin const& own_source, std::shared_ptr<spdlog::sinks::sink> sink)
    : source{own_source}, epoch_offset{current_epoch_offset()}, seed{std::random_device{}()} {
    if (sink != nullptr) {
        this->logger = std::make_shared<spdlog::logger>("spans", std::move(sink));
        this->logger->set_pattern("%v");
        this->logger->flush_on(spdlog::level::info);
    }
}

auto tracer::start(trace_context const& context, literal name, span_kind kind, base::time_point now)
    -> span {
    auto const active = this->enabled() && context.sampled;
    return {context, active ? this->next_id() : span_id{}, name, kind, now, active, {}};
}

auto tracer::finish(span&& ended, span_status status, base::time_point now) -> void {
    auto const done = std::move(ended);
    if (!done.active) {
        return;
    }
    auto line = nlohmann::json{
        {"traceId", base::to_string(done.context.trace)},
        {"spanId", fmt::format("{:016x}", done.id.value)},
        {"name", done.name.text},
        {"kind", static_cast<int>(done.kind)},
        {"startTimeUnixNano", unix_nanoseconds(done.start, this->epoch_offset)},
        {"endTimeUnixNano", unix_nanoseconds(now, this->epoch_offset)},
        {"attributes", attributes_json(done.attributes)},
        {"status", {{"code", static_cast<int>(status)}}},
    };
    if (done.context.parent != span_id{}) {
        line["parentSpanId"] = fmt::format("{:016x}", done.context.parent.value);
    }
    auto const scope = nlohmann::json{{"scope", {{"name", "linnetlane"}}},
                                      {"spans", nlohmann::json::array({std::move(line)})}};
    auto const resource = nlohmann::json{{"resource", resource_json(this->source)},
                                         {"scopeSpans", nlohmann::json::array({scope})}};
    auto const request = nlohmann::json{{"resourceSpans", nlohmann::json::array({resource})}};
    auto const text = request.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    this->logger->info(spdlog::string_view_t{text});
}

auto tracer::next_id() -> span_id {
    auto const number = this->span_count.fetch_add(1, std::memory_order_relaxed);
    auto const hash = XXH3_64bits_withSeed(&number, sizeof number, this->seed);
    return span_id{hash == 0 ? 1 : hash};
}

}  // namespace linnetlane::telemetry

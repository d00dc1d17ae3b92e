// Spans of a request's hops, exported as lines of OTLP's JSON shape.
//
//   auto const context = parse_traceparent(header).value_or(trace_context{request});
//   auto span = traces.start(context, "admission", span_kind::internal, now);
//   span.add(upstream);
//   traces.finish(std::move(span), span_status::ok, later);
//
// Nothing is kept or written when the output is off or the context isn't sampled.

#ifndef LINNETLANE_TELEMETRY_TRACE_H_
#define LINNETLANE_TELEMETRY_TRACE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <spdlog/fwd.h>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/settings/settings.h"
#include "linnetlane/telemetry/field.h"
#include "linnetlane/telemetry/literal.h"
#include "linnetlane/telemetry/log.h"

namespace linnetlane::telemetry {

// Names a span in its trace; 0 names none.
using span_id = base::basic_number<struct span_tag>;

// What a hop passes on to the next one.
struct trace_context {
    base::request_id trace;
    span_id parent;
    bool sampled = true;

    friend auto operator==(trace_context const&, trace_context const&) -> bool = default;
};

// Reads a W3C `traceparent` header; nothing if it is malformed or all zero.
[[nodiscard]] auto parse_traceparent(std::string_view header) -> std::optional<trace_context>;

// Writes a W3C `traceparent` header of version 00.
[[nodiscard]] auto format_traceparent(trace_context const& context) -> std::string;

// OTLP's numbers.
enum class span_kind { internal = 1, server = 2, client = 3 };
enum class span_status { unset = 0, ok = 1, error = 2 };

// One attribute as it is exported.
struct span_attribute {
    literal name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

// One hop. Inactive when nothing will be exported: `add` then does nothing.
struct span {
    trace_context context;
    span_id id;
    literal name;
    span_kind kind = span_kind::internal;
    base::time_point start;
    bool active = false;
    std::vector<span_attribute> attributes;

    auto add(field const& attribute) -> void;
    // What the hops within this one get as their context.
    [[nodiscard]] auto child_context() const -> trace_context;
};

// Starts and exports spans. Thread-safe.
class tracer {
public:
    tracer(settings::trace_settings const& chosen, origin const& writer);
    // Writes to `sink`.
    tracer(origin const& writer, std::shared_ptr<spdlog::sinks::sink> sink);

    [[nodiscard]] auto enabled() const -> bool { return this->lines != nullptr; }
    [[nodiscard]] auto start(trace_context const& context, literal name, span_kind kind,
                             base::time_point now) -> span;
    auto finish(span&& ended, span_status status, base::time_point now) -> void;

private:
    [[nodiscard]] auto next_id() -> span_id;

    origin source;
    // Null when the output is off.
    std::shared_ptr<spdlog::logger> lines;
    // Nanoseconds from the monotonic clock's start to 1970.
    std::int64_t epoch_offset = 0;
    std::uint64_t seed = 0;
    std::atomic<std::uint64_t> count = 0;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_TRACE_H_

// Tracing of requests: one span per hop, exported as lines of OTLP JSON.
//
//   auto const context = parse_traceparent(header).value_or(trace_context{request});
//   auto span = traces.start(context, "admission", span_kind::internal, now);
//   span.add(upstream);
//   traces.finish(std::move(span), span_status::ok, later);
//
// Nothing is recorded or written when the output is off or the context isn't sampled.

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

// Identifies a span in its trace; 0 stands for no span.
using span_id = base::basic_number<struct span_tag>;

// The trace context that a hop propagates to the next one.
struct trace_context {
    base::request_id trace;
    span_id parent;
    bool sampled = true;

    friend auto operator==(trace_context const&, trace_context const&) -> bool = default;
};

// Parses a W3C `traceparent` header. Returns nullopt if it is malformed or one of its ids is zero.
[[nodiscard]] auto parse_traceparent(std::string_view header) -> std::optional<trace_context>;

// Formats a W3C `traceparent` header of version 00.
[[nodiscard]] auto format_traceparent(trace_context const& context) -> std::string;

// The enumerators have OTLP's values.
enum class span_kind { internal = 1, server = 2, client = 3 };
enum class span_status { unset = 0, ok = 1, error = 2 };

// An attribute of an exported span.
struct span_attribute {
    literal name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

// The span of one hop. While it is not `active` it won't be exported, and `add` does nothing.
struct span {
    trace_context context;
    span_id id;
    literal name;
    span_kind kind = span_kind::internal;
    base::time_point start;
    bool active = false;
    std::vector<span_attribute> attributes;

    auto add(field const& attribute) -> void;
    // Returns the context to propagate to child spans.
    [[nodiscard]] auto child_context() const -> trace_context;
};

// Starts and exports spans. Thread-safe.
class tracer {
public:
    tracer(settings::trace_settings const& chosen, origin const& source);
    // Writes to `sink`.
    tracer(origin const& source, std::shared_ptr<spdlog::sinks::sink> sink);

    [[nodiscard]] auto enabled() const -> bool { return this->logger != nullptr; }
    [[nodiscard]] auto start(trace_context const& context, literal name, span_kind kind,
                             base::time_point now) -> span;
    auto finish(span&& ended, span_status status, base::time_point now) -> void;

private:
    [[nodiscard]] auto next_id() -> span_id;

    origin source;
    // Null when the output is off.
    std::shared_ptr<spdlog::logger> logger;
    // Unix time minus the monotonic clock's time, in nanoseconds.
    std::int64_t epoch_offset = 0;
    std::uint64_t seed = 0;
    std::atomic<std::uint64_t> span_count = 0;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_TRACE_H_

// Text that is fixed at compile time.

#ifndef LINNETLANE_TELEMETRY_LITERAL_H_
#define LINNETLANE_TELEMETRY_LITERAL_H_

#include <string_view>

namespace linnetlane::telemetry {

// Constructible from a string literal only, so that no run-time value, such as a prompt or a key,
// can get into a log line or a span.
struct literal {
    // NOLINTNEXTLINE: implicit, so that calls read `log.write(level, "request refused", ...)`.
    consteval literal(char const* fixed) : text{fixed} {}

    std::string_view text;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_LITERAL_H_

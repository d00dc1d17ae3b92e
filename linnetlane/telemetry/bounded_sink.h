// A log sink that writes to a file descriptor, never blocks its writers and bounds the rate of
// lines.

#ifndef LINNETLANE_TELEMETRY_BOUNDED_SINK_H_
#define LINNETLANE_TELEMETRY_BOUNDED_SINK_H_

#include <cstddef>
#include <cstdint>
#include <mutex>

#include <spdlog/sinks/base_sink.h>

#include "linnetlane/base/time.h"

namespace linnetlane::telemetry {

struct sink_bounds {
    // Maximum rate of lines; a burst of one second's worth is written.
    std::size_t lines_per_second = 400;
};

// Drops a line when the descriptor is not writable or the rate is exceeded, and reports the number
// of dropped lines before the next line that it writes. Thread-safe.
class bounded_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    bounded_sink(int output_descriptor, sink_bounds line_bounds);

    // Returns the number of lines dropped since construction.
    [[nodiscard]] auto dropped() -> std::uint64_t;

protected:
    auto sink_it_(spdlog::details::log_msg const& message) -> void override;
    auto flush_() -> void override {}

private:
    // Takes one line from the token bucket; returns false if it is empty.
    [[nodiscard]] auto take_line(base::time_point now) -> bool;
    [[nodiscard]] auto writable() const -> bool;
    auto report_dropped() -> void;

    int descriptor;
    sink_bounds bounds;
    double available_lines;
    base::time_point refilled_at;
    std::uint64_t dropped_total = 0;
    std::uint64_t dropped_unreported = 0;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_BOUNDED_SINK_H_

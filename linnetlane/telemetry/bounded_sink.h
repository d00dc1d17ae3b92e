// A log sink on a file descriptor that never blocks its writers and bounds their volume.

#ifndef LINNETLANE_TELEMETRY_BOUNDED_SINK_H_
#define LINNETLANE_TELEMETRY_BOUNDED_SINK_H_

#include <cstddef>
#include <cstdint>
#include <mutex>

#include <spdlog/sinks/base_sink.h>

#include "linnetlane/base/time.h"

namespace linnetlane::telemetry {

struct sink_bounds {
    // Lines for each second; a burst of a second's worth is let through.
    std::size_t lines_per_second = 400;
};

// Drops a line when the reader is behind or the volume is over its bound, and says how many were
// dropped before the next line that gets through. Thread-safe.
class bounded_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    bounded_sink(int own_descriptor, sink_bounds own_bounds);

    // Lines dropped since the start.
    [[nodiscard]] auto dropped() -> std::uint64_t;

protected:
    auto sink_it_(spdlog::details::log_msg const& message) -> void override;
    auto flush_() -> void override {}

private:
    [[nodiscard]] auto has_room(base::time_point now) -> bool;
    [[nodiscard]] auto writable() const -> bool;
    auto report_dropped() -> void;

    int descriptor;
    sink_bounds bounds;
    double room;
    base::time_point room_as_of;
    std::uint64_t dropped_total = 0;
    std::uint64_t dropped_unreported = 0;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_BOUNDED_SINK_H_

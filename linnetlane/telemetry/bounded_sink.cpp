#include "linnetlane/telemetry/bounded_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include <fmt/format.h>

namespace linnetlane::telemetry {

namespace {

// A write of this size to a pipe that polls as writable doesn't block.
constexpr auto max_line_bytes = std::size_t{4096};

}  // namespace

bounded_sink::bounded_sink(int output_descriptor, sink_bounds line_bounds)
    : descriptor{output_descriptor},
      bounds{line_bounds},
      available_lines{static_cast<double>(line_bounds.lines_per_second)},
      refilled_at{base::monotonic_clock::now()} {}

auto bounded_sink::dropped() -> std::uint64_t {
    auto const lock = std::lock_guard{this->mutex_};
    return this->dropped_total;
}

auto bounded_sink::sink_it_(spdlog::details::log_msg const& message) -> void {
    if (!this->take_line(base::monotonic_clock::now()) || !this->writable()) {
        ++this->dropped_total;
        ++this->dropped_unreported;
        return;
    }
    this->report_dropped();
    auto line = spdlog::memory_buf_t{};
    this->formatter_->format(message, line);
    auto const size = std::min(line.size(), max_line_bytes);
    if (::write(this->descriptor, line.data(), size) < 0) {
        // The failure can't be logged anywhere else, so the line is only counted as dropped.
        ++this->dropped_total;
        ++this->dropped_unreported;
    }
}

auto bounded_sink::take_line(base::time_point now) -> bool {
    auto const capacity = static_cast<double>(this->bounds.lines_per_second);
    this->available_lines = std::min(
        capacity, this->available_lines + capacity * base::to_seconds(now - this->refilled_at));
    this->refilled_at = now;
    if (this->available_lines < 1) {
        return false;
    }
    this->available_lines -= 1;
    return true;
}

auto bounded_sink::writable() const -> bool {
    auto watched = pollfd{this->descriptor, POLLOUT, 0};
    return ::poll(&watched, 1, 0) > 0 && (watched.revents & POLLOUT) != 0;
}

auto bounded_sink::report_dropped() -> void {
    if (this->dropped_unreported == 0) {
        return;
    }
    auto const line =
        fmt::format("{{\"event\":\"log lines dropped\",\"lines\":{}}}\n", this->dropped_unreported);
    if (::write(this->descriptor, line.data(), line.size()) > 0) {
        this->dropped_unreported = 0;
    }
}

}  // namespace linnetlane::telemetry

#include "linnetlane/telemetry/bounded_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include <fmt/format.h>

namespace linnetlane::telemetry {

namespace {

// A pipe that polls as writable takes this much without blocking.
constexpr auto longest_line = std::size_t{4096};

}  // namespace

bounded_sink::bounded_sink(int own_descriptor, sink_bounds own_bounds)
    : descriptor{own_descriptor},
      bounds{own_bounds},
      room{static_cast<double>(own_bounds.lines_per_second)},
      room_as_of{base::monotonic_clock::now()} {}

auto bounded_sink::dropped() -> std::uint64_t {
    auto const lock = std::lock_guard{this->mutex_};
    return this->dropped_total;
}

auto bounded_sink::sink_it_(spdlog::details::log_msg const& message) -> void {
    if (!this->has_room(base::monotonic_clock::now()) || !this->writable()) {
        ++this->dropped_total;
        ++this->dropped_unreported;
        return;
    }
    this->report_dropped();
    auto line = spdlog::memory_buf_t{};
    this->formatter_->format(message, line);
    auto const size = std::min(line.size(), longest_line);
    if (::write(this->descriptor, line.data(), size) < 0) {
        // There is nowhere else to log this; the line is counted.
        ++this->dropped_total;
        ++this->dropped_unreported;
    }
}

auto bounded_sink::has_room(base::time_point now) -> bool {
    auto const most = static_cast<double>(this->bounds.lines_per_second);
    this->room = std::min(most, this->room + most * base::to_seconds(now - this->room_as_of));
    this->room_as_of = now;
    if (this->room < 1) {
        return false;
    }
    this->room -= 1;
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

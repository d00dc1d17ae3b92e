#include "linnetlane/router/event_framing.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace linnetlane::router {

namespace {

// Returns the number if `text` is one and nothing else.
auto read_number(std::string_view text) -> std::optional<std::uint64_t> {
    auto number = std::uint64_t{0};
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{number} : std::nullopt;
}

}  // namespace

auto event_framing::take(std::string_view bytes) -> std::vector<framed_event> {
    this->pending += bytes;
    auto complete = std::vector<framed_event>{};
    this->read_lines(false, complete);
    return complete;
}

auto event_framing::take_end() -> std::vector<framed_event> {
    auto complete = std::vector<framed_event>{};
    this->read_lines(true, complete);
    auto const only_comments = !this->has_fields && this->line_begin == this->pending.size();
    if (only_comments && !this->pending.empty()) {
        complete.push_back(this->complete_event(this->pending));
        this->discard_incomplete();
    }
    return complete;
}

auto event_framing::discard_incomplete() -> void {
    *this = event_framing{};
}

auto event_framing::read_lines(bool at_end, std::vector<framed_event>& complete) -> void {
    auto event_begin = std::size_t{0};
    for (;;) {
        auto const end = this->pending.find_first_of("\r\n", this->searched);
        this->searched = std::min(end, this->pending.size());
        if (end == std::string::npos) {
            break;
        }
        auto next = end + 1;
        if (this->pending[end] == '\r') {
            // An LF that follows belongs to the same line end.
            if (next == this->pending.size() && !at_end) {
                break;
            }
            next += this->pending.compare(next, 1, "\n") == 0 ? 1 : 0;
        }
        auto const line =
            std::string_view{this->pending}.substr(this->line_begin, end - this->line_begin);
        this->line_begin = next;
        this->searched = next;
        if (!line.empty()) {
            this->read_line(line);
            continue;
        }
        complete.push_back(
            this->complete_event(this->pending.substr(event_begin, next - event_begin)));
        event_begin = next;
    }
    this->pending.erase(0, event_begin);
    this->line_begin -= event_begin;
    this->searched -= event_begin;
}

auto event_framing::read_line(std::string_view line) -> void {
    auto const name = line.substr(0, line.find(':'));
    if (name.empty()) {
        return;
    }
    this->has_fields = true;
    this->has_data = this->has_data || name == "data";
    if (name == "id") {
        auto value = line.substr(std::min(line.size(), name.size() + 1));
        value.remove_prefix(value.starts_with(' ') ? 1 : 0);
        this->id = read_number(value);
    }
}

auto event_framing::complete_event(std::string bytes) -> framed_event {
    this->has_fields = false;
    return framed_event{std::move(bytes), std::exchange(this->id, std::nullopt),
                        std::exchange(this->has_data, false)};
}

}  // namespace linnetlane::router

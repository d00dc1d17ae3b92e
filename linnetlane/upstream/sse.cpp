#include "linnetlane/upstream/sse.h"

#include <utility>

namespace linnetlane::upstream {

namespace {

constexpr auto byte_order_mark = std::string_view{"\xEF\xBB\xBF"};
constexpr auto data_field = std::string_view{"data"};

// Returns the value of a line with the field `name`, without its one leading space.
auto field_value(std::string_view line, std::string_view name) -> std::string_view {
    auto value = line.substr(name.size());
    if (value.starts_with(':')) {
        value.remove_prefix(1);
    }
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

auto is_field(std::string_view line, std::string_view name) -> bool {
    return line == name || (line.starts_with(name) && line.substr(name.size()).starts_with(':'));
}

}  // namespace

auto sse_parser::feed(std::string_view bytes) -> base::result<std::vector<sse_event>, sse_failure> {
    if (this->failed) {
        return sse_failure::event_too_large;
    }
    for (auto const byte : bytes) {
        auto const ends_line = byte == '\n' || byte == '\r';
        auto const second_of_pair = byte == '\n' && this->after_carriage_return;
        this->after_carriage_return = byte == '\r';
        if (second_of_pair) {
            continue;
        }
        if (ends_line) {
            this->process_line();
        } else {
            this->line.push_back(byte);
        }
        if (this->line.size() + this->data.size() > max_event_bytes) {
            this->failed = true;
            return sse_failure::event_too_large;
        }
    }
    return std::exchange(this->complete, {});
}

auto sse_parser::process_line() -> void {
    auto text = std::string_view{this->line};
    if (std::exchange(this->at_start, false) && text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    if (text.empty()) {
        if (std::exchange(this->has_data, false)) {
            this->complete.push_back(sse_event{std::exchange(this->data, {})});
        }
    } else if (is_field(text, data_field)) {
        if (std::exchange(this->has_data, true)) {
            this->data.push_back('\n');
        }
        this->data.append(field_value(text, data_field));
    }
    this->line.clear();
}

}  // namespace linnetlane::upstream

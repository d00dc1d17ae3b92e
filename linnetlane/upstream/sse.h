// An incremental parser for server-sent events.
//
//   auto parser = sse_parser{};
//   auto const events = parser.feed(bytes);   // any split of the stream gives the same events

#ifndef LINNETLANE_UPSTREAM_SSE_H_
#define LINNETLANE_UPSTREAM_SSE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/result.h"

namespace linnetlane::upstream {

// The `data` fields of one event, joined by line feeds. Other fields are ignored.
struct sse_event {
    std::string data;

    friend auto operator==(sse_event const&, sse_event const&) -> bool = default;
};

// Why a stream could not be parsed.
enum class sse_failure { event_too_large };

// Thread-compatible.
class sse_parser {
public:
    // The maximum number of bytes of an event, including the line that is being read.
    static constexpr auto max_event_bytes = std::size_t{1024} * 1024;

    // Takes the next bytes and returns the events that they complete. After a failure every call
    // returns that failure.
    [[nodiscard]] auto feed(std::string_view bytes)
        -> base::result<std::vector<sse_event>, sse_failure>;
    // The bytes of memory that the event which isn't complete yet uses.
    [[nodiscard]] auto held_bytes() const -> std::size_t {
        return this->line.capacity() + this->data.capacity();
    }

private:
    auto process_line() -> void;

    std::string line;
    std::string data;
    bool has_data = false;
    // Whether the last byte was a carriage return: a line feed that follows is part of the same
    // line end.
    bool after_carriage_return = false;
    bool at_start = true;
    bool failed = false;
    std::vector<sse_event> complete;
};

}  // namespace linnetlane::upstream

#endif  // LINNETLANE_UPSTREAM_SSE_H_

// Splits a stream of server-sent events at event boundaries, so that another upstream can resume an
// interrupted stream without losing or repeating data.

#ifndef LINNETLANE_ROUTER_EVENT_FRAMING_H_
#define LINNETLANE_ROUTER_EVENT_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace linnetlane::router {

// A complete event, or comments and blank lines between events.
struct framed_event {
    // As received, with the blank line at its end.
    std::string bytes;
    // The number in its last `id` field, if that holds nothing but a number.
    std::optional<std::uint64_t> id;
    // It has a `data` field. Clients ignore events without one.
    bool has_data = false;
};

// Buffers the incomplete event at the end of a stream. Lines end with LF, CR LF or CR.
class event_framing {
public:
    static constexpr auto max_event_bytes = std::size_t{1} * 1024 * 1024;

    // Adds received bytes and returns the events that are now complete.
    [[nodiscard]] auto take(std::string_view bytes) -> std::vector<framed_event>;
    // Returns what is complete only because the stream ends here.
    [[nodiscard]] auto take_end() -> std::vector<framed_event>;
    // Returns the bytes of the incomplete event.
    [[nodiscard]] auto incomplete() const -> std::string const& { return this->pending; }
    // Returns whether the incomplete event is longer than any that an upstream sends.
    [[nodiscard]] auto is_oversized() const -> bool {
        return this->pending.size() > max_event_bytes;
    }
    // Drops the incomplete event, after its upstream was lost.
    auto discard_incomplete() -> void;

private:
    // Reads the lines of `pending` that have ended, and moves complete events to `complete`.
    auto read_lines(bool at_end, std::vector<framed_event>& complete) -> void;
    auto read_line(std::string_view line) -> void;
    // Returns the event of the lines read, which are `bytes`.
    auto complete_event(std::string bytes) -> framed_event;

    std::string pending;
    // Where the first line of `pending` begins that hasn't ended, and up to where it was searched
    // for its end.
    std::size_t line_begin = 0;
    std::size_t searched = 0;
    // Of the lines read: whether they hold a field, and what `framed_event` states.
    bool has_fields = false;
    bool has_data = false;
    std::optional<std::uint64_t> id;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_EVENT_FRAMING_H_

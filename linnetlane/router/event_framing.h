// Splits a stream of server-sent events at event boundaries, so that another upstream can resume an
// interrupted stream without losing or repeating data.

#ifndef LINNETLANE_ROUTER_EVENT_FRAMING_H_
#define LINNETLANE_ROUTER_EVENT_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace linnetlane::router {

// Buffers the incomplete event at the end of a stream.
class event_framing {
public:
    static constexpr auto max_event_bytes = std::size_t{1} * 1024 * 1024;

    // Adds received bytes and returns the events that are now complete, unchanged.
    [[nodiscard]] auto take(std::string_view bytes) -> std::string;
    // Returns the bytes of the incomplete event.
    [[nodiscard]] auto incomplete() const -> std::string const& { return this->pending; }
    // Returns whether the incomplete event is longer than any that an upstream sends.
    [[nodiscard]] auto is_oversized() const -> bool {
        return this->pending.size() > max_event_bytes;
    }
    // Drops the incomplete event, after its upstream was lost.
    auto discard_incomplete() -> void { this->pending.clear(); }
    // Returns the id of the last complete event, if there was one with an id.
    [[nodiscard]] auto last_id() const -> std::optional<std::uint64_t> {
        return this->last_complete_id;
    }

private:
    std::string pending;
    std::optional<std::uint64_t> last_complete_id;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_EVENT_FRAMING_H_

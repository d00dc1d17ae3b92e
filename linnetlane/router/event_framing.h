// Cuts a stream of events at the ends of events, so that a stream that broke off can be continued
// by another upstream without a piece missing or doubled.

#ifndef LINNETLANE_ROUTER_EVENT_FRAMING_H_
#define LINNETLANE_ROUTER_EVENT_FRAMING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace linnetlane::router {

class event_framing {
public:
    // Takes bytes as they came; gives the whole events that are complete now, unchanged.
    [[nodiscard]] auto take(std::string_view bytes) -> std::string;
    // Bytes of an event that is not complete.
    [[nodiscard]] auto rest() const -> std::string const& { return this->pending; }
    // Drops the incomplete event: its upstream is gone.
    auto drop_rest() -> void { this->pending.clear(); }
    // The id of the last complete event.
    [[nodiscard]] auto last_id() const -> std::optional<std::uint64_t> { return this->last; }

private:
    std::string pending;
    std::optional<std::uint64_t> last;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_EVENT_FRAMING_H_

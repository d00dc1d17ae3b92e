// Decides which events of a stream are delivered to a caller, so that none comes twice when another
// upstream continues the stream or an upstream repeats events.

#ifndef LINNETLANE_ROUTER_EVENT_SEQUENCE_H_
#define LINNETLANE_ROUTER_EVENT_SEQUENCE_H_

#include <cstdint>
#include <optional>

#include "linnetlane/router/event_framing.h"

namespace linnetlane::router {

enum class event_verdict {
    deliver,
    // The caller has it already.
    repeated,
};

// The events of one stream, which several upstreams may send in turn. Ids increase in a stream, but
// not necessarily by one.
class event_sequence {
public:
    // `received` is the id of the last event that the caller has received in earlier answers.
    explicit event_sequence(std::optional<std::uint64_t> received) : last_delivered{received} {}

    // Begins the events of another upstream.
    auto begin_run() -> void { this->repeating = false; }
    // Decides on the next event; one to deliver counts as delivered from then on.
    [[nodiscard]] auto judge(framed_event const& event) -> event_verdict {
        if (event.id) {
            this->repeating = this->last_delivered && *event.id <= *this->last_delivered;
            if (!this->repeating) {
                this->last_delivered = event.id;
                this->past_last_id = false;
            }
        } else if (event.has_data && !this->repeating) {
            this->past_last_id = true;
        }
        // Events without an id are at the place of the last one with an id.
        return this->repeating ? event_verdict::repeated : event_verdict::deliver;
    }

    // Returns the id of the last event that was delivered with one.
    [[nodiscard]] auto last_id() const -> std::optional<std::uint64_t> {
        return this->last_delivered;
    }
    // Returns whether another upstream can be told where to go on. False once an event that has no
    // id was delivered after the last one with an id.
    [[nodiscard]] auto position_is_known() const -> bool { return !this->past_last_id; }

private:
    std::optional<std::uint64_t> last_delivered;
    bool past_last_id = false;
    bool repeating = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_EVENT_SEQUENCE_H_

// Relays a stream of events from an upstream to a caller. Another upstream can continue the stream,
// and the caller receives a single answer.

#ifndef LINNETLANE_ROUTER_STREAM_RELAY_H_
#define LINNETLANE_ROUTER_STREAM_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "linnetlane/router/event_framing.h"
#include "linnetlane/router/event_sequence.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Relays the answer to one request.
template <router_wire Wire>
class stream_relay {
public:
    explicit stream_relay(request_context const& own_context)
        : context{own_context},
          sequence{own_context.route.resumable ? own_context.caller.received_event : std::nullopt} {
    }

    // Forwards the stream of `from` until it ends. Call again to continue with another upstream, if
    // `can_continue`. Events that the caller has are left out. A stream that ends inside an event
    // has been interrupted.
    auto run(opened_answer& from) -> relay_outcome {
        this->event_arrived = false;
        this->step_noted = false;
        this->sequence.begin_run();
        if (!this->begun && !this->begin(from)) {
            return relay_outcome::caller_left;
        }
        for (;;) {
            auto piece = from.stream.read_some(this->context.answer_by());
            if (auto const* failed = base::failure_of(piece)) {
                this->framing.discard_incomplete();
                return this->outcome_for(from, *failed);
            }
            this->context.note_answer();
            auto const& bytes = base::value_of(piece);
            if (bytes.empty()) {
                return this->finish();
            }
            if (!this->forward(this->framing.take(bytes))) {
                return relay_outcome::caller_left;
            }
            from.stream.note_kept(this->framing.incomplete().capacity());
            if (this->framing.is_oversized()) {
                this->framing.discard_incomplete();
                return relay_outcome::interrupted;
            }
        }
    }

    // Returns whether the last `run` received a complete event.
    [[nodiscard]] auto answer_began() const -> bool { return this->event_arrived; }

    // Returns whether an answer to the caller has been started.
    [[nodiscard]] auto started() const -> bool { return this->begun; }
    // Returns the status that was sent to the caller, or 0.
    [[nodiscard]] auto status() const -> int { return this->forwarded_status; }
    // Returns the id of the last event that the caller has received completely, also in the answer
    // that it resumes.
    [[nodiscard]] auto last_event() const -> std::optional<std::uint64_t> {
        return this->sequence.last_id();
    }
    // Returns whether another upstream can be told which events are left to send.
    [[nodiscard]] auto can_continue() const -> bool { return this->sequence.position_is_known(); }
    // Returns the time at which the first bytes of the body were forwarded.
    [[nodiscard]] auto first_bytes_at() const -> std::optional<base::time_point> {
        return this->first_bytes;
    }

private:
    auto begin(opened_answer const& from) -> bool {
        this->begun = true;
        this->forwarded_status = from.head.status;
        return this->context.responder.start(from.head.status,
                                             Wire::answer_fields(from.stream.fields()));
    }

    auto forward(std::vector<framed_event> const& events) -> bool {
        auto delivered = std::string{};
        for (auto const& event : events) {
            this->note_step(event);
            if (this->sequence.judge(event) == event_verdict::deliver) {
                delivered += event.bytes;
            }
        }
        if (!events.empty() && !std::exchange(this->event_arrived, true)) {
            this->context.note_answer_began();
        }
        if (delivered.empty()) {
            return true;
        }
        if (!this->first_bytes) {
            this->first_bytes = base::monotonic_clock::now();
        }
        return this->context.responder.write(delivered);
    }

    // Logs an upstream's first event with an id if the caller has received events, and it isn't the
    // next one.
    auto note_step(framed_event const& event) -> void {
        if (!event.id || std::exchange(this->step_noted, true) || !this->sequence.last_id()) {
            return;
        }
        auto const last = *this->sequence.last_id();
        if (*event.id != last + 1) {
            this->context.host.log.write(telemetry::log_level::info,
                                         "stream goes on at another event than the next one",
                                         {this->context.caller.id,
                                          this->context.service,
                                          {"received", static_cast<std::int64_t>(last)},
                                          {"event", static_cast<std::int64_t>(*event.id)}});
        }
    }

    auto finish() -> relay_outcome {
        if (!this->forward(this->framing.take_end())) {
            return relay_outcome::caller_left;
        }
        if (!this->framing.incomplete().empty()) {
            this->framing.discard_incomplete();
            return relay_outcome::interrupted;
        }
        this->context.note_answer_complete();
        return this->context.responder.finish() ? relay_outcome::complete
                                                : relay_outcome::caller_left;
    }

    [[nodiscard]] auto outcome_for(opened_answer const& from,
                                   runtime::http_failure const& failed) const -> relay_outcome {
        if (this->context.cancelled.cancelled()) {
            return relay_outcome::caller_left;
        }
        log_broken_answer(this->context, from.from, failed);
        return this->context.has_timed_out(failed) ? relay_outcome::timed_out
                                                   : relay_outcome::interrupted;
    }

    request_context const& context;
    event_framing framing;
    event_sequence sequence;
    bool begun = false;
    bool event_arrived = false;
    // The last `run` has received an event with an id.
    bool step_noted = false;
    int forwarded_status = 0;
    std::optional<base::time_point> first_bytes;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_RELAY_H_

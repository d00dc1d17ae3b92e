// Passes a stream of events from upstreams to a caller as one answer, also when it is continued by
// a second upstream.

#ifndef LINNETLANE_ROUTER_STREAM_RELAY_H_
#define LINNETLANE_ROUTER_STREAM_RELAY_H_

#include <optional>

#include "linnetlane/router/event_framing.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

template <router_wire Wire>
class stream_relay {
public:
    explicit stream_relay(request_context const& own_context) : context{own_context} {}

    // Passes on what `from` sends until its end. Call again to continue with another upstream.
    auto run(opened_answer& from) -> relay_ending {
        if (!this->begun && !this->begin(from)) {
            return relay_ending::caller_left;
        }
        for (;;) {
            auto part = from.stream.read_some(this->context.answer_by);
            if (auto const* failed = base::failure_of(part)) {
                this->framing.drop_rest();
                return this->ending_for(*failed);
            }
            auto const& bytes = base::value_of(part);
            if (bytes.empty()) {
                return this->finish();
            }
            if (!this->pass(bytes)) {
                return relay_ending::caller_left;
            }
        }
    }

    [[nodiscard]] auto started() const -> bool { return this->begun; }
    [[nodiscard]] auto status() const -> int { return this->passed_status; }
    // The last event that the caller has got as a whole.
    [[nodiscard]] auto last_event() const -> std::optional<std::uint64_t> {
        return this->framing.last_id();
    }
    // When the first bytes of the answer's body went to the caller.
    [[nodiscard]] auto first_part_at() const -> std::optional<base::time_point> {
        return this->first_part;
    }

private:
    auto begin(opened_answer const& from) -> bool {
        this->begun = true;
        this->passed_status = from.head.status;
        return this->context.responder.start(from.head.status,
                                             Wire::answer_fields(from.stream.fields()));
    }

    auto pass(std::string_view bytes) -> bool {
        if (!this->first_part) {
            this->first_part = base::monotonic_clock::now();
        }
        if (!this->context.route.resumable) {
            return this->context.responder.write(bytes);
        }
        return this->context.responder.write(this->framing.take(bytes));
    }

    auto finish() -> relay_ending {
        auto const rest_passed = this->context.responder.write(this->framing.rest());
        return rest_passed && this->context.responder.finish() ? relay_ending::complete
                                                               : relay_ending::caller_left;
    }

    [[nodiscard]] auto ending_for(runtime::http_failure const& failed) const -> relay_ending {
        if (this->context.cancelled.cancelled()) {
            return relay_ending::caller_left;
        }
        return failed.kind == runtime::http_failure_kind::timed_out ? relay_ending::timed_out
                                                                    : relay_ending::broke_off;
    }

    request_context const& context;
    event_framing framing;
    bool begun = false;
    int passed_status = 0;
    std::optional<base::time_point> first_part;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_RELAY_H_

// Forwards one prompt: a place to decode first, then the prefill, then the stream.
//
// The place is reserved before the prompt is read, so that no prefill is made in vain. Everything
// that was reserved or kept for a request is released on every way out.

#ifndef LINNETLANE_ROUTER_GENERATION_FORWARDER_H_
#define LINNETLANE_ROUTER_GENERATION_FORWARDER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "linnetlane/router/request_context.h"
#include "linnetlane/router/stream_relay.h"
#include "linnetlane/routing/retry_after.h"

namespace linnetlane::router {

template <router_wire Wire>
class generation_forward {
public:
    // Engines answer reservations from memory; one that takes this long is cut off or gone.
    static constexpr auto reservation_patience = std::chrono::milliseconds{250};
    // The part of the target latency in which engines are asked; what is left is for the prefill.
    static constexpr auto asking_share_of_target = 0.4;
    // The least that a prefill is waited for: reading a long prompt behind two others.
    static constexpr auto least_prefill_patience = std::chrono::milliseconds{900};
    // Whole tries (place, prefill, decode) for one request.
    static constexpr auto most_tries = 3;

    explicit generation_forward(request_context const& own_context)
        : context{own_context}, relay{own_context} {}

    auto run() -> request_end {
        for (auto tries = 1;; ++tries) {
            auto const result = this->try_once();
            if (result != try_result::try_again || tries == most_tries) {
                return this->end(result);
            }
        }
    }

private:
    enum class try_result {
        complete,
        // The upstream's own answer went to the caller.
        passed_on,
        caller_left,
        timed_out,
        no_room,
        unreachable,
        outcome_unknown,
        broke_off,
        // Nothing runs, and the request may be sent again.
        try_again,
    };

    // A reservation at a decode engine.
    struct place {
        routing::upstream_record engine;
        reservation_id reservation;
    };

    auto try_once() -> try_result {
        if (this->context.cancelled.cancelled()) {
            return try_result::caller_left;
        }
        if (base::monotonic_clock::now() >= this->context.answer_by) {
            return try_result::timed_out;
        }
        auto const reserved = this->reserve();
        if (!reserved) {
            return this->reservation_failure;
        }
        auto& pool = this->context.state().generation;
        pool.begin(reserved->engine.id, this->needed());
        auto const result = this->serve_at(*reserved);
        pool.end(reserved->engine.id, this->needed());
        return result;
    }

    auto serve_at(place const& reserved) -> try_result {
        auto const source = this->prefill(reserved.engine.id);
        if (!source) {
            this->release(reserved);
            return this->prefill_failure;
        }
        if (this->context.cancelled.cancelled()) {
            this->release(reserved);
            this->discard(*source);
            return try_result::caller_left;
        }
        return this->decode(reserved, *source);
    }

    // ---- The place ----

    auto reserve() -> std::optional<place> {
        auto& pool = this->context.state().generation;
        auto& known = this->context.parts.known;
        auto const candidates =
            pool.decode_candidates(this->context.parts.settings.generation.engines_asked,
                                   known.draw(), base::monotonic_clock::now());
        this->reservation_failure =
            candidates.empty() ? try_result::unreachable : try_result::no_room;
        auto const enough = base::monotonic_clock::now() +
                            std::chrono::duration_cast<base::duration>(
                                this->context.route.target_latency * asking_share_of_target);
        for (auto const& id : candidates) {
            if (base::monotonic_clock::now() >= enough) {
                return std::nullopt;
            }
            auto const* const record = known.upstreams.find(id);
            if (record == nullptr) {
                continue;
            }
            ++this->engines_asked;
            if (auto reserved = this->reserve_at(*record)) {
                return reserved;
            }
            if (this->context.cancelled.cancelled()) {
                this->reservation_failure = try_result::caller_left;
                return std::nullopt;
            }
        }
        return std::nullopt;
    }

    auto reserve_at(routing::upstream_record engine) -> std::optional<place> {
        auto const now = base::monotonic_clock::now();
        auto const called =
            runtime::fetch(engine.address, Wire::reserve(engine.id, this->needed(), this->lasts()),
                           runtime::connection_use::pooled,
                           std::min(this->context.answer_by, now + reservation_patience));
        auto& pool = this->context.state().generation;
        if (base::failure_of(called) != nullptr) {
            pool.note_outcome(engine.id, routing::exchange_outcome::transport_failure, now);
            this->log_step(engine.id, "reservation got no answer");
            return std::nullopt;
        }
        auto const& response = base::value_of(called);
        auto const head = Wire::read_answer(response.status, response.fields);
        if (head.load) {
            pool.note_load(engine.id, *head.load, now);
        }
        auto const granted = response.status == 200 ? Wire::read_reservation(response.body)
                                                    : std::optional<reservation_id>{};
        this->context.parts.metrics.count_reservation(granted.has_value());
        if (!granted) {
            pool.note_full(engine.id, now);
            return std::nullopt;
        }
        return place{std::move(engine), *granted};
    }

    [[nodiscard]] auto needed() const -> base::token_count {
        return this->context.caller.size
                   ? routing::memory_to_reserve(
                         *this->context.caller.size,
                         this->context.parts.settings.generation.output_margin)
                   : base::token_count{0};
    }

    [[nodiscard]] auto prompt() const -> base::token_count {
        return this->context.caller.size ? this->context.caller.size->prompt : base::token_count{0};
    }

    [[nodiscard]] auto lasts() const -> base::duration {
        auto const found = this->context.configuration->services.find(this->context.service);
        auto const known = found != this->context.configuration->services.end() &&
                           found->second.engine.has_value();
        return known ? found->second.engine->longest_reservation : base::duration{};
    }

    auto release(place const& reserved) -> void {
        send_in_background(this->context.parts, reserved.engine.address,
                           Wire::release(reserved.reservation));
    }

    // ---- The prefill ----

    auto prefill(base::upstream_id const& destination) -> std::optional<prefill_location> {
        auto tried = std::set<base::upstream_id>{};
        this->prefill_failure = try_result::unreachable;
        for (;;) {
            auto const now = base::monotonic_clock::now();
            auto& known = this->context.parts.known;
            auto const id = this->context.state().generation.prefill_candidate(tried, destination,
                                                                               known.draw(), now);
            auto const* const record = id ? known.upstreams.find(*id) : nullptr;
            if (record == nullptr || !this->may_prefill(now)) {
                return std::nullopt;
            }
            tried.insert(*id);
            if (auto location = this->prefill_at(*record)) {
                return location;
            }
            if (this->context.cancelled.cancelled()) {
                this->prefill_failure = try_result::caller_left;
                return std::nullopt;
            }
        }
    }

    // The first prefill of a request is free; more of them are repeats.
    auto may_prefill(base::time_point now) -> bool {
        if (this->prefills++ == 0) {
            return true;
        }
        if (!this->context.parts.known.try_retry(this->context.service, now)) {
            return false;
        }
        this->context.parts.metrics.count_retry(request_kind::generation);
        return true;
    }

    // By value: the registry may drop the record while the engine reads.
    auto prefill_at(routing::upstream_record engine) -> std::optional<prefill_location> {
        auto& pool = this->context.state().generation;
        pool.begin(engine.id, this->prompt());
        auto const now = base::monotonic_clock::now();
        auto const patience =
            std::max<base::duration>(least_prefill_patience, this->context.route.target_latency);
        auto const deadline = std::min(this->context.answer_by, now + patience);
        auto const terms = send_options{engine.id, this->context.answer_by - now};
        auto result = exchange<Wire>(this->context, engine.address,
                                     Wire::prefill(this->context.caller, terms),
                                     runtime::connection_use::pooled, deadline);
        auto made = this->read_prefill(engine, result, deadline);
        pool.end(engine.id, this->prompt());
        if (made) {
            this->context.parts.metrics.count_prefill(this->prompt());
            this->prefilled_at = engine.id;
        } else {
            this->log_step(engine.id, "prefill failed", this->prefill_status);
        }
        return made;
    }

    auto read_prefill(routing::upstream_record const& engine, exchange_result& result,
                      base::time_point deadline) -> std::optional<prefill_location> {
        auto& pool = this->context.state().generation;
        auto const now = base::monotonic_clock::now();
        auto* const opened = std::get_if<opened_answer>(&result);
        this->prefill_status = opened == nullptr ? 0 : opened->head.status;
        if (opened == nullptr) {
            if (!this->context.cancelled.cancelled()) {
                pool.note_outcome(engine.id, routing::exchange_outcome::transport_failure, now);
            }
            return std::nullopt;
        }
        if (opened->head.load) {
            pool.note_load(engine.id, *opened->head.load, now);
        }
        auto const body = opened->stream.read_all(plain_answer_bytes, deadline);
        auto const whole = base::failure_of(body) == nullptr && opened->head.status == 200;
        auto const made = whole ? Wire::read_prefill_result(base::value_of(body)) : std::nullopt;
        if (opened->head.other_instance) {
            pool.note_replaced(engine.id, now);
        } else if (opened->head.not_run) {
            pool.note_full(engine.id, now);
        } else {
            pool.note_outcome(engine.id,
                              made ? routing::exchange_outcome::answered
                                   : routing::exchange_outcome::failed_answer,
                              now);
        }
        return made ? std::optional{prefill_location{engine.address, *made}} : std::nullopt;
    }

    auto discard(prefill_location const& source) -> void {
        this->context.parts.metrics.count_wasted_prefill(this->prompt());
        send_in_background(this->context.parts, source.engine, Wire::discard(source.result));
    }

    // ---- The stream ----

    auto decode(place const& reserved, prefill_location const& source) -> try_result {
        auto const now = base::monotonic_clock::now();
        if (this->decodes++ > 0 && !this->may_decode_again(now)) {
            this->release(reserved);
            this->discard(source);
            return this->ran ? try_result::outcome_unknown : try_result::no_room;
        }
        auto const terms = send_options{reserved.engine.id, this->context.answer_by - now};
        auto const decoding =
            decode_options{source, reserved.reservation, this->relay.last_event()};
        auto result = exchange<Wire>(this->context, reserved.engine.address,
                                     Wire::decode(this->context.caller, terms, decoding),
                                     runtime::connection_use::pooled, this->context.answer_by);
        if (auto const* const failure = std::get_if<exchange_failure_kind>(&result)) {
            return this->after_decode_failure(reserved, source, *failure);
        }
        return this->after_decode_head(reserved, source, std::get<opened_answer>(result));
    }

    auto may_decode_again(base::time_point now) -> bool {
        return this->runs < this->context.route.max_attempts &&
               this->context.parts.known.try_retry(this->context.service, now);
    }

    auto after_decode_failure(place const& reserved, prefill_location const& source,
                              exchange_failure_kind failure) -> try_result {
        this->release(reserved);
        this->discard(source);
        if (failure == exchange_failure_kind::caller_left) {
            return try_result::caller_left;
        }
        this->context.state().generation.note_outcome(reserved.engine.id,
                                                      routing::exchange_outcome::transport_failure,
                                                      base::monotonic_clock::now());
        this->log_step(reserved.engine.id, "decode got no answer");
        if (failure == exchange_failure_kind::not_sent) {
            return try_result::try_again;
        }
        this->ran = true;
        ++this->runs;
        if (failure == exchange_failure_kind::timed_out) {
            return try_result::timed_out;
        }
        return this->may_run_again() ? try_result::try_again : try_result::outcome_unknown;
    }

    auto after_decode_head(place const& reserved, prefill_location const& source,
                           opened_answer& opened) -> try_result {
        auto& pool = this->context.state().generation;
        auto const now = base::monotonic_clock::now();
        if (opened.head.load) {
            pool.note_load(reserved.engine.id, *opened.head.load, now);
        }
        if (opened.head.other_instance) {
            pool.note_replaced(reserved.engine.id, now);
        }
        if (opened.head.not_run) {
            this->release(reserved);
            this->discard(source);
            this->log_step(reserved.engine.id, "decode refused", opened.head.status);
            return try_result::try_again;
        }
        this->ran = true;
        ++this->runs;
        auto const success = opened.head.status >= 200 && opened.head.status < 300;
        if (success && opened.head.attested) {
            return this->pass_stream(reserved, opened);
        }
        pool.note_outcome(reserved.engine.id, routing::exchange_outcome::failed_answer, now);
        this->log_step(reserved.engine.id, "decode failed", opened.head.status);
        if (this->relay.started()) {
            return try_result::broke_off;
        }
        return success ? try_result::outcome_unknown : this->pass_failure(opened);
    }

    auto pass_stream(place const& reserved, opened_answer& opened) -> try_result {
        auto const ending = this->relay.run(opened);
        this->decoded_at = reserved.engine.id;
        auto const broke_off = ending == relay_ending::broke_off;
        this->context.state().generation.note_outcome(
            reserved.engine.id,
            broke_off ? routing::exchange_outcome::transport_failure
                      : routing::exchange_outcome::answered,
            base::monotonic_clock::now());
        switch (ending) {
            case relay_ending::complete:
                return try_result::complete;
            case relay_ending::caller_left:
                return try_result::caller_left;
            case relay_ending::timed_out:
                return try_result::broke_off;
            case relay_ending::broke_off:
                break;
        }
        this->log_step(reserved.engine.id, "stream broke off");
        return this->may_run_again() ? try_result::try_again : try_result::broke_off;
    }

    auto pass_failure(opened_answer& opened) -> try_result {
        auto body = opened.stream.read_all(plain_answer_bytes, this->context.answer_by);
        if (base::failure_of(body) != nullptr) {
            return try_result::outcome_unknown;
        }
        this->passed_status = opened.head.status;
        auto const sent = this->context.responder.send(
            runtime::http_response{opened.head.status, Wire::answer_fields(opened.stream.fields()),
                                   base::take_value(std::move(body))});
        return sent ? try_result::passed_on : try_result::caller_left;
    }

    [[nodiscard]] auto may_run_again() const -> bool {
        return this->context.route.semantics == routing::execution_semantics::idempotent &&
               this->runs < this->context.route.max_attempts;
    }

    // ---- The end ----

    auto end(try_result result) -> request_end {
        this->log_end();
        switch (result) {
            case try_result::complete:
                this->context.parts.metrics.observe_first_event(
                    this->relay.first_part_at().value_or(this->context.arrived) -
                    this->context.arrived);
                return request_end{request_outcome::answered, this->relay.status()};
            case try_result::passed_on:
                return request_end{request_outcome::answered, this->passed_status};
            case try_result::caller_left:
                return request_end{request_outcome::caller_left, this->relay.status()};
            case try_result::timed_out:
                return this->refuse_or_cut(refusal_reason::timed_out);
            case try_result::no_room:
                return this->refuse_or_cut(refusal_reason::overloaded);
            case try_result::unreachable:
            case try_result::try_again:
                return this->refuse_or_cut(refusal_reason::upstreams_unreachable);
            case try_result::outcome_unknown:
            case try_result::broke_off:
                break;
        }
        return this->refuse_or_cut(refusal_reason::outcome_unknown);
    }

    auto refuse_or_cut(refusal_reason reason) -> request_end {
        if (this->relay.started()) {
            this->context.responder.cut();
            return request_end{request_outcome::cut_off, this->relay.status()};
        }
        auto refused = refusal{reason, std::nullopt};
        auto const promises =
            reason != refusal_reason::timed_out && reason != refusal_reason::outcome_unknown;
        if (promises && this->ran) {
            refused.reason = refusal_reason::outcome_unknown;
        } else if (promises) {
            refused.retry_after = routing::retry_after(this->context.route.target_latency,
                                                       this->context.parts.known.draw());
        }
        return refuse<Wire>(this->context, refused);
    }

    // `status` is that of the engine's answer, 0 without one.
    auto log_step(base::upstream_id const& engine, telemetry::literal what, int status = 0) const
        -> void {
        this->context.parts.log.write(
            telemetry::log_level::info, "step of a generation failed",
            {this->context.caller.id,
             this->context.service,
             engine,
             {"what", what},
             {"status", static_cast<std::int64_t>(status)},
             telemetry::field::named("prefilled_at", this->prefilled_at),
             {"age", base::monotonic_clock::now() - this->context.arrived}});
    }

    auto log_end() const -> void {
        this->context.parts.log.write(
            telemetry::log_level::info, "generation placed",
            {this->context.caller.id,
             {"prompt_tokens", this->prompt()},
             {"reserved_tokens", this->needed()},
             {"engines_asked", static_cast<std::int64_t>(this->engines_asked)},
             {"prefills", static_cast<std::int64_t>(this->prefills)},
             telemetry::field::named("prefilled_at", this->prefilled_at),
             telemetry::field::named("decoded_at", this->decoded_at),
             {"first_event_after", this->relay.first_part_at().value_or(this->context.arrived) -
                                       this->context.arrived}});
    }

    // Of small answers of engines.
    static constexpr auto plain_answer_bytes = std::size_t{1} * 1024 * 1024;

    request_context const& context;
    stream_relay<Wire> relay;
    std::size_t engines_asked = 0;
    std::size_t prefills = 0;
    std::size_t decodes = 0;
    // Decodes that ran or may have.
    std::size_t runs = 0;
    bool ran = false;
    int passed_status = 0;
    // Of the last prefill's answer; 0 without one.
    int prefill_status = 0;
    base::upstream_id prefilled_at;
    base::upstream_id decoded_at;
    try_result reservation_failure = try_result::no_room;
    try_result prefill_failure = try_result::unreachable;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_GENERATION_FORWARDER_H_

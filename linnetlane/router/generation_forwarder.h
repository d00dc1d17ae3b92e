// Forwards one prompt in three steps: reserve memory at a decode engine, prefill, and stream the
// decoded answer.
//
// The reservation comes before the prefill, so that no prefill is wasted for lack of decode memory.
// Reservations and prefill results that are not used are released on every path.

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

// Handles one request. `run` is called once, in a fiber.
template <router_wire Wire>
class generation_forwarder {
public:
    // Engines answer reservations without waiting for other work; one that takes this long is
    // unreachable.
    static constexpr auto reservation_timeout = std::chrono::milliseconds{250};
    // The limit on one search for room: that of two engines which don't answer. Others may be
    // reachable from another host.
    static constexpr auto search_timeout = 2 * reservation_timeout;
    // The lower limit of the timeout of a prefill: enough for a long prompt behind two others.
    static constexpr auto min_prefill_timeout = std::chrono::milliseconds{900};
    // The time from the end of a prefill to the first event: for the transfer to the decode engine
    // and its first step.
    static constexpr auto first_event_margin = std::chrono::milliseconds{100};
    // How often a waiting request asks for room, and how many engines at a time. Room becomes free
    // at an engine every few hundred milliseconds, and all hosts together ask.
    static constexpr auto room_check_interval = std::chrono::milliseconds{60};
    static constexpr auto engines_per_check = std::size_t{8};
    // The number of attempts (reservation, prefill and decode) for one request.
    static constexpr auto max_tries = 3;

    explicit generation_forwarder(request_context const& own_context)
        : context{own_context}, relay{own_context}, required{own_context.required} {
        this->expect_event_from(this->context.arrived);
        this->rank_request();
    }

    // Returns after the caller has been answered or has left.
    auto run() -> request_result {
        for (auto tries = 1;; ++tries) {
            auto const result = this->attempt();
            if (result != attempt_result::retry || tries == max_tries) {
                return this->end(result);
            }
        }
    }

private:
    enum class attempt_result {
        complete,
        // The upstream's failed answer was forwarded to the caller.
        forwarded,
        caller_left,
        timed_out,
        // This host shuts down, and the request has not begun.
        leaving,
        no_capacity,
        quarantined,
        // The request's key may have been taken away.
        key_in_doubt,
        unreachable,
        outcome_unknown,
        interrupted,
        // The attempt failed, and the request may be sent again.
        retry,
    };

    // A reservation of memory at a decode engine.
    struct decode_reservation {
        routing::upstream_record engine;
        reservation_id id;
    };

    auto attempt() -> attempt_result {
        if (this->context.cancelled.cancelled()) {
            return attempt_result::caller_left;
        }
        if (!this->may_begin()) {
            return attempt_result::leaving;
        }
        if (base::monotonic_clock::now() >= this->context.answer_by()) {
            return attempt_result::timed_out;
        }
        if (this->context.quarantine_refusal(base::monotonic_clock::now())) {
            return attempt_result::quarantined;
        }
        if (!this->context.key_is_valid()) {
            return attempt_result::key_in_doubt;
        }
        if (this->context.state().generation.paused_for(base::monotonic_clock::now()) >
            base::duration::zero()) {
            return attempt_result::no_capacity;
        }
        if (!this->can_answer_in_time({})) {
            this->log_step({}, "the caller has no time for the prefill queues");
            return attempt_result::no_capacity;
        }
        auto reserved = this->reserve();
        if (!reserved) {
            return this->reservation_failure;
        }
        if (auto const bound = this->context.bind_version(reserved->engine.software)) {
            this->required = bound;
            if (*bound != reserved->engine.software) {
                // The request has been bound meanwhile.
                this->release(*reserved);
                return attempt_result::retry;
            }
        }
        auto& pool = this->context.state().generation;
        pool.begin(reserved->engine.id, this->reserved_tokens());
        auto const result = this->prefill_and_decode(*reserved);
        pool.end(reserved->engine.id, this->reserved_tokens());
        return result;
    }

    // Returns whether the caller has received a part of the stream.
    [[nodiscard]] auto is_in_progress() const -> bool {
        return this->context.resumes || this->relay.started();
    }

    // Callers leave unless an event comes within the longest pause after `from`.
    auto expect_event_from(base::time_point from) -> void {
        auto const pause = this->context.route.longest_pause;
        this->event_by = pause > base::duration::zero()
                             ? std::min(from + pause, this->context.deadline)
                             : this->context.deadline;
    }

    // Returns when a prefill must end at the latest for the caller to be still there at the first
    // event.
    [[nodiscard]] auto prefill_by() const -> base::time_point {
        return std::min(this->event_by, this->context.answer_by()) - first_event_margin;
    }

    // Returns until when the request may wait: then its prefill must start for the caller to be
    // still there at the first event, and to get the whole answer in its time.
    [[nodiscard]] auto latest_start() const -> base::time_point {
        auto const& pool = this->context.state().generation;
        auto const decode = this->context.caller.size ? pool.decode_time(*this->context.caller.size)
                                                      : base::duration::zero();
        return std::min(this->prefill_by(), this->context.answer_by() - decode) -
               pool.prefill_time(this->prompt());
    }

    // Returns whether a prefill that begins now, at an engine outside of `tried`, is expected to
    // end in time. The time of answers doesn't count: if engines that were slow were sent nothing,
    // nothing would show that they have recovered.
    [[nodiscard]] auto can_answer_in_time(std::set<base::upstream_id> const& tried) const -> bool {
        auto const now = base::monotonic_clock::now();
        auto const expected =
            this->context.state().generation.expected_prefill_time(tried, this->prompt(), now);
        return now + expected <= this->prefill_by();
    }

    // Returns whether the request may begin at an engine while this host shuts down. One that has
    // not run is better served by another host.
    [[nodiscard]] auto may_begin() const -> bool {
        return this->may_have_run || this->relay.started() ||
               this->context.host.shutdown.admits_work(base::monotonic_clock::now());
    }

    // `reserved` is replaced if its engine leaves meanwhile.
    auto prefill_and_decode(decode_reservation& reserved) -> attempt_result {
        auto const source = this->prefill(reserved);
        if (!source) {
            this->release(reserved);
            return this->prefill_failure;
        }
        if (this->context.cancelled.cancelled()) {
            this->release(reserved);
            this->discard(*source);
            return attempt_result::caller_left;
        }
        return this->decode(reserved, *source);
    }

    // ---- Reservation ----

    // Reserves memory. While engines have no room, the request waits as long as its caller can
    // still be answered in time; it is refused at once if its turn is expected too late.
    auto reserve() -> std::optional<decode_reservation> {
        auto& waiting = this->context.state().waiting[this->required];
        if (waiting.size() == 0) {
            auto reserved =
                this->reserve_if_open(this->context.host.settings.generation.engines_asked);
            if (reserved || !this->may_find_room_later()) {
                return reserved;
            }
        }
        this->reservation_failure = attempt_result::no_capacity;
        auto const now = base::monotonic_clock::now();
        auto const place =
            waiting.enter({this->is_in_progress() ? 0 : 1, this->latest_start()}, now);
        if (!place) {
            this->log_step({}, "too many requests wait for room");
            return std::nullopt;
        }
        auto reserved = this->wait_for_room(waiting, *place);
        this->waited_from = now;
        this->waited_until = base::monotonic_clock::now();
        waiting.leave(*place, reserved.has_value(), this->waited_until);
        return reserved;
    }

    auto wait_for_room(routing::waiting_requests const& waiting,
                       routing::waiting_requests::place const& place)
        -> std::optional<decode_reservation> {
        while (this->may_wait_until(base::monotonic_clock::now() + room_check_interval)) {
            if (!waiting.is_first(place)) {
                continue;
            }
            auto reserved = this->reserve_if_open(engines_per_check);
            if (reserved || !this->may_find_room_later()) {
                return reserved;
            }
        }
        return std::nullopt;
    }

    // Suspends the calling fiber until `next`. Returns false, with the reason in
    // `reservation_failure`, if the request can't be served any more.
    auto may_wait_until(base::time_point next) -> bool {
        if (next >= this->latest_start()) {
            this->reservation_failure = attempt_result::no_capacity;
            return false;
        }
        runtime::sleep_until(next);
        this->reservation_failure = attempt_result::no_capacity;
        if (this->context.cancelled.cancelled()) {
            this->reservation_failure = attempt_result::caller_left;
        } else if (!this->may_begin()) {
            this->reservation_failure = attempt_result::leaving;
        } else if (this->context.quarantine_refusal(base::monotonic_clock::now())) {
            this->reservation_failure = attempt_result::quarantined;
        } else if (!this->context.key_is_valid()) {
            this->reservation_failure = attempt_result::key_in_doubt;
        } else {
            return this->can_answer_in_time({});
        }
        return false;
    }

    // Returns whether there are engines that had no room, and may have some later.
    [[nodiscard]] auto may_find_room_later() const -> bool {
        return this->reservation_failure == attempt_result::no_capacity && this->engines_known;
    }

    // Reserves memory if a prefill may start now.
    auto reserve_if_open(std::size_t engines) -> std::optional<decode_reservation> {
        auto const now = base::monotonic_clock::now();
        auto& state = this->context.state();
        if (!state.generation.takes_prefill(this->prompt(), now) || !this->prefill_may_start(now)) {
            this->engines_known =
                !state.generation
                     .decode_candidates(1, this->context.host.view.draw(), now, this->required)
                     .empty();
            this->reservation_failure = attempt_result::no_capacity;
            return std::nullopt;
        }
        auto reserved = this->reserve_once(engines);
        if (reserved) {
            state.prefill_limits.note_start(this->prefill_rate(now), now);
        }
        return reserved;
    }

    auto reserve_once(std::size_t engines) -> std::optional<decode_reservation> {
        auto const now = base::monotonic_clock::now();
        auto const candidates = this->context.state().generation.decode_candidates(
            this->engines_to_ask(engines, now), this->context.host.view.draw(), now,
            this->required);
        this->engines_known = !candidates.empty();
        auto const asked_before = this->engines_asked;
        auto reserved = this->search(candidates);
        auto const asked = this->engines_asked - asked_before;
        if (reserved || this->reservation_failure == attempt_result::no_capacity) {
            this->note_search(asked, candidates.size(), reserved.has_value());
        }
        return reserved;
    }

    // Asks the candidates for a reservation, one after another.
    auto search(std::vector<base::upstream_id> const& candidates)
        -> std::optional<decode_reservation> {
        auto& pool = this->context.state().generation;
        auto& view = this->context.host.view;
        // Until an engine answers that it has no room.
        this->reservation_failure = attempt_result::unreachable;
        auto const search_until = base::monotonic_clock::now() + search_timeout;
        for (auto const& id : candidates) {
            if (!this->may_begin()) {
                this->reservation_failure = attempt_result::leaving;
                return std::nullopt;
            }
            if (base::monotonic_clock::now() >= search_until) {
                return std::nullopt;
            }
            auto const* const record = view.upstreams.find(id);
            if (record == nullptr) {
                continue;
            }
            // The engine may have said so while others were asked.
            if (record->leaving || pool.is_blocked(id, base::monotonic_clock::now())) {
                this->reservation_failure = attempt_result::no_capacity;
                continue;
            }
            if (this->is_isolated()) {
                break;
            }
            ++this->engines_asked;
            if (auto reserved = this->reserve_at(*record)) {
                return reserved;
            }
            if (this->context.cancelled.cancelled()) {
                this->reservation_failure = attempt_result::caller_left;
                return std::nullopt;
            }
        }
        return std::nullopt;
    }

    // Ranks the request among others of the service, if their priorities differ and the settings
    // ask for that.
    auto rank_request() -> void {
        auto& view = this->context.host.view;
        if (this->context.resumes || !this->context.host.settings.generation.ranked ||
            !view.ranks_requests(this->context.service)) {
            return;
        }
        this->rank = routing::rank_request(this->context.route, this->context.account());
    }

    // Returns whether the engine of the reservation still takes requests. If it doesn't, since it
    // leaves or another process has replaced it, replaces the reservation by one at another engine
    // of the same software version, which can import the result of a prefill as well. Suspends the
    // calling fiber.
    auto keep_reservation(decode_reservation& reserved) -> bool {
        auto const& upstreams = this->context.host.view.upstreams;
        if (upstreams.takes_requests(reserved.engine)) {
            return true;
        }
        this->log_step(reserved.engine.id, "the engine with the reservation has left");
        auto& pool = this->context.state().generation;
        auto const now = base::monotonic_clock::now();
        auto found = this->search(pool.decode_candidates(
            this->engines_to_ask(this->context.host.settings.generation.engines_asked, now),
            this->context.host.view.draw(), now, reserved.engine.software));
        if (!found) {
            return false;
        }
        this->release(reserved);
        pool.end(reserved.engine.id, this->reserved_tokens());
        reserved = *std::move(found);
        pool.begin(reserved.engine.id, this->reserved_tokens());
        return true;
    }

    auto engines_to_ask(std::size_t most, base::time_point now) -> std::size_t {
        this->outranked_until =
            this->rank ? this->context.state().scarcity.outranked_until(*this->rank, now)
                       : std::nullopt;
        return this->outranked_until ? std::min(most, routing::narrow_search) : most;
    }

    // Tells all hosts if the search shows that room is scarce for the rank of the request.
    auto note_search(std::size_t asked, std::size_t engines, bool found) -> void {
        if (!this->rank || this->outranked_until ||
            !routing::is_hard_search(asked, engines, found)) {
            return;
        }
        auto const now = base::monotonic_clock::now();
        this->context.host.view.learn(
            {{{routing::fact_kind::room_scarce, this->context.service.value,
               routing::to_string(*this->rank)},
              static_cast<double>(engines),
              now}},
            now);
    }

    auto reserve_at(routing::upstream_record engine) -> std::optional<decode_reservation> {
        auto const now = base::monotonic_clock::now();
        this->context.note_sent(engine.address, now);
        this->context.note_request_to(engine.id);
        auto const called = runtime::fetch(
            engine.address,
            Wire::make_reserve_request(engine.id, this->reserved_tokens(), this->reservation_ttl()),
            runtime::connection_use::pooled,
            std::min(this->context.answer_by(), now + reservation_timeout), max_control_answer);
        auto& pool = this->context.state().generation;
        if (auto const* const failed = base::failure_of(called)) {
            this->note_failed_reservation(engine.address, *failed);
            pool.note_outcome(engine.id, routing::exchange_outcome::transport_failure, now);
            this->log_step(engine.id, "reservation got no answer");
            return std::nullopt;
        }
        this->context.note_answer();
        this->reached_none = false;
        auto const& response = base::value_of(called);
        auto const head = Wire::read_answer(response.status, response.fields);
        note_announcements(this->context.host, this->context.service, engine.id, head);
        if (head.load) {
            pool.note_load(engine.id, *head.load, now);
        }
        auto const granted = response.status == 200 ? Wire::read_reservation(response.body)
                                                    : std::optional<reservation_id>{};
        this->context.host.metrics.count_reservation(granted.has_value());
        if (!granted) {
            this->reservation_failure = attempt_result::no_capacity;
            pool.note_full(engine.id, now);
            return std::nullopt;
        }
        auto reserved = decode_reservation{std::move(engine), *granted};
        if (head.leaving) {
            // The stream could outlast the engine.
            this->release(reserved);
            return std::nullopt;
        }
        return reserved;
    }

    auto note_failed_reservation(base::endpoint const& engine, runtime::http_failure const& failed)
        -> void {
        this->reached_none = true;
        if (is_broken_answer(failed)) {
            this->context.note_abandoned(engine, base::monotonic_clock::now());
            log_broken_answer(this->context, engine, failed);
        } else {
            this->context.note_no_answer(engine);
        }
    }

    [[nodiscard]] auto reserved_tokens() const -> base::token_count {
        return this->context.caller.size ? routing::memory_to_reserve(
                                               *this->context.caller.size,
                                               this->context.host.settings.generation.output_margin)
                                         : base::token_count{0};
    }

    [[nodiscard]] auto prompt() const -> base::token_count {
        return this->context.caller.size ? this->context.caller.size->prompt : base::token_count{0};
    }

    [[nodiscard]] auto reservation_ttl() const -> base::duration {
        auto const found = this->context.configuration->services.find(this->context.service);
        auto const known = found != this->context.configuration->services.end() &&
                           found->second.engine.has_value();
        return known ? found->second.engine->longest_reservation : base::duration{};
    }

    // Frees the reserved memory, unless the engine wants nothing from this host. The reservation
    // then expires.
    auto release(decode_reservation const& reserved) -> void {
        if (this->context.state().generation.is_paused(reserved.engine.id,
                                                       base::monotonic_clock::now())) {
            return;
        }
        send_in_background(this->context.host, reserved.engine.address,
                           Wire::make_release_request(reserved.id));
    }

    // ---- Prefill ----

    // Returns this host's share of the prefills per second that the engines can sustain.
    [[nodiscard]] auto prefill_rate(base::time_point now) const -> double {
        return this->context.state().generation.prefill_rate(now) /
               static_cast<double>(this->context.host.view.hosts);
    }

    // Returns whether this host may start a prefill while the engines are overloaded. A stream that
    // has begun is always continued.
    auto prefill_may_start(base::time_point now) -> bool {
        if (this->is_in_progress()) {
            return true;
        }
        auto const rate = this->prefill_rate(now);
        if (this->context.state().prefill_limits.may_start(rate, now)) {
            return true;
        }
        constexpr auto thousandths = 1000.0;
        this->context.host.log.write(
            telemetry::log_level::debug, "prefills are limited",
            {this->context.caller.id,
             this->context.service,
             {"hosts", static_cast<std::int64_t>(this->context.host.view.hosts)},
             {"prefills_per_1000_s", static_cast<std::int64_t>(thousandths * rate)}});
        return false;
    }

    // Records how long a prefill took. `made` is false if it was given up at its deadline.
    auto note_prefill(routing::upstream_record const& engine, double ahead, base::duration took,
                      bool made) -> void {
        auto& state = this->context.state();
        auto const now = base::monotonic_clock::now();
        if (made) {
            state.generation.note_prefill_time(engine.id, this->prompt(), ahead, took, now);
            auto const slowness = state.generation.prefill_slowness(engine.id, now);
            this->context.host.log.write(
                telemetry::log_level::debug, "prefill made",
                {this->context.caller.id,
                 this->context.service,
                 engine.id,
                 {"took", took},
                 {"slowness_per_1000", static_cast<std::int64_t>(1000 * slowness)}});
        } else {
            state.generation.note_prefill_timeout(engine.id, took, now);
            state.prefill_limits.note_timeout(engine.id, now);
        }
    }

    auto prefill(decode_reservation& reserved) -> std::optional<prefill_location> {
        auto tried = std::set<base::upstream_id>{};
        this->prefill_failure = attempt_result::unreachable;
        for (;;) {
            if (!this->keep_reservation(reserved)) {
                // A further prefill would be in vain.
                this->prefill_failure = attempt_result::retry;
                return std::nullopt;
            }
            auto const now = base::monotonic_clock::now();
            auto& view = this->context.host.view;
            auto const id = this->context.state().generation.prefill_candidate(
                tried, reserved.engine.id, view.draw(), now);
            auto const* const record = id ? view.upstreams.find(*id) : nullptr;
            if (!this->may_begin()) {
                this->prefill_failure = attempt_result::leaving;
                return std::nullopt;
            }
            if (record == nullptr || !this->may_prefill(tried, now)) {
                return std::nullopt;
            }
            if (!this->context.key_is_valid()) {
                this->prefill_failure = attempt_result::key_in_doubt;
                return std::nullopt;
            }
            tried.insert(*id);
            if (auto location = this->prefill_at(*record)) {
                return location;
            }
            if (this->context.cancelled.cancelled()) {
                this->prefill_failure = attempt_result::caller_left;
                return std::nullopt;
            }
            if (this->is_isolated()) {
                return std::nullopt;
            }
        }
    }

    // Returns whether further attempts would fail like the last one, because this host reaches no
    // upstream.
    [[nodiscard]] auto is_isolated() const -> bool {
        return this->reached_none && this->context.is_isolated(base::monotonic_clock::now());
    }

    // The first prefill of a request is always allowed; further ones use the retry budget.
    auto may_prefill(std::set<base::upstream_id> const& tried, base::time_point now) -> bool {
        if (this->prefills++ == 0) {
            return true;
        }
        if (this->context.quarantine_refusal(now)) {
            this->prefill_failure = attempt_result::quarantined;
            return false;
        }
        if (!this->context.allows_another_upstream(this->ends_before_answer) ||
            !this->can_answer_in_time(tried)) {
            this->prefill_failure = attempt_result::no_capacity;
            return false;
        }
        if (!this->context.host.view.try_retry(this->context.service, now)) {
            return false;
        }
        this->context.host.metrics.count_retry(request_kind::generation);
        return true;
    }

    // Half of the time until the first event is due, so that another engine can be tried.
    [[nodiscard]] auto prefill_timeout(base::time_point now) const -> base::duration {
        return std::max<base::duration>(min_prefill_timeout, (this->event_by - now) / 2);
    }

    // Takes the record by value, since the registry may drop it during the prefill.
    auto prefill_at(routing::upstream_record engine) -> std::optional<prefill_location> {
        auto& pool = this->context.state().generation;
        auto const now = base::monotonic_clock::now();
        auto const ahead = pool.tokens_under_way(engine.id, now);
        pool.begin(engine.id, this->prompt());
        auto const deadline = std::min(this->context.answer_by(), now + this->prefill_timeout(now));
        this->context.note_request_to(engine.id);
        // The engine drops the prompt if it hasn't begun by the deadline.
        auto const options = send_options{engine.id, deadline - now};
        auto result =
            exchange_with_upstream<Wire>(this->context, engine.address,
                                         Wire::make_prefill_request(this->context.caller, options),
                                         runtime::connection_use::pooled, deadline);
        auto made = this->read_prefill(engine, result, deadline);
        pool.end(engine.id, this->prompt());
        auto const ended = base::monotonic_clock::now();
        if (made || ended >= deadline) {
            this->note_prefill(engine, ahead, ended - now, made.has_value());
        }
        if (made) {
            this->context.host.metrics.count_prefill(this->prompt());
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
                this->reached_none = true;
                auto const failure = std::get<exchange_failure_kind>(result);
                this->prompt_may_have_arrived =
                    this->prompt_may_have_arrived || failure != exchange_failure_kind::not_sent;
                pool.note_outcome(engine.id, routing::exchange_outcome::transport_failure, now);
                if (failure == exchange_failure_kind::unknown) {
                    this->note_upstream_ended(engine.id, false);
                }
            }
            return std::nullopt;
        }
        this->reached_none = false;
        this->prompt_may_have_arrived = true;
        note_announcements(this->context.host, this->context.service, engine.id, opened->head);
        if (opened->head.load) {
            pool.note_load(engine.id, *opened->head.load, now);
        }
        auto const body = opened->stream.read_all(max_prefill_answer_bytes, deadline);
        auto const* const broken = base::failure_of(body);
        if (broken != nullptr) {
            log_broken_answer(this->context, engine.address, *broken);
        }
        if (broken != nullptr && this->context.was_broken_off(*broken)) {
            this->note_upstream_ended(engine.id, false);
        }
        auto const whole = broken == nullptr && opened->head.status == 200;
        auto const made = whole ? Wire::read_prefill_result(base::value_of(body)) : std::nullopt;
        if (opened->head.other_instance) {
            pool.note_replaced(engine.id, now);
        } else if (opened->head.not_run && broken == nullptr) {
            pool.note_full(engine.id, now);
        } else {
            pool.note_outcome(engine.id,
                              made ? routing::exchange_outcome::answered
                                   : routing::exchange_outcome::failed_answer,
                              now);
        }
        return made ? std::optional{prefill_location{engine.address, *made}} : std::nullopt;
    }

    // Frees the result of a prefill, unless the engine wants nothing from this host.
    auto discard(prefill_location const& source) -> void {
        this->context.host.metrics.count_wasted_prefill(this->prompt());
        if (this->context.state().generation.is_paused(this->prefilled_at,
                                                       base::monotonic_clock::now())) {
            return;
        }
        send_in_background(this->context.host, source.engine,
                           Wire::make_discard_request(source.result));
    }

    // ---- Decode ----

    auto decode(decode_reservation& reserved, prefill_location const& source) -> attempt_result {
        if (!this->keep_reservation(reserved)) {
            this->release(reserved);
            this->discard(source);
            return this->context.cancelled.cancelled() ? attempt_result::caller_left
                                                       : attempt_result::retry;
        }
        auto const now = base::monotonic_clock::now();
        if (this->context.state().generation.is_paused(reserved.engine.id, now)) {
            this->release(reserved);
            this->discard(source);
            return attempt_result::retry;
        }
        if (this->context.quarantine_refusal(now)) {
            this->release(reserved);
            this->discard(source);
            return attempt_result::quarantined;
        }
        if (!this->context.key_is_valid()) {
            this->release(reserved);
            this->discard(source);
            return attempt_result::key_in_doubt;
        }
        if (this->decodes++ > 0 && !this->may_decode_again(now)) {
            this->release(reserved);
            this->discard(source);
            return this->may_have_run ? attempt_result::outcome_unknown
                                      : attempt_result::no_capacity;
        }
        auto const options = send_options{reserved.engine.id, this->context.answer_by() - now};
        this->context.note_request_to(reserved.engine.id);
        auto const decoding = decode_options{source, reserved.id, this->relay.last_event()};
        auto result = exchange_with_upstream<Wire>(
            this->context, reserved.engine.address,
            Wire::make_decode_request(this->context.caller, options, decoding),
            runtime::connection_use::pooled, this->context.answer_by());
        if (auto const* const failure = std::get_if<exchange_failure_kind>(&result)) {
            return this->after_decode_failure(reserved, source, *failure);
        }
        return this->after_decode_head(reserved, source, std::get<opened_answer>(result));
    }

    auto may_decode_again(base::time_point now) -> bool {
        return this->runs < this->context.route.max_attempts &&
               this->context.host.view.try_retry(this->context.service, now);
    }

    auto after_decode_failure(decode_reservation const& reserved, prefill_location const& source,
                              exchange_failure_kind failure) -> attempt_result {
        this->release(reserved);
        this->discard(source);
        if (failure == exchange_failure_kind::caller_left) {
            return attempt_result::caller_left;
        }
        this->context.state().generation.note_outcome(reserved.engine.id,
                                                      routing::exchange_outcome::transport_failure,
                                                      base::monotonic_clock::now());
        this->log_step(reserved.engine.id, "decode got no answer");
        if (failure == exchange_failure_kind::not_sent) {
            this->reached_none = true;
            return attempt_result::retry;
        }
        this->may_have_run = true;
        ++this->runs;
        if (failure == exchange_failure_kind::timed_out) {
            return attempt_result::timed_out;
        }
        if (failure == exchange_failure_kind::unknown) {
            this->note_upstream_ended(reserved.engine.id, false);
        }
        return this->may_run_again() ? attempt_result::retry : attempt_result::outcome_unknown;
    }

    auto after_decode_head(decode_reservation const& reserved, prefill_location const& source,
                           opened_answer& opened) -> attempt_result {
        auto& pool = this->context.state().generation;
        auto const now = base::monotonic_clock::now();
        note_announcements(this->context.host, this->context.service, reserved.engine.id,
                           opened.head);
        if (opened.head.load) {
            pool.note_load(reserved.engine.id, *opened.head.load, now);
        }
        if (opened.head.other_instance) {
            pool.note_replaced(reserved.engine.id, now);
        }
        if (opened.head.not_run && !arrives_whole(this->context, opened)) {
            return this->after_decode_failure(reserved, source,
                                              this->context.cancelled.cancelled()
                                                  ? exchange_failure_kind::caller_left
                                                  : exchange_failure_kind::unusable_answer);
        }
        if (opened.head.not_run) {
            this->release(reserved);
            this->discard(source);
            this->reached_none = false;
            this->log_step(reserved.engine.id, "decode refused", opened.head.status);
            return attempt_result::retry;
        }
        this->may_have_run = true;
        ++this->runs;
        auto const success = opened.head.status >= 200 && opened.head.status < 300;
        if (success && opened.head.attested) {
            return this->relay_stream(reserved, opened);
        }
        pool.note_outcome(reserved.engine.id, routing::exchange_outcome::failed_answer, now);
        this->log_step(reserved.engine.id, "decode failed", opened.head.status);
        if (this->relay.started()) {
            return attempt_result::interrupted;
        }
        return success ? attempt_result::outcome_unknown : this->forward_failure(reserved, opened);
    }

    auto relay_stream(decode_reservation const& reserved, opened_answer& opened) -> attempt_result {
        auto const outcome = this->relay.run(opened);
        this->decoded_at = reserved.engine.id;
        this->required = reserved.engine.software;
        auto const interrupted = outcome == relay_outcome::interrupted;
        this->expect_event_from(base::monotonic_clock::now());
        this->context.state().generation.note_outcome(
            reserved.engine.id,
            interrupted ? routing::exchange_outcome::transport_failure
                        : routing::exchange_outcome::answered,
            base::monotonic_clock::now());
        switch (outcome) {
            case relay_outcome::complete:
                this->note_decode_time();
                return attempt_result::complete;
            case relay_outcome::caller_left:
                return attempt_result::caller_left;
            case relay_outcome::timed_out:
                return attempt_result::interrupted;
            case relay_outcome::interrupted:
                break;
        }
        this->log_step(reserved.engine.id, "stream is incomplete");
        this->note_upstream_ended(reserved.engine.id, this->relay.answer_began());
        return this->relay.can_continue() && this->may_run_again() ? attempt_result::retry
                                                                   : attempt_result::interrupted;
    }

    // Records how long the answer took, unless a part of it came from another engine.
    auto note_decode_time() -> void {
        auto const began = this->relay.first_bytes_at();
        if (began && this->context.caller.size && this->runs == 1 && !this->context.resumes) {
            this->context.state().generation.note_decode_time(
                *this->context.caller.size, base::monotonic_clock::now() - *began);
        }
    }

    auto forward_failure(decode_reservation const& reserved, opened_answer& opened)
        -> attempt_result {
        auto body = opened.stream.read_all(max_engine_answer_bytes, this->context.answer_by());
        if (auto const* const broken = base::failure_of(body)) {
            log_broken_answer(this->context, reserved.engine.address, *broken);
            return attempt_result::outcome_unknown;
        }
        this->forwarded_status = opened.head.status;
        auto const sent = this->context.responder.send(
            runtime::http_response{opened.head.status, Wire::answer_fields(opened.stream.fields()),
                                   base::take_value(std::move(body))});
        return sent ? attempt_result::forwarded : attempt_result::caller_left;
    }

    auto note_upstream_ended(base::upstream_id const& engine, bool answer_began) -> void {
        this->ends_before_answer += answer_began ? 0 : 1;
        this->context.note_upstream_ended(engine, answer_began);
    }

    [[nodiscard]] auto may_run_again() const -> bool {
        return this->context.route.semantics == routing::execution_semantics::idempotent &&
               this->runs < this->context.route.max_attempts &&
               this->context.allows_another_upstream(this->ends_before_answer);
    }

    // ---- End of the request ----

    // Returns whether another host may try the request. If an engine may have received the prompt,
    // the other host's prefill is a further one and uses the retry budget.
    auto may_be_sent_by_peer() -> bool {
        return this->reached_none && !this->may_have_run && !this->context.from_peer &&
               this->context.allows_another_upstream(this->ends_before_answer) &&
               (!this->prompt_may_have_arrived ||
                this->context.host.view.try_retry(this->context.service,
                                                  base::monotonic_clock::now()));
    }

    auto end(attempt_result result) -> request_result {
        this->log_end();
        switch (result) {
            case attempt_result::complete:
                this->context.host.metrics.observe_first_event(
                    this->relay.first_bytes_at().value_or(this->context.arrived) -
                    this->context.arrived);
                return request_result{request_outcome::answered, this->relay.status()};
            case attempt_result::forwarded:
                return request_result{request_outcome::answered, this->forwarded_status};
            case attempt_result::caller_left:
                return request_result{request_outcome::caller_left, this->relay.status()};
            case attempt_result::timed_out:
                return this->refuse_or_cut(refusal_reason::timed_out);
            case attempt_result::leaving:
                return this->refuse_or_cut(refusal_reason::leaving);
            case attempt_result::no_capacity:
                return this->refuse_or_cut(refusal_reason::overloaded);
            case attempt_result::quarantined:
                return this->refuse_or_cut(refusal_reason::prompt_quarantined);
            case attempt_result::key_in_doubt:
                return this->refuse_or_cut(refusal_reason::configuration_too_old);
            case attempt_result::unreachable:
            case attempt_result::retry:
                if (this->may_be_sent_by_peer()) {
                    return unsent_request();
                }
                // A further host would prefill the prompt once more.
                return this->refuse_or_cut(this->prompt_may_have_arrived
                                               ? refusal_reason::overloaded
                                               : refusal_reason::upstreams_unreachable);
            case attempt_result::outcome_unknown:
            case attempt_result::interrupted:
                break;
        }
        return this->refuse_or_cut(refusal_reason::outcome_unknown);
    }

    auto refuse_or_cut(refusal_reason reason) -> request_result {
        if (this->relay.started()) {
            this->context.responder.abort();
            return request_result{request_outcome::cut_off, this->relay.status()};
        }
        auto refused = refusal{reason, std::nullopt};
        auto const claims_not_run =
            reason != refusal_reason::timed_out && reason != refusal_reason::outcome_unknown;
        if (claims_not_run && this->may_have_run) {
            refused.reason = refusal_reason::outcome_unknown;
        } else if (auto const kept_away =
                       this->context.quarantine_refusal(base::monotonic_clock::now());
                   claims_not_run && kept_away) {
            refused = *kept_away;
        } else if (claims_not_run) {
            auto const paused =
                this->context.state().generation.paused_for(base::monotonic_clock::now());
            refused.retry_after = std::max(paused, this->return_delay());
        }
        return refuse<Wire>(this->context, refused);
    }

    // Returns after which time a refused caller should return: when those that wait now have had
    // their turn, or when a request that is outranked isn't any more.
    [[nodiscard]] auto return_delay() const -> base::duration {
        auto const now = base::monotonic_clock::now();
        auto& state = this->context.state();
        auto const& waiting = state.waiting[this->required];
        auto until_room = std::max(waiting.time_until_all_had_turns(now),
                                   state.generation.expected_prefill_time({}, this->prompt(), now));
        if (this->reservation_failure == attempt_result::no_capacity) {
            until_room = std::max(until_room, waiting.usual_turn());
        }
        if (this->outranked_until) {
            until_room = std::max(until_room, *this->outranked_until - now);
        }
        return routing::retry_after(until_room, this->context.answer_by() - now,
                                    this->context.host.view.draw());
    }

    [[nodiscard]] auto software_of(base::upstream_id const& engine) const
        -> base::software_version {
        auto const* const record = this->context.host.view.upstreams.find(engine);
        return record == nullptr ? base::software_version{} : record->software;
    }

    // `status` is the status of the engine's answer, or 0 if there was none.
    auto log_step(base::upstream_id const& engine, telemetry::literal what, int status = 0) const
        -> void {
        this->context.host.log.write(
            telemetry::log_level::info, "generation step failed",
            {this->context.caller.id,
             this->context.service,
             engine,
             telemetry::field::named("software", this->software_of(engine)),
             {"what", what},
             {"status", static_cast<std::int64_t>(status)},
             telemetry::field::named("prefilled_at", this->prefilled_at),
             {"age", base::monotonic_clock::now() - this->context.arrived}});
    }

    auto log_end() const -> void {
        this->context.host.log.write(
            telemetry::log_level::info, "generation ended",
            {this->context.caller.id,
             {"prompt_tokens", this->prompt()},
             {"reserved_tokens", this->reserved_tokens()},
             {"engines_asked", static_cast<std::int64_t>(this->engines_asked)},
             {"outranked", this->outranked_until.has_value()},
             {"waited", this->waited_until - this->waited_from},
             {"prefills", static_cast<std::int64_t>(this->prefills)},
             telemetry::field::named("prefilled_at", this->prefilled_at),
             telemetry::field::named("decoded_at", this->decoded_at),
             telemetry::field::named("software", this->required.value_or(base::software_version{})),
             telemetry::field::named("resumes", this->context.caller.resumed_request.value_or(
                                                    base::caller_request_id{})),
             {"first_event_after", this->relay.first_bytes_at().value_or(this->context.arrived) -
                                       this->context.arrived}});
    }

    // The limit on the bodies of prefill results, which are the name of one.
    static constexpr auto max_prefill_answer_bytes = std::size_t{64} * 1024;
    // The limit on the bodies of other answers that are not streamed.
    static constexpr auto max_engine_answer_bytes = std::size_t{1} * 1024 * 1024;

    request_context const& context;
    stream_relay<Wire> relay;
    // The rank among the requests of the service, if they are ranked.
    std::optional<routing::request_rank> rank;
    // Until when room is scarce for requests that rank before this one; not set if it isn't.
    std::optional<base::time_point> outranked_until;
    // The software version of the engines that the request may be sent to; nothing if it may be
    // any.
    std::optional<base::software_version> required;
    // When the caller leaves unless it has received an event.
    base::time_point event_by;
    // Begin and end of the last wait for room.
    base::time_point waited_from;
    base::time_point waited_until;
    std::size_t engines_asked = 0;
    // There are engines that may have room now or later.
    bool engines_known = false;
    std::size_t prefills = 0;
    std::size_t decodes = 0;
    // Decodes that the engine ran or may have run.
    std::size_t runs = 0;
    // Prefills, and decodes before their first event, that the engine broke off.
    std::size_t ends_before_answer = 0;
    bool may_have_run = false;
    // The last step failed because the engine could not be reached.
    bool reached_none = false;
    // An engine may have received the prompt for a prefill.
    bool prompt_may_have_arrived = false;
    int forwarded_status = 0;
    // The status of the last prefill's answer, or 0 if there was none.
    int prefill_status = 0;
    base::upstream_id prefilled_at;
    base::upstream_id decoded_at;
    attempt_result reservation_failure = attempt_result::no_capacity;
    attempt_result prefill_failure = attempt_result::unreachable;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_GENERATION_FORWARDER_H_

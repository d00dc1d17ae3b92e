// The scheduler of one cell: the whole decision on which request gets which engines, and when.
//
//   auto cell = scheduler{options{}};
//   for (auto const& command : cell.handle(event, now)) {
//       send(command);
//   }
//   wake_at(cell.next_deadline());
//
// It keeps the ledger of decode memory, the queues of acquires that wait, and the learned
// estimates. An acquire waits here until a prefill engine is about to be idle and a decode place is
// free or expected by the prefill's end; only then are engines named. It has no clock, no I/O and
// no thread: each event brings the time. Times of events never go back; one that does counts as the
// latest seen. Thread-compatible.

#ifndef LINNETLANE_CELL_SCHEDULER_H_
#define LINNETLANE_CELL_SCHEDULER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/admission.h"
#include "linnetlane/cell/booking.h"
#include "linnetlane/cell/booking_confidence.h"
#include "linnetlane/cell/estimates.h"
#include "linnetlane/cell/ledger.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/cell/placement.h"
#include "linnetlane/cell/placement_policy.h"
#include "linnetlane/cell/pool.h"
#include "linnetlane/cell/prefix_index.h"
#include "linnetlane/cell/waiting_queue.h"

namespace linnetlane::cell {

// How long a holder may use a grant without renewing it.
inline constexpr base::duration lease_length = std::chrono::seconds{2};
// How much longer the scheduler waits for a renewal that is on its way.
inline constexpr base::duration lease_grace = std::chrono::milliseconds{300};
// How often an abort is sent until it is confirmed.
inline constexpr base::duration abort_interval = std::chrono::milliseconds{200};
// The same for an engine that is out of reach or not in the document.
inline constexpr base::duration unheard_abort_interval = std::chrono::seconds{2};
// How long an ended attempt is remembered, so that late words on it are dropped.
inline constexpr base::duration ended_memory = std::chrono::seconds{30};
// How long before a prefill engine is predicted to be idle it gets its next prompt.
inline constexpr base::duration prefill_lookahead = std::chrono::milliseconds{20};
// How long before its prefill is predicted to end a booked place is given its pieces.
inline constexpr base::duration ready_lead = std::chrono::milliseconds{25};
// Answers' time in a decode engine before any was seen.
inline constexpr double first_residence_seconds = 5;
// The part of an engine's memory left free while the scheduler is starting, as 1/n.
inline constexpr std::int64_t starting_margin_divisor = 10;
// How long a report may be late: grants of ours that ended within this time may still show in it.
inline constexpr base::duration report_lag = std::chrono::seconds{2};
// How far back the most pieces in use are remembered to explain a report. While two keepers grant
// on one engine, a grant over-grants it by at most the pieces that its keeper had back within this
// time, and those that both granted since the last report was taken. A keeper that is starting
// over-grants nothing if the reports that it takes in are younger than the other's last grant.
inline constexpr base::duration report_memory = 2 * report_lag;

// What a scheduler starts with.
struct scheduler_options {
    placement_policy policy = decode_first{};
    // Until then the scheduler takes announcements, and grants only against reported load less a
    // margin. In the past if it is known that nothing is held.
    base::time_point starting_until;
};

// What one upstream shows of the ledger.
struct upstream_snapshot {
    base::upstream_id id;
    service::upstream_role role = service::upstream_role::plain;
    base::piece_count capacity;
    base::piece_count used;
    base::piece_count booked;
    base::piece_count foreign;
    std::int64_t running = 0;
    std::int64_t batch_limit = 0;
    bool takes_work = false;
    // How much slower than the cell's median the engine is.
    double prefill_pace = 1;
    double decode_pace = 1;
};

inline constexpr std::size_t refusal_count = 6;

// The state of a scheduler for metrics.
struct scheduler_snapshot {
    std::vector<upstream_snapshot> upstreams;
    std::size_t interactive_waiting = 0;
    std::size_t batch_waiting = 0;
    std::size_t grants = 0;
    // Refusals so far, in the order of `refusal`.
    std::array<std::uint64_t, refusal_count> refusals{};
    std::uint64_t granted = 0;
    std::uint64_t booked_ahead = 0;
    std::uint64_t moved = 0;
    base::duration interactive_wait{};
    base::duration batch_wait{};
    bool starting = false;
};

// What other cells need to know to spill requests here.
struct scheduler_summary {
    // Predicted waits of a new request.
    base::duration interactive_wait{};
    base::duration batch_wait{};
    base::piece_count free_pieces;
    // The part of new interactive work that is taken.
    base::fraction accepted_part{1};
    bool starting = false;
};

class scheduler {
public:
    explicit scheduler(scheduler_options const& start);

    // Takes in `what` at `now` and returns what is to be done, in order.
    auto handle(event const& what, base::time_point now) -> std::vector<command>;
    // When a `tick` is due at the latest; nothing if only an event can change anything.
    [[nodiscard]] auto next_deadline() const -> std::optional<base::time_point>;

    [[nodiscard]] auto snapshot() const -> scheduler_snapshot;
    [[nodiscard]] auto summary() const -> scheduler_summary;

private:
    // What was promised for one acquire before engines are named.
    struct prediction {
        base::duration prefill{};
        base::duration transfer{};
        base::duration service{};
        base::duration wait{};
    };
    enum class placing { placed, no_prefill, no_decode };

    // Events (scheduler_holders.cpp, scheduler_upstreams.cpp).
    auto on(acquire const& asked) -> void;
    auto on(renew const& what) -> void;
    auto on(release const& what) -> void;
    auto on(holder_gone const& what) -> void;
    auto on(upstream_report const& what) -> void;
    auto on(upstream_reachable const& what) -> void;
    auto on(cache_event const& what) -> void;
    auto on(aborted const& what) -> void;
    auto on(announce const& what) -> void;
    auto on(configure const& what) -> void;
    auto on(tick const& what) -> void;

    // Admission (scheduler_admission.cpp).
    [[nodiscard]] auto with_bearable_avoid(acquire question) const -> acquire;
    [[nodiscard]] auto pieces_of(acquire const& question) const -> base::piece_count;
    [[nodiscard]] auto predict(acquire const& question) const -> prediction;
    [[nodiscard]] auto prefill_wait(base::priority_class priority) const -> base::duration;
    [[nodiscard]] auto decode_wait(base::priority_class priority, base::piece_count pieces) const
        -> base::duration;
    [[nodiscard]] auto queue_delay() const -> base::duration;
    [[nodiscard]] auto bearable_wait() const -> base::duration;
    [[nodiscard]] auto reason_to_refuse(acquire const& question, prediction const& expected)
        -> std::optional<refusal>;
    [[nodiscard]] auto retry_time(prediction const& expected, acquire const& question) const
        -> base::time_point;
    [[nodiscard]] auto impossible(acquire const& question) const -> std::optional<refusal>;
    auto enqueue(acquire const& question, prediction const& expected) -> void;
    auto refuse_now(acquire const& question, refusal reason, base::time_point retry_at) -> void;
    auto take_kept(acquire const& question) -> void;

    // Placement (scheduler_dispatch.cpp).
    auto dispatch() -> void;
    auto dispatch(waiting_queue& queue) -> void;
    auto refuse_late(waiting_queue& queue) -> void;
    auto place(waiting_request const& request) -> placing;
    auto place_by_baseline(waiting_request const& request) -> placing;
    [[nodiscard]] auto choose_decode(waiting_request const& request, prefill_plan const& plan)
        -> std::optional<decode_place>;
    auto grant_now(waiting_request const& request, std::optional<prefill_plan> const& plan,
                   decode_place const& where) -> void;
    [[nodiscard]] auto ahead_limit(waiting_request const& request, prefill_plan const& plan)
        -> base::time_point;
    [[nodiscard]] auto release_expected(waiting_request const& request, base::time_point by)
        -> bool;
    auto confidence_for(base::piece_count pieces, base::priority_class priority)
        -> booking_confidence&;
    [[nodiscard]] auto decode_scarce() const -> bool;
    [[nodiscard]] auto pack_or_spread() const -> packing;
    auto predict_end(record& entry) -> void;
    auto serve_due_bookings() -> void;
    [[nodiscard]] auto engine_for_due(record const& entry) const -> std::optional<upstream_index>;
    [[nodiscard]] auto may_lend(upstream_index engine) const -> bool;
    auto make_due(record& entry) -> void;
    auto not_due(record const& entry) -> void;
    auto trade_booking(upstream_index from, upstream_index into) -> void;
    auto make_ready(record& entry, upstream_index engine) -> void;
    auto fail_booking(record& entry) -> void;
    auto drop_bookings(upstream_index engine) -> void;
    auto correct_idle(record& entry, bool prefill_over) -> void;

    // Endings (scheduler_endings.cpp).
    auto wake_record(record& entry) -> void;
    auto note_progress(record& entry) -> void;
    auto begin_abort(record& entry) -> void;
    auto send_aborts(record& entry) -> void;
    auto confirm_abort(record& entry, upstream_index engine) -> void;
    auto finish(record& entry) -> void;
    auto learn(record const& entry, release const& what) -> void;
    auto judge_health(record const& entry, ending how) -> void;
    auto end_probes(record const& entry) -> void;
    auto note_failure(upstream_index engine) -> void;
    auto remember_ended(attempt const& key) -> void;
    auto forget_ended() -> void;
    auto end_holder(holder const& who) -> void;
    [[nodiscard]] auto is_gone(holder const& who) const -> bool;
    [[nodiscard]] auto next_wake(record const& entry) const -> base::time_point;

    // Upstreams (scheduler_upstreams.cpp).
    auto refresh(upstream_index engine) -> void;
    auto refresh_all() -> void;
    auto end_rests() -> void;
    auto end_starting() -> void;
    auto note_peak(upstream_index engine) -> void;
    auto update_batch_limit(upstream_index engine) -> void;
    [[nodiscard]] auto room(upstream_index engine) const -> base::piece_count;
    [[nodiscard]] auto uncommitted(upstream_index engine) const -> std::int64_t;
    [[nodiscard]] auto takes_work(upstream_index engine) const -> bool;
    [[nodiscard]] auto is_decode(upstream_index engine) const -> bool;
    [[nodiscard]] auto capacity_of(upstream_index engine) const -> base::piece_count;

    scheduler_options start;
    base::time_point now;
    bool starting = false;
    std::vector<command> commands;

    service::engine_shape shape;
    service::targets targets;
    service::policy policy;

    upstream_pool pool;
    // Present upstreams by role.
    std::vector<upstream_index> prefill_engines;
    std::vector<upstream_index> decode_engines;
    ledger grants;
    estimates learned;
    prefix_index prefixes;
    rendezvous affinity;
    admission_gate gate;
    // By priority class.
    std::array<sized_confidence, 2> confidence;
    // Of interactive requests.
    sample_window<64> prompt_lengths;
    // Answers' time in a decode engine, for the rate of releases.
    sample_window<64> residences;

    waiting_queue interactive;
    waiting_queue batch;
    // Bookings whose prefill is about to end, the one that is useful for the shortest first.
    std::set<std::pair<base::time_point, attempt>> due_bookings;
    // Engines whose room is kept for a due booking that did not fit.
    std::vector<upstream_index> kept_clear;
    std::set<std::pair<base::time_point, upstream_index>> rests;
    // Whether a request found no decode place in the last dispatch.
    bool decode_contended = false;

    std::unordered_map<attempt, base::time_point, attempt_hash> ended;
    std::deque<std::pair<base::time_point, attempt>> ended_order;
    // The latest incarnation of each host that has ended.
    std::map<base::host_id, base::incarnation> gone;
    std::map<base::host_id, base::incarnation> seen;

    std::array<std::uint64_t, refusal_count> refusals{};
    std::uint64_t granted_count = 0;
    std::uint64_t booked_count = 0;
    std::uint64_t moved_count = 0;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_SCHEDULER_H_

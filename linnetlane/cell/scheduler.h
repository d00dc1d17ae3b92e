// The scheduler of one cell, which decides which request gets which engines, and when.
//
//   auto cell = scheduler{scheduler_options{}};
//   for (auto const& command : cell.handle(event, now)) {
//       send(command);
//   }
//   wake_at(cell.next_deadline());
//
// It maintains the ledger of decode memory, the queues of waiting acquires and the learned
// estimates. An acquire waits until a prefill engine is about to become idle and decode memory is
// free or expected to be free by the end of the prefill; only then are engines assigned. The
// scheduler has no clock, no I/O and no threads: the caller passes the time with each event. Time
// is monotonic: an event with an earlier time is handled at the latest time so far.
// Thread-compatible.

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
// How much longer the scheduler waits for a renewal that may be in transit.
inline constexpr base::duration lease_grace = std::chrono::milliseconds{300};
// Interval at which an abort is resent until it is confirmed.
inline constexpr base::duration abort_interval = std::chrono::milliseconds{200};
// The same for a decode engine that is unreachable or not in the service document.
inline constexpr base::duration unreachable_abort_interval = std::chrono::seconds{2};
// How long an ended attempt is remembered, so that late messages about it are dropped.
inline constexpr base::duration ended_retention = std::chrono::seconds{30};
// How long before a prefill engine is predicted to become idle it is assigned its next prompt.
inline constexpr base::duration prefill_lookahead = std::chrono::milliseconds{20};
// How long before the predicted end of its prefill a booking is given its pieces.
inline constexpr base::duration ready_lead = std::chrono::milliseconds{25};
// Assumed time of an answer in a decode engine until one has completed.
inline constexpr double initial_residence_seconds = 5;
// While the scheduler is starting, it leaves 1/n of each engine's memory free.
inline constexpr std::int64_t starting_margin_divisor = 10;
// Upper bound on the delay of a report: grants that ended within this time may still count in it.
inline constexpr base::duration report_lag = std::chrono::seconds{2};
// How far back the peak of pieces in use may account for the pieces in a report. While two keepers
// grant on one engine, a grant exceeds the engine's memory by at most the pieces that were released
// to the granting keeper within this time, plus those that both granted since the last report was
// taken. The grants of a starting keeper never exceed the memory if its reports are newer than the
// other keeper's last grant.
inline constexpr base::duration report_peak_window = 2 * report_lag;

// Options of a new scheduler.
struct scheduler_options {
    placement_policy policy = decode_first{};
    // Until then, holders announce their grants, and the scheduler grants only memory that is free
    // by the engines' reports, minus a margin. In the past if it is known that there are no grants.
    base::time_point starting_until;
};

// The state of one upstream for metrics.
struct upstream_snapshot {
    base::upstream_id id;
    service::upstream_role role = service::upstream_role::plain;
    base::piece_count capacity;
    base::piece_count used;
    base::piece_count booked;
    // Pieces in use by its last report that the ledger doesn't account for.
    base::piece_count foreign;
    std::int64_t running = 0;
    // Answers that it can run within the time-between-tokens target.
    std::int64_t batch_limit = 0;
    bool takes_work = false;
    // The engine's times relative to the cell's median; 2 is twice as slow.
    double prefill_slowdown = 1;
    double decode_slowdown = 1;
};

// Number of values of `refusal`.
inline constexpr std::size_t refusal_count = 6;

// The state of a scheduler for metrics.
struct scheduler_snapshot {
    std::vector<upstream_snapshot> upstreams;
    std::size_t interactive_waiting = 0;
    std::size_t batch_waiting = 0;
    // Records in the ledger: booked, held and aborting.
    std::size_t grants = 0;
    // Totals since the start; refusals in the order of `refusal`.
    std::array<std::uint64_t, refusal_count> refusals{};
    std::uint64_t granted = 0;
    std::uint64_t booked_ahead = 0;
    // Bookings that became ready in another engine than they were booked in.
    std::uint64_t moved = 0;
    // Predicted waits of a new request.
    base::duration interactive_wait{};
    base::duration batch_wait{};
    bool starting = false;
};

// What other cells need to know to send requests to this one.
struct scheduler_summary {
    // Predicted waits of a new request.
    base::duration interactive_wait{};
    base::duration batch_wait{};
    base::piece_count free_pieces;
    bool starting = false;
};

// A state machine without I/O: maps each event to the commands that it causes.
class scheduler {
public:
    explicit scheduler(scheduler_options const& options);

    // Handles `message` at `now` and returns the commands to execute, in order.
    auto handle(event const& message, base::time_point now) -> std::vector<command>;
    // When the next `tick` is due; nothing if nothing changes before the next event.
    [[nodiscard]] auto next_deadline() const -> std::optional<base::time_point>;

    [[nodiscard]] auto snapshot() const -> scheduler_snapshot;
    [[nodiscard]] auto summary() const -> scheduler_summary;

private:
    // The times predicted for an acquire on arrival: `service` from the start of its prefill to the
    // first token, and `wait` until that start.
    struct prediction {
        base::duration prefill{};
        base::duration transfer{};
        base::duration service{};
        base::duration wait{};
    };
    enum class placement_result { placed, no_prefill, no_decode };

    // Events (scheduler_holders.cpp, scheduler_upstreams.cpp).
    auto on(acquire const& message) -> void;
    auto on(renew const& message) -> void;
    auto on(release const& message) -> void;
    auto on(holder_gone const& message) -> void;
    auto on(upstream_report const& message) -> void;
    auto on(upstream_reachable const& message) -> void;
    auto on(cache_event const& message) -> void;
    auto on(aborted const& message) -> void;
    auto on(announce const& message) -> void;
    auto on(configure const& message) -> void;
    auto on(tick const& message) -> void;

    // Admission (scheduler_admission.cpp).
    [[nodiscard]] auto with_satisfiable_avoid(acquire message) const -> acquire;
    [[nodiscard]] auto pieces_of(acquire const& message) const -> base::piece_count;
    [[nodiscard]] auto predict(acquire const& message) const -> prediction;
    [[nodiscard]] auto work_before(acquire const& message, base::duration service) const
        -> queued_work;
    // The waits for engines behind queued work of that size.
    [[nodiscard]] auto prefill_wait(double queued_seconds) const -> base::duration;
    [[nodiscard]] auto decode_wait(base::piece_count queued) const -> base::duration;
    [[nodiscard]] auto reason_to_refuse(acquire const& message, prediction const& expected)
        -> std::optional<refusal>;
    [[nodiscard]] auto retry_time(prediction const& expected, acquire const& message) const
        -> base::time_point;
    [[nodiscard]] auto unservable_reason(acquire const& message) const -> std::optional<refusal>;
    auto enqueue(acquire const& message, prediction const& expected) -> void;
    auto refuse_now(acquire const& message, refusal reason, base::time_point retry_at) -> void;
    auto grant_kept_result(acquire const& message) -> void;

    // Placement (scheduler_dispatch.cpp).
    auto dispatch() -> void;
    auto dispatch(waiting_queue& queue) -> void;
    auto refuse_late(waiting_queue& queue) -> void;
    auto place(waiting_request const& request) -> placement_result;
    auto place_by_baseline(waiting_request const& request) -> placement_result;
    [[nodiscard]] auto choose_decode(waiting_request const& request, prefill_plan const& plan)
        -> std::optional<decode_placement>;
    auto grant_now(waiting_request const& request, std::optional<prefill_plan> const& plan,
                   decode_placement const& where) -> void;
    [[nodiscard]] auto booking_deadline(waiting_request const& request, prefill_plan const& plan)
        -> base::time_point;
    [[nodiscard]] auto is_release_expected(waiting_request const& request, base::time_point by)
        -> bool;
    auto confidence_for(base::piece_count pieces, base::priority_class priority)
        -> booking_confidence&;
    [[nodiscard]] auto is_decode_scarce() const -> bool;
    [[nodiscard]] auto choose_packing() const -> packing;
    auto predict_end(record& entry) -> void;
    auto serve_due_bookings() -> void;
    [[nodiscard]] auto engine_for_due(record const& entry) const -> std::optional<upstream_index>;
    [[nodiscard]] auto may_lend(upstream_index engine) const -> bool;
    auto mark_due(record& entry) -> void;
    auto clear_due(record const& entry) -> void;
    auto swap_booking(upstream_index from, upstream_index into) -> void;
    auto make_ready(record& entry, upstream_index engine) -> void;
    auto fail_booking(record& entry) -> void;
    auto drop_bookings(upstream_index engine) -> void;
    auto update_prefill_end(record& entry, bool prefill_over) -> void;

    // Endings (scheduler_endings.cpp).
    auto wake_record(record& entry) -> void;
    auto update_progress(record& entry) -> void;
    auto begin_abort(record& entry) -> void;
    auto send_aborts(record& entry) -> void;
    auto confirm_abort(record& entry, upstream_index engine) -> void;
    auto finish(record& entry) -> void;
    auto learn(record const& entry, release const& message) -> void;
    auto update_health(record const& entry, ending reason) -> void;
    auto release_probes(record const& entry) -> void;
    auto record_failure(upstream_index engine) -> void;
    auto remember_ended(attempt const& key) -> void;
    auto forget_ended() -> void;
    auto end_holder(holder const& holder) -> void;
    [[nodiscard]] auto is_gone(holder const& holder) const -> bool;
    [[nodiscard]] auto next_wake(record const& entry) const -> base::time_point;

    // Upstreams (scheduler_upstreams.cpp).
    auto refresh(upstream_index engine) -> void;
    auto refresh_all() -> void;
    auto end_ejections() -> void;
    auto end_starting() -> void;
    auto update_peak(upstream_index engine) -> void;
    auto update_batch_limit(upstream_index engine) -> void;
    [[nodiscard]] auto room(upstream_index engine) const -> base::piece_count;
    [[nodiscard]] auto uncommitted(upstream_index engine) const -> std::int64_t;
    [[nodiscard]] auto takes_work(upstream_index engine) const -> bool;
    [[nodiscard]] auto is_decode(upstream_index engine) const -> bool;
    [[nodiscard]] auto capacity_of(upstream_index engine) const -> base::piece_count;

    scheduler_options options;
    base::time_point now;
    bool starting = false;
    std::vector<command> commands;

    service::engine_shape shape;
    service::targets targets;
    service::policy policy;

    upstream_pool pool;
    // Upstreams in the service document, by role.
    std::vector<upstream_index> prefill_engines;
    std::vector<upstream_index> decode_engines;
    ledger grants;
    estimates learned;
    prefix_index prefixes;
    rendezvous affinity;
    admission_gate gate;
    // Indexed by priority class.
    std::array<sized_confidence, 2> confidence;
    // Seconds that answers spend in a decode engine, from which the release rate is predicted.
    sample_window<64> residences;

    waiting_queue interactive;
    waiting_queue batch;
    // Bookings whose prefill is about to end, ordered by when they become useless.
    std::set<std::pair<base::time_point, attempt>> due_bookings;
    // Engines whose room is reserved for a due booking that doesn't fit yet.
    std::vector<upstream_index> reserved_engines;
    // Ejected engines by the end of their ejection.
    std::set<std::pair<base::time_point, upstream_index>> ejections;
    // Whether a request found no decode engine in the last dispatch.
    bool decode_contended = false;

    // Ended attempts and until when they are remembered.
    std::unordered_map<attempt, base::time_point, attempt_hash> ended;
    std::deque<std::pair<base::time_point, attempt>> ended_order;
    // The latest incarnation of each host that is known to have ended.
    std::map<base::host_id, base::incarnation> gone_incarnations;
    std::map<base::host_id, base::incarnation> seen;

    std::array<std::uint64_t, refusal_count> refusals{};
    std::uint64_t granted_count = 0;
    std::uint64_t booked_count = 0;
    std::uint64_t moved_count = 0;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_SCHEDULER_H_

// The ledger of a cell: which holder uses how many KV cache blocks ("pieces") in which decode
// engine, and until when.
//
// The pieces of a grant are in use from the time the grant becomes ready until its holder releases
// it and states that no engine still uses the memory, or until the decode engine confirms an abort.
// A booked grant only reserves pieces that are expected to become free in its engine. The ledger
// does accounting only; all decisions are made by the scheduler. Upstreams are identified by their
// index in the scheduler's table. Thread-compatible.

#ifndef LINNETLANE_CELL_LEDGER_H_
#define LINNETLANE_CELL_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/estimates.h"
#include "linnetlane/cell/messages.h"

namespace linnetlane::cell {

// Index of an upstream in the scheduler's table.
using upstream_index = std::uint32_t;

struct attempt_hash {
    auto operator()(attempt const& key) const noexcept -> std::size_t {
        return std::hash<base::request_id>{}(key.request) + key.number.value;
    }
};

// `booked`: granted, but the pieces are not free yet. `held`: the pieces are in use. `aborting`:
// the grant has no holder any more, and an engine has not yet confirmed that it dropped the
// attempt.
enum class record_state { booked, held, aborting };

// One grant in the ledger.
struct record {
    cell::attempt attempt;
    cell::holder holder;
    // Selects the length distribution from which the end of the answer is predicted.
    output_kind kind;
    base::priority_class priority = base::priority_class::interactive;
    std::optional<upstream_index> prefill;
    upstream_index decode = 0;
    base::piece_count pieces;
    base::token_count prompt;
    base::token_count output_bound;
    base::token_count produced;
    record_state state = record_state::held;
    cell::phase phase = cell::phase::granted;
    // When the grant expires unless its holder renews it.
    base::time_point lease;
    base::time_point prefill_start;
    // When the prefill result is predicted to be complete.
    base::time_point prefill_end;
    // When a booking becomes useless, because the prefill result expires or the transfer would end
    // after the deadline of the first token.
    base::time_point useful_until;
    // Whether this is a due booking: its prefill is about to end, so the scheduler gives it the
    // next pieces that become free.
    bool due = false;
    // When the answer is predicted to end.
    base::time_point expected_end;
    base::time_point decode_start;
    // Since when its pieces are in use, and the number of requests at its decode engine at that
    // time, including this one.
    base::time_point held_since;
    std::int64_t running_at_start = 0;
    // Whether it was granted by an earlier keeper and announced by its holder.
    bool announced = false;
    // Whether its pieces count as used in the decode engine's account.
    bool uses_pieces = false;
    // Engines that still have to confirm an abort.
    bool abort_prefill = false;
    bool abort_decode = false;
    base::time_point next_abort;
    // When the scheduler processes this record next; set by `ledger::schedule_wake`.
    base::time_point wake;
    // Position in the order of insertion.
    std::uint64_t serial = 0;
};

// Totals of one upstream.
struct account {
    // Pieces used by held and aborting grants.
    base::piece_count used;
    // The part of `used` that an earlier keeper granted.
    base::piece_count announced;
    // Pieces reserved by booked grants.
    base::piece_count booked;
    std::int64_t running = 0;
    std::int64_t bookings = 0;
    // All records with this decode engine, including booked ones.
    std::vector<record*> records;
};

// The grants of one cell, and the totals of each upstream.
class ledger {
public:
    // Accounts point to records, so a ledger is movable but not copyable.
    ledger() = default;
    ledger(ledger const&) = delete;
    ledger(ledger&&) = default;
    auto operator=(ledger const&) -> ledger& = delete;
    auto operator=(ledger&&) -> ledger& = default;
    ~ledger() = default;

    // Creates the accounts of all upstreams up to this index. Must be called before a
    // record that refers to one of them is inserted.
    auto ensure_account(upstream_index upstream) -> void;

    // Inserts a booked or held grant and returns its record. The attempt must not be in the ledger.
    auto insert(record const& entry) -> record&;
    // Returns null if the attempt is not in the ledger.
    [[nodiscard]] auto find(attempt const& key) -> record*;
    // Turns a booked record into a held one in engine `decode`.
    auto make_held(record& entry, upstream_index decode) -> void;
    // Moves a booking to engine `decode`.
    auto move_booking(record& entry, upstream_index decode) -> void;
    // Marks a record as aborting; its pieces remain used if it was held.
    auto make_aborting(record& entry) -> void;
    // Frees the pieces of an aborting record once its decode engine confirmed the abort.
    auto free_pieces(record& entry) -> void;
    // Frees the pieces of a record and removes it; `entry` is dangling afterwards.
    auto erase(record& entry) -> void;

    // Sets when the scheduler has to process `entry` next.
    auto schedule_wake(record& entry, base::time_point wake) -> void;
    // The record with the earliest wake time, or null.
    [[nodiscard]] auto next() const -> record*;

    [[nodiscard]] auto account_of(upstream_index upstream) const -> account const& {
        return this->accounts[upstream];
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->records.size(); }
    // Attempts that are booked or held by `host` in incarnations up to `incarnation`, sorted.
    [[nodiscard]] auto attempts_of(base::host_id const& host, base::incarnation incarnation) const
        -> std::vector<attempt>;

private:
    auto add_to_account(record& entry) -> void;
    auto remove_from_account(record& entry) -> void;

    std::unordered_map<attempt, record, attempt_hash> records;
    std::vector<account> accounts;
    std::map<std::pair<base::time_point, std::uint64_t>, record*> wake_order;
    std::uint64_t next_serial = 0;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_LEDGER_H_

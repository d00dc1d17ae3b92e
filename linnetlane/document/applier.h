// Applies operators' changes by compare-and-swap on the platform.
//
// A change names the generation that it replaces. If that generation is in force, the new version
// is written as the next one; otherwise the operator gets the version in force. After a lost answer
// the version is read back, and the write repeated with the same write id, until the outcome is
// known or the deadline passes.

#ifndef LINNETLANE_DOCUMENT_APPLIER_H_
#define LINNETLANE_DOCUMENT_APPLIER_H_

#include <map>
#include <optional>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/coordination/store.h"
#include "linnetlane/document/acceptor.h"
#include "linnetlane/document/backoff.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/document/outbox.h"

namespace linnetlane::document {

// Time from an operator's call after which a lost answer is no longer retried.
inline constexpr auto apply_timeout = base::duration{std::chrono::seconds{5}};
// Wait before the first read after a lost answer; doubled up to `max_settle_backoff`.
inline constexpr auto min_settle_backoff = base::duration{std::chrono::milliseconds{100}};
inline constexpr auto max_settle_backoff = base::duration{std::chrono::seconds{1}};

// Runs the apply and history calls of operators. Thread-compatible.
class applier {
public:
    // Starts a change or, if its document is invalid, refuses it.
    auto begin(apply const& request, base::time_point now, acceptor& versions, outbox& out) -> void;
    // Starts to read the stored versions of a service.
    auto begin(history const& request, outbox& out) -> void;
    // Returns whether the answer was to one of the applier's calls.
    auto handle(coordination::store_answer const& answer, base::time_point now, acceptor& versions,
                random_generator& random, outbox& out) -> bool;
    // Reads back the changes whose retry is due.
    auto run_due(base::time_point now, outbox& out) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point;

private:
    enum class stage { reading, swapping, settling, reading_history };
    struct operation {
        apply request;
        applier::stage stage = stage::reading;
        coordination::call_number call;
        // Whether a swap was sent whose answer was lost.
        bool uncertain = false;
        version candidate;
        base::time_point retry_at = base::time_point::max();
        base::time_point deadline;
        backoff retries{min_settle_backoff, max_settle_backoff};
    };
    using operations = std::map<apply_number, operation>;

    auto find(coordination::call_number call) -> operations::iterator;
    auto read_current(operation& op, outbox& out) -> void;
    auto on_read(operations::iterator op, coordination::entries_read const& answer,
                 acceptor& versions, outbox& out) -> void;
    auto on_swap(operations::iterator op, coordination::swap_answer const& answer,
                 acceptor& versions, outbox& out) -> void;
    auto on_failure(operations::iterator op, coordination::call_failed const& failed,
                    base::time_point now, random_generator& random, outbox& out) -> void;
    auto continue_from(operations::iterator op, std::optional<coordination::entry> const& stored,
                       acceptor& versions, outbox& out) -> void;
    auto swap(operation& op, version const* current, coordination::revision expected, outbox& out)
        -> void;
    auto settle_by_history(operations::iterator op, coordination::entries_read const& answer,
                           acceptor& versions, outbox& out) -> void;
    auto report_applied(operations::iterator op, acceptor& versions, outbox& out) -> void;
    auto report_conflict(operations::iterator op, version const* current, outbox& out) -> void;
    auto refuse(operations::iterator op, refusal reason, outbox& out) -> void;
    auto answer_history(coordination::store_answer const& answer, outbox& out) -> bool;

    operations in_progress;
    std::map<coordination::call_number, history> histories;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_APPLIER_H_

// Carries out operators' changes by compare-and-swap on the platform.
//
// A change names the generation that it replaces. If that is in force, the new version is swapped
// in as the next one; if not, the operator gets the version that is. After a lost answer the
// change is read back, and tried again under the same write id, until its fate is certain or the
// deadline comes.

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

// From an operator's call to its answer, at most.
inline constexpr auto apply_patience = base::duration{std::chrono::seconds{5}};
// Before the first try to settle a lost answer; doubled up to `longest_settle`.
inline constexpr auto first_settle = base::duration{std::chrono::milliseconds{100}};
inline constexpr auto longest_settle = base::duration{std::chrono::seconds{1}};

// Thread-compatible.
class applier {
public:
    auto begin(apply const& wanted, base::time_point now, acceptor& versions, outbox& out) -> void;
    auto begin(history const& wanted, outbox& out) -> void;
    // Whether the answer was to one of the applier's calls.
    auto handle(coordination::store_answer const& answer, base::time_point now, acceptor& versions,
                random_generator& random, outbox& out) -> bool;
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
        backoff retries{first_settle, longest_settle};
    };
    using operations = std::map<apply_number, operation>;

    auto find(coordination::call_number call) -> operations::iterator;
    auto read_current(operation& each, outbox& out) -> void;
    auto on_read(operations::iterator each, coordination::entries_read const& answer,
                 acceptor& versions, outbox& out) -> void;
    auto on_swap(operations::iterator each, coordination::swap_answer const& answer,
                 acceptor& versions, outbox& out) -> void;
    auto on_failure(operations::iterator each, coordination::call_failed const& failed,
                    base::time_point now, random_generator& random, outbox& out) -> void;
    auto decide(operations::iterator each, std::optional<coordination::entry> const& stored,
                acceptor& versions, outbox& out) -> void;
    auto swap(operation& each, version const* current, coordination::revision expected, outbox& out)
        -> void;
    auto settle_by_history(operations::iterator each, coordination::entries_read const& answer,
                           acceptor& versions, outbox& out) -> void;
    auto succeed(operations::iterator each, acceptor& versions, outbox& out) -> void;
    auto lose(operations::iterator each, version const* current, outbox& out) -> void;
    auto refuse(operations::iterator each, refusal reason, outbox& out) -> void;
    auto answer_history(coordination::store_answer const& answer, outbox& out) -> bool;

    operations under_way;
    std::map<coordination::call_number, history> histories;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_APPLIER_H_

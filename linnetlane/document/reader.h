// Follows the platform on behalf of a data centre: one read of all documents, one watch over them,
// and a read now and then for what a watch missed.
//
// Where the platform holds an older version than the host has, it was restored from an old copy:
// the reader writes the newer one back.

#ifndef LINNETLANE_DOCUMENT_READER_H_
#define LINNETLANE_DOCUMENT_READER_H_

#include <map>
#include <optional>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/coordination/store.h"
#include "linnetlane/document/acceptor.h"
#include "linnetlane/document/backoff.h"
#include "linnetlane/document/outbox.h"

namespace linnetlane::document {

// Between two reads of all documents while the watch stands.
inline constexpr auto reread_period = base::duration{std::chrono::seconds{60}};
// The bounds of the waits after a failure.
inline constexpr auto first_retry = base::duration{std::chrono::milliseconds{500}};
inline constexpr auto longest_retry = base::duration{std::chrono::seconds{8}};
// After a watch showed an older version than the host has.
inline constexpr auto recheck_wait = base::duration{std::chrono::seconds{1}};

// Thread-compatible.
class reader {
public:
    // Begins or ends to read.
    auto set_active(bool wanted, base::time_point now, outbox& out) -> void;
    // Whether the answer was one of this reader's calls.
    auto handle(coordination::store_answer const& answer, base::time_point now, acceptor& versions,
                random_generator& random, outbox& out) -> bool;
    auto run_due(base::time_point now, outbox& out) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point;
    // Whether all documents were read from the platform once.
    [[nodiscard]] auto has_read() const -> bool { return this->read_once; }

private:
    auto on_read(coordination::entries_read const& answer, base::time_point now, acceptor& versions,
                 random_generator& random, outbox& out) -> void;
    auto on_changes(coordination::watch_changes const& answer, base::time_point now,
                    acceptor& versions, random_generator& random, outbox& out) -> void;
    auto on_restored(coordination::swap_answer const& answer, base::time_point now,
                     random_generator& random) -> void;
    auto on_lost(coordination::call_number call, base::time_point now, random_generator& random)
        -> bool;
    auto watch_from(coordination::revision at, outbox& out) -> void;
    auto take_entry(coordination::entry const& found, acceptor& versions, outbox& out) -> void;
    auto restore_older(coordination::entries_read const& answer, acceptor const& versions,
                       outbox& out) -> void;
    auto restore(version const& kept, coordination::revision expected, outbox& out) -> void;

    bool active = false;
    bool read_once = false;
    std::optional<coordination::call_number> reading;
    std::optional<coordination::call_number> watching;
    coordination::revision last_read_at;
    std::map<base::service_id, coordination::call_number> restoring;
    base::time_point next_read = base::time_point::max();
    backoff retries{first_retry, longest_retry};
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_READER_H_

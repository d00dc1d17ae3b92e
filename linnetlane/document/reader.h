// Reads the documents from the platform for a data centre: one read of all documents, a watch for
// changes, and periodic reads for changes that the watch missed.
//
// If the platform holds an older version than the host, it was restored from a backup; the reader
// writes the newer version back.

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

// Time between two reads of all documents while the watch is open.
inline constexpr auto reread_period = base::duration{std::chrono::seconds{60}};
// Bounds of the wait after a failed call.
inline constexpr auto min_retry_backoff = base::duration{std::chrono::milliseconds{500}};
inline constexpr auto max_retry_backoff = base::duration{std::chrono::seconds{8}};
// Wait before a read after the watch reported a version other than the host's, or after a
// write-back found another value.
inline constexpr auto recheck_delay = base::duration{std::chrono::seconds{1}};

// Keeps an acceptor's versions up to date with the platform while active. Thread-compatible.
class reader {
public:
    // Starts or stops reading.
    auto set_active(bool should_read, base::time_point now, outbox& out) -> void;
    // Returns whether the answer was to one of the reader's calls.
    auto handle(coordination::store_answer const& answer, base::time_point now, acceptor& versions,
                random_generator& random, outbox& out) -> bool;
    // Starts a read of all documents if it is due.
    auto run_due(base::time_point now, outbox& out) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point;
    // Whether all documents were read from the platform at least once.
    [[nodiscard]] auto has_read_all() const -> bool { return this->read_once; }

private:
    auto on_read(coordination::entries_read const& answer, base::time_point now, acceptor& versions,
                 random_generator& random, outbox& out) -> void;
    auto on_changes(coordination::watch_changes const& answer, base::time_point now,
                    acceptor& versions, random_generator& random, outbox& out) -> void;
    auto on_written_back(coordination::swap_answer const& answer, base::time_point now,
                         random_generator& random) -> void;
    auto on_call_lost(coordination::call_number call, base::time_point now,
                      random_generator& random) -> bool;
    auto watch_from(coordination::revision at, outbox& out) -> void;
    auto accept_entry(coordination::entry const& found, acceptor& versions, outbox& out) -> void;
    auto write_back_newer(coordination::entries_read const& answer, acceptor const& versions,
                          outbox& out) -> void;
    auto write_back(version const& local, coordination::revision expected, outbox& out) -> void;

    bool active = false;
    bool read_once = false;
    std::optional<coordination::call_number> reading;
    std::optional<coordination::call_number> watching;
    coordination::revision last_read_at;
    std::map<base::service_id, coordination::call_number> writing_back;
    base::time_point next_read = base::time_point::max();
    backoff retries{min_retry_backoff, max_retry_backoff};
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_READER_H_

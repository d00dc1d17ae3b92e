// This host's service documents: the newest valid version of each, from the platform, peers or
// operators, and the changes of operators.
//
//   auto documents = store{validate, seed};
//   auto const commands = documents.handle(view_changed{peers, true}, now);
//   // ... run the commands, and come back at documents.next_deadline()

#ifndef LINNETLANE_DOCUMENT_STORE_H_
#define LINNETLANE_DOCUMENT_STORE_H_

#include <cstdint>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/document/acceptor.h"
#include "linnetlane/document/applier.h"
#include "linnetlane/document/backoff.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/document/outbox.h"
#include "linnetlane/document/reader.h"
#include "linnetlane/document/replicator.h"
#include "linnetlane/document/version_table.h"

namespace linnetlane::document {

// Decides on reads, replication and changes of documents without doing I/O. Thread-compatible.
class store {
public:
    // `seed` initialises the random choice of peers and the jitter.
    store(validator valid, std::uint64_t seed);

    // Handles one event at `now` and returns the commands to carry out.
    auto handle(event const& incoming, base::time_point now) -> std::vector<command>;
    // The time by which a `tick` is due; `time_point::max()` if nothing waits.
    [[nodiscard]] auto next_deadline() const -> base::time_point;

    // The versions in force, tombstones included. Its digest is published with heartbeats.
    [[nodiscard]] auto table() const -> version_table const& { return this->versions.table(); }
    // Whether all documents are known, as reported by `documents_known`.
    [[nodiscard]] auto all_known() const -> bool { return this->known; }

private:
    auto on(received const& notice, base::time_point now) -> void;
    auto on(view_changed const& notice, base::time_point now) -> void;
    auto on(store_answered const& notice, base::time_point now) -> void;
    auto on(apply const& notice, base::time_point now) -> void;
    auto on(history const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;
    auto report_known() -> void;

    random_generator random;
    acceptor versions;
    reader platform_reader;
    replicator peer_replicator;
    applier change_applier;
    bool known = false;
    outbox out;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_STORE_H_

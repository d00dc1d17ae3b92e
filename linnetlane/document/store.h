// This host's service documents: the newest valid version of each, whatever brought it, and the
// operators' changes.
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

// Thread-compatible.
class store {
public:
    store(validator valid, std::uint64_t seed);

    auto handle(event const& happened, base::time_point now) -> std::vector<command>;
    // When `tick` is due at the latest.
    [[nodiscard]] auto next_deadline() const -> base::time_point;

    // The versions in force, tombstones included; its digest rides on heartbeats.
    [[nodiscard]] auto table() const -> version_table const& { return this->versions.table(); }
    // Whether all documents are known, as `documents_known` reported.
    [[nodiscard]] auto all_known() const -> bool { return this->known; }

private:
    auto on(received const& notice, base::time_point now) -> void;
    auto on(view_changed const& notice, base::time_point now) -> void;
    auto on(store_answered const& notice, base::time_point now) -> void;
    auto on(apply const& notice, base::time_point now) -> void;
    auto on(history const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;
    auto note_known() -> void;

    random_generator random;
    acceptor versions;
    reader from_platform;
    replicator peers;
    applier changes;
    bool known = false;
    outbox out;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_STORE_H_

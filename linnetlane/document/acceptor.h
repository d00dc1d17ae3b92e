// The one way by which a version comes into force on a host, whatever brought it.

#ifndef LINNETLANE_DOCUMENT_ACCEPTOR_H_
#define LINNETLANE_DOCUMENT_ACCEPTOR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/document/outbox.h"
#include "linnetlane/document/version_table.h"

namespace linnetlane::document {

// What is wrong with a document, for the operator's eyes.
struct validation_error {
    std::string text;

    friend auto operator==(validation_error const&, validation_error const&) -> bool = default;
};

// Says what is wrong with a version that isn't a tombstone; nothing if it is valid.
using validator = std::function<std::optional<validation_error>(version const&)>;

// Thread-compatible.
class acceptor {
public:
    explicit acceptor(validator valid) : find_fault(std::move(valid)) {}

    // What is wrong with `candidate`; nothing for a valid document or a tombstone.
    [[nodiscard]] auto fault_of(version const& candidate) const -> std::optional<validation_error>;
    // Puts `candidate` in force if it is newer and valid, and returns whether it did. A fault is
    // reported once for each version.
    auto accept(version const& candidate, outbox& out) -> bool;
    // Reports that the platform holds for `service` what is no document at all.
    auto report(base::service_id const& service, validation_error const& fault, outbox& out)
        -> void;
    [[nodiscard]] auto table() const -> version_table const& { return this->kept; }
    // The services that came into force since the last time.
    auto take_accepted() -> std::vector<base::service_id>;

private:
    validator find_fault;
    version_table kept;
    std::map<base::service_id, validation_error> reported;
    std::vector<base::service_id> accepted;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_ACCEPTOR_H_

// Validates versions and puts them in force on this host. All versions pass through here, whether
// they come from the platform, a peer or an operator.

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

// Why a document is invalid, as text for operators.
struct validation_error {
    std::string text;

    friend auto operator==(validation_error const&, validation_error const&) -> bool = default;
};

// Returns the error in a version that isn't a tombstone; `nullopt` if it is valid.
using validator = std::function<std::optional<validation_error>(version const&)>;

// Holds the versions in force. Thread-compatible.
class acceptor {
public:
    explicit acceptor(validator valid) : validate_document(std::move(valid)) {}

    // The error in `candidate`; `nullopt` for a valid document or a tombstone.
    [[nodiscard]] auto validate(version const& candidate) const -> std::optional<validation_error>;
    // Puts `candidate` in force if it is newer and valid, and returns whether it did. An invalid
    // version is reported, unless the last error reported for the service is the same.
    auto accept(version const& candidate, outbox& out) -> bool;
    // Reports an invalid value or version of `service`, unless the last report has the same error.
    auto report_invalid(base::service_id const& service, validation_error const& error, outbox& out)
        -> void;
    [[nodiscard]] auto table() const -> version_table const& { return this->versions; }
    // The services whose versions came into force since the last call.
    auto take_accepted() -> std::vector<base::service_id>;

private:
    validator validate_document;
    version_table versions;
    std::map<base::service_id, validation_error> reported_errors;
    std::vector<base::service_id> accepted;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_ACCEPTOR_H_

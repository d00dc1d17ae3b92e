// Validates a service document: bounds of its values and consistency between them.

#ifndef LINNETLANE_SERVICE_CHECK_H_
#define LINNETLANE_SERVICE_CHECK_H_

#include <vector>

#include "linnetlane/service/document.h"
#include "linnetlane/service/error.h"

namespace linnetlane::service {

// Returns all errors in `checked`, without line numbers; empty if the document is valid. A
// tombstone needs no upstreams.
[[nodiscard]] auto check_document(document const& checked) -> std::vector<document_error>;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_CHECK_H_

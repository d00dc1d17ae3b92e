// The text form of a service document, TOML:
//
//   id = "finding"
//   kind = "model"
//   [targets]
//   first_token = "1.8s"
//   [[upstreams]]
//   id = "finding-p1"
//   data_centre = "bne-north"
//   role = "prefill"
//   address = "10.0.0.5:8000"
//
// Parsing is strict: unknown keys are errors, and all errors of a document are
// reported together. Only a syntax error is reported alone.

#ifndef LINNETLANE_SERVICE_PARSE_H_
#define LINNETLANE_SERVICE_PARSE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/service/document.h"
#include "linnetlane/service/error.h"

namespace linnetlane::service {

// Maximum size of a document's text in bytes; the platform limits the size of its values.
inline constexpr auto max_document_bytes = std::size_t{1'000'000};

// Parses and validates `text`. Errors are sorted by line.
[[nodiscard]] auto parse_document(std::string_view text)
    -> base::result<document, std::vector<document_error>>;

// Formats `written` as TOML. A document that passes `check_document` round-trips through
// `parse_document` unchanged.
[[nodiscard]] auto format_document(document const& written) -> std::string;

// Returns `text`, the TOML of a document, with its generation set to `generation`. Replaces the
// line that sets the generation, including a comment on it, or inserts such a line at the start.
// All other lines are unchanged, so that the comments and layout of their authors are preserved.
[[nodiscard]] auto with_generation(std::string_view text, base::generation generation)
    -> std::string;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_PARSE_H_

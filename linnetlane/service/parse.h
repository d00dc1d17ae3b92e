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
// Reading is strict: what isn't known is an error, and all errors are reported at once.

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

// Bytes of text that a document may have; the platform's values are bounded.
inline constexpr auto max_document_bytes = std::size_t{1'000'000};

// Reads and checks `text`. The errors are in the order of their lines.
[[nodiscard]] auto parse_document(std::string_view text)
    -> base::result<document, std::vector<document_error>>;

// Writes `written`; `parse_document` reads a document that passes `check_document` back unchanged.
[[nodiscard]] auto format_document(document const& written) -> std::string;

// `text`, a document's TOML, with its generation set to `generation` and nothing else changed, so
// that comments and layout of the team that wrote it stay.
[[nodiscard]] auto with_generation(std::string_view text, base::generation generation)
    -> std::string;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_PARSE_H_

// Errors in service documents.

#ifndef LINNETLANE_SERVICE_ERROR_H_
#define LINNETLANE_SERVICE_ERROR_H_

#include <cstddef>
#include <string>
#include <variant>

#include "linnetlane/settings/toml_reader.h"

namespace linnetlane::service {

// Faults that concern more than the syntax and type of a single value.
enum class document_fault {
    // Longer than the platform's limit for a value.
    too_long,
    // A number or duration outside its valid range.
    out_of_bounds,
    duplicate_upstream,
    duplicate_address,
    duplicate_caller,
    duplicate_key_hash,
    // An account without a key in a service that requires keys; no request could authenticate as
    // it.
    missing_key_hash,
    // Not 64 lower-case hexadecimal digits.
    malformed_key_hash,
    // A plain upstream in a model service, or an engine in a plain one.
    role_not_of_kind,
    // A model service with no data centre that has both a prefill and a decode engine, or a plain
    // one without upstreams.
    lacks_upstreams,
    // A plain service whose path prefix isn't of the form `/NAME/`, or a model service with one.
    malformed_route,
};

// One error and its location.
struct document_error {
    std::variant<settings::toml_fault, document_fault> fault;
    // Counted from 1; 0 if the document has no text.
    std::size_t line = 0;
    // Path of the key, such as `upstreams[2].role`; empty for the document as a whole.
    std::string key;
    // What was expected or found, for display.
    std::string detail;

    friend auto operator==(document_error const&, document_error const&) -> bool = default;
};

// Formats `error` as `line LINE: KEY: DESCRIPTION`.
[[nodiscard]] auto to_string(document_error const& error) -> std::string;

// The fault as one machine-readable word.
[[nodiscard]] auto fault_word(document_error const& error) -> std::string;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_ERROR_H_

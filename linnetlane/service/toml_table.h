// Converts service documents to TOML tables.

#ifndef LINNETLANE_SERVICE_TOML_TABLE_H_
#define LINNETLANE_SERVICE_TOML_TABLE_H_

#include <string>

#include "linnetlane/service/document.h"
#include "linnetlane/settings/toml_library.h"

namespace linnetlane::service {

// Every key of `written`, except empty strings, empty lists and flags that are false.
[[nodiscard]] auto to_table(document const& written) -> toml::table;

// TOML text of a value or a list of values, on one line; numbers in their shortest form that
// round-trips.
[[nodiscard]] auto value_text(toml::node const& node) -> std::string;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_TOML_TABLE_H_

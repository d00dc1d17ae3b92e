// Parses a host's settings from TOML. All errors are reported at once:
//
//   auto const loaded = load_settings("host.toml");
//   if (auto const* errors = failure_of(loaded)) {
//       for (auto const& error : *errors) { std::cerr << to_string(error) << '\n'; }
//   }

#ifndef LINNETLANE_SETTINGS_PARSE_H_
#define LINNETLANE_SETTINGS_PARSE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/settings/settings.h"
#include "linnetlane/settings/toml_reader.h"

namespace linnetlane::settings {

// Faults that concern more than the syntax and type of a single value.
enum class settings_fault {
    unreadable_file,
    // Two seeds, or a seed and this host, share a name but not an address.
    duplicate_host,
    // Two hosts share an address.
    duplicate_address,
};

// One error and its location.
struct settings_error {
    std::variant<toml_fault, settings_fault> fault;
    std::string file;
    std::size_t line = 1;
    std::string key;
    // What was expected or found, for display.
    std::string detail;
};

// Formats `error` as `FILE:LINE: KEY: DESCRIPTION`.
[[nodiscard]] auto to_string(settings_error const& error) -> std::string;

// Parses `text`; `file` is the name used in errors.
[[nodiscard]] auto parse_settings(std::string_view text, std::string_view file)
    -> base::result<settings, std::vector<settings_error>>;

// Reads and parses the file at `path`.
[[nodiscard]] auto load_settings(std::string const& path)
    -> base::result<settings, std::vector<settings_error>>;

}  // namespace linnetlane::settings

#endif  // LINNETLANE_SETTINGS_PARSE_H_

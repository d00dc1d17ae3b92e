// Durations and addresses as operators write them: "1.8s", "40ms", "10.0.0.1:80", "[::1]:80".

#ifndef LINNETLANE_SETTINGS_TEXT_VALUES_H_
#define LINNETLANE_SETTINGS_TEXT_VALUES_H_

#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/time.h"

namespace linnetlane::settings {

// Parses a decimal number and a unit of `ns`, `us`, `ms`, `s`, `m` or `h`. Returns nullopt if
// `text` has another format, is negative or overflows.
[[nodiscard]] auto parse_duration(std::string_view text) -> std::optional<base::duration>;

// Formats `span` in the largest unit that gives a whole number; `parse_duration` reads it back.
[[nodiscard]] auto format_duration(base::duration span) -> std::string;

// Parses `IP:PORT`, with an IPv6 address in brackets. Returns nullopt for a host name or an invalid
// port.
[[nodiscard]] auto parse_endpoint(std::string_view text) -> std::optional<base::endpoint>;

// Formats `endpoint` so that `parse_endpoint` reads it back.
[[nodiscard]] auto format_endpoint(base::endpoint const& endpoint) -> std::string;

// Whether `text` may name a host, upstream, service or account: 1 to 64 letters, digits, dots,
// underscores and hyphens, of which the first is a letter or digit.
[[nodiscard]] auto is_name(std::string_view text) -> bool;

}  // namespace linnetlane::settings

#endif  // LINNETLANE_SETTINGS_TEXT_VALUES_H_

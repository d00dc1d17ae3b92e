// How versions are kept in the platform.
//
// `services/ID` holds the version in force as a JSON object with the TOML inside, so that a value
// that was written by hand is told from one that was accepted. The last versions are kept under
// another prefix, which nobody watches.

#ifndef LINNETLANE_DOCUMENT_STORED_VALUE_H_
#define LINNETLANE_DOCUMENT_STORED_VALUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/coordination/store.h"
#include "linnetlane/document/messages.h"

namespace linnetlane::document {

// What readers watch.
inline constexpr auto current_prefix = std::string_view{"services/"};
inline constexpr auto history_prefix = std::string_view{"service-history/"};
// Versions that are kept of each service, the one in force included.
inline constexpr auto history_length = std::uint64_t{20};

[[nodiscard]] auto current_key(base::service_id const& service) -> std::string;
[[nodiscard]] auto history_key(base::service_id const& service, base::generation generation)
    -> std::string;
// What the keys of all kept versions of `service` begin with.
[[nodiscard]] auto history_prefix_of(base::service_id const& service) -> std::string;
// The service whose version in force `key` holds; nothing if it is another key.
[[nodiscard]] auto service_of_key(std::string_view key) -> std::optional<base::service_id>;

[[nodiscard]] auto to_value(version const& kept) -> std::string;
// Reads what `to_value` wrote; nothing if `value` has another shape, or no generation.
[[nodiscard]] auto parse_value(base::service_id const& service, std::string_view value)
    -> std::optional<version>;
// The writes that put `kept` into the history and take the oldest version out.
[[nodiscard]] auto history_writes(version const& kept) -> std::vector<coordination::extra_write>;

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_STORED_VALUE_H_

// The representation of versions in the platform.
//
// `services/ID` holds the version in force as a JSON object that contains the TOML text, so that a
// value that was written by hand is distinguished from an accepted one. The last versions are
// stored under another prefix, which is not watched.

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

// Prefix of the versions in force, which readers watch.
inline constexpr auto current_prefix = std::string_view{"services/"};
inline constexpr auto history_prefix = std::string_view{"service-history/"};
// Number of versions stored of each service, the one in force included.
inline constexpr auto history_length = std::uint64_t{20};

[[nodiscard]] auto current_key(base::service_id const& service) -> std::string;
[[nodiscard]] auto history_key(base::service_id const& service, base::generation generation)
    -> std::string;
// Prefix of the keys of all stored versions of `service`.
[[nodiscard]] auto history_prefix_of(base::service_id const& service) -> std::string;
// The service whose version in force is stored under `key`; `nullopt` for other keys.
[[nodiscard]] auto service_of_key(std::string_view key) -> std::optional<base::service_id>;

[[nodiscard]] auto to_value(version const& stored) -> std::string;
// Parses a value written by `to_value`; `nullopt` if it is malformed or its generation is 0.
[[nodiscard]] auto parse_value(base::service_id const& service, std::string_view value)
    -> std::optional<version>;
// The writes that add `stored` to the history and remove the version beyond `history_length`.
[[nodiscard]] auto history_writes(version const& stored) -> std::vector<coordination::extra_write>;

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_STORED_VALUE_H_

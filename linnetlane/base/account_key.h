// Keys of client accounts. Only their digests are kept.
//
//   auto const key = bearer_key("Bearer s3cret");
//   auto const digest = digest_of_key(*key);

#ifndef LINNETLANE_BASE_ACCOUNT_KEY_H_
#define LINNETLANE_BASE_ACCOUNT_KEY_H_

#include <optional>
#include <string_view>

#include "linnetlane/base/ids.h"

namespace linnetlane::base {

// The SHA-256 of a key, as 64 lower-case hexadecimal digits.
using key_digest = basic_name<struct key_digest_tag>;

[[nodiscard]] auto digest_of_key(std::string_view key) -> key_digest;

// Returns the key in the value `Bearer KEY` of an `Authorization` field; nullopt for another
// scheme. The result refers to `authorization`.
[[nodiscard]] auto bearer_key(std::string_view authorization) -> std::optional<std::string_view>;

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_ACCOUNT_KEY_H_

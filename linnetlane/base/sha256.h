// SHA-256.

#ifndef LINNETLANE_BASE_SHA256_H_
#define LINNETLANE_BASE_SHA256_H_

#include <string>
#include <string_view>

namespace linnetlane::base {

// Returns the SHA-256 of `bytes` as 64 hexadecimal digits.
[[nodiscard]] auto sha256_hex(std::string_view bytes) -> std::string;

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_SHA256_H_

// Base64 with the standard alphabet and padding, for binary data in JSON.

#ifndef LINNETLANE_BASE_BASE64_H_
#define LINNETLANE_BASE_BASE64_H_

#include <string>
#include <string_view>

namespace linnetlane::base {

// Encodes `bytes`.
[[nodiscard]] auto encode_base64(std::string_view bytes) -> std::string;

// Decodes `text`. Returns an empty string if `text` is not valid base64.
[[nodiscard]] auto decode_base64(std::string const& text) -> std::string;

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_BASE64_H_

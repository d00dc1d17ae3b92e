#include "linnetlane/base/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace linnetlane::base {

auto sha256_hex(std::string_view bytes) -> std::string {
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    constexpr auto digit_bits = 4U;
    constexpr auto digit_mask = 0xFU;
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), digest.data());
    auto text = std::string{};
    text.reserve(2 * digest.size());
    for (auto const byte : digest) {
        text += digits[byte >> digit_bits];
        text += digits[byte & digit_mask];
    }
    return text;
}

}  // namespace linnetlane::base

#include "linnetlane/base/base64.h"

#include <cstddef>

#include <openssl/evp.h>

namespace linnetlane::base {

namespace {

constexpr auto group_characters = std::size_t{4};
constexpr auto group_bytes = std::size_t{3};

}  // namespace

auto encode_base64(std::string_view bytes) -> std::string {
    auto text =
        std::string((bytes.size() + group_bytes - 1) / group_bytes * group_characters, '\0');
    auto* const to = reinterpret_cast<unsigned char*>(text.data());
    auto const* const from = reinterpret_cast<unsigned char const*>(bytes.data());
    auto const length = EVP_EncodeBlock(to, from, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

auto decode_base64(std::string const& text) -> std::string {
    if (text.empty() || text.size() % group_characters != 0) {
        return {};
    }
    auto bytes = std::string(text.size() / group_characters * group_bytes, '\0');
    auto* const to = reinterpret_cast<unsigned char*>(bytes.data());
    auto const* const from = reinterpret_cast<unsigned char const*>(text.data());
    if (EVP_DecodeBlock(to, from, static_cast<int>(text.size())) < 0) {
        return {};
    }
    auto const padding = text.ends_with("==") ? std::size_t{2} : std::size_t{text.back() == '='};
    bytes.resize(bytes.size() - padding);
    return bytes;
}

}  // namespace linnetlane::base

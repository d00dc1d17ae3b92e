#include "linnetlane/base/account_key.h"

#include <algorithm>
#include <cctype>

#include "linnetlane/base/sha256.h"

namespace linnetlane::base {

namespace {

constexpr auto bearer_prefix = std::string_view{"bearer "};

}  // namespace

auto digest_of_key(std::string_view key) -> key_digest {
    return key_digest{sha256_hex(key)};
}

auto bearer_key(std::string_view authorization) -> std::optional<std::string_view> {
    auto const same_letter = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    auto const scheme = authorization.substr(0, bearer_prefix.size());
    if (!std::equal(scheme.begin(), scheme.end(), bearer_prefix.begin(), bearer_prefix.end(),
                    same_letter)) {
        return std::nullopt;
    }
    return authorization.substr(bearer_prefix.size());
}

}  // namespace linnetlane::base

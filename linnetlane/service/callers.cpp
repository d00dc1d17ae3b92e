#include "linnetlane/service/callers.h"

#include <algorithm>
#include <cstddef>

#include <fmt/format.h>
#include <openssl/crypto.h>

namespace linnetlane::service {

namespace {

constexpr auto anonymous = std::string_view{"anonymous"};

auto equal_in_constant_time(std::string_view left, std::string_view right) -> bool {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto find_by_name(document const& asked, std::string_view name) -> caller {
    for (auto const& one : asked.callers) {
        if (one.id.value == name) {
            return one;
        }
    }
    auto unlisted = caller{};
    unlisted.id = base::caller_id{std::string{name}};
    return unlisted;
}

auto find_by_hash(document const& asked, std::string_view hash)
    -> base::result<caller, authentication_failure> {
    caller const* found = nullptr;
    for (auto const& one : asked.callers) {
        // Compares with every account, so that the time taken doesn't reveal which one matched.
        if (equal_in_constant_time(one.key_hash, hash)) {
            found = &one;
        }
    }
    if (found == nullptr) {
        return authentication_failure::wrong_key;
    }
    return *found;
}

}  // namespace

auto hash_key(std::string_view key) -> std::string {
    return base::digest_of_key(key).value;
}

auto requires_keys(document const& asked) -> bool {
    return std::any_of(asked.callers.begin(), asked.callers.end(),
                       [](caller const& one) { return !one.key_hash.empty(); });
}

auto authenticate(document const& asked, credentials const& given)
    -> base::result<caller, authentication_failure> {
    if (!requires_keys(asked)) {
        return find_by_name(asked, given.name.value_or(anonymous));
    }
    if (!given.key) {
        return authentication_failure::missing_key;
    }
    return find_by_hash(asked, hash_key(*given.key));
}

}  // namespace linnetlane::service

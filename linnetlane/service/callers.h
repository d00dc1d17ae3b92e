// Tells which account sent a request. Documents hold only hashes of keys.
//
//   auto const outcome = authenticate(document, {.key = "the key"});

#ifndef LINNETLANE_SERVICE_CALLERS_H_
#define LINNETLANE_SERVICE_CALLERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/result.h"
#include "linnetlane/service/document.h"

namespace linnetlane::service {

// Why a request is from no account of the service.
enum class authentication_failure { missing_key, wrong_key };

// SHA-256 of `key`, 64 lower-case hexadecimal digits.
[[nodiscard]] auto hash_key(std::string_view key) -> std::string;

// The key in an `Authorization: Bearer KEY` header's value; nothing for another scheme.
[[nodiscard]] auto bearer_key(std::string_view authorization) -> std::optional<std::string_view>;

// Who a request says it is from.
struct credentials {
    // From `Authorization: Bearer KEY`.
    std::optional<std::string_view> key = std::nullopt;
    // From `X-Caller: ID`; counts only where the document asks for no keys.
    std::optional<std::string_view> name = std::nullopt;
};

// Whether `asked` has accounts with keys; a request without one is then turned away.
[[nodiscard]] auto requires_keys(document const& asked) -> bool;

// The account of `asked` whose key was given or, where it asks for no keys, the one that is named;
// a name that isn't listed, or `anonymous` without one, gets an account with the default share.
// Takes the same time whichever account's key it is.
[[nodiscard]] auto authenticate(document const& asked, credentials const& given)
    -> base::result<caller, authentication_failure>;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_CALLERS_H_

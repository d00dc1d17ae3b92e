// Authenticates requests: finds the client account that a request belongs to. Documents hold only
// hashes of keys.
//
//   auto const outcome = authenticate(document, {.key = "the key"});

#ifndef LINNETLANE_SERVICE_CALLERS_H_
#define LINNETLANE_SERVICE_CALLERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/account_key.h"
#include "linnetlane/base/result.h"
#include "linnetlane/service/document.h"

namespace linnetlane::service {

// Why a request was not authenticated.
enum class authentication_failure { missing_key, wrong_key };

// SHA-256 of `key`, 64 lower-case hexadecimal digits.
[[nodiscard]] auto hash_key(std::string_view key) -> std::string;

using base::bearer_key;

// The credentials that a request carries.
struct credentials {
    // From `Authorization: Bearer KEY`.
    std::optional<std::string_view> key = std::nullopt;
    // The account's id, from `X-Caller: ID`; used only if the document requires no keys.
    std::optional<std::string_view> name = std::nullopt;
};

// Whether `asked` has accounts with keys; requests without a key are then rejected.
[[nodiscard]] auto requires_keys(document const& asked) -> bool;

// Returns the account of `asked` whose key was given or, if `asked` requires no keys, the named
// one. If no name was given, the name is `anonymous`. A name that the document does not list gets
// an account with the default share. Compares the key's hash with those of all accounts in constant
// time, so that timing does not reveal which account matched.
[[nodiscard]] auto authenticate(document const& asked, credentials const& given)
    -> base::result<caller, authentication_failure>;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_CALLERS_H_

// Decides which account a request runs for, and whether it may be sent to upstreams.

#ifndef LINNETLANE_ROUTER_REQUEST_AUTHENTICATION_H_
#define LINNETLANE_ROUTER_REQUEST_AUTHENTICATION_H_

#include <chrono>
#include <optional>

#include "linnetlane/base/account_key.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/settings.h"
#include "linnetlane/routing/configuration.h"
#include "linnetlane/routing/configuration_freshness.h"

namespace linnetlane::router {

// Returns whether keys may have been taken away in a newer configuration than that in force for
// longer than the operator's bound.
[[nodiscard]] inline auto keys_in_doubt(account_settings const& settings,
                                        routing::configuration_freshness const& freshness) -> bool {
    // The rest of the bound is left for the way to the upstream.
    constexpr auto usable_share = 0.95;
    auto const bound = settings.revocation_bound;
    return bound &&
           !freshness.is_within(std::chrono::duration_cast<base::duration>(*bound * usable_share),
                                base::boot_clock::now());
}

// Returns why a request on `route` that runs for an account may not be sent to an upstream now, if
// so: a key may have been taken away in a newer configuration.
[[nodiscard]] inline auto freshness_refusal(account_settings const& settings,
                                            routing::configuration const& configuration,
                                            routing::route const& route,
                                            routing::configuration_freshness const& freshness)
    -> std::optional<refusal_reason> {
    auto const refused =
        configuration.requires_keys && !route.open_to_all && keys_in_doubt(settings, freshness);
    return refused ? std::optional{refusal_reason::configuration_too_old} : std::nullopt;
}

// Assigns the account to `request`, and removes the key from what is forwarded. Returns the reason
// for a refusal if the request may not run. Without accounts, changes nothing. A request whose key
// another host has checked carries only its digest.
template <router_wire Wire>
[[nodiscard]] auto authenticate(caller_request& request,
                                routing::configuration const& configuration,
                                routing::route const& route, account_settings const& settings,
                                routing::configuration_freshness const& freshness)
    -> std::optional<refusal_reason> {
    if (!configuration.requires_keys) {
        return std::nullopt;
    }
    if (!request.key) {
        if (auto const key = Wire::account_key(request.forwarded)) {
            request.key = base::digest_of_key(*key);
        }
    }
    // A request that needs no key runs in any case, but not for an account that may have lost the
    // key.
    auto const is_named = request.key && !(route.open_to_all && keys_in_doubt(settings, freshness));
    auto const* const account = is_named ? configuration.accounts.find(*request.key) : nullptr;
    request.account = account == nullptr ? std::nullopt : std::optional{account->id};
    Wire::set_account(request, request.account);
    if (route.open_to_all) {
        return std::nullopt;
    }
    if (account == nullptr) {
        auto const is_current =
            freshness.is_within(settings.current_within, base::boot_clock::now());
        return is_current ? refusal_reason::unknown_key : refusal_reason::configuration_too_old;
    }
    return freshness_refusal(settings, configuration, route, freshness);
}

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REQUEST_AUTHENTICATION_H_

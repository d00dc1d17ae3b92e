// The client accounts of a configuration: which account a key belongs to, and what the account may
// request.
//
//   auto const accounts = client_accounts{std::move(listed)};
//   auto const* const account = accounts.find(base::digest_of_key("s3cret"));

#ifndef LINNETLANE_ROUTING_CLIENT_ACCOUNTS_H_
#define LINNETLANE_ROUTING_CLIENT_ACCOUNTS_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "linnetlane/base/account_key.h"
#include "linnetlane/base/ids.h"

namespace linnetlane::routing {

// What the amounts of a quota count.
enum class quota_unit { requests, tokens };

// How much work the requests of one account may be, over all hosts.
struct account_quota {
    quota_unit unit = quota_unit::requests;
    // The amount that becomes available in a second.
    double per_second = 0;
    // The most that is available after a time without requests.
    double burst = 0;
    // The tokens of a request that states no size.
    double unsized_tokens = 0;
    friend auto operator==(account_quota const&, account_quota const&) -> bool = default;
};

struct client_account {
    base::caller_id id;
    std::vector<base::key_digest> keys;
    // Replaces the priority of routes; 0 is the most urgent.
    std::optional<int> priority;
    // Without one, the account's requests aren't limited.
    std::optional<account_quota> quota;
    friend auto operator==(client_account const&, client_account const&) -> bool = default;
};

// The accounts of one configuration. Look-up takes the same time for any number of keys.
// Thread-compatible; pointers to accounts stay valid for as long as the object exists in place.
class client_accounts {
public:
    client_accounts() = default;
    // A key that is listed for several accounts belongs to none of them.
    explicit client_accounts(std::vector<client_account> listed);

    // Returns the account with that key, or null.
    [[nodiscard]] auto find(base::key_digest const& key) const -> client_account const*;
    // Returns the account with that name, or null.
    [[nodiscard]] auto find(base::caller_id const& id) const -> client_account const*;
    [[nodiscard]] auto all() const -> std::vector<client_account> const& { return this->accounts; }

    friend auto operator==(client_accounts const& left, client_accounts const& right) -> bool {
        return left.accounts == right.accounts;
    }

private:
    std::vector<client_account> accounts;
    // Indices of `accounts`.
    std::unordered_map<base::key_digest, std::size_t> by_key;
    std::unordered_map<base::caller_id, std::size_t> by_id;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_CLIENT_ACCOUNTS_H_

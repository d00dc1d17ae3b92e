#include "linnetlane/routing/client_accounts.h"

#include <limits>
#include <utility>

namespace linnetlane::routing {

namespace {

constexpr auto several_accounts = std::numeric_limits<std::size_t>::max();

}  // namespace

client_accounts::client_accounts(std::vector<client_account> listed) : accounts{std::move(listed)} {
    for (auto index = std::size_t{0}; index < this->accounts.size(); ++index) {
        this->by_id.try_emplace(this->accounts[index].id, index);
        for (auto const& key : this->accounts[index].keys) {
            auto const [found, inserted] = this->by_key.try_emplace(key, index);
            if (!inserted && found->second != index) {
                found->second = several_accounts;
            }
        }
    }
}

auto client_accounts::find(base::key_digest const& key) const -> client_account const* {
    auto const found = this->by_key.find(key);
    return found == this->by_key.end() || found->second == several_accounts
               ? nullptr
               : &this->accounts[found->second];
}

auto client_accounts::find(base::caller_id const& id) const -> client_account const* {
    auto const found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &this->accounts[found->second];
}

}  // namespace linnetlane::routing

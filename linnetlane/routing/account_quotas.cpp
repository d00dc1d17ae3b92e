#include "linnetlane/routing/account_quotas.h"

#include <algorithm>

namespace linnetlane::routing {

auto account_quotas::set_share(double new_share, base::time_point now) -> void {
    this->share_seconds_before = this->share_seconds(now);
    this->share_since = now;
    auto const is_smaller = new_share < this->share;
    this->share = std::clamp(new_share, 0.0, 1.0);
    if (is_smaller) {
        for (auto& [id, each] : this->buckets) {
            each.level = std::min(each.level, this->share * each.whole);
        }
    }
}

auto account_quotas::take(client_account const& account, double amount, base::time_point now)
    -> quota_result {
    auto& own = this->filled(account, now);
    auto const needed = std::min(amount, this->whole_capacity(*account.quota));
    if (own.level >= needed && own.level > 0) {
        own.level -= amount;
        return quota_taken{};
    }
    auto const rate = this->share * account.quota->per_second;
    auto const seconds = rate > 0 ? (needed - own.level) / rate : base::to_seconds(max_wait);
    return quota_wait{std::min<base::duration>(base::from_seconds(seconds), max_wait)};
}

auto account_quotas::missing(client_account const& account, double amount, base::time_point now)
    -> double {
    return std::max(amount - this->filled(account, now).level, 0.0);
}

auto account_quotas::lend(client_account const& account, double amount, base::time_point now)
    -> double {
    auto& own = this->filled(account, now);
    auto const lent = std::clamp(own.level * lent_share, 0.0, std::max(amount, 0.0));
    own.level -= lent;
    return lent;
}

auto account_quotas::borrow(client_account const& account, double amount, base::time_point now)
    -> void {
    this->filled(account, now).level += std::max(amount, 0.0);
}

auto account_quotas::give_back(client_account const& account, double amount, base::time_point now)
    -> void {
    auto& own = this->filled(account, now);
    auto const most = std::max(own.level, this->capacity(*account.quota));
    own.level = std::min(own.level + std::max(amount, 0.0), most);
}

auto account_quotas::level(client_account const& account, base::time_point now) -> double {
    return this->filled(account, now).level;
}

auto account_quotas::retain(client_accounts const& accounts) -> void {
    std::erase_if(this->buckets, [&](auto const& each) {
        auto const* const account = accounts.find(each.first);
        return account == nullptr || !account->quota;
    });
}

auto account_quotas::filled(client_account const& account, base::time_point now) -> bucket& {
    auto const& quota = *account.quota;
    auto const seconds = this->share_seconds(now);
    auto const [found, is_new] = this->buckets.try_emplace(account.id);
    auto& own = found->second;
    auto const whole = this->whole_capacity(quota);
    if (is_new) {
        // An account that has requested nothing since this host started.
        own = bucket{initial_share * this->share * this->tolerated(quota), 0, whole};
    }
    if (own.whole != whole) {
        own.level = std::min(own.level, this->capacity(quota));
        own.whole = whole;
    }
    auto const added = std::max(seconds - own.filled_at, 0.0) * quota.per_second;
    // Borrowed work may exceed the capacity until it is taken.
    auto const most = std::max(own.level, this->capacity(quota));
    own.level = std::min(own.level + added, most);
    own.filled_at = seconds;
    return own;
}

auto quota_amount(account_quota const& quota, std::optional<double> tokens) -> double {
    return quota.unit == quota_unit::requests ? 1 : tokens.value_or(quota.unsized_tokens);
}

}  // namespace linnetlane::routing

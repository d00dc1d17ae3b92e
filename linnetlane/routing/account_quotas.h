// One host's part of the quotas of client accounts, as token buckets.
//
// Each host brings an equal share of every quota to the host that it follows, its keeper, which
// fills its buckets with the shares of all its followers and its own. The shares of all keepers add
// up to the quota whoever follows whom, so they need no agreement. A keeper that runs short takes
// from others, which deduct what they lend before they say so.
//
//   quotas.set_share(19.0 / 72, now);                        // own share and those of 18 followers
//   auto const taken = quotas.take(account, 3'000, now);
//   if (auto const* const wait = std::get_if<quota_wait>(&taken)) { ... }

#ifndef LINNETLANE_ROUTING_ACCOUNT_QUOTAS_H_
#define LINNETLANE_ROUTING_ACCOUNT_QUOTAS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <variant>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/client_accounts.h"

namespace linnetlane::routing {

// The tolerance within which hosts together keep a quota.
struct quota_tolerance {
    // The time over which the work of an account is counted.
    base::duration window = std::chrono::seconds{8};
    // The work beyond the quota that is tolerated within the window, as a share of the quota.
    base::fraction overage{0.0};
    // The work that is tolerated in addition, in the unit of the quota.
    double slack = 0;
};

// The work was taken.
struct quota_taken {};
// There is too little room, and `wait` until enough of it becomes available.
struct quota_wait {
    base::duration wait{};
};
using quota_result = std::variant<quota_taken, quota_wait>;

// Amounts are in the unit of the account's quota. Not thread-safe; must be used on one worker only.
class account_quotas {
public:
    // The share of the tolerance with which the buckets of all hosts together begin. A host that
    // restarts doesn't know what it has granted before.
    static constexpr auto initial_share = 0.25;
    // The share of the tolerance that the buckets of all hosts together hold beyond the burst, so
    // that the bucket of one keeper has room for a large request.
    static constexpr auto reserve_share = 0.5;
    // The share of a bucket's level that one other keeper gets.
    static constexpr auto lent_share = 0.5;
    // The longest wait that callers are told.
    static constexpr auto max_wait = std::chrono::seconds{10};

    explicit account_quotas(quota_tolerance const& own_tolerance) : tolerance{own_tolerance} {}

    // Sets the share of all quotas that fills the buckets from `now` on, from 0 to 1. With a
    // smaller share, levels fall to what it holds, since another host fills the rest.
    auto set_share(double share, base::time_point now) -> void;

    // Takes `amount` for a request of `account`, which must have a quota. An amount beyond what the
    // buckets of all hosts together can hold is taken from as much, and leaves the level below
    // zero. Otherwise the level stays above: if each host took one request more than it has, the
    // work beyond the quota would grow with the number of hosts.
    [[nodiscard]] auto take(client_account const& account, double amount, base::time_point now)
        -> quota_result;
    // Returns how much is missing for `amount`; 0 if nothing is.
    [[nodiscard]] auto missing(client_account const& account, double amount, base::time_point now)
        -> double;
    // Takes at most `amount` for another keeper. Returns how much.
    [[nodiscard]] auto lend(client_account const& account, double amount, base::time_point now)
        -> double;
    // Adds what another keeper lent.
    auto borrow(client_account const& account, double amount, base::time_point now) -> void;
    // Adds what a request took that certainly hasn't run.
    auto give_back(client_account const& account, double amount, base::time_point now) -> void;
    // Returns what can be taken now, which may be below zero.
    [[nodiscard]] auto level(client_account const& account, base::time_point now) -> double;

    // Drops the buckets of accounts that aren't among `accounts`, or have no quota there.
    auto retain(client_accounts const& accounts) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return this->buckets.size(); }

private:
    struct bucket {
        double level = 0;
        // `share_seconds` when the bucket was filled.
        double filled_at = 0;
        // The most that the buckets of all hosts together held at that time.
        double whole = 0;
    };

    // Returns the integral of the share over time, in seconds of the whole quota.
    [[nodiscard]] auto share_seconds(base::time_point now) const -> double {
        return this->share_seconds_before +
               this->share * std::max(base::to_seconds(now - this->share_since), 0.0);
    }
    // Returns the bucket of `account`, filled up to `now`.
    auto filled(client_account const& account, base::time_point now) -> bucket&;
    // Returns the work beyond the quota that is tolerated within a window.
    [[nodiscard]] auto tolerated(account_quota const& quota) const -> double {
        auto const per_window =
            base::to_seconds(this->tolerance.window) * quota.per_second + quota.burst;
        return this->tolerance.overage.value * per_window + this->tolerance.slack;
    }
    // Returns the most that the buckets of all hosts together fill up to.
    [[nodiscard]] auto whole_capacity(account_quota const& quota) const -> double {
        return quota.burst + reserve_share * this->tolerated(quota);
    }
    // Returns the most that a bucket of the account fills up to.
    [[nodiscard]] auto capacity(account_quota const& quota) const -> double {
        return this->share * this->whole_capacity(quota);
    }

    quota_tolerance tolerance;
    double share = 0;
    base::time_point share_since;
    // The integral of the share up to `share_since`.
    double share_seconds_before = 0;
    std::unordered_map<base::caller_id, bucket> buckets;
};

// Returns what a request counts against `quota`. `tokens` is its prompt and the limit on its
// output, or nothing if it states no size.
[[nodiscard]] auto quota_amount(account_quota const& quota, std::optional<double> tokens) -> double;

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_ACCOUNT_QUOTAS_H_

// The requests of client accounts at this host: how many ended, and why some were refused.
//
// Each request counts once, at the host that received it.

#ifndef LINNETLANE_ROUTER_ACCOUNT_ACTIVITY_H_
#define LINNETLANE_ROUTER_ACCOUNT_ACTIVITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/router_metrics.h"
#include "linnetlane/routing/client_accounts.h"

namespace linnetlane::router {

// What the requests of one account came to since the host started.
struct account_counts {
    std::uint64_t requests = 0;
    // Those of `requests` that the host refused. Reasons without requests are left out.
    std::map<refusal_reason, std::uint64_t> refusals;
};

// Not thread-safe; must be used on one worker only.
class account_activity {
public:
    // An account gets a metric of its own in the place of another one once it has this many times
    // the other's requests, so that two accounts with as many don't alternate.
    static constexpr auto replacing_factor = 1.25;

    explicit account_activity(router_metrics& own_metrics) : metrics{own_metrics} {}

    // Counts a request of `account` that ended.
    auto note_end(base::caller_id const& account, request_outcome outcome,
                  std::optional<refusal_reason> refused) -> void;
    // Returns the counts of an account, which are zero if it has requested nothing.
    [[nodiscard]] auto of(base::caller_id const& account) const -> account_counts;
    // Forgets the accounts that aren't among `accounts`.
    auto retain(routing::client_accounts const& accounts) -> void;

private:
    // Returns whether the metrics name the account; gives it the place of another one if it is due.
    [[nodiscard]] auto is_named(base::caller_id const& account, std::uint64_t requests) -> bool;

    router_metrics& metrics;
    std::unordered_map<base::caller_id, account_counts> counts;
    // The accounts that the metrics name.
    std::vector<base::caller_id> named;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ACCOUNT_ACTIVITY_H_

// The operators' page of client accounts: what the configuration in force grants each, and what
// this host knows of it.

#ifndef LINNETLANE_ROUTER_ACCOUNT_PAGE_H_
#define LINNETLANE_ROUTER_ACCOUNT_PAGE_H_

#include <memory>
#include <utility>

#include "linnetlane/ctl/operator_api.h"
#include "linnetlane/router/account_activity.h"
#include "linnetlane/router/quota_service.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

[[nodiscard]] inline auto make_account_row(routing::client_account const& account,
                                           account_counts const& counts) -> ctl::account_row {
    auto row = ctl::account_row{};
    row.account = account.id;
    row.keys = account.keys.size();
    row.priority = account.priority;
    if (auto const& quota = account.quota) {
        auto const* const unit =
            quota->unit == routing::quota_unit::requests ? "requests" : "tokens";
        row.quota = ctl::account_quota_row{unit, quota->per_second, quota->burst};
    }
    row.requests = counts.requests;
    for (auto const& [reason, count] : counts.refusals) {
        row.refusals[to_string(reason)] = count;
    }
    return row;
}

[[nodiscard]] inline auto make_account_page(host_context const& host, quota_service& quotas,
                                            account_activity const& activity) -> ctl::account_list {
    auto const now = base::monotonic_clock::now();
    auto page = ctl::account_list{};
    page.seen_by = host.settings.host;
    if (auto const age = host.view.freshness.age(base::boot_clock::now())) {
        page.age = base::to_seconds(*age);
    }
    auto const keeper = quotas.keeper(now);
    page.keeps_quotas = !keeper;
    if (keeper) {
        page.keeper = keeper->host;
    }
    page.share = quotas.share(now);
    auto const configuration = host.view.routes.current();
    if (!configuration) {
        return page;
    }
    page.version = configuration->version.value;
    page.requires_keys = configuration->requires_keys;
    for (auto const& account : configuration->accounts.all()) {
        auto row = make_account_row(account, activity.of(account.id));
        if (account.quota) {
            row.level = quotas.level(account, now);
        }
        page.accounts.push_back(std::move(row));
    }
    return page;
}

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ACCOUNT_PAGE_H_

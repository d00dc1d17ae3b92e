#include "linnetlane/router/account_activity.h"

#include <algorithm>

namespace linnetlane::router {

auto account_activity::note_end(base::caller_id const& account, request_outcome outcome,
                                std::optional<refusal_reason> refused) -> void {
    auto& own = this->counts[account];
    ++own.requests;
    if (refused) {
        ++own.refusals[*refused];
    }
    if (this->is_named(account, own.requests)) {
        this->metrics.count_account_request(account, outcome);
    } else {
        this->metrics.count_other_account_request(outcome);
    }
}

auto account_activity::of(base::caller_id const& account) const -> account_counts {
    auto const found = this->counts.find(account);
    return found == this->counts.end() ? account_counts{} : found->second;
}

auto account_activity::retain(routing::client_accounts const& accounts) -> void {
    std::erase_if(this->counts,
                  [&](auto const& each) { return accounts.find(each.first) == nullptr; });
    std::erase_if(this->named, [&](auto const& each) {
        auto const is_gone = accounts.find(each) == nullptr;
        if (is_gone) {
            this->metrics.forget_account(each);
        }
        return is_gone;
    });
}

auto account_activity::is_named(base::caller_id const& account, std::uint64_t requests) -> bool {
    if (account.value == router_metrics::other_accounts) {
        return false;
    }
    if (std::ranges::find(this->named, account) != this->named.end()) {
        return true;
    }
    if (this->named.size() < router_metrics::max_named_accounts) {
        this->named.push_back(account);
        return true;
    }
    auto const requests_of = [&](auto const& each) { return this->counts[each].requests; };
    auto const least = std::ranges::min_element(this->named, {}, requests_of);
    if (static_cast<double>(requests) <
        replacing_factor * static_cast<double>(requests_of(*least))) {
        return false;
    }
    this->metrics.forget_account(*least);
    *least = account;
    return true;
}

}  // namespace linnetlane::router

// A model of the hosts that keep the quotas of accounts together, for tests: who asks whom as in
// `quota_service`, without messages and their delays. Requests count when they are taken.
//
//   auto fleet = quota_fleet{{.hosts = 83, .accounts = 16}};
//   fleet.run(10);
//   fleet.cut_hosts(27);
//   fleet.run(10);
//   BOOST_TEST(fleet.result().worst <= 1);

#ifndef LINNETLANE_ROUTING_ACCOUNT_QUOTAS_MODEL_H_
#define LINNETLANE_ROUTING_ACCOUNT_QUOTAS_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/routing/account_quotas.h"

namespace linnetlane::routing {

struct quota_fleet_settings {
    std::size_t hosts = 83;
    std::size_t accounts = 16;
    unsigned seed = 1;
    // The burst of a quota, in seconds of its rate.
    double burst_seconds = 1;
    // How long hosts without the registry take requests.
    double freshness_seconds = 5;
    // By how much the number of hosts may lag behind, as a part of it.
    double count_lag = 0;
};

// What was taken, against what the quotas allow.
struct quota_fleet_result {
    // The greatest work within a window, as a share of the bound.
    double worst = 0;
    double worst_at = 0;
    std::size_t worst_account = 0;
    // The tokens of each account that were taken, and those that one bucket for all hosts would
    // have admitted.
    std::vector<double> taken;
    std::vector<double> owed;
    [[nodiscard]] auto admitted() const -> double {
        // More than owed of one account doesn't make up for less of another.
        auto sum = 0.0;
        auto all = 0.0;
        for (auto index = std::size_t{0}; index < this->owed.size(); ++index) {
            sum += std::min(this->taken[index], this->owed[index]);
            all += this->owed[index];
        }
        return all > 0 ? sum / all : 1.0;
    }
};

// Times are in seconds since the start.
class quota_fleet {
public:
    static constexpr auto data_centres = std::size_t{4};
    static constexpr auto step = 0.01;
    static constexpr auto window = 8.0;
    static constexpr auto overage = 0.1;
    static constexpr auto slack = 73'000.0;
    static constexpr auto large_quota = 54'000.0;
    static constexpr auto small_quota = 18'000.0;
    static constexpr auto generation_tokens = 13'000.0;
    static constexpr auto plain_tokens = 200.0;
    // The part of the tokens that generations make up.
    static constexpr auto generation_part = 0.9;
    // The times of the hosts: how often state is exchanged, how long a follower counts after its
    // last question, the lease, and how long the largest number of hosts holds.
    static constexpr auto tick = 0.1;
    static constexpr auto follower_window = 3.0;
    static constexpr auto lease = 3.0;
    static constexpr auto peak_hold = 10.0;
    static constexpr auto assumption_time = 3.0;
    static constexpr auto assumed_hosts = std::size_t{360};
    static constexpr auto takeover = 1.0;
    static constexpr auto unreachable_pause = 0.5;
    static constexpr auto declined_pause = 0.2;
    static constexpr auto borrowed_time = 0.1;
    static constexpr auto config_apply = 3.0;

    explicit quota_fleet(quota_fleet_settings const& own_settings)
        : settings{own_settings}, random{own_settings.seed} {
        auto accounts = std::vector<client_account>{};
        for (auto index = std::size_t{0}; index < this->settings.accounts; ++index) {
            // A few large accounts and many small ones.
            auto const usual = 30'000.0 / std::sqrt(1.0 + static_cast<double>(index));
            auto const rate = std::clamp(1.8 * usual, small_quota, large_quota);
            auto account = client_account{};
            account.id.value = "account" + std::to_string(index);
            account.quota = account_quota{quota_unit::tokens, rate,
                                          this->settings.burst_seconds * rate, plain_tokens};
            accounts.push_back(std::move(account));
            this->demand.push_back(usual);
            this->demand_factor.push_back(1);
            this->in_window.push_back(0);
            this->ideal.push_back(this->settings.burst_seconds * rate);
        }
        this->versions.push_back({std::move(accounts), 0, std::nullopt});
        this->restart_sums();
        this->data_centre_weight.assign(data_centres, 1);
        this->keepers.assign(data_centres, std::nullopt);
        this->keeper_missing_since.assign(data_centres, 0);
        for (auto index = std::size_t{0}; index < this->settings.hosts; ++index) {
            this->hosts.push_back(this->fresh_host(index % data_centres));
            this->hosts.back().known_hosts = 1;
            this->hosts.back().peak_until = 0;
        }
        for (auto index = std::size_t{0}; index < std::min(data_centres, this->hosts.size());
             ++index) {
            this->keepers[index] = index;
            this->hosts[index].reads = true;
        }
        this->exchange();
        // Shares are exchanged before callers send requests.
        for (auto& each : this->hosts) {
            each.next_share = 0;
        }
    }

    // Runs for `seconds`.
    auto run(double seconds) -> void {
        auto const until = this->now + seconds;
        while (this->now < until) {
            this->run_step();
        }
    }

    // Excludes what was taken so far from the sums; the windows are kept.
    auto restart_sums() -> void {
        this->sums.taken.assign(this->settings.accounts, 0);
        this->sums.owed.assign(this->settings.accounts, 0);
    }

    auto kill(std::size_t host) -> void {
        auto& each = this->hosts[host];
        each.alive = false;
        each.reads = false;
        each.left_at = this->now;
    }
    auto start(std::size_t host) -> void {
        if (!this->hosts[host].alive) {
            this->hosts[host] = this->fresh_host(host % data_centres);
            this->hosts[host].version = this->versions.size() - 1;
        }
    }
    auto join() -> void {
        this->hosts.push_back(this->fresh_host(this->hosts.size() % data_centres));
        this->hosts.back().version = this->versions.size() - 1;
    }
    auto freeze(std::size_t host, bool frozen) -> void { this->hosts[host].frozen = frozen; }
    // Cuts a host off from all others.
    auto cut_host(std::size_t host) -> void { this->cut(host, data_centres + 1 + host); }
    // Cuts the last `count` hosts off, each from all others.
    auto cut_hosts(std::size_t count) -> void {
        for (auto index = this->hosts.size() - count; index < this->hosts.size(); ++index) {
            this->cut_host(index);
        }
    }
    auto cut_data_centre(std::size_t data_centre) -> void {
        for (auto index = data_centre; index < this->hosts.size(); index += data_centres) {
            this->cut(index, 1 + data_centre);
        }
    }
    // Cuts the first `count` hosts, keepers among them, off from the registry only.
    auto cut_from_registry(std::size_t count) -> void {
        for (auto index = std::size_t{0}; index < count; ++index) {
            this->hosts[index].registry_cut = true;
        }
    }
    auto heal() -> void {
        for (auto& each : this->hosts) {
            each.group = 0;
            each.registry_cut = false;
        }
    }
    // Lets another host keep the quotas of a data centre.
    auto replace_keeper(std::size_t data_centre) -> void {
        auto const old = this->keepers[data_centre];
        for (auto index = data_centre; index < this->hosts.size(); index += data_centres) {
            auto const& each = this->hosts[index];
            if (index != old && each.alive && !each.frozen && each.group == 0 &&
                !each.registry_cut) {
                this->keepers[data_centre] = index;
                this->hosts[index].reads = true;
                if (old) {
                    // Others still know it as one that lends.
                    this->hosts[*old].reads_until = this->now + follower_window;
                }
                return;
            }
        }
    }
    auto set_demand(std::size_t account, double factor) -> void {
        this->demand_factor[account] = factor;
    }
    auto set_weight(std::size_t data_centre, double weight) -> void {
        this->data_centre_weight[data_centre] = weight;
    }
    // Lets all requests be sent to these hosts, or to all hosts if `count` is 0.
    auto set_busy_hosts(std::size_t first, std::size_t count) -> void {
        this->busy_first = first;
        this->busy_count = count;
    }
    auto set_quota(std::size_t account, double rate) -> void {
        auto accounts = this->versions.back().accounts;
        accounts[account].quota->per_second = rate;
        accounts[account].quota->burst = this->settings.burst_seconds * rate;
        this->versions.push_back({std::move(accounts), this->now, std::nullopt});
    }

    // Loses this part of the answers of keepers to their followers, as when they come too late.
    auto lose_answers(double part) -> void { this->lost_answers = part; }

    [[nodiscard]] auto size() const -> std::size_t { return this->hosts.size(); }
    [[nodiscard]] auto keeper(std::size_t data_centre) const -> std::optional<std::size_t> {
        return this->keepers[data_centre];
    }
    [[nodiscard]] auto result() const -> quota_fleet_result const& { return this->sums; }

private:
    // When a host began to follow another one, and when it ceases to be known as doing so.
    struct following {
        double since = 0;
        double until = std::numeric_limits<double>::lowest();
    };
    struct member {
        account_quotas quotas;
        std::size_t data_centre = 0;
        std::size_t version = 0;
        bool alive = true;
        bool frozen = false;
        bool reads = false;
        double reads_until = 0;
        // Hosts reach those of the same group only; 0 is the one with the registry.
        std::size_t group = 0;
        // Reaches hosts, but not the registry.
        bool registry_cut = false;
        double cut_at = 0;
        double left_at = 0;
        std::size_t known_hosts = assumed_hosts;
        double peak_until = 0;
        double next_share = 0;
        std::optional<std::size_t> follows = std::nullopt;
        std::map<std::size_t, following> followers = {};
        std::map<std::size_t, double> unreachable_until = {};
        std::map<std::pair<std::size_t, std::size_t>, double> declined_until = {};
        std::size_t next_lender = 0;
    };
    struct version {
        std::vector<client_account> accounts;
        double acknowledged = 0;
        // When the versions before this one cease to bind.
        std::optional<double> binds_at = std::nullopt;
    };
    struct work {
        double at = 0;
        std::size_t account = 0;
        double amount = 0;
    };

    [[nodiscard]] static auto at(double seconds) -> base::time_point {
        return base::time_point{} + std::chrono::hours{1} + base::from_seconds(seconds);
    }

    [[nodiscard]] auto fresh_host(std::size_t data_centre) const -> member {
        auto made = member{.quotas = account_quotas{quota_tolerance{
                               std::chrono::seconds{8}, base::fraction{overage}, slack}}};
        made.data_centre = data_centre;
        made.peak_until = this->now + assumption_time;
        made.next_share = this->now;
        return made;
    }

    auto cut(std::size_t index, std::size_t group) -> void {
        auto& each = this->hosts[index];
        if (each.group == 0) {
            each.cut_at = this->now;
        }
        each.group = group;
    }

    [[nodiscard]] auto reaches(std::size_t from, std::size_t to) const -> bool {
        auto const& target = this->hosts[to];
        return target.alive && !target.frozen && this->hosts[from].group == target.group;
    }

    [[nodiscard]] auto account(member const& own, std::size_t index) const
        -> client_account const& {
        return this->versions[own.version].accounts[index];
    }

    // Lets hosts learn of each other, as from the registry and the hosts that they follow.
    auto exchange() -> void {
        auto registered = std::size_t{0};
        for (auto const& each : this->hosts) {
            auto const in_touch = each.alive && each.group == 0 && !each.frozen;
            auto const since = each.alive ? each.cut_at : each.left_at;
            registered += in_touch || this->now < since + lease ? 1U : 0U;
        }
        registered -=
            static_cast<std::size_t>(this->settings.count_lag * static_cast<double>(registered));
        for (auto data_centre = std::size_t{0}; data_centre < data_centres; ++data_centre) {
            this->elect(data_centre);
        }
        for (auto index = std::size_t{0}; index < this->hosts.size(); ++index) {
            auto& each = this->hosts[index];
            if (!each.alive || each.frozen) {
                continue;
            }
            auto const keeper = this->keepers[each.data_centre];
            if (keeper != index && each.reads && each.group == 0) {
                each.reads = this->now < each.reads_until;
            }
            each.follows = std::nullopt;
            if (!each.reads && keeper && *keeper != index && this->reaches(index, *keeper)) {
                each.follows = keeper;
                auto& known = this->hosts[*keeper].followers;
                auto& own = known.try_emplace(index).first->second;
                if (own.until <= this->now) {
                    own.since = this->now;
                }
                own.until = this->now + follower_window;
            }
            if (each.group == 0) {
                each.version = this->versions.size() - 1;
                if (registered >= each.known_hosts || this->now >= each.peak_until) {
                    each.known_hosts = std::max<std::size_t>(registered, 1);
                    each.peak_until = this->now + peak_hold;
                }
            }
        }
    }

    // Replaces the keeper of a data centre if the registry has been without it for some time.
    auto elect(std::size_t data_centre) -> void {
        auto const keeper = this->keepers[data_centre];
        if (keeper && this->hosts[*keeper].alive && !this->hosts[*keeper].frozen &&
            this->hosts[*keeper].group == 0 && !this->hosts[*keeper].registry_cut) {
            this->keeper_missing_since[data_centre] = this->now;
            // It may have restarted.
            this->hosts[*keeper].reads = true;
        } else if (this->now >= this->keeper_missing_since[data_centre] + takeover) {
            this->replace_keeper(data_centre);
        }
    }

    auto refresh_share(std::size_t index) -> void {
        auto& own = this->hosts[index];
        if (this->now < own.next_share) {
            return;
        }
        own.next_share = this->now + tick;
        auto shares = std::size_t{1};
        if (own.reads) {
            std::erase_if(own.followers,
                          [&](auto const& each) { return each.second.until <= this->now; });
            shares += own.followers.size();
        } else if (this->reachable_keeper(own)) {
            shares = 0;
        }
        own.quotas.set_share(static_cast<double>(shares) / static_cast<double>(own.known_hosts),
                             at(this->now));
    }

    [[nodiscard]] auto reachable_keeper(member const& own) const -> std::optional<std::size_t> {
        if (!own.follows || own.reads) {
            return std::nullopt;
        }
        auto const paused = own.unreachable_until.find(*own.follows);
        return paused != own.unreachable_until.end() && this->now < paused->second ? std::nullopt
                                                                                   : own.follows;
    }

    auto take(std::size_t index, std::size_t of, double amount) -> bool {
        auto& own = this->hosts[index];
        if (auto const keeper = this->reachable_keeper(own)) {
            if (this->reaches(index, *keeper)) {
                auto const taken = this->take_here(*keeper, of, amount);
                if (!std::bernoulli_distribution{this->lost_answers}(this->random)) {
                    return taken;
                }
            }
            own.unreachable_until[*keeper] = this->now + unreachable_pause;
        }
        return this->take_here(index, of, amount);
    }

    auto take_here(std::size_t index, std::size_t of, double amount) -> bool {
        auto& own = this->hosts[index];
        this->refresh_share(index);
        auto const& wanted = this->account(own, of);
        auto const taken = [&] {
            return std::holds_alternative<quota_taken>(
                own.quotas.take(wanted, amount, at(this->now)));
        };
        if (taken()) {
            return true;
        }
        if (!own.reads) {
            return false;
        }
        this->borrow(index, of, amount);
        return taken();
    }

    auto borrow(std::size_t index, std::size_t of, double amount) -> void {
        auto& own = this->hosts[index];
        auto const& wanted = this->account(own, of);
        auto const least = borrowed_time * wanted.quota->per_second;
        auto lenders = std::vector<std::size_t>{};
        for (auto other = std::size_t{0}; other < this->hosts.size(); ++other) {
            if (other != index && this->hosts[other].reads) {
                lenders.push_back(other);
            }
        }
        for (auto asked = std::size_t{0}; asked < lenders.size(); ++asked) {
            auto const lender = lenders[(own.next_lender + asked) % lenders.size()];
            auto const missing = own.quotas.missing(wanted, amount, at(this->now));
            if (missing <= 0) {
                return;
            }
            auto const declined = own.declined_until.find({lender, of});
            auto const paused = own.unreachable_until.find(lender);
            if ((declined != own.declined_until.end() && this->now < declined->second) ||
                (paused != own.unreachable_until.end() && this->now < paused->second)) {
                continue;
            }
            auto lent = 0.0;
            if (this->reaches(index, lender)) {
                this->refresh_share(lender);
                auto& other = this->hosts[lender];
                lent = other.quotas.lend(this->account(other, of), std::max(missing, least),
                                         at(this->now));
            } else {
                own.unreachable_until[lender] = this->now + unreachable_pause;
            }
            own.quotas.borrow(wanted, lent, at(this->now));
            if (lent < missing) {
                own.declined_until[{lender, of}] = this->now + declined_pause;
            }
        }
        ++own.next_lender;
    }

    auto run_step() -> void {
        this->now += step;
        if (this->now >= this->next_exchange) {
            this->next_exchange = this->now + tick;
            this->exchange();
            this->note_versions();
        }
        this->weigh_hosts();
        auto const& newest = this->versions.back().accounts;
        for (auto index = std::size_t{0}; index < newest.size(); ++index) {
            auto const& quota = *newest[index].quota;
            this->ideal[index] =
                std::min(this->ideal[index] + quota.per_second * step, quota.burst);
            auto const tokens = this->demand[index] * this->demand_factor[index] * step;
            this->send(index, generation_tokens, tokens * generation_part);
            this->send(index, plain_tokens, tokens * (1 - generation_part));
        }
        this->check();
    }

    auto weigh_hosts() -> void {
        this->weights.clear();
        for (auto index = std::size_t{0}; index < this->hosts.size(); ++index) {
            auto const& each = this->hosts[index];
            auto const busy = this->busy_count == 0 ||
                              (index - this->busy_first) % this->hosts.size() < this->busy_count;
            // Hosts that are gone or refuse all requests of accounts are owed nothing.
            auto const serves =
                each.alive && !each.frozen &&
                (each.group == 0 || this->now < each.cut_at + this->settings.freshness_seconds);
            this->weights.push_back(busy && serves ? this->data_centre_weight[each.data_centre]
                                                   : 0.0);
        }
        this->any_host = std::ranges::any_of(this->weights, [](auto each) { return each > 0; });
        this->draw_host =
            std::discrete_distribution<std::size_t>{this->weights.begin(), this->weights.end()};
    }

    auto send(std::size_t account, double amount, double tokens) -> void {
        if (!this->any_host) {
            return;
        }
        auto count = std::poisson_distribution<int>{tokens / amount}(this->random);
        for (; count > 0; --count) {
            auto const host = this->draw_host(this->random);
            if (this->ideal[account] >= amount) {
                this->ideal[account] -= amount;
                this->sums.owed[account] += amount;
            }
            if (this->take(host, account, amount)) {
                this->sums.taken[account] += amount;
                this->in_window[account] += amount;
                this->running.push_back({this->now, account, amount});
            }
        }
    }

    // Notes when older versions cease to bind: one window after all hosts were in touch for long
    // enough.
    auto note_versions() -> void {
        auto const in_touch = std::ranges::all_of(this->hosts, [](auto const& each) {
            return !each.alive || (!each.frozen && each.group == 0);
        });
        if (!in_touch) {
            this->in_touch_since = this->now;
        }
        for (auto& each : this->versions) {
            if (!each.binds_at &&
                this->now >= std::max(each.acknowledged, this->in_touch_since) + config_apply) {
                each.binds_at = this->now + window;
            }
        }
    }

    auto check() -> void {
        while (!this->running.empty() && this->running.front().at <= this->now - window) {
            this->in_window[this->running.front().account] -= this->running.front().amount;
            this->running.pop_front();
        }
        auto first = this->versions.size() - 1;
        while (first > 0 &&
               (!this->versions[first].binds_at || this->now < *this->versions[first].binds_at)) {
            --first;
        }
        for (auto index = std::size_t{0}; index < this->in_window.size(); ++index) {
            auto allowed = 0.0;
            for (auto each = first; each < this->versions.size(); ++each) {
                auto const& quota = *this->versions[each].accounts[index].quota;
                allowed = std::max(allowed, quota.per_second * window + quota.burst);
            }
            auto const share = this->in_window[index] / (allowed * (1 + overage) + slack);
            if (share > this->sums.worst) {
                this->sums.worst = share;
                this->sums.worst_at = this->now;
                this->sums.worst_account = index;
            }
        }
    }

    quota_fleet_settings settings;
    std::mt19937 random;
    double now = 0;
    double next_exchange = 0;
    double in_touch_since = 0;
    std::vector<member> hosts;
    std::vector<version> versions;
    std::vector<std::optional<std::size_t>> keepers;
    std::vector<double> keeper_missing_since;
    std::vector<double> demand;
    std::vector<double> demand_factor;
    std::vector<double> data_centre_weight;
    double lost_answers = 0;
    std::size_t busy_first = 0;
    std::size_t busy_count = 0;
    std::vector<double> weights;
    bool any_host = true;
    std::discrete_distribution<std::size_t> draw_host;
    // What one bucket for all hosts would hold.
    std::vector<double> ideal;
    std::vector<double> in_window;
    std::deque<work> running;
    quota_fleet_result sums;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_ACCOUNT_QUOTAS_MODEL_H_

// Takes the work of requests from the quotas of their accounts: from the keeper that this host
// follows, or as a keeper for its followers and itself.
//
// While the keeper can't be reached, the host has only its own share of each quota.

#ifndef LINNETLANE_ROUTER_QUOTA_SERVICE_H_
#define LINNETLANE_ROUTER_QUOTA_SERVICE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/request_context.h"
#include "linnetlane/routing/account_quotas.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class quota_service {
public:
    // Includes the time in which the keeper asks others.
    static constexpr auto keeper_timeout = std::chrono::milliseconds{150};
    static constexpr auto lender_timeout = std::chrono::milliseconds{60};
    // A keeper asks others for no longer than this, so that its followers don't take it for lost.
    static constexpr auto borrowing_timeout = std::chrono::milliseconds{100};
    // How long a host that gave no answer is left alone.
    static constexpr auto unreachable_pause = std::chrono::milliseconds{500};
    // How long a keeper that had nothing to lend for an account isn't asked for it again.
    static constexpr auto declined_pause = std::chrono::milliseconds{200};
    // Keepers borrow at least what the whole quota grants in this time, to ask less often.
    static constexpr auto borrowed_time = std::chrono::milliseconds{100};
    // How often the share is computed anew from the followers.
    static constexpr auto share_interval = std::chrono::milliseconds{100};

    explicit quota_service(host_context const& own_host)
        : host{own_host}, quotas{tolerance_of(own_host.settings.quotas)} {}

    // Takes the work of the request. Returns the refusal if the account's quota has too little
    // room. Suspends the calling fiber.
    auto charge(request_context const& context) -> std::optional<refusal> {
        auto const* const account = context.account();
        if (account == nullptr || !account->quota) {
            return std::nullopt;
        }
        auto const taken = this->take(*account, amount_of(context, *account->quota));
        auto const* const wait = std::get_if<routing::quota_wait>(&taken);
        return wait == nullptr ? std::nullopt
                               : std::optional{refusal{refusal_reason::quota_exceeded, wait->wait}};
    }
    // Gives back what `charge` took for a request that certainly hasn't run.
    auto give_back(request_context const& context) -> void {
        auto const* const account = context.account();
        if (account == nullptr || !account->quota) {
            return;
        }
        auto const amount = amount_of(context, *account->quota);
        auto const now = base::monotonic_clock::now();
        auto const keeper = this->keeper(now);
        if (!keeper) {
            this->quotas.give_back(*account, amount, now);
            return;
        }
        this->host.pool.spawn([this, keeper = *keeper, question = question_for(*account, -amount)] {
            // If the call fails, the account has a little less.
            static_cast<void>(this->ask(keeper, question, keeper_timeout));
        });
    }
    // Answers a follower or another keeper. Suspends the calling fiber.
    auto answer(quota_question const& question) -> quota_answer {
        auto const configuration = this->host.view.routes.current();
        auto const* const account =
            configuration ? configuration->accounts.find(question.account) : nullptr;
        if (account == nullptr) {
            // This configuration may be older than the follower's.
            return quota_answer{0, unreachable_pause};
        }
        if (!account->quota) {
            return quota_answer{std::max(question.amount, 0.0), {}};
        }
        auto const now = base::monotonic_clock::now();
        this->refresh_share(now);
        if (question.amount <= 0) {
            this->quotas.give_back(*account, -question.amount, now);
            return quota_answer{};
        }
        if (question.from_keeper) {
            return quota_answer{this->quotas.lend(*account, question.amount, now), {}};
        }
        auto const taken = this->take_here(*account, question.amount);
        auto const* const wait = std::get_if<routing::quota_wait>(&taken);
        return wait == nullptr ? quota_answer{question.amount, {}} : quota_answer{0, wait->wait};
    }
    // Returns the host that keeps quotas for this one, or nothing if this one keeps them itself or
    // its keeper can't be reached.
    [[nodiscard]] auto keeper(base::time_point now) -> std::optional<host_entry> {
        auto const& source = this->host.view.source;
        return source && source->peers && !this->is_unreachable(source->host, now) ? source
                                                                                   : std::nullopt;
    }
    // Returns the share of all quotas that this host's buckets get now, from 0 to 1.
    [[nodiscard]] auto share(base::time_point now) -> double {
        auto& view = this->host.view;
        auto shares = std::size_t{1};
        if (view.reads_registry) {
            shares += view.feed.followers(now).size();
        } else if (this->keeper(now)) {
            shares = 0;
        }
        return static_cast<double>(shares) / static_cast<double>(view.hosts);
    }
    // Returns what an account, which must have a quota, can take from this host's bucket. Nothing
    // if another host keeps the quota.
    [[nodiscard]] auto level(routing::client_account const& account, base::time_point now)
        -> std::optional<double> {
        if (this->keeper(now)) {
            return std::nullopt;
        }
        this->refresh_share(now);
        return this->quotas.level(account, now);
    }

private:
    [[nodiscard]] static auto tolerance_of(quota_settings const& settings)
        -> routing::quota_tolerance {
        return routing::quota_tolerance{settings.window, settings.overage, settings.slack};
    }

    [[nodiscard]] static auto amount_of(request_context const& context,
                                        routing::account_quota const& quota) -> double {
        auto const& size = context.caller.size;
        return routing::quota_amount(
            quota, size ? std::optional{static_cast<double>(size->prompt.value) +
                                        static_cast<double>(size->max_output.value)}
                        : std::nullopt);
    }

    [[nodiscard]] auto question_for(routing::client_account const& account, double amount) const
        -> quota_question {
        auto const configuration = this->host.view.routes.current();
        return quota_question{
            account.id, amount, this->host.view.reads_registry,
            configuration ? configuration->version : routing::configuration_version{}};
    }

    auto take(routing::client_account const& account, double amount) -> routing::quota_result {
        auto const keeper = this->keeper(base::monotonic_clock::now());
        if (!keeper) {
            return this->take_here(account, amount);
        }
        auto const answer = this->ask(*keeper, question_for(account, amount), keeper_timeout);
        if (!answer) {
            return this->take_here(account, amount);
        }
        return answer->granted >= amount ? routing::quota_result{routing::quota_taken{}}
                                         : routing::quota_result{routing::quota_wait{answer->wait}};
    }

    auto take_here(routing::client_account const& account, double amount) -> routing::quota_result {
        auto const now = base::monotonic_clock::now();
        this->refresh_share(now);
        auto const taken = this->quotas.take(account, amount, now);
        if (std::holds_alternative<routing::quota_taken>(taken) ||
            !this->host.view.reads_registry) {
            return taken;
        }
        this->borrow(account, amount);
        return this->quotas.take(account, amount, base::monotonic_clock::now());
    }

    // Asks other keepers for what is missing, until there is enough.
    auto borrow(routing::client_account const& account, double amount) -> void {
        // A copy, since the list may change while others are asked.
        auto const readers = this->host.view.other_readers;
        auto const least = base::to_seconds(borrowed_time) * account.quota->per_second;
        auto const ask_until = base::monotonic_clock::now() + borrowing_timeout;
        for (auto asked = std::size_t{0}; asked < readers.size(); ++asked) {
            auto const& reader = readers[(this->next_lender + asked) % readers.size()];
            auto const now = base::monotonic_clock::now();
            auto const missing = this->quotas.missing(account, amount, now);
            if (missing <= 0 || now >= ask_until) {
                return;
            }
            auto const declined = this->declined_until.find({reader.host, account.id});
            if ((declined != this->declined_until.end() && now < declined->second) ||
                this->is_unreachable(reader.host, now)) {
                continue;
            }
            auto const answer =
                this->ask(reader, this->question_for(account, std::max(missing, least)),
                          std::min<base::duration>(lender_timeout, ask_until - now));
            auto const lent = answer ? answer->granted : 0.0;
            this->quotas.borrow(account, lent, base::monotonic_clock::now());
            if (lent < missing) {
                this->declined_until[{reader.host, account.id}] = now + declined_pause;
            }
        }
        ++this->next_lender;
    }

    auto ask(host_entry const& keeper, quota_question const& question, base::duration timeout)
        -> std::optional<quota_answer> {
        auto const sent = runtime::fetch(*keeper.peers, make_quota_request(question),
                                         runtime::connection_use::pooled,
                                         base::monotonic_clock::now() + timeout, max_peer_answer);
        auto const* const response = std::get_if<runtime::http_response>(&sent);
        auto const answer = response != nullptr && response->status == 200
                                ? decode_quota_answer(response->body)
                                : std::nullopt;
        if (!answer) {
            this->unreachable_until[keeper.host] = base::monotonic_clock::now() + unreachable_pause;
            this->host.log.write(
                telemetry::log_level::info, "keeper of quotas gave no answer",
                {telemetry::field::peer(keeper.host),
                 {"status",
                  response == nullptr ? 0 : static_cast<std::int64_t>(response->status)}});
        }
        if (question.amount > 0) {
            this->host.metrics.count_quota_question(!answer ? quota_outcome::none
                                                    : answer->granted < question.amount
                                                        ? quota_outcome::short_of_work
                                                        : quota_outcome::granted);
        }
        return answer;
    }

    [[nodiscard]] auto is_unreachable(base::host_id const& other, base::time_point now) const
        -> bool {
        auto const found = this->unreachable_until.find(other);
        return found != this->unreachable_until.end() && now < found->second;
    }

    auto refresh_share(base::time_point now) -> void {
        if (now < this->next_share) {
            return;
        }
        this->next_share = now + share_interval;
        this->quotas.set_share(this->share(now), now);
        std::erase_if(this->declined_until, [&](auto const& each) { return each.second <= now; });
        if (auto const configuration = this->host.view.routes.current()) {
            this->quotas.retain(configuration->accounts);
        }
    }

    host_context const& host;
    routing::account_quotas quotas;
    base::time_point next_share = base::time_point::min();
    std::map<base::host_id, base::time_point> unreachable_until;
    std::map<std::pair<base::host_id, base::caller_id>, base::time_point> declined_until;
    // The position in the list of keepers at which the next one begins to ask.
    std::size_t next_lender = 0;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_QUOTA_SERVICE_H_

#include "linnetlane/daemon/cell_client.h"

#include <random>

#include "linnetlane/base/result.h"
#include "linnetlane/cell/scheduler.h"
#include "linnetlane/membership/rendezvous.h"

namespace linnetlane::daemon {

namespace {

// Delay before a request is told that its question was lost, so that the membership view is up to
// date when the request asks again.
constexpr auto keeper_lost_delay = std::chrono::milliseconds{50};
// Retry delay of a request for which no keeper exists.
constexpr auto no_keeper_retry_delay = std::chrono::seconds{1};
// Renewals that stay unacknowledged for this long are discarded.
constexpr auto unacknowledged_lifetime = std::chrono::seconds{5};
// A holder stops using a grant this long before the keeper's own deadline for it.
constexpr auto deadline_margin = std::chrono::milliseconds{100};

auto to_held_grant(cell::acquire const& ask) -> cell::held_grant {
    auto held = cell::held_grant{};
    held.attempt = ask.attempt;
    held.prompt = ask.prompt;
    held.output_bound = ask.output_bound;
    return held;
}

}  // namespace

auto cell_client::attempt_hash::operator()(cell::attempt const& attempt) const noexcept
    -> std::size_t {
    return std::hash<base::request_id>{}(attempt.request) ^ attempt.number.value;
}

cell_client::cell_client(runtime::worker_pool& own_pool, base::data_centre_id own_data_centre,
                         keeper_sender sender)
    : pool(&own_pool), data_centre(std::move(own_data_centre)), send_to_keeper(std::move(sender)) {
    this->timer = std::make_unique<ticker>(own_pool, [this] { return this->renew_all(); });
}

auto cell_client::open(base::service_id const& /*service*/, base::request_id const& request,
                       cell_sink sink) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->sinks[request] = std::move(sink);
}

auto cell_client::close(base::request_id const& request) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->sinks.erase(request);
}

// Chooses the same cell for requests that share a prefix, since that cell has it in its cache.
// Requires `mutex` to be held.
auto cell_client::choose_cell(base::service_id const& service, cell::acquire const& ask)
    -> std::optional<std::pair<protocol::cell_key, keeper>> {
    auto const affinity =
        ask.prefixes.empty() ? ask.attempt.request.low : ask.prefixes.front().value;
    auto const duty = std::to_string(affinity);
    auto best = std::optional<std::pair<protocol::cell_key, keeper>>{};
    auto best_score = std::uint64_t{0};
    for (auto const* const entry : this->directory->cells_of(service, this->data_centre)) {
        auto const score = membership::rendezvous_score(duty, std::to_string(entry->key.number));
        if (entry->keeper && (!best || score > best_score)) {
            best = std::pair{entry->key, *entry->keeper};
            best_score = score;
        }
    }
    return best;
}

auto cell_client::acquire(base::service_id const& service, cell::acquire const& ask) -> void {
    auto chosen = std::optional<std::pair<protocol::cell_key, keeper>>{};
    {
        auto const lock = std::lock_guard{this->mutex};
        chosen = this->choose_cell(service, ask);
        if (chosen) {
            this->attempts[ask.attempt] = {chosen->first, chosen->second, to_held_grant(ask),
                                           false};
        }
    }
    if (!chosen) {
        this->refuse_without_cell(ask.attempt);
        return;
    }
    this->send_to_keeper(chosen->second, protocol::request_to_cell{chosen->first, ask});
}

auto cell_client::refuse_without_cell(cell::attempt const& attempt) -> void {
    auto refusal = cell::refuse{};
    refusal.attempt = attempt;
    refusal.reason = cell::refusal::no_upstream;
    refusal.retry_at = base::monotonic_clock::now() + no_keeper_retry_delay;
    this->notify(attempt, refusal);
}

auto cell_client::progress(cell::renewal const& renewal) -> void {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->attempts.find(renewal.attempt);
    if (found != this->attempts.end()) {
        found->second.grant.phase = renewal.phase;
        found->second.grant.produced = renewal.produced;
    }
}

auto cell_client::release(cell::release const& release) -> void {
    auto target = std::optional<std::pair<protocol::cell_key, keeper>>{};
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->attempts.find(release.attempt);
        if (found != this->attempts.end()) {
            target = std::pair{found->second.cell, found->second.keeper};
            this->attempts.erase(found);
        }
    }
    if (target) {
        this->send_to_keeper(target->second, protocol::request_to_cell{target->first, release});
    }
}

auto cell_client::notify(cell::attempt const& attempt, cell_answer const& answer) -> void {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->sinks.find(attempt.request);
    if (found != this->sinks.end()) {
        found->second(answer);
    }
}

auto cell_client::notify_keeper_lost(std::vector<cell::attempt> const& lost) -> void {
    if (lost.empty()) {
        return;
    }
    this->pool->spawn([this, lost] {
        runtime::sleep_until(base::monotonic_clock::now() + keeper_lost_delay);
        for (auto const& attempt : lost) {
            this->notify(attempt, keeper_lost{attempt});
        }
    });
}

auto cell_client::fail_pending(std::function<bool(held_attempt const&)> const& is_lost) -> void {
    auto lost = std::vector<cell::attempt>{};
    {
        auto const lock = std::lock_guard{this->mutex};
        for (auto next = this->attempts.begin(); next != this->attempts.end();) {
            if (next->second.granted || !is_lost(next->second)) {
                ++next;
                continue;
            }
            lost.push_back(next->first);
            next = this->attempts.erase(next);
        }
    }
    this->notify_keeper_lost(lost);
}

auto cell_client::update_directory(directory_pointer const& next) -> void {
    auto announcements = std::map<protocol::cell_key, std::pair<keeper, cell::announce>>{};
    auto const keeper_of = [&](protocol::cell_key const& key) -> std::optional<keeper> {
        auto const* const entry = next->find(key);
        return entry == nullptr ? std::nullopt : entry->keeper;
    };
    {
        auto const lock = std::lock_guard{this->mutex};
        this->directory = next;
        for (auto& [attempt, held] : this->attempts) {
            auto const current_keeper = keeper_of(held.cell);
            if (!held.granted || !current_keeper || *current_keeper == held.keeper) {
                continue;
            }
            held.keeper = *current_keeper;
            auto& [to, announced] = announcements[held.cell];
            to = *current_keeper;
            announced.grants.push_back(held.grant);
        }
    }
    this->fail_pending([&](held_attempt const& held) {
        auto const current_keeper = keeper_of(held.cell);
        return !current_keeper || *current_keeper != held.keeper;
    });
    for (auto const& [key, announcement] : announcements) {
        this->send_to_keeper(announcement.first,
                             protocol::request_to_cell{key, announcement.second});
    }
}

auto cell_client::link_lost(base::host_id const& host) -> void {
    this->fail_pending([&](held_attempt const& held) { return held.keeper.host == host; });
}

auto cell_client::handle_reply(base::host_id const& from, protocol::reply_from_cell const& reply)
    -> void {
    std::visit(base::overloaded{
                   [&](cell::grant const& grant) { this->handle_grant(reply.cell, grant); },
                   [&](cell::decode_ready const& ready) { this->handle_decode_ready(ready); },
                   [&](cell::refuse const& refusal) { this->handle_refusal(refusal); },
                   [&](protocol::renewals_accepted const& taken) {
                       this->handle_renewal_ack(reply.cell, taken.round);
                   },
                   [&](protocol::not_keeper const&) {
                       this->fail_pending([&](held_attempt const& held) {
                           return held.cell == reply.cell && held.keeper.host == from;
                       });
                   },
               },
               reply.reply);
}

auto cell_client::handle_grant(protocol::cell_key const& cell, cell::grant const& grant) -> void {
    auto usable = grant;
    usable.deadline -= deadline_margin;
    if (this->record_grant(grant)) {
        this->notify(grant.attempt, usable);
    } else {
        this->return_grant(cell, grant.attempt);
    }
}

auto cell_client::handle_decode_ready(cell::decode_ready const& ready) -> void {
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->attempts.find(ready.attempt);
        if (found == this->attempts.end()) {
            return;
        }
        found->second.grant.decode = ready.decode;
    }
    this->notify(ready.attempt, ready);
}

auto cell_client::handle_refusal(cell::refuse const& refusal) -> void {
    {
        auto const lock = std::lock_guard{this->mutex};
        this->attempts.erase(refusal.attempt);
    }
    this->notify(refusal.attempt, refusal);
}

// Stores `grant` with its attempt. Returns false if the attempt no longer waits for it.
auto cell_client::record_grant(cell::grant const& grant) -> bool {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->attempts.find(grant.attempt);
    if (found == this->attempts.end()) {
        return false;
    }
    auto& held = found->second;
    held.granted = true;
    held.grant.prefill = grant.prefill;
    held.grant.decode = grant.decode;
    held.grant.pieces = grant.pieces;
    return true;
}

// Releases a grant whose question was already reported as lost; no call was made under it.
auto cell_client::return_grant(protocol::cell_key const& cell, cell::attempt const& attempt)
    -> void {
    auto to = std::optional<keeper>{};
    {
        auto const lock = std::lock_guard{this->mutex};
        if (auto const* const entry = this->directory->find(cell)) {
            to = entry->keeper;
        }
    }
    if (to) {
        auto release = cell::release{};
        release.attempt = attempt;
        release.ending = cell::ending::cancelled;
        this->pool->spawn([this, to, cell, release] {
            this->send_to_keeper(*to, protocol::request_to_cell{cell, release});
        });
    }
}

auto cell_client::handle_renewal_ack(protocol::cell_key const& cell, protocol::renewal_round round)
    -> void {
    auto taken = sent_renewals{};
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->unacknowledged_rounds.find(round_key{cell, round});
        if (found == this->unacknowledged_rounds.end()) {
            return;
        }
        taken = std::move(found->second);
        this->unacknowledged_rounds.erase(found);
    }
    auto const deadline = taken.sent_at + cell::lease_length - deadline_margin;
    for (auto const& attempt : taken.attempts) {
        this->notify(attempt, renewed{attempt, deadline});
    }
}

auto cell_client::renew_all() -> base::time_point {
    struct batch {
        daemon::keeper keeper;
        protocol::numbered_renew renew;
    };
    auto batches = std::map<protocol::cell_key, batch>{};
    auto const now = base::monotonic_clock::now();
    {
        auto const lock = std::lock_guard{this->mutex};
        this->last_round = this->last_round.next();
        for (auto const& [attempt, held] : this->attempts) {
            if (!held.granted) {
                continue;
            }
            auto& one = batches[held.cell];
            one.keeper = held.keeper;
            one.renew.round = this->last_round;
            one.renew.renew.renewals.push_back({attempt, held.grant.phase, held.grant.produced});
            auto& sent = this->unacknowledged_rounds[round_key{held.cell, this->last_round}];
            sent.sent_at = now;
            sent.attempts.push_back(attempt);
        }
        std::erase_if(this->unacknowledged_rounds, [&](auto const& entry) {
            return entry.second.sent_at + unacknowledged_lifetime < now;
        });
    }
    for (auto const& [key, one] : batches) {
        this->send_to_keeper(one.keeper, protocol::request_to_cell{key, one.renew});
    }
    return now + renewal_interval;
}

}  // namespace linnetlane::daemon

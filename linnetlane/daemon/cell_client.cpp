#include "linnetlane/daemon/cell_client.h"

#include <random>

#include "linnetlane/base/result.h"
#include "linnetlane/cell/scheduler.h"
#include "linnetlane/membership/rendezvous.h"

namespace linnetlane::daemon {

namespace {

// Before a request learns that its question was lost: time for the view to catch up.
constexpr auto lost_question_pause = std::chrono::milliseconds{50};
// When a request without any keeper may ask again.
constexpr auto no_keeper_retry = std::chrono::seconds{1};
// Renewals that were not taken in for so long are forgotten.
constexpr auto round_memory = std::chrono::seconds{5};
// How long before the keeper's own deadline a holder stops using a grant.
constexpr auto deadline_margin = std::chrono::milliseconds{100};

auto ask_of(cell::acquire const& ask) -> cell::held_grant {
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

cell_client::cell_client(runtime::worker_pool& own_pool, base::data_centre_id place, ask_keeper ask)
    : pool(&own_pool), data_centre(std::move(place)), ask_one(std::move(ask)) {
    this->clock = std::make_unique<ticker>(own_pool, [this] { return this->renew_all(); });
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

// Requests that share a prefix go to one cell, where their cache is.
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
            this->attempts[ask.attempt] = {chosen->first, chosen->second, ask_of(ask), false};
        }
    }
    if (!chosen) {
        this->refuse_without_cell(ask.attempt);
        return;
    }
    this->ask_one(chosen->second, protocol::request_to_cell{chosen->first, ask});
}

auto cell_client::refuse_without_cell(cell::attempt const& attempt) -> void {
    auto refusal = cell::refuse{};
    refusal.attempt = attempt;
    refusal.reason = cell::refusal::no_upstream;
    refusal.retry_at = base::monotonic_clock::now() + no_keeper_retry;
    this->tell(attempt, refusal);
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
        this->ask_one(target->second, protocol::request_to_cell{target->first, release});
    }
}

auto cell_client::tell(cell::attempt const& attempt, cell_answer const& answer) -> void {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->sinks.find(attempt.request);
    if (found != this->sinks.end()) {
        found->second(answer);
    }
}

auto cell_client::tell_lost(std::vector<cell::attempt> const& lost) -> void {
    if (lost.empty()) {
        return;
    }
    this->pool->spawn([this, lost] {
        runtime::sleep_until(base::monotonic_clock::now() + lost_question_pause);
        for (auto const& attempt : lost) {
            this->tell(attempt, keeper_lost{attempt});
        }
    });
}

auto cell_client::lose_questions(std::function<bool(held_attempt const&)> const& is_lost) -> void {
    auto lost = std::vector<cell::attempt>{};
    {
        auto const lock = std::lock_guard{this->mutex};
        for (auto next = this->attempts.begin(); next != this->attempts.end();) {
            if (next->second.answered || !is_lost(next->second)) {
                ++next;
                continue;
            }
            lost.push_back(next->first);
            next = this->attempts.erase(next);
        }
    }
    this->tell_lost(lost);
}

auto cell_client::follow(directory_pointer const& next) -> void {
    auto announcements = std::map<protocol::cell_key, std::pair<keeper, cell::announce>>{};
    auto const keeper_of = [&](protocol::cell_key const& key) -> std::optional<keeper> {
        auto const* const entry = next->find(key);
        return entry == nullptr ? std::nullopt : entry->keeper;
    };
    {
        auto const lock = std::lock_guard{this->mutex};
        this->directory = next;
        for (auto& [attempt, held] : this->attempts) {
            auto const now_keeper = keeper_of(held.cell);
            if (!held.answered || !now_keeper || *now_keeper == held.keeper) {
                continue;
            }
            held.keeper = *now_keeper;
            auto& [to, announced] = announcements[held.cell];
            to = *now_keeper;
            announced.grants.push_back(held.grant);
        }
    }
    this->lose_questions([&](held_attempt const& held) {
        auto const now_keeper = keeper_of(held.cell);
        return !now_keeper || *now_keeper != held.keeper;
    });
    for (auto const& [key, announcement] : announcements) {
        this->ask_one(announcement.first, protocol::request_to_cell{key, announcement.second});
    }
}

auto cell_client::link_lost(base::host_id const& host) -> void {
    this->lose_questions([&](held_attempt const& held) { return held.keeper.host == host; });
}

auto cell_client::take(base::host_id const& from, protocol::reply_from_cell const& reply) -> void {
    std::visit(base::overloaded{
                   [&](cell::grant const& grant) { this->take_grant(reply.cell, grant); },
                   [&](cell::decode_ready const& ready) { this->take_ready(ready); },
                   [&](cell::refuse const& refusal) { this->take_refusal(refusal); },
                   [&](protocol::renewals_accepted const& taken) {
                       this->take_round(reply.cell, taken.round);
                   },
                   [&](protocol::not_keeper const&) {
                       this->lose_questions([&](held_attempt const& held) {
                           return held.cell == reply.cell && held.keeper.host == from;
                       });
                   },
               },
               reply.reply);
}

auto cell_client::take_grant(protocol::cell_key const& cell, cell::grant const& grant) -> void {
    auto told = grant;
    told.deadline -= deadline_margin;
    if (this->note_grant(grant)) {
        this->tell(grant.attempt, told);
    } else {
        this->give_back(cell, grant.attempt);
    }
}

auto cell_client::take_ready(cell::decode_ready const& ready) -> void {
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->attempts.find(ready.attempt);
        if (found == this->attempts.end()) {
            return;
        }
        found->second.grant.decode = ready.decode;
    }
    this->tell(ready.attempt, ready);
}

auto cell_client::take_refusal(cell::refuse const& refusal) -> void {
    {
        auto const lock = std::lock_guard{this->mutex};
        this->attempts.erase(refusal.attempt);
    }
    this->tell(refusal.attempt, refusal);
}

// Whether the attempt still waits for `grant`.
auto cell_client::note_grant(cell::grant const& grant) -> bool {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->attempts.find(grant.attempt);
    if (found == this->attempts.end()) {
        return false;
    }
    auto& held = found->second;
    held.answered = true;
    held.grant.prefill = grant.prefill;
    held.grant.decode = grant.decode;
    held.grant.pieces = grant.pieces;
    return true;
}

// Returns a grant whose question was given up as lost; nothing of it was run.
auto cell_client::give_back(protocol::cell_key const& cell, cell::attempt const& attempt) -> void {
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
            this->ask_one(*to, protocol::request_to_cell{cell, release});
        });
    }
}

auto cell_client::take_round(protocol::cell_key const& cell, protocol::renewal_round round)
    -> void {
    auto taken = sent_round{};
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->rounds.find(round_key{cell, round});
        if (found == this->rounds.end()) {
            return;
        }
        taken = std::move(found->second);
        this->rounds.erase(found);
    }
    auto const deadline = taken.sent_at + cell::lease_length - deadline_margin;
    for (auto const& attempt : taken.attempts) {
        this->tell(attempt, renewed{attempt, deadline});
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
            if (!held.answered) {
                continue;
            }
            auto& one = batches[held.cell];
            one.keeper = held.keeper;
            one.renew.round = this->last_round;
            one.renew.renew.renewals.push_back({attempt, held.grant.phase, held.grant.produced});
            auto& sent = this->rounds[round_key{held.cell, this->last_round}];
            sent.sent_at = now;
            sent.attempts.push_back(attempt);
        }
        std::erase_if(this->rounds,
                      [&](auto const& entry) { return entry.second.sent_at + round_memory < now; });
    }
    for (auto const& [key, one] : batches) {
        this->ask_one(one.keeper, protocol::request_to_cell{key, one.renew});
    }
    return now + renewal_interval;
}

}  // namespace linnetlane::daemon

// Claim keepers and entry hosts on a simulated network, platform and clock, for tests. Several
// keepers may keep the same shards at once.

#ifndef LINNETLANE_CLAIM_FAKE_CLAIMS_H_
#define LINNETLANE_CLAIM_FAKE_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/claim/keeper.h"
#include "linnetlane/claim/record.h"
#include "linnetlane/coordination/fake_store.h"
#include "linnetlane/membership/fake_clock.h"

namespace linnetlane::claim {

// Probabilities of injected faults, and the maximum delay of a message or call.
struct fake_faults {
    // Messages between hosts that are lost.
    double loss = 0;
    // Messages between hosts that arrive twice.
    double duplicates = 0;
    // Platform calls that are lost before they run.
    double lost_calls = 0;
    // Platform calls that run late and whose answers are lost.
    double lost_answers = 0;
    base::duration max_delay = std::chrono::milliseconds{20};
};

// A call of a caller, as seen by its entry host.
struct fake_call {
    claim_request request;
    base::time_point started_at;
    std::optional<claim_reply> reply;
    bool ran = false;
    bool gave_up = false;
    // The entry host can't send the call and withdraws the claim.
    bool cannot_send = false;
};

// Thread-compatible.
class fake_claims {
public:
    fake_claims(std::uint64_t seed, std::size_t count, limits claim_limits)
        : random(seed), bounds(claim_limits) {
        for (auto number = std::size_t{0}; number < count; ++number) {
            this->start(number);
        }
    }
    // Replaces a keeper by a new process that keeps all shards or none.
    auto start(std::size_t number, bool keeps = true) -> void {
        ++this->start_count;
        auto const writer = std::to_string(number) + "/" + std::to_string(this->start_count);
        this->keepers[number] = std::make_shared<keeper>(this->bounds, writer);
        this->set_kept(number, keeps);
    }
    auto set_kept(std::size_t number, bool keeps) -> void {
        auto view = view_changed{{}, {{{"entry"}, {1}}}};
        for (auto shard = std::uint64_t{0}; keeps && shard < this->bounds.shards; ++shard) {
            view.kept.insert({shard});
        }
        this->step(number, view);
    }
    auto step(std::size_t number, event const& incoming) -> void {
        auto const process = this->keepers.at(number);
        for (auto const& issued : process->handle(incoming, this->time.now())) {
            if (auto const* const sent = std::get_if<reply>(&issued)) {
                this->deliver([this, message = sent->message] { this->handle_reply(message); });
            } else {
                this->call(number, process, std::get<call_store>(issued).call);
            }
        }
        this->time.at(process->next_deadline(), [this, number, process] {
            auto const due = process->next_deadline() <= this->time.now();
            if (this->keepers.at(number) == process && due) {
                this->step(number, tick{this->wall()});
            }
        });
    }
    // Starts a call with `key` on an entry host.
    auto begin_call(std::string const& key, bool cannot_send = false) -> request_number {
        auto started = fake_call{};
        this->last = this->last.next();
        started.request = {{{"entry"}, {1}, this->last}, {"notices"}, {key}, this->wall()};
        started.started_at = this->time.now();
        started.cannot_send = cannot_send;
        this->calls[this->last] = started;
        this->send_until_reply(this->last);
        return this->last;
    }
    [[nodiscard]] auto count_runs(std::string const& key) const -> std::size_t {
        auto runs = std::size_t{0};
        for (auto const& [number, each] : this->calls) {
            runs += each.ran && each.request.key.value == key ? 1 : 0;
        }
        return runs;
    }
    [[nodiscard]] auto wall() const -> wall_time {
        return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(
            this->time.now().time_since_epoch())};
    }
    auto clear_faults() -> void {
        this->faults = {};
        this->platform_down = false;
    }

    membership::fake_clock time;
    fake_faults faults;
    bool platform_down = false;
    bool entry_hosts_settle = true;
    std::map<std::size_t, std::shared_ptr<keeper>> keepers;
    coordination::fake_store store;
    std::map<request_number, fake_call> calls;
    std::size_t writes = 0;
    // Size of the largest value that a keeper wrote, in bytes.
    std::size_t largest_value = 0;

private:
    // Sends the request of an entry host to a random keeper every 300 ms until a reply other than
    // `not_keeper` arrives, for up to 4 s.
    auto send_until_reply(request_number number) -> void {
        auto& entry_call = this->calls.at(number);
        if (entry_call.reply || entry_call.gave_up) {
            return;
        }
        if (this->time.now() >= entry_call.started_at + std::chrono::seconds{4}) {
            entry_call.gave_up = true;
            this->settle(entry_call, claim_state::not_run);
            return;
        }
        this->send_to_keeper(entry_call.request);
        this->time.after(std::chrono::milliseconds{300},
                         [this, number] { send_until_reply(number); });
    }
    auto handle_reply(claim_reply const& message) -> void {
        auto const found = this->calls.find(message.number);
        if (found == this->calls.end()) {
            return;
        }
        auto& entry_call = found->second;
        auto const is_final = !message.to_settle && message.verdict != verdict::not_keeper;
        if (!is_final || entry_call.reply || entry_call.gave_up) {
            return;
        }
        entry_call.reply = message;
        if (message.verdict == verdict::granted) {
            entry_call.ran = !entry_call.cannot_send;
            auto const ended = entry_call.ran ? claim_state::answered : claim_state::not_run;
            this->settle(entry_call, ended);
        } else if (message.may_be_recorded) {
            this->settle(entry_call, claim_state::not_run);
        }
    }
    auto settle(fake_call const& entry_call, claim_state state) -> void {
        if (!this->entry_hosts_settle) {
            return;
        }
        auto const& request = entry_call.request;
        auto answer = std::optional<stored_answer>{};
        if (state == claim_state::answered) {
            answer = stored_answer{200, "text/plain", "notice"};
        }
        this->send_to_keeper(
            settle_request{request.claimant, request.service, request.key, state, answer});
    }
    template <typename Request>
    auto send_to_keeper(Request const& request) -> void {
        auto pick = std::uniform_int_distribution<std::size_t>{0, this->keepers.size() - 1};
        auto const to = pick(this->random);
        this->deliver([this, to, request] {
            this->step(to, request_received{request, this->wall()});
        });
    }
    auto deliver(std::function<void()> const& delivery) -> void {
        if (this->chance(this->faults.loss)) {
            return;
        }
        auto const copies = this->chance(this->faults.duplicates) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            this->time.after(this->delay(), delivery);
        }
    }
    auto call(std::size_t from, std::shared_ptr<keeper> const& process,
              coordination::store_call const& requested) -> void {
        if (auto const* const swap = std::get_if<coordination::compare_and_swap>(&requested)) {
            ++this->writes;
            for (auto const& extra : swap->extra) {
                auto const size = extra.value.value_or("").size();
                this->largest_value = std::max(this->largest_value, size);
            }
        }
        auto const number = std::visit([](auto const& each) { return each.call; }, requested);
        auto const respond = [this, from, process](coordination::store_answer const& answer) {
            this->time.after(this->delay(), [this, from, process, answer] {
                if (this->keepers.at(from) == process) {
                    this->step(from, store_answered{answer, this->wall()});
                }
            });
        };
        if (this->platform_down) {
            respond(coordination::call_failed{number, coordination::call_reach::not_run});
            return;
        }
        // A call whose answer was lost may take effect much later.
        auto const late = this->chance(this->faults.lost_answers);
        auto const never = this->chance(this->faults.lost_calls);
        if (late || never) {
            respond(coordination::call_failed{number, coordination::call_reach::may_have_run});
        }
        if (never) {
            return;
        }
        auto const wait = late ? 40 * this->delay() : this->delay();
        this->time.after(wait, [this, requested, late, respond] {
            auto const answer = this->store.run(requested, this->time.now());
            if (!late && answer) {
                respond(*answer);
            }
        });
    }
    auto chance(double probability) -> bool {
        return std::uniform_real_distribution<double>{0, 1}(this->random) < probability;
    }
    auto delay() -> base::duration {
        auto span = std::uniform_int_distribution<base::duration::rep>{
            1000, this->faults.max_delay.count()};
        return base::duration{span(this->random)};
    }

    std::mt19937_64 random;
    limits bounds;
    std::size_t start_count = 0;
    request_number last;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_FAKE_CLAIMS_H_

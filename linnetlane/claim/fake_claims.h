// Claim keepers and entry hosts on a fake network, platform and clock, for tests. Several keepers
// may believe that they keep the same shards.

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
#include "linnetlane/membership/fake_timeline.h"

namespace linnetlane::claim {

struct fake_faults {
    double loss = 0;
    double duplicates = 0;
    double lost_calls = 0;
    double lost_answers = 0;
    base::duration most_delay = std::chrono::milliseconds{20};
};

// A call of a caller, as its entry host follows it.
struct fake_call {
    claim_request question;
    base::time_point asked_at;
    std::optional<claim_reply> reply;
    bool ran = false;
    bool gave_up = false;
    // The entry host finds that it can't send, and takes the claim back.
    bool cannot_send = false;
};

// Thread-compatible.
class fake_claims {
public:
    fake_claims(std::uint64_t seed, std::size_t count, limits bounds_in_force)
        : random(seed), bounds(bounds_in_force) {
        for (auto number = std::size_t{0}; number < count; ++number) {
            this->start(number);
        }
    }
    // Starts a new process in place of a keeper's, which keeps all shards or none.
    auto start(std::size_t number, bool keeps = true) -> void {
        ++this->starts;
        auto const writer = std::to_string(number) + "/" + std::to_string(this->starts);
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
    auto step(std::size_t number, event const& happened) -> void {
        auto const process = this->keepers.at(number);
        for (auto const& wanted : process->handle(happened, this->time.now())) {
            if (auto const* const sent = std::get_if<reply>(&wanted)) {
                this->carry([this, message = sent->message] { this->take(message); });
            } else {
                this->call(number, process, std::get<call_store>(wanted).call);
            }
        }
        this->time.at(process->next_deadline(), [this, number, process] {
            auto const due = process->next_deadline() <= this->time.now();
            if (this->keepers.at(number) == process && due) {
                this->step(number, tick{this->wall()});
            }
        });
    }
    // A caller's request with `key` reaches an entry host.
    auto begin(std::string const& key, bool cannot_send = false) -> request_number {
        auto made = fake_call{};
        this->last = this->last.next();
        made.question = {{{"entry"}, {1}, this->last}, {"notices"}, {key}, this->wall()};
        made.asked_at = this->time.now();
        made.cannot_send = cannot_send;
        this->requests[this->last] = made;
        this->ask_again(this->last);
        return this->last;
    }
    [[nodiscard]] auto runs_of(std::string const& key) const -> std::size_t {
        auto runs = std::size_t{0};
        for (auto const& [number, each] : this->requests) {
            runs += each.ran && each.question.key.value == key ? 1 : 0;
        }
        return runs;
    }
    [[nodiscard]] auto wall() const -> wall_time {
        return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(
            this->time.now().time_since_epoch())};
    }
    auto heal() -> void {
        this->faults = {};
        this->platform_down = false;
    }

    membership::fake_timeline time;
    fake_faults faults;
    bool platform_down = false;
    bool entries_settle = true;
    std::map<std::size_t, std::shared_ptr<keeper>> keepers;
    coordination::fake_store store_state;
    std::map<request_number, fake_call> requests;
    std::size_t writes = 0;
    // The most bytes of a value that a keeper wrote.
    std::size_t largest_value = 0;

private:
    // An entry host asks again, of whomever it takes for the keeper, until a reply counts.
    auto ask_again(request_number number) -> void {
        auto& request = this->requests.at(number);
        if (request.reply || request.gave_up) {
            return;
        }
        if (this->time.now() >= request.asked_at + std::chrono::seconds{4}) {
            request.gave_up = true;
            this->settle(request, claim_state::not_run);
            return;
        }
        this->send_to_keeper(request.question);
        this->time.after(std::chrono::milliseconds{300}, [this, number] { ask_again(number); });
    }
    auto take(claim_reply const& message) -> void {
        auto const found = this->requests.find(message.number);
        if (found == this->requests.end()) {
            return;
        }
        auto& request = found->second;
        auto const counts = !message.to_settle && message.verdict != verdict::not_keeper;
        if (!counts || request.reply || request.gave_up) {
            return;
        }
        request.reply = message;
        if (message.verdict == verdict::granted) {
            request.ran = !request.cannot_send;
            auto const ended = request.ran ? claim_state::answered : claim_state::not_run;
            this->settle(request, ended);
        } else if (message.may_be_recorded) {
            this->settle(request, claim_state::not_run);
        }
    }
    auto settle(fake_call const& request, claim_state state) -> void {
        if (!this->entries_settle) {
            return;
        }
        auto const& asked = request.question;
        auto answer = std::optional<stored_answer>{};
        if (state == claim_state::answered) {
            answer = stored_answer{200, "text/plain", "notice"};
        }
        this->send_to_keeper(
            settle_request{asked.claimant, asked.service, asked.key, state, answer});
    }
    template <typename Question>
    auto send_to_keeper(Question const& asking) -> void {
        auto pick = std::uniform_int_distribution<std::size_t>{0, this->keepers.size() - 1};
        auto const to = pick(this->random);
        this->carry([this, to, asking] { this->step(to, request_received{asking, this->wall()}); });
    }
    auto carry(std::function<void()> const& deliver) -> void {
        if (this->chance(this->faults.loss)) {
            return;
        }
        auto const copies = this->chance(this->faults.duplicates) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            this->time.after(this->delay(), deliver);
        }
    }
    auto call(std::size_t from, std::shared_ptr<keeper> const& process,
              coordination::store_call const& wanted) -> void {
        if (auto const* const swap = std::get_if<coordination::compare_and_swap>(&wanted)) {
            ++this->writes;
            for (auto const& extra : swap->extra) {
                auto const size = extra.value.value_or("").size();
                this->largest_value = std::max(this->largest_value, size);
            }
        }
        auto const number = std::visit([](auto const& each) { return each.call; }, wanted);
        auto const back = [this, from, process](coordination::store_answer const& answer) {
            this->time.after(this->delay(), [this, from, process, answer] {
                if (this->keepers.at(from) == process) {
                    this->step(from, store_answered{answer, this->wall()});
                }
            });
        };
        if (this->platform_down) {
            back(coordination::call_failed{number, coordination::call_reach::not_run});
            return;
        }
        // A call whose answer is given up may take effect long after.
        auto const late = this->chance(this->faults.lost_answers);
        auto const never = this->chance(this->faults.lost_calls);
        if (late || never) {
            back(coordination::call_failed{number, coordination::call_reach::may_have_run});
        }
        if (never) {
            return;
        }
        auto const wait = late ? 40 * this->delay() : this->delay();
        this->time.after(wait, [this, wanted, late, back] {
            auto const answer = this->store_state.run(wanted, this->time.now());
            if (!late && answer) {
                back(*answer);
            }
        });
    }
    auto chance(double probability) -> bool {
        return std::uniform_real_distribution<double>{0, 1}(this->random) < probability;
    }
    auto delay() -> base::duration {
        auto span = std::uniform_int_distribution<base::duration::rep>{
            1000, this->faults.most_delay.count()};
        return base::duration{span(this->random)};
    }

    std::mt19937_64 random;
    limits bounds;
    std::size_t starts = 0;
    request_number last;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_FAKE_CLAIMS_H_

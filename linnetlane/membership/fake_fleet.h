// Members on a fake network and clock, for tests. Messages are delayed, dropped, duplicated and
// reordered; links are cut in one direction; hosts are killed, paused and replaced.

#ifndef LINNETLANE_MEMBERSHIP_FAKE_FLEET_H_
#define LINNETLANE_MEMBERSHIP_FAKE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/membership/fake_clock.h"
#include "linnetlane/membership/member.h"

namespace linnetlane::membership {

// Probabilities of faults, from 0 to 1, and the range of network delays.
struct fake_faults {
    double loss = 0;
    double duplicates = 0;
    base::duration min_delay = std::chrono::microseconds{200};
    base::duration max_delay = std::chrono::milliseconds{5};
};

// A host's decision that another one is gone.
struct fake_eviction {
    base::host_id by;
    host_record evicted;
    base::time_point at;
};

// Thread-compatible.
class fake_fleet {
public:
    explicit fake_fleet(std::uint64_t seed) : random(seed) {}

    // Starts `count` hosts in `data_centre`, all with the same host list.
    auto start(std::string const& data_centre, std::size_t count) -> void {
        for (auto number = std::size_t{0}; number < count; ++number) {
            auto const name = data_centre + "-" + std::to_string(number);
            this->hints.push_back({{name}, {data_centre}, {name, 1}, false});
        }
        for (auto const& hint : this->hints) {
            if (!this->hosts.contains(hint.host)) {
                this->start_one(hint, 1);
            }
        }
    }
    // Starts a process under the name of a host whose earlier process may still run.
    auto replace(base::host_id const& host, std::uint64_t incarnation) -> void {
        for (auto const& hint : this->hints) {
            if (hint.host == host) {
                this->start_one(hint, incarnation);
            }
        }
    }
    auto kill(base::host_id const& host) -> void { this->hosts.at(host).dead = true; }
    auto pause(base::host_id const& host) -> void { this->hosts.at(host).paused = true; }
    // Handles the messages that arrived during the pause first, as from a socket's buffer.
    auto resume(base::host_id const& host) -> void {
        auto& woken = this->hosts.at(host);
        woken.paused = false;
        for (auto const& each : std::exchange(woken.missed_messages, {})) {
            this->step(host, each);
        }
        this->step(host, tick{});
    }
    auto step(base::host_id const& host, event const& happened) -> void {
        auto& target = this->hosts.at(host);
        if (target.dead) {
            return;
        }
        if (target.paused) {
            if (std::holds_alternative<received>(happened)) {
                target.missed_messages.push_back(happened);
            }
            return;
        }
        auto const commands = target.process->handle(happened, this->time.now());
        for (auto const& wanted : commands) {
            this->run(host, wanted);
        }
        auto const process = target.process;
        this->time.at(process->next_deadline(), [this, host, process] {
            auto const& current = this->hosts.at(host);
            auto const due = current.process->next_deadline() <= this->time.now();
            if (current.process == process && due) {
                this->step(host, tick{});
            }
        });
    }
    auto member_at(base::host_id const& host) -> member& { return *this->hosts.at(host).process; }
    [[nodiscard]] auto all_hosts() const -> std::vector<base::host_id> {
        auto all = std::vector<base::host_id>{};
        for (auto const& [host, state] : this->hosts) {
            all.push_back(host);
        }
        return all;
    }
    [[nodiscard]] auto live_hosts() const -> std::vector<base::host_id> {
        auto all = std::vector<base::host_id>{};
        for (auto const& [host, state] : this->hosts) {
            if (!state.dead) {
                all.push_back(host);
            }
        }
        return all;
    }
    // Whether every live host sees exactly the live hosts of `data_centre` as present.
    [[nodiscard]] auto agrees_on(std::string const& data_centre) -> bool {
        auto expected = std::vector<base::host_id>{};
        for (auto const& host : this->live_hosts()) {
            if (this->member_at(host).self().data_centre.value == data_centre) {
                expected.push_back(host);
            }
        }
        for (auto const& host : this->live_hosts()) {
            if (this->member_at(host).hosts().present_in({data_centre}) != expected) {
                return false;
            }
        }
        return true;
    }

    fake_clock time;
    fake_faults faults;
    // Pairs of sender and receiver whose messages are dropped.
    std::set<std::pair<base::host_id, base::host_id>> cut_links;
    std::vector<fake_eviction> evictions;
    std::set<base::host_id> superseded_hosts;
    std::size_t messages = 0;
    // Called with each message that is sent.
    std::function<void(send const&)> on_send = [](send const&) {};
    // The number of a message that is dropped. Messages are numbered from 1; 0 drops none.
    std::size_t dropped_message = 0;

private:
    struct host_state {
        std::shared_ptr<member> process;
        bool dead = false;
        bool paused = false;
        std::vector<event> missed_messages;
    };

    auto start_one(host_hint const& hint, std::uint64_t incarnation) -> void {
        auto const record = host_record{hint.host, hint.data_centre, hint.address, {incarnation},
                                        {},        liveness::alive,  false,        true,
                                        0};
        auto started = host_state{};
        started.process =
            std::make_shared<member>(record, timing{}, this->random(), this->time.now());
        this->hosts[hint.host] = std::move(started);
        this->step(hint.host, host_list{this->hints});
    }
    auto run(base::host_id const& from, command const& wanted) -> void {
        if (auto const* const sent = std::get_if<send>(&wanted)) {
            this->deliver(from, *sent);
        }
        auto const* const changed = std::get_if<host_changed>(&wanted);
        if (changed != nullptr && changed->kind == change_kind::gone) {
            this->evictions.push_back({from, changed->record, this->time.now()});
        }
        if (std::holds_alternative<superseded>(wanted)) {
            this->superseded_hosts.insert(from);
        }
    }
    auto deliver(base::host_id const& from, send const& sent) -> void {
        ++this->messages;
        this->on_send(sent);
        auto const cut = this->cut_links.contains({from, sent.to});
        auto const lost =
            this->messages == this->dropped_message || this->chance(this->faults.loss);
        if (cut || lost || !this->hosts.contains(sent.to)) {
            return;
        }
        auto const copies = this->chance(this->faults.duplicates) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            this->time.after(this->delay(), [this, to = sent.to, message = sent.message] {
                this->step(to, received{message});
            });
        }
    }
    auto chance(double probability) -> bool {
        return std::uniform_real_distribution<double>{0, 1}(this->random) < probability;
    }
    auto delay() -> base::duration {
        auto span = std::uniform_int_distribution<base::duration::rep>{
            this->faults.min_delay.count(), this->faults.max_delay.count()};
        return base::duration{span(this->random)};
    }

    std::mt19937_64 random;
    std::vector<host_hint> hints;
    std::map<base::host_id, host_state> hosts;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_FAKE_FLEET_H_

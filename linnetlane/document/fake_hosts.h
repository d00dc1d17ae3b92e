// Document stores of several hosts on a simulated network, platform and clock, for tests.

#ifndef LINNETLANE_DOCUMENT_FAKE_HOSTS_H_
#define LINNETLANE_DOCUMENT_FAKE_HOSTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/coordination/fake_store.h"
#include "linnetlane/document/store.h"
#include "linnetlane/membership/fake_clock.h"

namespace linnetlane::document {

// Probabilities of injected faults, and the maximum delay of a message or call.
struct fake_faults {
    // Messages between hosts that are lost.
    double loss = 0;
    // Messages between hosts that arrive twice.
    double duplicates = 0;
    // Platform calls that are lost before they take effect.
    double lost_calls = 0;
    // Platform calls that take effect, but whose answers are lost.
    double lost_answers = 0;
    // Watch events that are lost.
    double lost_changes = 0;
    base::duration max_delay = std::chrono::milliseconds{5};
};

// Thread-compatible.
class fake_hosts {
public:
    fake_hosts(std::uint64_t seed, std::size_t count) : random(seed) {
        for (auto number = std::size_t{0}; number < count; ++number) {
            this->start(number);
        }
        this->renew_views();
    }
    // Starts a new process of a host, replacing the previous one.
    auto start(std::size_t number) -> void {
        auto const valid = [](version const& candidate) -> std::optional<validation_error> {
            return candidate.text == "bad" ? std::optional{validation_error{"it is bad"}}
                                           : std::nullopt;
        };
        auto fresh = host_state{};
        fresh.process = std::make_shared<store>(valid, this->random());
        this->hosts[number] = std::move(fresh);
        this->step(number, tick{});
    }
    auto step(std::size_t number, event const& incoming) -> void {
        auto& host = this->hosts.at(number);
        if (host.dead) {
            return;
        }
        auto const process = host.process;
        auto const before = process->table().all();
        auto const commands = process->handle(incoming, this->time.now());
        for (auto const& [service, stored] : before) {
            auto const* const now = process->table().find(service);
            this->reverted = this->reverted || is_newer(id_of(stored), id_of(*now));
        }
        for (auto const& each : commands) {
            this->run(number, each);
        }
        this->time.at(process->next_deadline(), [this, number, process] {
            auto const due = process->next_deadline() <= this->time.now();
            if (this->hosts.at(number).process == process && due) {
                this->step(number, tick{});
            }
        });
    }
    auto apply_at(std::size_t number, std::string const& service, base::generation replaces,
                  std::optional<std::string> text) -> std::string {
        auto request = apply{};
        request.number = this->last_apply = this->last_apply.next();
        request.service = {service};
        request.replaces = replaces;
        request.text = std::move(text);
        request.write_id = "write-" + std::to_string(this->last_apply.value);
        this->step(number, request);
        return request.write_id;
    }
    [[nodiscard]] auto in_force(std::size_t number, std::string const& service) -> version {
        auto const* const stored = this->hosts.at(number).process->table().find({service});
        return stored == nullptr ? version{} : *stored;
    }
    [[nodiscard]] auto live_hosts_have_equal_documents() -> bool {
        auto const digest = this->hosts.begin()->second.process->table().digest();
        return std::all_of(this->hosts.begin(), this->hosts.end(), [&](auto const& each) {
            return each.second.dead || each.second.process->table().digest() == digest;
        });
    }
    // Removes all faults of the network and the platform.
    auto clear_faults() -> void {
        this->faults = {};
        this->platform_down = false;
        this->cut_from_platform.clear();
        this->cut_from_peers.clear();
    }
    // Restores the platform from `backup`. Watches end, or stay open at their revision if
    // `watches_break` is false.
    auto restore(coordination::fake_store const& backup, bool watches_break = true) -> void {
        this->store_state = backup;
        if (!watches_break) {
            return;
        }
        for (auto const& watch : std::exchange(this->watches, {})) {
            this->step_later(watch.host, watch.process,
                             store_answered{coordination::watch_ended{watch.call}});
        }
    }

    struct host_state {
        std::shared_ptr<store> process;
        bool dead = false;
        bool knows_documents = false;
        std::size_t invalid_reports = 0;
    };

    membership::fake_clock time;
    fake_faults faults;
    bool platform_down = false;
    std::set<std::size_t> cut_from_platform;
    std::set<std::size_t> cut_from_peers;
    std::map<std::size_t, host_state> hosts;
    coordination::fake_store store_state;
    std::size_t calls = 0;
    std::size_t texts_pushed = 0;
    std::size_t messages = 0;
    bool reverted = false;
    std::vector<applied> accepted;
    std::vector<conflict> conflicts;
    std::vector<refused> refusals;
    std::vector<history_read> histories;

private:
    struct watch_state {
        std::size_t host;
        std::shared_ptr<store> process;
        coordination::call_number call;
        std::string prefix;
        coordination::revision next;
    };

    static auto name_of(std::size_t number) -> base::host_id { return {std::to_string(number)}; }
    // Stands in for membership: digests are recent with a probability of 0.3, and the first two
    // live hosts read the platform.
    auto renew_views() -> void {
        auto view = view_changed{};
        for (auto const& [number, host] : this->hosts) {
            if (!host.dead) {
                view.peers.push_back(
                    {name_of(number), host.process->table().digest(), this->chance(0.3)});
            }
        }
        auto place = 0;
        for (auto const& [number, host] : this->hosts) {
            if (!host.dead) {
                auto own = view;
                auto const self = name_of(number);
                std::erase_if(own.peers, [&](peer const& each) { return each.host == self; });
                own.reader = place < 2;
                ++place;
                this->step(number, own);
            }
        }
        this->time.after(std::chrono::milliseconds{250}, [this] { this->renew_views(); });
    }
    auto run(std::size_t from, command const& issued) -> void {
        auto& host = this->hosts.at(from);
        std::visit(base::overloaded{
                       [&](send const& sent) { this->deliver(from, sent); },
                       [&](call_store const& call) { this->call(from, call.call); },
                       [&](invalid_document const&) { ++host.invalid_reports; },
                       [&](documents_known const&) { host.knows_documents = true; },
                       [&](applied const& each) { this->accepted.push_back(each); },
                       [&](conflict const& each) { this->conflicts.push_back(each); },
                       [&](refused const& each) { this->refusals.push_back(each); },
                       [&](history_read const& each) { this->histories.push_back(each); },
                       [](auto const&) {},
                   },
                   issued);
    }
    auto deliver(std::size_t from, send const& sent) -> void {
        ++this->messages;
        auto const to = std::stoul(sent.to.value);
        if (std::holds_alternative<push>(sent.message)) {
            ++this->texts_pushed;
        }
        auto const cut = this->cut_from_peers.contains(from) || this->cut_from_peers.contains(to);
        if (cut || this->chance(this->faults.loss)) {
            return;
        }
        auto const copies = this->chance(this->faults.duplicates) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            this->step_later(to, this->hosts.at(to).process, received{name_of(from), sent.message});
        }
    }
    auto call(std::size_t from, coordination::store_call const& requested) -> void {
        ++this->calls;
        auto const process = this->hosts.at(from).process;
        this->time.after(this->delay(), [this, from, process, requested] {
            this->run_call(from, process, requested);
        });
    }
    auto run_call(std::size_t from, std::shared_ptr<store> const& process,
                  coordination::store_call const& requested) -> void {
        auto const number = std::visit([](auto const& each) { return each.call; }, requested);
        if (this->platform_down || this->cut_from_platform.contains(from)) {
            this->fail(from, process, number, coordination::call_reach::not_run);
            return;
        }
        if (this->chance(this->faults.lost_calls)) {
            this->fail(from, process, number, coordination::call_reach::may_have_run);
            return;
        }
        if (auto const* const watch = std::get_if<coordination::watch_prefix>(&requested)) {
            this->watches.push_back({from, process, watch->call, watch->prefix, watch->first});
        }
        auto const answer = this->store_state.run(requested, this->time.now());
        this->notify_watches();
        if (!answer) {
            return;
        }
        if (this->chance(this->faults.lost_answers)) {
            this->fail(from, process, number, coordination::call_reach::may_have_run);
            return;
        }
        this->step_later(from, process, store_answered{*answer});
    }
    auto fail(std::size_t from, std::shared_ptr<store> const& process,
              coordination::call_number number, coordination::call_reach reach) -> void {
        this->step_later(from, process, store_answered{coordination::call_failed{number, reach}});
    }
    auto notify_watches() -> void {
        auto broken = [&](watch_state const& watch) {
            return this->platform_down || this->cut_from_platform.contains(watch.host);
        };
        for (auto& watch : this->watches) {
            for (auto const& entry : this->store_state.changes(watch.prefix, watch.next)) {
                watch.next = entry.modified.next();
                if (!broken(watch) && !this->chance(this->faults.lost_changes)) {
                    this->step_later(
                        watch.host, watch.process,
                        store_answered{coordination::watch_changes{watch.call, {entry}}});
                }
            }
        }
    }
    auto step_later(std::size_t to, std::shared_ptr<store> const& process, event const& incoming)
        -> void {
        this->time.after(this->delay(), [this, to, process, incoming] {
            if (this->hosts.at(to).process == process) {
                this->step(to, incoming);
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
    std::vector<watch_state> watches;
    apply_number last_apply;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_FAKE_HOSTS_H_

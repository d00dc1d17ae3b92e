// Order givers and engines on a fake network, platform store and clock, for tests.

#ifndef LINNETLANE_ORDER_FAKE_ENGINES_H_
#define LINNETLANE_ORDER_FAKE_ENGINES_H_

#include <algorithm>
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

#include "linnetlane/base/result.h"
#include "linnetlane/coordination/fake_store.h"
#include "linnetlane/membership/fake_clock.h"
#include "linnetlane/order/order_giver.h"

namespace linnetlane::order {

// Probabilities of faults, from 0 to 1, and the longest network delay.
struct fake_faults {
    // Calls that never reach the platform store.
    double lost_store_calls = 0;
    // Answers of the platform store that are lost.
    double lost_store_answers = 0;
    // Engine replies, to status reads or orders, that are lost.
    double lost_engine_replies = 0;
    // Orders whose sender is paused just before it sends them.
    double pauses = 0;
    base::duration max_delay = std::chrono::milliseconds{50};
};

// An engine: what it runs now (`setup`), what it is loading (`next`), and what it has received.
struct fake_engine {
    engine_setup setup;
    engine_setup next;
    bool checks_fencing = false;
    base::fencing_number highest_fencing;
    std::int64_t running = 2;
    // Whether it is carrying out an order.
    bool busy = false;
    std::size_t orders = 0;
};

// Runs several order givers, each in a process of its own, against the same engines and store.
// Thread-compatible.
class fake_engines {
public:
    fake_engines(std::uint64_t seed, std::size_t givers_started, std::size_t prefill,
                 std::size_t decode, limits bounds_in_force = {})
        : random(seed), bounds(bounds_in_force) {
        for (auto number = std::size_t{0}; number < prefill + decode; ++number) {
            auto upstream = service::upstream{};
            upstream.id = {"e" + std::to_string(number)};
            upstream.data_centre = {"a"};
            upstream.role =
                number < prefill ? service::upstream_role::prefill : service::upstream_role::decode;
            upstream.checks_fencing = number % 3 == 0;
            this->configuration.upstreams.push_back(upstream);
            auto engine = fake_engine{};
            engine.setup = {"m", "1", {}, upstream.role};
            engine.checks_fencing = upstream.checks_fencing;
            this->engines[upstream.id] = engine;
        }
        this->configuration.deployment.model = "m";
        this->configuration.deployment.version = "1";
        for (auto number = std::size_t{0}; number < givers_started; ++number) {
            this->start(number);
        }
    }
    // Starts order giver `number`, in place of one that may still run.
    auto start(std::size_t number) -> void {
        ++this->start_count;
        this->missed_events[number].clear();
        this->paused.erase(number);
        this->givers[number] = std::make_shared<order_giver>(
            base::service_id{"findings"}, this->bounds,
            std::to_string(number) + "/" + std::to_string(this->start_count));
        this->step(number, this->configuration);
        this->step(number, candidate_changed{true});
    }
    // Changes the document so that all engines should run `version`.
    auto deploy(std::string const& version) -> void {
        this->configuration.deployment.version = version;
        this->send_document();
    }
    // Passes the document to all order givers.
    auto send_document() -> void {
        for (auto const& [number, process] : this->givers) {
            this->step(number, this->configuration);
        }
    }
    // Holds back all events of order giver `number` until `resume`.
    auto pause(std::size_t number) -> void { this->paused.insert(number); }
    auto resume(std::size_t number) -> void {
        this->paused.erase(number);
        for (auto const& each : std::exchange(this->missed_events[number], {})) {
            this->step(number, each);
        }
        this->step(number, tick{});
    }
    auto step(std::size_t number, event const& happened) -> void {
        if (this->paused.contains(number)) {
            this->missed_events[number].push_back(happened);
            return;
        }
        auto const process = this->givers.at(number);
        for (auto const& each : process->handle(happened, this->time.now())) {
            this->run(number, process, each);
        }
        this->time.at(process->next_deadline(), [this, number, process] {
            auto const due = process->next_deadline() <= this->time.now();
            if (this->givers.at(number) == process && due && !this->paused.contains(number)) {
                this->step(number, tick{});
            }
        });
    }
    // Whether every engine runs `version` and carries out no order.
    [[nodiscard]] auto all_engines_run(std::string const& version) const -> bool {
        return std::all_of(this->engines.begin(), this->engines.end(), [&](auto const& each) {
            return each.second.setup.version == version && !each.second.busy;
        });
    }
    // The number of engines in the decode role.
    [[nodiscard]] auto decode_engines() const -> std::int64_t {
        return std::count_if(this->engines.begin(), this->engines.end(), [](auto const& each) {
            return each.second.setup.role == service::upstream_role::decode;
        });
    }

    membership::fake_clock time;
    fake_faults faults;
    bool platform_down = false;
    configuration_changed configuration;
    std::map<base::upstream_id, fake_engine> engines;
    std::map<std::size_t, std::shared_ptr<order_giver>> givers;
    std::set<base::upstream_id> drains;
    std::size_t max_drained = 0;
    std::size_t orders_sent = 0;
    // Orders that reached an engine while it carried out another.
    std::size_t orders_while_busy = 0;
    // Orders that ended requests which still ran.
    std::size_t orders_that_cut_off_requests = 0;
    // When engines began to load weights.
    std::vector<base::time_point> loads;

private:
    auto run(std::size_t from, std::shared_ptr<order_giver> const& process,
             command const& wanted_step) -> void {
        std::visit(base::overloaded{
                       [&](read_engine const& each) { this->read_setup(from, process, each); },
                       [&](give_order const& each) { this->send(from, process, each); },
                       [&](drain const& each) { this->begin_drain(from, process, each); },
                       [&](end_drain const& each) { this->end_drain_of(each.upstream); },
                       [&](call_store const& each) { this->call(from, process, each.call); },
                       [](engine_stuck const&) {},
                   },
                   wanted_step);
    }
    auto reply(std::size_t to, std::shared_ptr<order_giver> const& process, event const& happened)
        -> void {
        this->time.after(this->delay(), [this, to, process, happened] {
            if (this->givers.at(to) == process) {
                this->step(to, happened);
            }
        });
    }
    auto read_setup(std::size_t from, std::shared_ptr<order_giver> const& process,
                    read_engine const& asked) -> void {
        if (this->chance(this->faults.lost_engine_replies)) {
            this->reply(from, process, engine_unreadable{asked.order, asked.upstream});
            return;
        }
        auto const& engine = this->engines.at(asked.upstream);
        this->reply(
            from, process,
            engine_read{asked.order, asked.upstream, engine.setup, engine.busy, engine.running});
    }
    auto send(std::size_t from, std::shared_ptr<order_giver> const& process,
              give_order const& order) -> void {
        auto const paused_for = this->chance(this->faults.pauses)
                                    ? this->random_duration(std::chrono::seconds{60})
                                    : base::duration{0};
        this->time.after(paused_for, [this, from, process, order] {
            if (this->time.now() >= order.deadline) {
                this->reply(from, process, unknown_outcome(order));
                return;
            }
            ++this->orders_sent;
            // The sender may time out although the order still arrives.
            auto const given_up = this->chance(this->faults.lost_engine_replies);
            if (given_up) {
                this->reply(from, process, unknown_outcome(order));
            }
            auto const transit = this->random_duration(std::chrono::seconds{4});
            this->time.after(transit, [this, from, process, order, given_up] {
                auto const outcome = this->deliver_order(order);
                if (!given_up) {
                    this->reply(from, process,
                                order_answered{order.order, order.upstream, outcome});
                }
            });
        });
    }
    static auto unknown_outcome(give_order const& order) -> order_answered {
        return {order.order, order.upstream, order_outcome::unknown};
    }
    auto deliver_order(give_order const& order) -> order_outcome {
        auto& engine = this->engines.at(order.upstream);
        if (engine.checks_fencing && order.fencing < engine.highest_fencing) {
            return order_outcome::fenced;
        }
        engine.highest_fencing = std::max(engine.highest_fencing, order.fencing);
        this->orders_while_busy += engine.busy ? 1 : 0;
        auto const same_work = engine.setup.model == order.setup.model &&
                               engine.setup.version == order.setup.version &&
                               engine.setup.role == order.setup.role;
        this->orders_that_cut_off_requests += !same_work && engine.running > 0 ? 1 : 0;
        if (engine.setup.version != order.setup.version) {
            this->loads.push_back(this->time.now());
        }
        ++engine.orders;
        engine.busy = true;
        engine.next = order.setup;
        this->time.after(std::chrono::seconds{8}, [this, upstream = order.upstream] {
            auto& loaded = this->engines.at(upstream);
            loaded.busy = false;
            loaded.setup = loaded.next;
        });
        return order_outcome::accepted;
    }
    auto begin_drain(std::size_t from, std::shared_ptr<order_giver> const& process,
                     drain const& asked) -> void {
        this->drains.insert(asked.upstream);
        this->max_drained = std::max(this->max_drained, this->drains.size());
        this->time.after(std::chrono::seconds{3}, [this, upstream = asked.upstream] {
            if (this->drains.contains(upstream)) {
                this->engines.at(upstream).running = 0;
            }
        });
        this->time.after(std::chrono::milliseconds{500}, [this, from, process, asked] {
            this->reply(from, process, drain_in_force{asked.upstream});
        });
    }
    auto end_drain_of(base::upstream_id const& upstream) -> void {
        this->drains.erase(upstream);
        this->engines.at(upstream).running = 2;
    }
    auto call(std::size_t from, std::shared_ptr<order_giver> const& process,
              coordination::store_call const& wanted_call) -> void {
        auto const number = std::visit([](auto const& each) { return each.call; }, wanted_call);
        auto const failed = [&](coordination::call_reach reach) {
            this->reply(from, process, store_answered{coordination::call_failed{number, reach}});
        };
        if (this->platform_down) {
            failed(coordination::call_reach::not_run);
            return;
        }
        if (this->chance(this->faults.lost_store_calls)) {
            failed(coordination::call_reach::may_have_run);
            return;
        }
        this->time.after(this->delay(), [this, from, process, wanted_call, number] {
            auto const answer = this->store_state.run(wanted_call, this->time.now());
            if (this->chance(this->faults.lost_store_answers)) {
                auto const lost =
                    coordination::call_failed{number, coordination::call_reach::may_have_run};
                this->reply(from, process, store_answered{lost});
            } else if (answer) {
                this->reply(from, process, store_answered{*answer});
            }
        });
    }
    auto chance(double probability) -> bool {
        return std::uniform_real_distribution<double>{0, 1}(this->random) < probability;
    }
    auto delay() -> base::duration { return this->random_duration(this->faults.max_delay); }
    auto random_duration(base::duration most) -> base::duration {
        auto span = std::uniform_int_distribution<base::duration::rep>{1000, most.count()};
        return base::duration{span(this->random)};
    }

    std::mt19937_64 random;
    limits bounds;
    coordination::fake_store store_state;
    std::size_t start_count = 0;
    std::set<std::size_t> paused;
    std::map<std::size_t, std::vector<event>> missed_events;
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_FAKE_ENGINES_H_

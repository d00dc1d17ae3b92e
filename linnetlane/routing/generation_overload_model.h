// A discrete-event simulation of generations: more callers than the engines can serve, prefill
// engines with long queues, and decode engines with limited memory. Hosts don't communicate.
// Requests wait at their host while their callers can still be answered in time; callers that are
// refused retry once.

#ifndef LINNETLANE_ROUTING_GENERATION_OVERLOAD_MODEL_H_
#define LINNETLANE_ROUTING_GENERATION_OVERLOAD_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/data_centre_reachability.h"
#include "linnetlane/routing/generation_pool.h"
#include "linnetlane/routing/prefill_limiter.h"
#include "linnetlane/routing/retry_after.h"
#include "linnetlane/routing/waiting_requests.h"

namespace linnetlane::routing {

struct generation_load {
    std::size_t hosts = 7;
    std::size_t prefill_engines = 2;
    std::size_t decode_engines = 9;
    // Generations per second.
    double rate = 24;
    // Generations per second from the tenth second on, for `burst`.
    double burst_rate = 0;
    base::duration burst{};
    base::duration length = std::chrono::seconds{30};
    // Whether hosts hold back generations that engines have no time or room for.
    bool guarded = true;
};

struct generation_outcome {
    // The first event came while the caller was still there, and of these within the target latency
    // from its first try on.
    std::size_t in_time = 0;
    std::size_t within_target = 0;
    // Refused for good, and of these with time left for a wait at another host.
    std::size_t refused = 0;
    std::size_t refused_with_time_left = 0;
    // Prompts that an engine prefilled although nobody waited for them any more.
    std::size_t in_vain = 0;
};

// Simulates steady load with a queue of events on a virtual clock.
class generation_model {
public:
    explicit generation_model(generation_load const& own_load)
        : load{own_load},
          hosts(own_load.hosts),
          prefill(own_load.prefill_engines),
          free_memory(own_load.decode_engines, decode_memory) {
        auto records = std::vector<upstream_record>{};
        for (auto index = std::size_t{0}; index < this->prefill.size(); ++index) {
            records.push_back(make_record("p" + std::to_string(index), engine_stage::prefill));
        }
        for (auto index = std::size_t{0}; index < this->free_memory.size(); ++index) {
            records.push_back(make_record("d" + std::to_string(index), engine_stage::decode));
        }
        for (auto& each : this->hosts) {
            each.pool.set_members(records);
        }
    }

    auto simulate() -> generation_outcome {
        for (auto at = start; at < start + this->load.length;) {
            this->at(at, [this, at] { this->arrive(caller{at, 0}); });
            auto const burst_begins = start + std::chrono::seconds{10};
            auto const in_burst = at >= burst_begins && at < burst_begins + this->load.burst;
            auto const rate = in_burst ? this->load.burst_rate : this->load.rate;
            at += base::from_seconds(std::exponential_distribution<double>{rate}(this->random));
        }
        while (!this->events.empty()) {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.run();
        }
        return this->outcome;
    }

private:
    static constexpr auto prompt_tokens = 5200.0;
    static constexpr auto reserved_tokens = 6800.0;
    static constexpr auto decode_memory = 60'812.0;
    static constexpr auto tokens_per_second = 55'555.6;
    static constexpr auto target = std::chrono::milliseconds{900};
    // How long a caller waits for the first event, and how long it allows in total.
    static constexpr auto patience = std::chrono::milliseconds{3600};
    static constexpr auto allowed = std::chrono::seconds{14};
    static constexpr auto margin = std::chrono::milliseconds{100};
    static constexpr auto check_interval = std::chrono::milliseconds{60};
    static constexpr auto engines_per_check = std::size_t{8};
    static constexpr auto decode_time = std::chrono::milliseconds{3400};
    static constexpr auto hop = std::chrono::milliseconds{1};

    struct event {
        base::time_point at;
        std::size_t number = 0;
        std::function<void()> run;
        friend auto operator<(event const& left, event const& right) -> bool {
            return std::pair{left.at, left.number} > std::pair{right.at, right.number};
        }
    };
    struct caller {
        base::time_point first;
        std::size_t retries = 0;
    };
    // A try of a caller at a host.
    struct waiting_caller {
        caller from;
        std::size_t host = 0;
        base::token_count prompt;
        base::time_point event_by;
        waiting_requests::place place = {};
    };
    struct prefill_job {
        caller from;
        base::time_point event_by;
        std::size_t host = 0;
        std::size_t engine = 0;
        std::size_t decode = 0;
        base::token_count prompt;
        double ahead = 0;
        base::time_point sent;
        bool abandoned = false;
        bool done = false;
    };
    struct host {
        data_centre_reachability reachability;
        generation_pool pool{this->reachability};
        prefill_limiter limiter;
        waiting_requests waiting;
    };

    static auto make_record(std::string id, engine_stage stage) -> upstream_record {
        auto record = upstream_record{};
        record.id.value = std::move(id);
        record.stage = stage;
        return record;
    }

    auto at(base::time_point when, std::function<void()> run) -> void {
        this->events.push(event{when, this->next_number++, std::move(run)});
    }
    auto draw() -> double { return std::uniform_real_distribution<double>{0, 1}(this->random); }

    auto arrive(caller const& from) -> void {
        auto const index =
            static_cast<std::size_t>(this->draw() * static_cast<double>(this->hosts.size()));
        auto const prompt =
            base::token_count{static_cast<std::int64_t>(prompt_tokens * (0.5 + this->draw()))};
        auto one = waiting_caller{from, index, prompt,
                                  std::min(this->now + patience, from.first + allowed)};
        if (this->load.guarded && !this->can_answer_in_time(one)) {
            this->refuse(one);
            return;
        }
        auto& waiting = this->hosts[index].waiting;
        if (waiting.size() == 0 && this->start_prefill(one, this->free_memory.size())) {
            return;
        }
        auto const place = this->load.guarded
                               ? waiting.enter({1, this->latest_start(one)}, this->now)
                               : std::nullopt;
        if (!place) {
            this->refuse(one);
            return;
        }
        one.place = *place;
        this->at(this->now + check_interval, [this, one] { this->check(one); });
    }

    [[nodiscard]] auto latest_start(waiting_caller const& one) const -> base::time_point {
        return one.event_by - margin - this->hosts[one.host].pool.prefill_time(one.prompt);
    }
    auto return_delay(waiting_caller const& one) -> base::duration {
        auto const& own = this->hosts[one.host];
        auto const turn = own.waiting.time_until_all_had_turns(this->now);
        auto const queued = own.pool.expected_prefill_time({}, one.prompt, this->now);
        auto const until_room = std::max({turn, queued, own.waiting.usual_turn()});
        return retry_after(until_room, one.from.first + allowed - this->now, this->draw());
    }
    [[nodiscard]] auto can_answer_in_time(waiting_caller const& one) const -> bool {
        auto const& pool = this->hosts[one.host].pool;
        return this->now + pool.expected_prefill_time({}, one.prompt, this->now) + margin <=
               one.event_by;
    }

    auto check(waiting_caller const& one) -> void {
        auto& waiting = this->hosts[one.host].waiting;
        if (waiting.is_first(one.place) && this->start_prefill(one, engines_per_check)) {
            waiting.leave(one.place, true, this->now);
            return;
        }
        auto const next = this->now + check_interval;
        if (next >= this->latest_start(one) || !this->can_answer_in_time(one)) {
            waiting.leave(one.place, false, this->now);
            this->refuse(one);
            return;
        }
        this->at(next, [this, one] { this->check(one); });
    }

    // Reserves memory at one of at most `engines` decode engines, and sends the prompt to a prefill
    // engine.
    auto start_prefill(waiting_caller const& one, std::size_t engines) -> bool {
        auto& own = this->hosts[one.host];
        auto const rate =
            own.pool.prefill_rate(this->now) / static_cast<double>(this->hosts.size());
        if (this->load.guarded && (!own.pool.takes_prefill(one.prompt, this->now) ||
                                   !own.limiter.may_start(rate, this->now))) {
            return false;
        }
        for (auto const& id : own.pool.decode_candidates(engines, this->draw(), this->now)) {
            auto const engine = std::stoul(id.value.substr(1));
            if (this->free_memory[engine] < reserved_tokens) {
                own.pool.note_full(id, this->now);
                continue;
            }
            this->free_memory[engine] -= reserved_tokens;
            own.limiter.note_start(rate, this->now);
            this->send_prefill(one, engine);
            return true;
        }
        return false;
    }

    auto refuse(waiting_caller const& one) -> void {
        auto const& from = one.from;
        if (from.retries > 0) {
            ++this->outcome.refused;
            auto const left = this->now + patience <= from.first + allowed;
            this->outcome.refused_with_time_left += left ? 1 : 0;
            return;
        }
        auto const pause = this->return_delay(one) + hop;
        this->at(this->now + pause, [this, from] { this->arrive(caller{from.first, 1}); });
    }

    auto send_prefill(waiting_caller const& one, std::size_t decode) -> void {
        auto& pool = this->hosts[one.host].pool;
        auto const decode_id = base::upstream_id{"d" + std::to_string(decode)};
        auto const id = pool.prefill_candidate({}, decode_id, this->draw(), this->now).value();
        this->jobs.push_back(prefill_job{one.from, one.event_by, one.host,
                                         std::stoul(id.value.substr(1)), decode, one.prompt,
                                         pool.tokens_under_way(id, this->now), this->now});
        auto& job = this->jobs.back();
        pool.begin(id, one.prompt);
        auto& queue = this->prefill[job.engine];
        queue.push_back(&job);
        if (queue.size() == 1) {
            this->work(job.engine);
        }
        auto const timeout = std::max<base::duration>(std::chrono::milliseconds{900},
                                                      (one.event_by - this->now) / 2);
        this->at(this->now + timeout, [this, &job] { this->give_up(job); });
    }

    // Runs the first prompt of an engine's queue. Prompts that were abandoned in the queue are
    // dropped; one that is being prefilled is finished.
    auto work(std::size_t engine) -> void {
        auto& queue = this->prefill[engine];
        while (!queue.empty() && queue.front()->abandoned) {
            queue.pop_front();
        }
        if (queue.empty()) {
            return;
        }
        auto& job = *queue.front();
        auto const takes = static_cast<double>(job.prompt.value) / tokens_per_second;
        this->at(this->now + base::from_seconds(takes), [this, &job] { this->finish(job); });
    }

    auto finish(prefill_job& job) -> void {
        auto& queue = this->prefill[job.engine];
        queue.pop_front();
        this->work(job.engine);
        if (job.abandoned) {
            ++this->outcome.in_vain;
            return;
        }
        job.done = true;
        auto const id = base::upstream_id{"p" + std::to_string(job.engine)};
        auto& pool = this->hosts[job.host].pool;
        pool.end(id, job.prompt);
        pool.note_load(
            id, load_report{queue.empty() ? 0U : 1U, queue.empty() ? 0 : queue.size() - 1, 64},
            this->now);
        pool.note_prefill_time(job.prompt, job.ahead, this->now - job.sent);
        ++this->outcome.in_time;
        this->outcome.within_target += this->now - job.from.first <= target ? 1 : 0;
        this->at(this->now + decode_time,
                 [this, &job] { this->free_memory[job.decode] += reserved_tokens; });
    }

    auto give_up(prefill_job& job) -> void {
        if (job.done) {
            return;
        }
        job.abandoned = true;
        auto const id = base::upstream_id{"p" + std::to_string(job.engine)};
        auto& pool = this->hosts[job.host].pool;
        pool.end(id, job.prompt);
        pool.note_prefill_timeout(id, this->now - job.sent, this->now);
        this->hosts[job.host].limiter.note_timeout(id, this->now);
        this->free_memory[job.decode] += reserved_tokens;
        this->refuse({job.from, job.host, job.prompt, job.event_by});
    }

    generation_load load;
    std::vector<host> hosts;
    std::vector<std::deque<prefill_job*>> prefill;
    std::vector<double> free_memory;
    std::deque<prefill_job> jobs;
    std::priority_queue<event> events;
    std::size_t next_number = 0;
    base::time_point const start = base::time_point{} + std::chrono::hours{1};
    base::time_point now = start;
    std::mt19937 random{11};
    generation_outcome outcome;
};

inline auto simulate(generation_load const& load) -> generation_outcome {
    auto const outcome = generation_model{load}.simulate();
    BOOST_TEST_MESSAGE(load.rate << "/s: " << outcome.in_time << " in time, "
                                 << outcome.within_target << " within the target, "
                                 << outcome.refused << " refused ("
                                 << outcome.refused_with_time_left << " with time left), "
                                 << outcome.in_vain << " prefilled in vain");
    return outcome;
}

// Served requests must not fall when more arrive.
inline auto check_goodput_holds(generation_load load, double capacity) -> void {
    auto best = std::size_t{0};
    for (auto const multiple : {0.5, 1.0, 2.0, 4.0}) {
        load.rate = multiple * capacity;
        auto const outcome = simulate(load);
        best = std::max(best, outcome.in_time);
        BOOST_TEST(static_cast<double>(outcome.in_time) >= 0.95 * static_cast<double>(best));
        auto const prefilled = outcome.in_time + outcome.in_vain;
        BOOST_TEST(static_cast<double>(outcome.in_vain) <=
                   (multiple < 1 ? 0.01 : 0.03) * static_cast<double>(prefilled));
    }
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_GENERATION_OVERLOAD_MODEL_H_

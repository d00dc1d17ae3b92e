// A model of many hosts that send to upstreams of different and changing speed, without a network.
// Used by tests only.

#ifndef LINNETLANE_ROUTING_UNEVEN_UPSTREAMS_MODEL_H_
#define LINNETLANE_ROUTING_UNEVEN_UPSTREAMS_MODEL_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "linnetlane/routing/data_centre_reachability.h"
#include "linnetlane/routing/generation_pool.h"
#include "linnetlane/routing/plain_pool.h"

namespace linnetlane::routing {

// How long work takes at one machine, as a multiple of the usual time, at a time in seconds since
// the start of the run.
using pace_plan = std::function<double(std::size_t machine, double seconds)>;

struct uneven_load {
    std::size_t hosts = 1;
    std::size_t upstreams = 4;
    // The requests that an upstream runs at once.
    std::size_t slots = 6;
    // Requests per second of all hosts, and the length of the run in seconds.
    double rate = 200;
    double seconds = 20;
    // The mean work of a request at the usual pace and the time after which it is late, in seconds.
    double work = 0.03;
    double aim = 0.075;
    // The lasting time of each upstream's work, as a multiple of the usual time; 1 beyond its end.
    std::vector<double> slowness = {};
    pace_plan pace = [](std::size_t, double) { return 1.0; };
    // Whether answers report the pace.
    bool reports_pace = true;
    unsigned seed = 1;
};

struct uneven_outcome {
    std::size_t requests = 0;
    std::size_t late = 0;
    // The requests at each upstream.
    std::vector<std::size_t> sent;
    // The most requests at an upstream at one time, running and waiting.
    std::size_t most_at_once = 0;
};

// Runs requests through hosts that each have a chooser of their own. `Chooser` has
//   auto pick(double draw, base::time_point now) -> std::size_t
// and `ended(upstream, load_report, base::duration took, base::time_point now)`.
template <typename Chooser>
class uneven_model {
public:
    explicit uneven_model(uneven_load const& given)
        : load{given}, random{given.seed}, upstreams(given.upstreams) {
        this->outcome.sent.resize(this->load.upstreams);
        for (auto host = std::size_t{0}; host < this->load.hosts; ++host) {
            this->hosts.push_back(std::make_unique<Chooser>(this->load));
        }
    }

    auto run() -> uneven_outcome {
        this->plan_arrival(0);
        while (!this->events.empty()) {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.at;
            if (next.upstream) {
                this->finish(*next.upstream, next.request);
            } else {
                this->arrive();
            }
        }
        return this->outcome;
    }

private:
    struct sent_request {
        std::size_t host = 0;
        double at = 0;
    };
    struct event {
        double at = 0;
        // Unset for an arrival.
        std::optional<std::size_t> upstream;
        sent_request request;
        [[nodiscard]] auto operator<(event const& other) const -> bool {
            return this->at > other.at;
        }
    };
    struct upstream {
        std::size_t running = 0;
        std::deque<sent_request> waiting;
    };

    [[nodiscard]] auto time() const -> base::time_point {
        return base::time_point{} + std::chrono::hours{1} + base::from_seconds(this->now);
    }
    auto draw() -> double { return std::uniform_real_distribution{0.0, 1.0}(this->random); }
    auto plan_arrival(double after) -> void {
        auto const at = after + std::exponential_distribution{this->load.rate}(this->random);
        if (at < this->load.seconds) {
            this->events.push({at, std::nullopt, {}});
        }
    }

    auto arrive() -> void {
        auto const host =
            static_cast<std::size_t>(this->draw() * static_cast<double>(this->load.hosts));
        auto const chosen = this->hosts.at(host)->pick(this->draw(), this->time());
        auto& there = this->upstreams.at(chosen);
        ++this->outcome.requests;
        ++this->outcome.sent.at(chosen);
        there.waiting.push_back({host, this->now});
        this->outcome.most_at_once =
            std::max(this->outcome.most_at_once, there.running + there.waiting.size());
        this->begin_waiting(chosen);
        this->plan_arrival(this->now);
    }

    auto begin_waiting(std::size_t at) -> void {
        auto& there = this->upstreams.at(at);
        while (there.running < this->load.slots && !there.waiting.empty()) {
            auto const request = there.waiting.front();
            there.waiting.pop_front();
            ++there.running;
            this->events.push({this->end_of_work(at), at, request});
        }
    }

    // The pace may change during the work.
    auto end_of_work(std::size_t at) -> double {
        constexpr auto step = 0.005;
        auto const lasting = at < this->load.slowness.size() ? this->load.slowness.at(at) : 1.0;
        auto left = this->load.work * (0.6 + 0.8 * this->draw()) * lasting;
        auto moment = this->now;
        for (;;) {
            auto const pace = this->load.pace(at, moment);
            if (left <= step / pace) {
                return moment + left * pace;
            }
            left -= step / pace;
            moment += step;
        }
    }

    auto finish(std::size_t at, sent_request const& request) -> void {
        auto& there = this->upstreams.at(at);
        --there.running;
        auto const took = this->now - request.at;
        if (took > this->load.aim) {
            ++this->outcome.late;
        }
        this->begin_waiting(at);
        auto report = load_report{there.running, there.waiting.size(), this->load.slots};
        if (this->load.reports_pace) {
            report.pace = this->load.pace(at, this->now);
        }
        this->hosts.at(request.host)->ended(at, report, base::from_seconds(took), this->time());
    }

    uneven_load load;
    std::mt19937 random;
    std::vector<std::unique_ptr<Chooser>> hosts;
    std::vector<upstream> upstreams;
    std::priority_queue<event> events;
    double now = 0;
    uneven_outcome outcome;
};

[[nodiscard]] inline auto model_id(std::size_t index) -> base::upstream_id {
    return base::upstream_id{"u" + std::to_string(100 + index)};
}

[[nodiscard]] inline auto model_index(base::upstream_id const& id) -> std::size_t {
    return std::stoul(id.value.substr(1)) - 100;
}

[[nodiscard]] inline auto model_records(uneven_load const& load, std::optional<engine_stage> stage)
    -> std::vector<upstream_record> {
    auto records = std::vector<upstream_record>{};
    for (auto index = std::size_t{0}; index < load.upstreams; ++index) {
        auto made = upstream_record{};
        made.id = model_id(index);
        made.data_centre.value = "a";
        made.slots = load.slots;
        made.stage = stage;
        records.push_back(made);
    }
    return records;
}

// Sends plain requests.
class plain_chooser {
public:
    explicit plain_chooser(uneven_load const& load) {
        this->pool.set_members(model_records(load, {}));
    }

    auto pick(double draw, base::time_point now) -> std::size_t {
        auto const id = this->pool.pick({}, draw, now).value();
        this->pool.started(id);
        return model_index(id);
    }
    auto ended(std::size_t upstream, load_report const& load, base::duration took,
               base::time_point now) -> void {
        this->pool.ended(model_id(upstream), {exchange_outcome::answered, took, load}, now);
    }

    data_centre_reachability reachability;
    plain_pool pool{reachability};
};

// Sends prefills of 5000 tokens. `Learns` says whether the times of prefills are noted for their
// engine or for all.
template <bool Learns>
class prefill_chooser {
public:
    static constexpr auto prompt = base::token_count{5000};

    explicit prefill_chooser(uneven_load const& load) : ahead(load.upstreams) {
        this->pool.set_members(model_records(load, engine_stage::prefill));
    }

    auto pick(double draw, base::time_point now) -> std::size_t {
        auto const id =
            this->pool.prefill_candidate({}, base::upstream_id{"none"}, draw, now).value();
        auto const index = model_index(id);
        this->ahead.at(index).push_back(this->pool.tokens_under_way(id, now));
        this->pool.begin(id, prompt);
        return index;
    }
    auto ended(std::size_t upstream, load_report const& load, base::duration took,
               base::time_point now) -> void {
        auto const id = model_id(upstream);
        this->pool.end(id, prompt);
        this->pool.note_load(id, load, now);
        auto const tokens_ahead = this->ahead.at(upstream).front();
        this->ahead.at(upstream).pop_front();
        if constexpr (Learns) {
            this->pool.note_prefill_time(id, prompt, tokens_ahead, took, now);
        } else {
            this->pool.note_prefill_time(prompt, tokens_ahead, took);
        }
    }

    data_centre_reachability reachability;
    generation_pool pool{reachability};
    std::vector<std::deque<double>> ahead;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UNEVEN_UPSTREAMS_MODEL_H_

// Bursts at a plain service, played on a virtual clock by a model of its upstreams: many hosts that
// don't know of each other, short queues at the upstreams, callers that come back once.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/admission.h"
#include "linnetlane/routing/data_centre_reachability.h"
#include "linnetlane/routing/plain_pool.h"
#include "linnetlane/routing/retry_after.h"

namespace linnetlane::routing {
namespace {

using std::chrono::milliseconds;

auto const start = base::time_point{} + std::chrono::hours{1};
auto const some_upstream = base::upstream_id{"some"};

struct overload_terms {
    std::size_t hosts = 65;
    std::size_t upstreams = 5;
    std::size_t slots = 6;
    std::size_t queue = 12;
    // Of one request on an idle upstream; a full one takes 1.8 times as long.
    milliseconds work{45};
    milliseconds target{300};
    // Of one upstream, every third request takes this long, as if it hung.
    std::optional<milliseconds> hangs;
    double usual_rate = 238;
    double burst_rate = 595;
    base::duration burst_begins = std::chrono::seconds{4};
    base::duration burst_ends = std::chrono::seconds{9};
    base::duration ends = std::chrono::seconds{13};
};

struct overload_result {
    // Of the callers that first came during the burst.
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    // Refusals by a host a second or more after the burst.
    std::size_t refused_in_calm = 0;

    [[nodiscard]] auto served() const -> std::size_t { return this->on_time + this->late; }
};

// The discrete events of one play.
class overload_model {
public:
    overload_model(overload_terms const& own_terms, bool own_admits_all)
        : terms{own_terms},
          admits_all{own_admits_all},
          upstreams(own_terms.upstreams),
          hosts(own_terms.hosts) {
        auto records = std::vector<upstream_record>{};
        for (auto index = std::size_t{0}; index < this->terms.upstreams; ++index) {
            auto record = upstream_record{};
            record.id.value = std::to_string(index);
            record.slots = this->terms.slots;
            records.push_back(record);
        }
        for (auto& each : this->hosts) {
            each.pool.set_members(records);
        }
    }

    auto play() -> overload_result {
        auto at = start;
        while (at < start + this->terms.ends) {
            this->at(at, [this, at] { this->arrive(caller{at, 0}); });
            auto const rate = this->in_burst(at) ? this->terms.burst_rate : this->terms.usual_rate;
            at += base::from_seconds(std::exponential_distribution<double>{rate}(this->random));
        }
        while (!this->events.empty()) {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.run();
        }
        return this->result;
    }

private:
    static constexpr auto hop = milliseconds{1};
    // A refused caller opens a new connection.
    static constexpr auto reconnects_in = milliseconds{9};

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
        std::size_t returns = 0;
    };
    struct sent {
        caller from;
        std::size_t host = 0;
        std::size_t upstream = 0;
        base::time_point at;
    };
    struct upstream {
        std::size_t running = 0;
        std::deque<sent> waiting;
    };
    struct host {
        data_centre_reach ways;
        plain_pool pool{this->ways};
        admission admitted;
    };

    auto at(base::time_point when, std::function<void()> run) -> void {
        this->events.push(event{when, this->next_number++, std::move(run)});
    }
    auto draw() -> double { return std::uniform_real_distribution<double>{0, 1}(this->random); }
    [[nodiscard]] auto in_burst(base::time_point when) const -> bool {
        return when >= start + this->terms.burst_begins && when < start + this->terms.burst_ends;
    }

    auto arrive(caller const& from) -> void {
        auto const index =
            static_cast<std::size_t>(this->draw() * static_cast<double>(this->hosts.size()));
        auto& own = this->hosts[index];
        if (!this->admits_all && !own.admitted.admits(this->draw(), this->now)) {
            auto const calm_since = start + this->terms.burst_ends + std::chrono::seconds{1};
            this->result.refused_in_calm += this->now >= calm_since ? 1 : 0;
            this->refuse(from);
            return;
        }
        auto const id = own.pool.pick({}, this->draw(), this->now).value();
        own.pool.started(id);
        auto const request = sent{from, index, std::stoul(id.value), this->now};
        this->at(this->now + hop, [this, request] { this->reach(request); });
    }

    auto refuse(caller const& from) -> void {
        if (from.returns > 0) {
            this->result.refused += this->in_burst(from.first) ? 1 : 0;
            return;
        }
        auto const pause = retry_after(this->terms.target, this->draw()) + reconnects_in;
        this->at(this->now + pause, [this, from] { this->arrive(caller{from.first, 1}); });
    }

    auto reach(sent const& request) -> void {
        auto& there = this->upstreams[request.upstream];
        if (there.running < this->terms.slots) {
            this->work(request);
        } else if (there.waiting.size() < this->terms.queue) {
            there.waiting.push_back(request);
        } else {
            this->at(this->now + hop, [this, request, load = this->load_of(there)] {
                this->take_answer(request, exchange_outcome::rejected, load);
                this->refuse(request.from);
            });
        }
    }

    auto work(sent const& request) -> void {
        auto& there = this->upstreams[request.upstream];
        ++there.running;
        auto const filled =
            static_cast<double>(there.running) / static_cast<double>(this->terms.slots);
        auto const hangs = request.upstream == 0 && this->terms.hangs && this->draw() < 1.0 / 3;
        auto const takes = hangs ? base::to_seconds(*this->terms.hangs)
                                 : base::to_seconds(this->terms.work) * (1 + 0.8 * filled) *
                                       (0.7 + 0.6 * this->draw());
        this->at(this->now + base::from_seconds(takes), [this, request] { this->end(request); });
    }

    auto end(sent const& request) -> void {
        auto& there = this->upstreams[request.upstream];
        --there.running;
        if (!there.waiting.empty()) {
            auto const next = there.waiting.front();
            there.waiting.pop_front();
            this->work(next);
        }
        this->at(this->now + hop, [this, request, load = this->load_of(there)] {
            this->take_answer(request, exchange_outcome::answered, load);
            auto const on_time = this->now - request.from.first <= this->terms.target;
            if (this->in_burst(request.from.first)) {
                ++(on_time ? this->result.on_time : this->result.late);
            }
        });
    }

    auto take_answer(sent const& request, exchange_outcome outcome, load_report const& load)
        -> void {
        auto& own = this->hosts[request.host];
        own.pool.ended(base::upstream_id{std::to_string(request.upstream)},
                       {outcome, this->now - request.at, load}, this->now);
        own.admitted.note_load(base::upstream_id{std::to_string(request.upstream)}, load,
                               this->now);
    }

    [[nodiscard]] auto load_of(upstream const& there) const -> load_report {
        return load_report{there.running, there.waiting.size(), this->terms.slots};
    }

    overload_terms terms;
    bool admits_all;
    std::vector<upstream> upstreams;
    std::deque<host> hosts;
    std::priority_queue<event> events;
    std::size_t next_number = 0;
    base::time_point now = start;
    std::mt19937 random{7};
    overload_result result;
};

auto play(overload_terms const& terms, bool admits_all) -> overload_result {
    return overload_model{terms, admits_all}.play();
}

auto const large_fleet = overload_terms{};

auto small_fleet() -> overload_terms {
    auto terms = overload_terms{};
    terms.hosts = 7;
    terms.upstreams = 4;
    terms.work = milliseconds{22};
    terms.target = milliseconds{150};
    terms.usual_rate = 260;
    terms.burst_rate = 760;
    return terms;
}

auto check_burst(overload_terms const& terms) -> void {
    auto const unguarded = play(terms, true);
    auto const guarded = play(terms, false);
    BOOST_TEST_MESSAGE("admitting all: " << unguarded.on_time << " on time, " << unguarded.late
                                         << " late, " << unguarded.refused << " refused");
    BOOST_TEST_MESSAGE("guarded: " << guarded.on_time << " on time, " << guarded.late << " late, "
                                   << guarded.refused << " refused");
    // Short queues serve as many callers, and on time.
    BOOST_TEST(static_cast<double>(guarded.served()) >=
               0.95 * static_cast<double>(unguarded.served()));
    BOOST_TEST(static_cast<double>(guarded.on_time) >= 0.8 * static_cast<double>(guarded.served()));
    BOOST_TEST(guarded.on_time > unguarded.on_time);
    BOOST_TEST(guarded.refused_in_calm == 0U);
}

BOOST_AUTO_TEST_CASE(burst_of_plain_requests_at_many_hosts_is_answered_on_time) {
    check_burst(large_fleet);
}

BOOST_AUTO_TEST_CASE(burst_of_plain_requests_at_few_hosts_is_answered_on_time) {
    check_burst(small_fleet());
}

BOOST_AUTO_TEST_CASE(usual_load_of_a_plain_service_is_admitted_whole) {
    auto terms = overload_terms{};
    terms.burst_rate = terms.usual_rate;
    auto const result = play(terms, false);
    BOOST_TEST(result.refused == 0U);
    BOOST_TEST(result.refused_in_calm == 0U);
}

BOOST_AUTO_TEST_CASE(a_hung_upstream_among_sound_ones_costs_no_refusals) {
    auto terms = overload_terms{};
    terms.burst_rate = terms.usual_rate;
    terms.hangs = std::chrono::seconds{2};
    auto const unguarded = play(terms, true);
    auto const guarded = play(terms, false);
    BOOST_TEST(static_cast<double>(guarded.served()) >=
               0.99 * static_cast<double>(unguarded.served()));
    BOOST_TEST(guarded.on_time + 20 >= unguarded.on_time);
}

BOOST_AUTO_TEST_CASE(an_old_report_says_nothing_of_the_load) {
    auto guard = admission{};
    for (auto count = 0; count < 20; ++count) {
        guard.note_load(some_upstream, load_report{6, 12, 6}, start);
    }
    BOOST_TEST(guard.share(start) < 0.1);
    BOOST_TEST(!guard.admits(0.5, start));
    BOOST_TEST(guard.admits(0.99, start + admission::report_validity));
}

BOOST_AUTO_TEST_CASE(an_upstream_without_slots_or_with_absurd_figures_keeps_the_share_in_bounds) {
    auto guard = admission{};
    guard.note_load(some_upstream, load_report{0, 0, 0}, start);
    BOOST_TEST(guard.share(start) <= 1.0);
    guard.note_load(some_upstream, load_report{1'000'000, 1'000'000, 0}, start);
    BOOST_TEST(guard.share(start) >= admission::least_share);
}

}  // namespace
}  // namespace linnetlane::routing

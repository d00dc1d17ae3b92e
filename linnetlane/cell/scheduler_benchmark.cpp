// Measures the CPU time of a whole request (acquire, ten renewals, release) by number of upstreams.

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

// One upstream in three is a decode engine, the ratio of a cell that is balanced for long prompts.
constexpr std::int64_t upstreams_per_decode = 3;
// Requests per second and upstream at a load of 100%.
constexpr double arrivals_per_upstream = 0.5;
constexpr base::duration residence_time = std::chrono::seconds{5};
constexpr base::duration renewal_period = std::chrono::milliseconds{500};

auto cell_of(std::int64_t upstreams) -> configure {
    auto made = configure{};
    for (auto one = std::int64_t{0}; one < upstreams; ++one) {
        auto& added = made.upstreams.emplace_back();
        added.id = base::upstream_id{"upstream-" + std::to_string(one)};
        added.role = one % upstreams_per_decode == 0 ? service::upstream_role::decode
                                                     : service::upstream_role::prefill;
    }
    return made;
}

auto const entry_holder = holder{base::host_id{"entry"}, base::incarnation{1}};

auto acquire_of(std::uint64_t number, base::time_point now) -> acquire {
    auto made = acquire{};
    made.attempt = attempt{base::request_id{1, number}, base::attempt_number{1}};
    made.holder = entry_holder;
    made.caller = base::caller_id{"caller-" + std::to_string(number % 50)};
    made.prompt = base::token_count{2000 + static_cast<std::int64_t>(number * 7919 % 28000)};
    made.output_bound = base::token_count{300};
    for (auto piece = std::int64_t{0}; piece < made.prompt.value / 2000; ++piece) {
        made.prefixes.push_back(base::prefix_hash{number * 64 + static_cast<std::uint64_t>(piece)});
    }
    made.first_token_deadline = now + std::chrono::milliseconds{1800};
    return made;
}

auto release_of(attempt const& key) -> release {
    auto made = release{};
    made.attempt = key;
    made.holder = entry_holder;
    made.observation.prefill_took = std::chrono::milliseconds{700};
    made.observation.transfer_took = std::chrono::milliseconds{150};
    made.observation.decode_took = std::chrono::seconds{5};
    made.observation.prefilled = base::token_count{15000};
    made.observation.produced = base::token_count{200};
    return made;
}

// A cell under a steady stream of requests, each of which holds its engines for a fixed time.
class request_stream {
public:
    request_stream(std::int64_t upstreams, double load)
        : gap(base::from_seconds(1 /
                                 (arrivals_per_upstream * load * static_cast<double>(upstreams)))) {
        this->cell.handle(cell_of(upstreams), this->now);
    }

    // Advances time to the next arrival, sends the releases and renewals due by then, and one
    // acquire.
    auto step() -> void {
        this->now += this->gap;
        this->number += 1;
        this->release_due();
        if (this->now >= this->next_renewal) {
            this->renew_all();
        }
        this->send(acquire_of(this->number, this->now));
    }
    [[nodiscard]] auto granted_fraction() const -> double {
        return static_cast<double>(this->granted) / static_cast<double>(this->number);
    }

private:
    auto send(event const& message) -> void {
        for (auto const& command : this->cell.handle(message, this->now)) {
            if (auto const* one = std::get_if<grant>(&command)) {
                this->running.emplace_back(this->now + residence_time, one->attempt);
                this->granted += 1;
            }
        }
    }
    auto release_due() -> void {
        while (!this->running.empty() && this->running.front().first <= this->now) {
            auto const ended = this->running.front().second;
            this->running.pop_front();
            this->send(release_of(ended));
        }
    }
    auto renew_all() -> void {
        auto message = renew{entry_holder, {}};
        for (auto const& [end, key] : this->running) {
            auto const left = base::to_seconds(end - this->now);
            auto const produced = static_cast<std::int64_t>(200 - left * 40);
            message.renewals.push_back({key, phase::decoding, base::token_count{produced}});
        }
        this->next_renewal = this->now + renewal_period;
        this->send(message);
    }

    scheduler cell{scheduler_options{}};
    base::time_point now = base::time_point{} + std::chrono::hours{1};
    base::duration gap;
    base::time_point next_renewal;
    std::deque<std::pair<base::time_point, attempt>> running;
    std::uint64_t number = 0;
    std::uint64_t granted = 0;
};

// The load is in percent of the arrival rate that the upstreams can serve.
auto serve_requests(benchmark::State& state) -> void {
    auto requests = request_stream{state.range(0), static_cast<double>(state.range(1)) / 100};
    for (auto _ : state) {
        requests.step();
    }
    state.counters["granted_part"] = requests.granted_fraction();
}

BENCHMARK(serve_requests)
    ->ArgsProduct({{10, 100, 1060}, {80, 200}})
    ->ArgNames({"upstreams", "load"})
    ->Iterations(60000);

}  // namespace
}  // namespace linnetlane::cell

BENCHMARK_MAIN();

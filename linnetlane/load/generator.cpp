#include "linnetlane/load/generator.h"

#include <future>
#include <memory>
#include <mutex>
#include <utility>

namespace linnetlane::load {

namespace {

// The state that the fibers of a run share.
class load_run {
public:
    load_run(runtime::worker_pool& on, load_settings const& wanted)
        : pool(on),
          settings(wanted),
          plan(wanted.shape, wanted.rate, wanted.seed),
          start(base::monotonic_clock::now()) {}

    auto run() -> std::vector<request_outcome> {
        auto ended = this->all_ended.get_future();
        if (this->settings.concurrency == 0) {
            this->add_pending();
            this->pool.spawn([this] { this->run_open_loop(); });
        }
        for (auto number = std::size_t{0}; number < this->settings.concurrency; ++number) {
            this->add_pending();
            this->pool.spawn([this] { this->run_closed_loop(); });
        }
        ended.wait();
        return std::move(this->outcomes);
    }

private:
    // Sends each request at its arrival time.
    auto run_open_loop() -> void {
        for (auto request = this->plan.next(); request.arrival < this->settings.span;
             request = this->plan.next()) {
            auto const arrival = this->start + request.arrival;
            runtime::sleep_until(arrival);
            this->add_pending();
            this->pool.spawn([this, request, arrival] {
                this->send(request, arrival);
                this->remove_pending();
            });
        }
        this->remove_pending();
    }

    // Sends requests one after another until the span has passed.
    auto run_closed_loop() -> void {
        auto const end = this->start + this->settings.span;
        for (auto now = base::monotonic_clock::now(); now < end;
             now = base::monotonic_clock::now()) {
            this->send(this->next_request(), now);
        }
        this->remove_pending();
    }

    auto next_request() -> planned_request {
        auto const lock = std::scoped_lock{this->mutex};
        return this->plan.next();
    }

    auto send(planned_request const& request, base::time_point arrival) -> void {
        auto const& destinations = this->settings.destinations;
        auto const& destination = destinations[request.number % destinations.size()];
        auto outcome = send_request(destination, request, this->settings.sending, arrival,
                                    arrival + this->settings.request_timeout);
        auto const lock = std::scoped_lock{this->mutex};
        this->outcomes.push_back(std::move(outcome));
    }

    auto add_pending() -> void {
        auto const lock = std::scoped_lock{this->mutex};
        ++this->pending;
    }

    auto remove_pending() -> void {
        auto const lock = std::scoped_lock{this->mutex};
        if (--this->pending == 0) {
            this->all_ended.set_value();
        }
    }

    runtime::worker_pool& pool;
    load_settings const& settings;
    traffic_plan plan;
    base::time_point start;
    // Guards the members below, and `plan` in a closed loop.
    std::mutex mutex;
    std::vector<request_outcome> outcomes;
    std::size_t pending = 0;
    std::promise<void> all_ended;
};

}  // namespace

auto run_load(runtime::worker_pool& pool, load_settings const& settings)
    -> std::vector<request_outcome> {
    // The last fiber still holds the run's lock when it signals the end.
    auto const run = std::make_shared<load_run>(pool, settings);
    auto outcomes = run->run();
    return outcomes;
}

}  // namespace linnetlane::load

#include "linnetlane/runtime/worker_pool.h"

#include <unistd.h>

#include <future>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>

#include "linnetlane/runtime/internal/asio_scheduler.h"

namespace linnetlane::runtime {

namespace {

using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

// Enough for JSON and Thrift parsing on a fiber; pages are committed only when touched.
constexpr auto stack_bytes = std::size_t{256} * 1024;

// Each context is used by exactly one thread.
constexpr auto threads_per_context = 1;

thread_local boost::asio::io_context* current_context = nullptr;
thread_local worker_index current_worker{};

auto start_fiber(std::function<void()> body) -> void {
    // Stacks are used again, so that a fiber costs no allocation from the system.
    thread_local auto stacks = boost::fibers::pooled_fixedsize_stack(stack_bytes);
    auto stack = stacks;
    boost::fibers::fiber(std::allocator_arg, stack, std::move(body)).detach();
}

}  // namespace

struct worker_pool::worker_state {
    boost::asio::io_context context{threads_per_context};
    work_guard guard = boost::asio::make_work_guard(this->context);
    boost::fibers::promise<void> stop_requested;
    std::atomic<bool> stopping = false;
    std::promise<void> ended;
    std::thread thread;

    // Runs fibers until a stop is requested. The thread then never exits, since its exit would wait
    // for every fiber that is still suspended.
    auto run(worker_index index) -> void {
        current_context = &this->context;
        current_worker = index;
        boost::fibers::use_scheduling_algorithm<internal::asio_scheduler>(this->context);
        this->stop_requested.get_future().wait();
        this->ended.set_value();
        for (;;) {
            ::pause();
        }
    }
};

worker_pool::worker_pool(worker_count count) {
    for (auto index = std::size_t{0}; index < count.value; ++index) {
        this->workers.push_back(std::make_unique<worker_state>());
        auto* const added = this->workers.back().get();
        added->thread = std::thread([added, index] { added->run(worker_index{index}); });
    }
}

worker_pool::~worker_pool() {
    for (auto& worker : this->workers) {
        worker->thread.detach();
        // Leaked on purpose: paused threads and abandoned fibers still refer to it.
        static_cast<void>(worker.release());
    }
}

auto worker_pool::spawn(std::function<void()> body) -> void {
    auto const next = this->turn.fetch_add(1, std::memory_order_relaxed) % this->workers.size();
    this->spawn_on(worker_index{next}, std::move(body));
}

auto worker_pool::spawn_on(worker_index worker, std::function<void()> body) -> void {
    boost::asio::post(this->workers.at(worker.value)->context,
                      [body = std::move(body)]() mutable { start_fiber(std::move(body)); });
}

auto worker_pool::size() const -> worker_count {
    return worker_count{this->workers.size()};
}

auto worker_pool::context(worker_index worker) -> boost::asio::io_context& {
    return this->workers.at(worker.value)->context;
}

auto worker_pool::stop() -> void {
    for (auto& worker : this->workers) {
        if (worker->stopping.exchange(true)) {
            continue;
        }
        boost::asio::post(worker->context,
                          [target = worker.get()] { target->stop_requested.set_value(); });
    }
}

auto worker_pool::join() -> void {
    for (auto& worker : this->workers) {
        worker->ended.get_future().wait();
    }
}

auto this_worker() -> worker_index {
    return current_worker;
}

auto this_context() -> boost::asio::io_context& {
    return *current_context;
}

auto sleep_until(base::time_point deadline) -> void {
    boost::this_fiber::sleep_until(deadline);
}

}  // namespace linnetlane::runtime

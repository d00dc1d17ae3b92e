// Worker threads that run fibers over Asio.
//
// Each worker owns one `io_context` and one fiber scheduler; a fiber stays on the worker it was
// started on. Blocking calls of this package suspend the fiber, never the thread.
//
//   auto pool = worker_pool{worker_count{4}};
//   pool.spawn([] { sleep_until(base::monotonic_clock::now() + 10ms); });
//   pool.stop();
//   pool.join();

#ifndef LINNETLANE_RUNTIME_WORKER_POOL_H_
#define LINNETLANE_RUNTIME_WORKER_POOL_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "linnetlane/base/time.h"

namespace boost::asio {
class io_context;
}

namespace linnetlane::runtime {

// How many worker threads a pool has, at least 1.
struct worker_count {
    std::size_t value = 1;
};

// Index of a worker in its pool, from 0.
struct worker_index {
    std::size_t value = 0;
};

// Thread-safe. Destroyed only after `join`.
class worker_pool {
public:
    explicit worker_pool(worker_count workers);
    worker_pool(worker_pool const&) = delete;
    auto operator=(worker_pool const&) -> worker_pool& = delete;
    worker_pool(worker_pool&&) = delete;
    auto operator=(worker_pool&&) -> worker_pool& = delete;
    ~worker_pool();

    // Starts a fiber that runs `body` on the next worker, round robin.
    auto spawn(std::function<void()> body) -> void;
    // Starts a fiber that runs `body` on `worker`.
    auto spawn_on(worker_index worker, std::function<void()> body) -> void;
    [[nodiscard]] auto size() const -> worker_count;
    // The context of `worker`, for objects that belong to it.
    [[nodiscard]] auto context(worker_index worker) -> boost::asio::io_context&;
    // Asks the workers to stop once their running fibers suspend; suspended fibers are abandoned.
    auto stop() -> void;
    // Waits until all workers have stopped.
    auto join() -> void;

private:
    struct worker_state;
    std::vector<std::unique_ptr<worker_state>> workers;
    std::atomic<std::size_t> turn = 0;
};

// The worker that the calling fiber runs on. Call on a worker.
[[nodiscard]] auto this_worker() -> worker_index;

// The context of the worker that the calling fiber runs on.
[[nodiscard]] auto this_context() -> boost::asio::io_context&;

// Suspends the calling fiber until `deadline`.
auto sleep_until(base::time_point deadline) -> void;

}  // namespace linnetlane::runtime

#endif  // LINNETLANE_RUNTIME_WORKER_POOL_H_

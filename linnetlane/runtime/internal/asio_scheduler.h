// A fiber scheduler that runs one worker's Asio handlers, when no fiber is ready or a poll is due.

#ifndef LINNETLANE_RUNTIME_INTERNAL_ASIO_SCHEDULER_H_
#define LINNETLANE_RUNTIME_INTERNAL_ASIO_SCHEDULER_H_

#include <chrono>
#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace linnetlane::runtime::internal {

// Schedules fibers in FIFO order. Handlers run only in `suspend_until`, which the dispatcher
// calls with no fiber lock held; a handler run in `pick_next` could spin forever on such a lock.
class asio_scheduler final : public boost::fibers::algo::algorithm {
public:
    explicit asio_scheduler(boost::asio::io_context& context);

    auto awakened(boost::fibers::context* fiber) noexcept -> void override;
    auto pick_next() noexcept -> boost::fibers::context* override;
    [[nodiscard]] auto has_ready_fibers() const noexcept -> bool override;
    auto suspend_until(std::chrono::steady_clock::time_point const& deadline) noexcept
        -> void override;
    auto notify() noexcept -> void override;

private:
    auto take_dispatcher() noexcept -> boost::fibers::context*;

    boost::asio::io_context& context;
    boost::fibers::scheduler::ready_queue_type ready;
    // The dispatcher's own context while it is ready; never in `ready`.
    boost::fibers::context* dispatcher = nullptr;
    std::size_t picks_since_poll = 0;
};

}  // namespace linnetlane::runtime::internal

#endif  // LINNETLANE_RUNTIME_INTERNAL_ASIO_SCHEDULER_H_

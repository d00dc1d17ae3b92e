#include "linnetlane/runtime/internal/asio_scheduler.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace linnetlane::runtime::internal {

namespace {

// Number of picks after which handlers are polled, so that busy fibers can't starve I/O.
constexpr auto picks_between_polls = std::size_t{32};

}  // namespace

asio_scheduler::asio_scheduler(boost::asio::io_context& own_context) : context(own_context) {}

auto asio_scheduler::awakened(boost::fibers::context* fiber) noexcept -> void {
    if (fiber->is_context(boost::fibers::type::dispatcher_context)) {
        this->dispatcher = fiber;
        return;
    }
    fiber->ready_link(this->ready);
}

auto asio_scheduler::pick_next() noexcept -> boost::fibers::context* {
    auto const poll_is_due = this->picks_since_poll >= picks_between_polls;
    if (poll_is_due && this->dispatcher != nullptr) {
        return this->take_dispatcher();
    }
    if (poll_is_due) {
        this->picks_since_poll = 0;
        return nullptr;
    }
    if (this->ready.empty()) {
        return this->take_dispatcher();
    }
    ++this->picks_since_poll;
    auto* const next = &this->ready.front();
    this->ready.pop_front();
    return next;
}

auto asio_scheduler::take_dispatcher() noexcept -> boost::fibers::context* {
    return std::exchange(this->dispatcher, nullptr);
}

auto asio_scheduler::has_ready_fibers() const noexcept -> bool {
    return !this->ready.empty();
}

auto asio_scheduler::suspend_until(std::chrono::steady_clock::time_point const& deadline) noexcept
    -> void {
    this->picks_since_poll = 0;
    if (this->ready.empty()) {
        if (deadline == std::chrono::steady_clock::time_point::max()) {
            this->context.run_one();
        } else {
            this->context.run_one_until(deadline);
        }
    }
    this->context.poll();
}

auto asio_scheduler::notify() noexcept -> void {
    boost::asio::post(this->context, [] {});
}

}  // namespace linnetlane::runtime::internal

// Suspends a fiber until an Asio operation completes.
//
//   auto const done = await_io([&](auto handler) { stream.async_read_some(buffer, handler); });
//   if (done.error) { ... }

#ifndef LINNETLANE_RUNTIME_INTERNAL_AWAIT_H_
#define LINNETLANE_RUNTIME_INTERNAL_AWAIT_H_

#include <cstddef>
#include <memory>

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

namespace linnetlane::runtime::internal {

// The result of an operation.
struct io_result {
    boost::system::error_code error;
    std::size_t bytes = 0;
};

// Completes the promise of the waiting fiber. Copyable, as Asio requires of handlers.
class io_handler {
public:
    explicit io_handler(std::shared_ptr<boost::fibers::promise<io_result>> waiting)
        : promise(std::move(waiting)) {}

    auto operator()(boost::system::error_code error) -> void { this->complete(error, 0); }

    template <typename Endpoint>
    auto operator()(boost::system::error_code error, Endpoint const&) -> void {
        this->complete(error, 0);
    }

    auto operator()(boost::system::error_code error, std::size_t bytes) -> void {
        this->complete(error, bytes);
    }

private:
    auto complete(boost::system::error_code error, std::size_t bytes) -> void {
        this->promise->set_value(io_result{error, bytes});
    }

    std::shared_ptr<boost::fibers::promise<io_result>> promise;
};

// Starts an operation by `initiate(handler)` and suspends the calling fiber until it completes.
template <typename Initiate>
auto await_io(Initiate&& initiate) -> io_result {
    auto promise = std::make_shared<boost::fibers::promise<io_result>>();
    auto future = promise->get_future();
    initiate(io_handler{std::move(promise)});
    return future.get();
}

}  // namespace linnetlane::runtime::internal

#endif  // LINNETLANE_RUNTIME_INTERNAL_AWAIT_H_

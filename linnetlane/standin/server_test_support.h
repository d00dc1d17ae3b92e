// Support for tests of the stand-ins' servers: a worker pool, HTTP calls and waiting for
// conditions.

#ifndef LINNETLANE_STANDIN_SERVER_TEST_SUPPORT_H_
#define LINNETLANE_STANDIN_SERVER_TEST_SUPPORT_H_

#include <future>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::standin {

inline auto const loopback = base::endpoint{"127.0.0.1", 0};

// A deadline far enough away that only a hanging call reaches it.
inline auto far_deadline() -> base::time_point {
    return base::monotonic_clock::now() + std::chrono::minutes{2};
}

inline auto post(std::string target, nlohmann::json const& body) -> runtime::http_request {
    return runtime::http_request{"POST", std::move(target), {}, body.dump()};
}

inline auto get(std::string target) -> runtime::http_request {
    return runtime::http_request{"GET", std::move(target), {}, {}};
}

// The response to `request`; status 0 if the connection closed without one.
inline auto call(base::endpoint const& to, runtime::http_request const& request)
    -> runtime::http_response {
    auto outcome = runtime::fetch(to, request, runtime::connection_use::fresh, far_deadline());
    if (!base::succeeded(outcome)) {
        return runtime::http_response{0, {}, {}};
    }
    return base::take_value(std::move(outcome));
}

inline auto call_json(base::endpoint const& to, runtime::http_request const& request)
    -> nlohmann::json {
    return nlohmann::json::parse(call(to, request).body, nullptr, false);
}

// Waits until `condition` holds, without a time limit. Call in a fiber.
template <typename Condition>
auto wait_until(Condition condition) -> void {
    while (!condition()) {
        runtime::sleep_until(base::monotonic_clock::now() + std::chrono::milliseconds{2});
    }
}

struct pool_fixture {
    runtime::worker_pool pool{runtime::worker_count{2}};

    pool_fixture() = default;
    pool_fixture(pool_fixture const&) = delete;
    auto operator=(pool_fixture const&) -> pool_fixture& = delete;
    pool_fixture(pool_fixture&&) = delete;
    auto operator=(pool_fixture&&) -> pool_fixture& = delete;
    ~pool_fixture() { this->end_pool(); }

    // Stops the pool and its fibers. A fixture whose servers have blocking handlers must call this
    // before it destroys the servers, because the handlers would otherwise outlive them.
    auto end_pool() -> void {
        if (!std::exchange(this->pool_ended, true)) {
            this->pool.stop();
            this->pool.join();
        }
    }

    // Runs `body` in a fiber and waits for it.
    template <typename Body>
    auto in_fiber(Body body) -> void {
        auto done = std::promise<void>{};
        this->pool.spawn([&] {
            try {
                body();
                done.set_value();
            } catch (...) {
                done.set_exception(std::current_exception());
            }
        });
        done.get_future().get();
    }

private:
    bool pool_ended = false;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_SERVER_TEST_SUPPORT_H_

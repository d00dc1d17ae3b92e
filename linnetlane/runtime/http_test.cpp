#include "linnetlane/runtime/http.h"

#include <atomic>
#include <chrono>
#include <future>
#include <string>

#include <boost/test/unit_test.hpp>

namespace linnetlane::runtime {
namespace {

using namespace std::chrono_literals;

auto const loopback = base::endpoint{"127.0.0.1", 0};

auto soon() -> base::time_point {
    return base::monotonic_clock::now() + 20s;
}

// Runs `body` in a fiber and waits for it; a failed BOOST_REQUIRE in it ends the test case.
template <typename Body>
auto in_fiber(worker_pool& pool, Body body) -> void {
    auto done = std::promise<void>{};
    pool.spawn([&] {
        try {
            body();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

struct fixture {
    worker_pool pool{worker_count{2}};

    ~fixture() {
        this->pool.stop();
        this->pool.join();
    }
    fixture() = default;
    fixture(fixture const&) = delete;
    auto operator=(fixture const&) -> fixture& = delete;
    fixture(fixture&&) = delete;
    auto operator=(fixture&&) -> fixture& = delete;
};

BOOST_FIXTURE_TEST_CASE(a_request_is_answered_with_its_body, fixture) {
    auto server =
        http_server(this->pool, loopback, {}, [](http_request const& request, auto& responder) {
            auto answer = http_response{201, {}, request.method + request.target + request.body};
            answer.fields.add("x-seen", std::string(request.fields.find("X-Asked").value_or("")));
            responder.send(answer);
        });
    in_fiber(this->pool, [&] {
        auto request = http_request{"POST", "/a?b=c", {}, "body"};
        request.fields.add("x-asked", "yes");
        for (auto const use :
             {connection_use::pooled, connection_use::pooled, connection_use::fresh}) {
            auto const fetched = fetch(server.address(), request, use, soon());
            BOOST_REQUIRE(base::succeeded(fetched));
            BOOST_TEST(base::value_of(fetched).status == 201);
            BOOST_TEST(base::value_of(fetched).body == "POST/a?b=cbody");
            BOOST_TEST(base::value_of(fetched).fields.find("X-SEEN").value() == "yes");
        }
    });
}

BOOST_FIXTURE_TEST_CASE(an_answer_in_parts_arrives_in_order, fixture) {
    auto server = http_server(this->pool, loopback, {}, [](http_request const&, auto& responder) {
        responder.start(200, {});
        responder.write("one ");
        responder.write("two ");
        responder.write("three");
        responder.finish();
    });
    in_fiber(this->pool, [&] {
        auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
        BOOST_REQUIRE(base::succeeded(opened));
        auto stream = base::take_value(std::move(opened));
        auto const body = stream.read_all(1000, soon());
        BOOST_TEST(base::value_of(body) == "one two three");
    });
}

BOOST_FIXTURE_TEST_CASE(an_answer_cut_off_is_a_failure_and_not_an_end, fixture) {
    auto server = http_server(this->pool, loopback, {}, [](http_request const&, auto& responder) {
        responder.start(200, {});
        responder.write("half");
        responder.abort();
    });
    in_fiber(this->pool, [&] {
        auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
        auto stream = base::take_value(std::move(opened));
        auto const body = stream.read_all(1000, soon());
        BOOST_REQUIRE(!base::succeeded(body));
        BOOST_TEST((base::failure_of(body)->kind == http_failure_kind::closed));
    });
}

BOOST_FIXTURE_TEST_CASE(a_handler_learns_that_its_client_left, fixture) {
    auto noticed = std::promise<void>{};
    auto server =
        http_server(this->pool, loopback, {}, [&](http_request const&, http_responder& responder) {
            responder.start(200, {});
            responder.write("first");
            auto gone = std::make_shared<std::atomic<bool>>(false);
            responder.on_client_disconnect([gone] { *gone = true; });
            while (!*gone) {
                sleep_until(base::monotonic_clock::now() + 1ms);
            }
            noticed.set_value();
        });
    in_fiber(this->pool, [&] {
        auto opened = open_stream(server.address(), {}, connection_use::fresh, soon());
        auto stream = base::take_value(std::move(opened));
        static_cast<void>(stream.read_some(soon()));
        stream.close();
    });
    noticed.get_future().wait();
}

BOOST_FIXTURE_TEST_CASE(a_body_over_the_limit_is_refused, fixture) {
    auto limits = http_limits{};
    limits.body_bytes = 100;
    auto server = http_server(this->pool, loopback, limits,
                              [](http_request const&, auto& responder) { responder.send({}); });
    in_fiber(this->pool, [&] {
        auto const request = http_request{"POST", "/", {}, std::string(101, 'x')};
        auto const fetched = fetch(server.address(), request, connection_use::fresh, soon());
        BOOST_REQUIRE(base::succeeded(fetched));
        BOOST_TEST(base::value_of(fetched).status == 413);
    });
}

BOOST_FIXTURE_TEST_CASE(a_failed_connect_proves_that_nothing_was_sent, fixture) {
    auto unused = base::endpoint{};
    {
        auto server = http_server(this->pool, loopback, {},
                                  [](http_request const&, auto& responder) { responder.send({}); });
        unused = server.address();
    }
    in_fiber(this->pool, [&] {
        sleep_until(base::monotonic_clock::now() + 20ms);
        auto const fetched = fetch(unused, {}, connection_use::fresh, soon());
        BOOST_REQUIRE(!base::succeeded(fetched));
        BOOST_TEST((base::failure_of(fetched)->kind == http_failure_kind::connect_failed));
        BOOST_TEST((base::failure_of(fetched)->send_state == send_state::not_sent));
    });
}

BOOST_FIXTURE_TEST_CASE(a_client_gives_up_at_its_deadline, fixture) {
    auto server = http_server(this->pool, loopback, {}, [](http_request const&, auto& responder) {
        while (!responder.client_disconnected()) {
            sleep_until(base::monotonic_clock::now() + 1ms);
        }
    });
    in_fiber(this->pool, [&] {
        auto const fetched =
            fetch(server.address(), {}, connection_use::fresh, base::monotonic_clock::now() + 30ms);
        BOOST_REQUIRE(!base::succeeded(fetched));
        BOOST_TEST((base::failure_of(fetched)->kind == http_failure_kind::timed_out));
        BOOST_TEST((base::failure_of(fetched)->send_state == send_state::may_have_been_sent));
    });
}

BOOST_FIXTURE_TEST_CASE(a_server_over_its_connection_limit_gets_no_request_on_a_verified_connection,
                        fixture) {
    auto limits = http_limits{};
    limits.connections = 0;
    auto server = http_server(this->pool, loopback, limits,
                              [](http_request const&, auto& responder) { responder.send({}); });
    in_fiber(this->pool, [&] {
        for (auto count = 0; count < 20; ++count) {
            auto const fetched = fetch(server.address(), {}, connection_use::verified, soon());
            BOOST_REQUIRE(!base::succeeded(fetched));
            BOOST_TEST((base::failure_of(fetched)->send_state == send_state::not_sent));
        }
    });
}

BOOST_FIXTURE_TEST_CASE(a_verified_connection_is_kept_for_the_next_request, fixture) {
    // A second connection would be over the limit.
    auto limits = http_limits{};
    limits.connections = 1;
    auto server = http_server(this->pool, loopback, limits,
                              [](http_request const&, auto& responder) { responder.send({}); });
    in_fiber(this->pool, [&] {
        for (auto count = 0; count < 10; ++count) {
            BOOST_REQUIRE(
                base::succeeded(fetch(server.address(), {}, connection_use::verified, soon())));
        }
    });
}

}  // namespace
}  // namespace linnetlane::runtime

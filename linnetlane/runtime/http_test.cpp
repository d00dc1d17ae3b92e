#include "linnetlane/runtime/http.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <future>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
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

// Field values come from the entries and answers of others. One that was too long ended the
// process, and one with a line break added a field.
BOOST_FIXTURE_TEST_CASE(a_request_that_http_cannot_express_fails_unsent, fixture) {
    auto served = std::atomic<int>{0};
    auto server = http_server(this->pool, loopback, {}, [&](http_request const&, auto& responder) {
        ++served;
        responder.send({});
    });
    in_fiber(this->pool, [&] {
        auto fails = [&](http_request const& request) {
            auto const fetched = fetch(server.address(), request, connection_use::pooled, soon());
            auto const* const failure = base::failure_of(fetched);
            return failure != nullptr && failure->kind == http_failure_kind::malformed &&
                   failure->send_state == send_state::not_sent;
        };
        for (auto const& value : {std::string(65'534, 'v'), std::string{"a\r\nX-More: 1"},
                                  std::string{"a\n"}, std::string("a\0b", 3)}) {
            auto request = http_request{"GET", "/", {}, {}};
            request.fields.add("X-Value", value);
            BOOST_TEST(fails(request));
        }
        for (auto const& name : {std::string(65'534, 'n'), std::string{"a b"}, std::string{"a:"},
                                 std::string{"a\n"}, std::string{}}) {
            auto request = http_request{"GET", "/", {}, {}};
            request.fields.add(name, "1");
            BOOST_TEST(fails(request));
        }
        for (auto const& target : {std::string{"/a b"}, std::string{"/a\r\nX-More: 1"}}) {
            BOOST_TEST(fails({"GET", target, {}, {}}));
        }
        BOOST_TEST(served == 0);
        auto sound = http_request{"GET", "/\xc3\xa4", {}, {}};
        sound.fields.add("X-Value", "\xff\t~");
        BOOST_TEST(base::succeeded(fetch(server.address(), sound, connection_use::pooled, soon())));
        BOOST_TEST(served == 1);
    });
}

BOOST_FIXTURE_TEST_CASE(a_connection_is_not_used_again_if_it_closes_after_its_response, fixture) {
    // A second connection at the same time would be over the limit.
    auto limits = http_limits{};
    limits.connections = 1;
    auto server = http_server(this->pool, loopback, limits,
                              [](http_request const&, auto& responder) { responder.send({}); });
    in_fiber(this->pool, [&] {
        for (auto const closes : {false, true}) {
            auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
            BOOST_REQUIRE(base::succeeded(opened));
            auto stream = base::take_value(std::move(opened));
            BOOST_TEST(stream.reuses_connection() == closes);
            if (closes) {
                stream.close_after_response();
            }
            BOOST_REQUIRE(base::succeeded(stream.read_all(100, soon())));
        }
        auto last = open_stream(server.address(), {}, connection_use::pooled, soon());
        auto const* const opened = std::get_if<http_stream>(&last);
        BOOST_TEST((opened == nullptr || !opened->reuses_connection()));
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

// Bytes that a `raw_server` sends after each request.
struct raw_bytes {
    std::vector<std::string> parts;
    // Between two parts.
    std::chrono::milliseconds pause = 0ms;
    // Sends the last part again until the client closes its connection.
    bool endless = false;
    // Closes the connection after the last part, instead of waiting for the next request.
    bool closes = false;
    // Closes it with a reset.
    bool resets = false;
    // Sent to the first request of a connection instead of the parts, unless it is empty.
    std::string first = {};
};

// Serves one connection after the other, each until the client closes it, with any bytes as
// answers. Has a thread of its own and ends it in its destructor.
class raw_server {
public:
    explicit raw_server(raw_bytes own_bytes)
        : bytes{std::move(own_bytes)},
          acceptor{this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)},
          serving{[this] { this->serve_all(); }} {}
    raw_server(raw_server const&) = delete;
    auto operator=(raw_server const&) -> raw_server& = delete;
    raw_server(raw_server&&) = delete;
    auto operator=(raw_server&&) -> raw_server& = delete;
    ~raw_server() {
        this->stopping = true;
        {
            auto const guard = std::scoped_lock{this->mutex};
            if (this->current != nullptr) {
                auto ignored = boost::system::error_code{};
                this->current->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        // Wakes the accepting thread.
        auto wake = tcp::socket{this->context};
        auto ignored = boost::system::error_code{};
        wake.connect(this->acceptor.local_endpoint(), ignored);
        this->serving.join();
    }

    [[nodiscard]] auto address() const -> base::endpoint {
        return base::endpoint{"127.0.0.1", this->acceptor.local_endpoint().port()};
    }
    [[nodiscard]] auto connections() const -> std::size_t { return this->accepted; }
    [[nodiscard]] auto bytes_sent() const -> std::size_t { return this->sent; }
    // Returns whether the client closed all its connections within `time`.
    [[nodiscard]] auto closed_within(base::duration time) const -> bool {
        auto const until = base::monotonic_clock::now() + time;
        while (this->ended < this->accepted && base::monotonic_clock::now() < until) {
            std::this_thread::sleep_for(1ms);
        }
        return this->accepted > 0 && this->ended == this->accepted;
    }

private:
    using tcp = boost::asio::ip::tcp;

    auto serve_all() -> void {
        while (!this->stopping) {
            auto connection = tcp::socket{this->context};
            auto error = boost::system::error_code{};
            this->acceptor.accept(connection, error);
            if (error || this->stopping) {
                continue;
            }
            connection.set_option(tcp::no_delay{true}, error);
            this->set_current(&connection);
            ++this->accepted;
            this->serve(connection);
            ++this->ended;
            this->set_current(nullptr);
        }
    }

    auto set_current(tcp::socket* connection) -> void {
        auto const guard = std::scoped_lock{this->mutex};
        this->current = connection;
    }

    auto serve(tcp::socket& connection) -> void {
        auto received = std::string{};
        auto error = boost::system::error_code{};
        auto is_first = !this->bytes.first.empty();
        while (!this->stopping) {
            auto const head = boost::asio::read_until(
                connection, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
            if (error) {
                return;
            }
            received.erase(0, head);
            if (std::exchange(is_first, false)) {
                this->send(connection, this->bytes.first, error);
                continue;
            }
            for (auto const& part : this->bytes.parts) {
                this->send(connection, part, error);
            }
            while (this->bytes.endless && !error && !this->stopping) {
                this->send(connection, this->bytes.parts.back(), error);
            }
            if (this->bytes.resets) {
                connection.set_option(boost::asio::socket_base::linger{true, 0}, error);
                // Its destructor would close it regularly.
                auto const guard = std::scoped_lock{this->mutex};
                this->current = nullptr;
                connection.close(error);
                return;
            }
            if (error || this->bytes.closes) {
                return;
            }
        }
    }

    auto send(tcp::socket& connection, std::string const& part, boost::system::error_code& error)
        -> void {
        if (!error) {
            this->sent += boost::asio::write(connection, boost::asio::buffer(part), error);
            std::this_thread::sleep_for(this->bytes.pause);
        }
    }

    raw_bytes bytes;
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    std::mutex mutex;
    // Guarded by `mutex`.
    tcp::socket* current = nullptr;
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> accepted = 0;
    std::atomic<std::size_t> ended = 0;
    std::atomic<std::size_t> sent = 0;
    std::thread serving;
};

struct raw_fixture {
    // Sends one request and returns the result.
    static auto ask(raw_server const& server, base::time_point deadline,
                    std::string const& method = "GET")
        -> base::result<http_response, http_failure> {
        auto own = fixture{};
        auto result = base::result<http_response, http_failure>{http_failure{}};
        in_fiber(own.pool, [&] {
            result = fetch(server.address(), http_request{method, "/", {}, {}},
                           connection_use::pooled, deadline);
        });
        return result;
    }

    // Checks that a request fails in this way and that its connection is closed.
    static auto expect_failure(raw_server const& server, base::time_point deadline,
                               http_failure_kind kind) -> void {
        auto own = fixture{};
        in_fiber(own.pool, [&] {
            auto const fetched = fetch(server.address(), {}, connection_use::pooled, deadline);
            BOOST_REQUIRE(!base::succeeded(fetched));
            BOOST_TEST((base::failure_of(fetched)->kind == kind));
            BOOST_TEST((base::failure_of(fetched)->send_state == send_state::may_have_been_sent));
        });
        // The pool still runs, so that it doesn't close the connection by its end.
        BOOST_TEST(server.closed_within(10s));
    }
};

auto const hints = std::string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Of: hints\r\n\r\n"};
auto const short_hints = std::string{"HTTP/1.1 103 Early Hints\r\n\r\n"};
auto const go_on = std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
auto const final_answer =
    std::string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Of: answer\r\n\r\nwhole"};

BOOST_FIXTURE_TEST_CASE(interim_answers_are_never_taken_for_the_final_one, raw_fixture) {
    auto many = std::vector<std::string>(500, short_hints);
    many.push_back(final_answer);
    for (auto const& bytes : std::vector<raw_bytes>{
             {.parts = {hints + final_answer}},
             {.parts = {std::string{go_on}.append(hints).append(go_on).append(final_answer)}},
             {.parts = {hints, final_answer}, .pause = 20ms},
             {.parts = {go_on, hints.substr(0, 30), hints.substr(30) + go_on, final_answer},
             .pause = 20ms},
             {.parts = {"HTTP/1.1 102 Processing\r\nContent-Length: 7\r\n\r\n",
                        "HTTP/1.1 199 Later\r\nTransfer-Encoding: chunked\r\n\r\n", final_answer},
             .pause = 20ms},
             {.parts = {"HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n", final_answer},
             .pause = 20ms},
             {.parts = many}}) {
        auto const server = raw_server{bytes};
        auto const fetched = this->ask(server, soon());
        BOOST_REQUIRE(base::succeeded(fetched));
        auto const& answer = base::value_of(fetched);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "whole");
        BOOST_TEST(answer.fields.find("X-Of").value_or("") == "answer");
        BOOST_TEST(!answer.fields.find("Link").has_value());
    }
}

BOOST_FIXTURE_TEST_CASE(a_connection_with_interim_answers_is_kept_for_the_next_request,
                        raw_fixture) {
    auto const server = raw_server{{.parts = {hints, final_answer}, .pause = 5ms}};
    auto own = fixture{};
    in_fiber(own.pool, [&] {
        for (auto count = 0; count < 5; ++count) {
            auto const fetched = fetch(server.address(), {}, connection_use::pooled, soon());
            BOOST_REQUIRE(base::succeeded(fetched));
            BOOST_TEST(base::value_of(fetched).status == 200);
            BOOST_TEST(base::value_of(fetched).body == "whole");
        }
    });
    BOOST_TEST(server.connections() == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_answer_to_a_head_request_has_no_body_after_interim_ones_either,
                        raw_fixture) {
    auto const server =
        raw_server{{.parts = {hints, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"}}};
    auto const fetched = this->ask(server, soon(), "HEAD");
    BOOST_REQUIRE(base::succeeded(fetched));
    BOOST_TEST(base::value_of(fetched).status == 200);
    BOOST_TEST(base::value_of(fetched).body.empty());
}

BOOST_FIXTURE_TEST_CASE(interim_answers_before_the_next_response_are_skipped, raw_fixture) {
    auto const first = std::string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"};
    for (auto const pause : {0ms, 20ms}) {
        auto const server =
            raw_server{{.parts = {first, go_on, hints, final_answer}, .pause = pause}};
        auto own = fixture{};
        in_fiber(own.pool, [&] {
            auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
            BOOST_REQUIRE(base::succeeded(opened));
            auto stream = base::take_value(std::move(opened));
            BOOST_REQUIRE(base::succeeded(stream.read_next_response(soon())));
            BOOST_TEST(stream.status() == 200);
            BOOST_TEST(base::value_of(stream.read_all(100, soon())) == "whole");
        });
    }
}

BOOST_FIXTURE_TEST_CASE(interim_answers_without_end_are_given_up, raw_fixture) {
    for (auto const& one : {short_hints, go_on, hints}) {
        auto const server = raw_server{{.parts = {one}, .endless = true}};
        this->expect_failure(server, soon(), http_failure_kind::too_large);
        // What it read, and what the buffers of both sides hold.
        BOOST_TEST(server.bytes_sent() <= std::size_t{24} * 1024 * 1024);
    }
}

BOOST_FIXTURE_TEST_CASE(interim_answers_without_end_before_the_next_response_are_given_up,
                        raw_fixture) {
    auto const server = raw_server{{.parts = {final_answer, short_hints}, .endless = true}};
    auto own = fixture{};
    in_fiber(own.pool, [&] {
        auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
        BOOST_REQUIRE(base::succeeded(opened));
        auto stream = base::take_value(std::move(opened));
        auto const next = stream.read_next_response(soon());
        BOOST_REQUIRE(!base::succeeded(next));
        BOOST_TEST((base::failure_of(next)->kind == http_failure_kind::too_large));
        // Also before the stream is destroyed.
        BOOST_TEST(server.closed_within(10s));
    });
}

// Far apart, so that no more than one is ever received at once.
BOOST_FIXTURE_TEST_CASE(slow_interim_answers_without_end_are_given_up_at_the_deadline,
                        raw_fixture) {
    auto const server = raw_server{{.parts = {short_hints}, .pause = 20ms, .endless = true}};
    this->expect_failure(server, base::monotonic_clock::now() + 300ms,
                         http_failure_kind::timed_out);
}

BOOST_FIXTURE_TEST_CASE(an_interim_answer_without_a_final_one_is_no_answer, raw_fixture) {
    auto const silent = raw_server{{.parts = {hints}}};
    this->expect_failure(silent, base::monotonic_clock::now() + 300ms,
                         http_failure_kind::timed_out);
    auto const closing = raw_server{{.parts = {hints}, .closes = true}};
    this->expect_failure(closing, soon(), http_failure_kind::closed);
}

// The client never asks for another protocol.
BOOST_FIXTURE_TEST_CASE(an_answer_that_switches_protocols_is_malformed, raw_fixture) {
    auto const server = raw_server{
        {.parts = {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + final_answer}}};
    this->expect_failure(server, soon(), http_failure_kind::malformed);
}

// ---- Responses that end early ----

auto joined(std::initializer_list<std::string_view> parts) -> std::string {
    auto whole = std::string{};
    for (auto const part : parts) {
        whole += part;
    }
    return whole;
}

// How a connection ends, and what came before on it.
struct cut_case {
    bool resets = false;
    bool kept = false;
    std::string before = {};
};

auto cut_cases() -> std::vector<cut_case> {
    auto cases = std::vector<cut_case>{};
    for (auto const resets : {false, true}) {
        for (auto const kept : {false, true}) {
            for (auto const& before : {std::string{}, hints}) {
                cases.push_back({resets, kept, before});
            }
        }
    }
    return cases;
}

auto const head_begin = std::string{"HTTP/1.1 200 OK\r\nX-Of: answer\r\n"};
auto const chunked_body = std::string{"5;name=\"a\"\r\nwhole\r\n3\r\nend\r\n0\r\nX-Sum: 8\r\n\r\n"};

struct cut_fixture : fixture {
    auto fetch_from(raw_server const& server, bool kept, std::string const& method = "GET")
        -> base::result<http_response, http_failure> {
        auto result = base::result<http_response, http_failure>{http_failure{}};
        in_fiber(this->pool, [&] {
            if (kept) {
                BOOST_REQUIRE(
                    base::succeeded(fetch(server.address(), {}, connection_use::pooled, soon())));
            }
            result = fetch(server.address(), http_request{method, "/", {}, {}},
                           connection_use::pooled, soon());
        });
        return result;
    }

    // Checks that each beginning of `bytes` with at least `least` bytes is no complete response.
    auto expect_no_answer(std::string const& bytes, std::size_t least, std::string const& method)
        -> void {
        for (auto const& each : cut_cases()) {
            for (auto size = least; size < bytes.size(); ++size) {
                auto const server = raw_server{{.parts = {each.before + bytes.substr(0, size)},
                                                .closes = true,
                                                .resets = each.resets,
                                                .first = each.kept ? final_answer : std::string{}}};
                BOOST_TEST(!base::succeeded(this->fetch_from(server, each.kept, method)),
                           bytes.substr(0, size));
            }
        }
    }
};

// Guards against a head that breaks off being taken for one whose body is empty or shorter.
BOOST_FIXTURE_TEST_CASE(a_head_that_is_cut_anywhere_is_no_answer, cut_fixture) {
    for (auto const* const method : {"GET", "HEAD"}) {
        for (auto const* const last_field :
             {"Content-Length: 1234", "Transfer-Encoding: chunked", "Content-Type: text/plain"}) {
            this->expect_no_answer(head_begin + last_field + "\r\n\r\n", 0, method);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(a_head_that_is_cut_behind_another_response_is_no_answer, cut_fixture) {
    auto const head = head_begin + "Content-Length: 1234\r\n\r\n";
    for (auto const resets : {false, true}) {
        for (auto size = std::size_t{0}; size < head.size(); ++size) {
            auto const server = raw_server{
                {.parts = {final_answer + head.substr(0, size)}, .closes = true, .resets = resets}};
            in_fiber(this->pool, [&] {
                auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
                if (!base::succeeded(opened)) {
                    // The reset overtook the first response.
                    BOOST_TEST(resets);
                    return;
                }
                auto stream = base::take_value(std::move(opened));
                BOOST_TEST(!base::succeeded(stream.read_next_response(soon())));
            });
        }
    }
}

BOOST_FIXTURE_TEST_CASE(a_body_that_is_cut_anywhere_is_no_answer, cut_fixture) {
    auto const chunked = head_begin + "Transfer-Encoding: chunked\r\n\r\n";
    this->expect_no_answer(chunked + chunked_body, chunked.size(), "GET");
    auto const sized = head_begin + "Content-Length: 12\r\n\r\n";
    this->expect_no_answer(sized + "twelve bytes", sized.size(), "GET");
}

// It ends with its connection, and a reset is no such end.
BOOST_FIXTURE_TEST_CASE(a_body_without_length_is_complete_unless_it_is_reset, cut_fixture) {
    for (auto const& body : {std::string{}, std::string{"whole"}}) {
        for (auto const& each : cut_cases()) {
            auto const server =
                raw_server{{.parts = {joined({each.before, head_begin, "\r\n", body})},
                            .closes = true,
                            .resets = each.resets,
                            .first = each.kept ? final_answer : std::string{}}};
            auto const fetched = this->fetch_from(server, each.kept);
            BOOST_TEST(base::succeeded(fetched) == !each.resets,
                       body << " resets " << each.resets << " kept " << each.kept << " before "
                            << each.before.size());
            if (base::succeeded(fetched)) {
                BOOST_TEST(base::value_of(fetched).body == body);
            }
        }
    }
}

// Guards against heads that lenient parsers take for complete, or whose body has no certain end.
BOOST_FIXTURE_TEST_CASE(a_head_that_breaks_the_protocol_is_no_answer, cut_fixture) {
    for (auto const* const bytes : {
             "",
             "\r\n\r\n",
             "whole",
             "HTTP/1.1 200 OK\r\n",
             "HTTP/1.1 200 OK\n\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\n\nwhole",
             "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\rwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5, 4\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\ntwelve bytes",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 20",
             "HTTP/1.1 2000 OK\r\n\r\n",
             "HTTP/2 200 OK\r\n\r\nwhole",
         }) {
        for (auto const resets : {false, true}) {
            auto const server = raw_server{{.parts = {bytes}, .closes = true, .resets = resets}};
            BOOST_TEST(!base::succeeded(this->fetch_from(server, false)), bytes);
        }
    }
}

// Guards against a body that is passed on with the lines of its chunks.
BOOST_FIXTURE_TEST_CASE(a_body_in_an_unknown_transfer_coding_is_no_answer, cut_fixture) {
    for (auto const* const coding :
         {"chu", "gzip", "chunked, gzip", "gzip, chunked", "chunked, chunked", "identity", ""}) {
        auto const server = raw_server{{.parts = {head_begin + "Transfer-Encoding: " + coding +
                                                  "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
                                        .closes = true}};
        auto const fetched = this->fetch_from(server, false);
        BOOST_TEST_REQUIRE(!base::succeeded(fetched), coding);
        BOOST_TEST((base::failure_of(fetched)->kind == http_failure_kind::malformed));
    }
}

BOOST_FIXTURE_TEST_CASE(equal_lengths_that_are_stated_twice_are_one_length, cut_fixture) {
    auto const server = raw_server{{.parts = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                              "Content-Length: 5\r\n\r\nwhole"}}};
    auto const fetched = this->fetch_from(server, false);
    BOOST_REQUIRE(base::succeeded(fetched));
    BOOST_TEST(base::value_of(fetched).body == "whole");
}

// ---- Responses that come while the request is still being sent ----

enum class early_end {
    // Closes with unread bytes, which resets the connection.
    closes,
    // Resets it.
    resets,
    // Ends its side regularly and leaves the rest of the request unread.
    shuts_down,
};

// Answers each request when its head has arrived, with buffers that are smaller than the request.
// Has a thread of its own and ends it in its destructor.
class early_server {
public:
    early_server(std::string own_answer, early_end own_end, std::chrono::milliseconds own_pause)
        : answer{std::move(own_answer)}, end{own_end}, pause{own_pause} {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size{16 * 1024});
        this->acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen();
        this->serving = std::thread{[this] { this->serve_all(); }};
    }
    early_server(early_server const&) = delete;
    auto operator=(early_server const&) -> early_server& = delete;
    early_server(early_server&&) = delete;
    auto operator=(early_server&&) -> early_server& = delete;
    ~early_server() {
        this->stopping = true;
        // Wakes the accepting thread.
        auto wake = tcp::socket{this->context};
        auto ignored = boost::system::error_code{};
        wake.connect(this->acceptor.local_endpoint(), ignored);
        this->serving.join();
    }

    [[nodiscard]] auto address() const -> base::endpoint {
        return base::endpoint{"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    using tcp = boost::asio::ip::tcp;

    auto serve_all() -> void {
        // Those that were shut down on one side.
        auto half_open = std::vector<tcp::socket>{};
        while (!this->stopping) {
            auto connection = tcp::socket{this->context};
            auto error = boost::system::error_code{};
            this->acceptor.accept(connection, error);
            if (error || this->stopping) {
                continue;
            }
            connection.set_option(tcp::no_delay{true}, error);
            auto received = std::string{};
            boost::asio::read_until(connection, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                                    error);
            boost::asio::write(connection, boost::asio::buffer(this->answer), error);
            std::this_thread::sleep_for(this->pause);
            switch (this->end) {
                case early_end::shuts_down:
                    connection.shutdown(tcp::socket::shutdown_send, error);
                    half_open.push_back(std::move(connection));
                    break;
                case early_end::resets:
                    connection.set_option(boost::asio::socket_base::linger{true, 0}, error);
                    connection.close(error);
                    break;
                case early_end::closes:
                    connection.close(error);
                    break;
            }
        }
    }

    std::string answer;
    early_end end;
    std::chrono::milliseconds pause;
    boost::asio::io_context context;
    tcp::acceptor acceptor{this->context};
    std::atomic<bool> stopping = false;
    std::thread serving;
};

struct upload_fixture : fixture {
    static constexpr auto upload_bytes = std::size_t{8} * 1024 * 1024;

    auto upload_to(base::endpoint const& to) -> base::result<http_response, http_failure> {
        auto result = base::result<http_response, http_failure>{http_failure{}};
        in_fiber(this->pool, [&] {
            result = fetch(to, {"POST", "/", {}, std::string(upload_bytes, 'u')},
                           connection_use::pooled, soon());
        });
        return result;
    }

    // Returns the results of uploads to servers that answer early, whatever end they choose.
    auto upload_to_early_servers(std::string const& answer)
        -> std::vector<base::result<http_response, http_failure>> {
        auto results = std::vector<base::result<http_response, http_failure>>{};
        for (auto const end : {early_end::closes, early_end::resets, early_end::shuts_down}) {
            for (auto const pause : {0ms, 20ms}) {
                auto const server = early_server{answer, end, pause};
                for (auto count = 0; count < 5; ++count) {
                    results.push_back(this->upload_to(server.address()));
                }
            }
        }
        return results;
    }
};

// The write of the request took the error of the reset, and the read found a regular end.
BOOST_FIXTURE_TEST_CASE(a_body_without_length_under_an_unfinished_upload_is_no_response,
                        upload_fixture) {
    for (auto const* const head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                   "HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\n"}) {
        auto taken = 0;
        for (auto const& result : this->upload_to_early_servers(std::string{head} + "part")) {
            taken += base::succeeded(result) ? 1 : 0;
            if (auto const* const failure = base::failure_of(result)) {
                BOOST_TEST((failure->kind == http_failure_kind::closed));
                BOOST_TEST((failure->send_state == send_state::may_have_been_sent));
            }
        }
        BOOST_TEST(taken == 0, head << " taken: " << taken);
    }
}

BOOST_FIXTURE_TEST_CASE(a_cut_body_with_a_length_or_chunks_under_an_upload_is_no_response,
                        upload_fixture) {
    for (auto const* const answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        for (auto const& result : this->upload_to_early_servers(answer)) {
            BOOST_TEST(!base::succeeded(result));
        }
    }
}

// They are complete by what they state themselves.
BOOST_FIXTURE_TEST_CASE(an_early_response_with_a_length_or_a_last_chunk_is_complete,
                        upload_fixture) {
    for (auto const* const answer :
         {"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
        auto const server = early_server{answer, early_end::shuts_down, 0ms};
        auto const result = this->upload_to(server.address());
        BOOST_REQUIRE(base::succeeded(result));
        BOOST_TEST(base::value_of(result).status == 413);
        BOOST_TEST(base::value_of(result).body == "whole");
    }
}

// A server that has read the whole request may end the body with the connection at once.
BOOST_FIXTURE_TEST_CASE(a_body_without_length_after_a_whole_upload_is_complete, upload_fixture) {
    namespace asio = boost::asio;
    auto context = asio::io_context{};
    auto acceptor = asio::ip::tcp::acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    auto const address = base::endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    constexpr auto rounds = 20;
    auto serving = std::thread{[&] {
        for (auto count = 0; count < rounds; ++count) {
            auto connection = acceptor.accept();
            auto received = std::string{};
            auto error = boost::system::error_code{};
            auto const head =
                asio::read_until(connection, asio::dynamic_buffer(received), "\r\n\r\n", error);
            asio::read(connection, asio::dynamic_buffer(received),
                       asio::transfer_exactly(head + upload_bytes - received.size()), error);
            asio::write(connection, asio::buffer(head_begin + "\r\nwhole"), error);
        }
    }};
    for (auto count = 0; count < rounds; ++count) {
        auto const result = this->upload_to(address);
        BOOST_TEST_REQUIRE(base::succeeded(result));
        BOOST_TEST(base::value_of(result).body == "whole");
    }
    serving.join();
}

// ---- Heads that no sound server sends ----

struct broken_head_fixture : cut_fixture {
    // Checks that these bytes are no response, neither to a first request nor to a later one on the
    // same connection.
    auto expect_malformed(std::string const& bytes) -> void {
        for (auto const kept : {false, true}) {
            auto const server = raw_server{
                {.parts = {bytes}, .closes = true, .first = kept ? final_answer : std::string{}}};
            auto const fetched = this->fetch_from(server, kept);
            BOOST_TEST_REQUIRE(!base::succeeded(fetched), bytes);
            BOOST_TEST((base::failure_of(fetched)->kind == http_failure_kind::malformed), bytes);
            BOOST_TEST((base::failure_of(fetched)->send_state == send_state::may_have_been_sent));
        }
    }

    // Checks the same of a head with this field line: of a final response with a length, in chunks
    // or without either, of an interim one, and of the trailers.
    auto expect_malformed_line(std::string const& line) -> void {
        auto const chunks = std::string{"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"};
        for (auto const& bytes : {
                 joined({head_begin, line, "\r\nContent-Length: 5\r\n\r\nwhole"}),
                 joined({head_begin, "Content-Length: 5\r\n", line, "\r\n\r\nwhole"}),
                 joined({head_begin, line, "\r\n", chunks, "\r\n"}),
                 joined({head_begin, line, "\r\n\r\nwhole"}),
                 joined({"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n", line, "\r\n\r\n",
                         final_answer}),
                 joined({head_begin, chunks, "X-Sum: 8\r\n", line, "\r\n\r\n"}),
             }) {
            this->expect_malformed(bytes);
        }
    }
};

// RFC 9110, 15: a status is an integer from 100 to 599.
BOOST_FIXTURE_TEST_CASE(a_status_outside_of_100_to_599_is_malformed, broken_head_fixture) {
    for (auto const* const status : {"000", "001", "099", "600", "999"}) {
        this->expect_malformed(
            joined({"HTTP/1.1 ", status, " OK\r\nContent-Length: 5\r\n\r\nwhole"}));
        this->expect_malformed(joined({"HTTP/1.1 ", status, " \r\n\r\n"}));
        this->expect_malformed(joined({"HTTP/1.0 ", status, " OK\r\n\r\nwhole"}));
        this->expect_malformed(
            joined({hints, "HTTP/1.1 ", status,
                    " OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}));
    }
}

BOOST_FIXTURE_TEST_CASE(a_status_outside_of_100_to_599_is_no_next_response, fixture) {
    auto const server =
        raw_server{{.parts = {final_answer + "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole"}}};
    in_fiber(this->pool, [&] {
        auto opened = open_stream(server.address(), {}, connection_use::pooled, soon());
        BOOST_REQUIRE(base::succeeded(opened));
        auto stream = base::take_value(std::move(opened));
        auto const next = stream.read_next_response(soon());
        BOOST_REQUIRE(!base::succeeded(next));
        BOOST_TEST((base::failure_of(next)->kind == http_failure_kind::malformed));
    });
}

BOOST_FIXTURE_TEST_CASE(a_status_that_has_no_name_is_passed_on, cut_fixture) {
    for (auto const status : {200, 299, 399, 499, 599}) {
        auto const server =
            raw_server{{.parts = {joined({"HTTP/1.1 ", std::to_string(status),
                                          " \r\nContent-Length: 5\r\n\r\nwhole"})}}};
        auto const fetched = this->fetch_from(server, false);
        BOOST_REQUIRE(base::succeeded(fetched));
        BOOST_TEST(base::value_of(fetched).status == status);
        BOOST_TEST(base::value_of(fetched).body == "whole");
    }
}

BOOST_FIXTURE_TEST_CASE(a_field_name_with_a_blank_or_a_control_byte_is_malformed,
                        broken_head_fixture) {
    for (auto const& name : {std::string{"X A"}, std::string{"X\tA"}, std::string{"X\x01"},
                             std::string{"X\x7f"}, std::string{"X\x80"}, std::string("X\0A", 3),
                             std::string{"X-A "}, std::string{"X-A\t"}, std::string{}}) {
        this->expect_malformed_line(name + ": 1");
    }
}

BOOST_FIXTURE_TEST_CASE(a_control_byte_in_a_field_value_is_malformed, broken_head_fixture) {
    for (auto const& value : {std::string{"a\x01"}, std::string{"a\x7f"}, std::string("a\0b", 3),
                              std::string{"a\rb"}}) {
        this->expect_malformed_line("X-A: " + value);
    }
}

BOOST_FIXTURE_TEST_CASE(a_first_field_line_that_begins_with_a_blank_is_malformed,
                        broken_head_fixture) {
    for (auto const* const line : {" X-A: 1", "\tX-A: 1", " ", "\t"}) {
        this->expect_malformed(
            joined({"HTTP/1.1 200 OK\r\n", line, "\r\nContent-Length: 5\r\n\r\nwhole"}));
        this->expect_malformed(
            joined({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
                    line, "\r\n\r\n"}));
    }
}

// RFC 9112, 5.2. Servers that mean another field by the line were understood as lengthening a
// value.
BOOST_FIXTURE_TEST_CASE(a_folded_field_line_is_malformed, broken_head_fixture) {
    for (auto const* const line :
         {" more", "\tTransfer-Encoding: chunked", " Content-Length: 5", " ", "\t"}) {
        this->expect_malformed_line(line);
    }
}

// The line end and the blank behind it may arrive apart.
BOOST_FIXTURE_TEST_CASE(a_folded_field_line_that_arrives_in_parts_is_malformed,
                        broken_head_fixture) {
    auto const folded_head =
        std::string{"HTTP/1.1 200 OK\r\nX-A: 1\r\n\tb\r\nContent-Length: 5\r\n\r\nwhole"};
    auto const folded_trailers = std::string{
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
        "0\r\nX-A: 1\r\n b\r\n\r\n"};
    for (auto const& bytes : {folded_head, folded_trailers}) {
        for (auto size = std::size_t{1}; size < bytes.size(); ++size) {
            auto const server =
                raw_server{{.parts = {bytes.substr(0, size), bytes.substr(size)}, .pause = 2ms}};
            auto const fetched = this->fetch_from(server, false);
            BOOST_TEST_REQUIRE(!base::succeeded(fetched), size << bytes);
            BOOST_TEST((base::failure_of(fetched)->kind == http_failure_kind::malformed));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(lines_of_a_body_may_begin_with_blanks, cut_fixture) {
    auto const body = std::string{"\r\n one\r\n\ttwo"};
    for (auto const& bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + body,
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n" + body +
                                  "\r\n0\r\nX-Sum: 12\r\n\r\n"}) {
        for (auto size = std::size_t{1}; size <= bytes.size(); ++size) {
            auto const server =
                raw_server{{.parts = {bytes.substr(0, size), bytes.substr(size)}, .pause = 2ms}};
            auto const fetched = this->fetch_from(server, false);
            BOOST_TEST_REQUIRE(base::succeeded(fetched), size << bytes);
            BOOST_TEST(base::value_of(fetched).body == body);
        }
    }
}

// ---- What clients receive of responses without a body, of old clients, and of aborted ones ----

// The bytes that a client received, and whether the connection was closed regularly.
struct received_bytes {
    std::string bytes;
    bool regular_end = false;
};

struct byte_client : fixture {
    // Sends `request` and returns all that is received until the connection ends.
    static auto exchange(http_server const& server, std::string const& request) -> received_bytes {
        namespace asio = boost::asio;
        auto context = asio::io_context{};
        auto connection = asio::ip::tcp::socket{context};
        connection.connect({asio::ip::make_address("127.0.0.1"), server.address().port});
        auto received = received_bytes{};
        auto error = boost::system::error_code{};
        asio::write(connection, asio::buffer(request), error);
        asio::read(connection, asio::dynamic_buffer(received.bytes), error);
        received.regular_end = error == asio::error::eof;
        return received;
    }
    static auto body_of(received_bytes const& received) -> std::string {
        auto const end = received.bytes.find("\r\n\r\n");
        BOOST_REQUIRE(end != std::string::npos);
        return received.bytes.substr(end + 4);
    }
};

auto const last_request = std::string{"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"};

// Guards against bytes that the client takes for the begin of the next response.
BOOST_FIXTURE_TEST_CASE(nothing_follows_the_head_of_a_response_without_body, byte_client) {
    auto status = std::atomic<int>{200};
    auto streams = std::atomic<bool>{false};
    auto server = http_server(
        this->pool, loopback, {}, [&](http_request const& request, http_responder& responder) {
            if (request.target == "/last" || !streams) {
                responder.send({request.target == "/last" ? 299 : status.load(), {}, "body"});
                return;
            }
            responder.start(status, {});
            responder.write("part");
            responder.finish();
        });
    for (auto const streamed : {false, true}) {
        streams = streamed;
        for (auto const& [method, wanted] : std::vector<std::pair<std::string, int>>{
                 {"HEAD", 200}, {"HEAD", 502}, {"GET", 204}, {"POST", 304}, {"HEAD", 204}}) {
            status = wanted;
            auto const length = method == "POST" ? "Content-Length: 0\r\n" : "";
            auto const received = exchange(server, joined({method, " / HTTP/1.1\r\nHost: a\r\n",
                                                           length, "\r\n", last_request}));
            BOOST_TEST(body_of(received).starts_with("HTTP/1.1 299 "), received.bytes);
        }
    }
}

// They know no chunks, and would take the lines of the chunks for a part of the body.
BOOST_FIXTURE_TEST_CASE(a_streamed_response_to_an_old_client_ends_with_its_connection,
                        byte_client) {
    auto server =
        http_server(this->pool, loopback, {}, [](http_request const&, http_responder& responder) {
            responder.start(200, {});
            responder.write("one ");
            responder.write("two");
            responder.finish();
        });
    for (auto const* const more : {"", "Connection: keep-alive\r\n"}) {
        auto const received = exchange(server, std::string{"GET / HTTP/1.0\r\n"} + more + "\r\n");
        BOOST_TEST(body_of(received) == "one two");
        BOOST_TEST(received.bytes.find("chunked") == std::string::npos);
        BOOST_TEST(received.regular_end);
    }
}

// A regular end of the connection would be the end of the body.
BOOST_FIXTURE_TEST_CASE(an_aborted_response_to_an_old_client_is_reset, byte_client) {
    for (auto const aborts : {true, false}) {
        auto server = http_server(this->pool, loopback, {},
                                  [&](http_request const&, http_responder& responder) {
                                      responder.start(200, {});
                                      responder.write("half");
                                      // Otherwise the handler returns without having finished.
                                      if (aborts) {
                                          responder.abort();
                                      }
                                  });
        BOOST_TEST(!exchange(server, "GET / HTTP/1.0\r\n\r\n").regular_end);
    }
}

// Also if the client has sent bytes that are never read: what is lost then is the end, never a part
// in the middle, and the last chunk never arrives.
BOOST_FIXTURE_TEST_CASE(an_aborted_response_is_a_beginning_without_the_last_chunk, byte_client) {
    auto const letters = std::string{"abcdefghijklmnopqrst"};
    auto server =
        http_server(this->pool, loopback, {}, [&](http_request const&, http_responder& responder) {
            responder.start(200, {});
            for (auto const letter : letters) {
                responder.write(std::string(10'000, letter));
            }
            responder.abort();
        });
    auto whole = std::string{};
    for (auto const letter : letters) {
        whole += "2710\r\n" + std::string(10'000, letter) + "\r\n";
    }
    for (auto const& more : {std::string{}, last_request, std::string(100'000, 'z')}) {
        auto const received = exchange(server, "GET / HTTP/1.1\r\nHost: a\r\n\r\n" + more);
        auto const end = received.bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
            BOOST_TEST(whole.starts_with(received.bytes.substr(end + 4)));
        }
    }
}

// Guards against a body that is served as a request of its own.
BOOST_FIXTURE_TEST_CASE(a_request_in_an_unknown_transfer_coding_is_refused_with_its_connection,
                        byte_client) {
    auto served = std::atomic<int>{0};
    auto server =
        http_server(this->pool, loopback, {}, [&](http_request const&, http_responder& responder) {
            ++served;
            responder.send({});
        });
    for (auto const* const coding : {"chu", "gzip", "chunked, gzip", "gzip, chunked", "identity"}) {
        auto const received =
            exchange(server, std::string{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "} +
                                 coding + "\r\n\r\n" + last_request);
        BOOST_TEST(received.bytes.starts_with("HTTP/1.1 400 "), coding);
    }
    BOOST_TEST(served == 0);
}

// ---- Connections that are closed between two requests ----

// A server, and a connection to its first worker that has carried a request.
struct kept_connection : fixture {
    std::atomic<int> served = 0;
    http_server server{this->pool, loopback, {}, [this](http_request const&, auto& responder) {
                           ++this->served;
                           responder.send({});
                       }};
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket connection{this->context};

    kept_connection() {
        this->connection.connect(
            {boost::asio::ip::make_address("127.0.0.1"), this->server.address().port});
        this->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        auto received = std::string{};
        boost::asio::read_until(this->connection, boost::asio::dynamic_buffer(received),
                                "\r\n\r\n");
    }

    auto send(std::string const& bytes) -> void {
        boost::asio::write(this->connection, boost::asio::buffer(bytes));
    }
    // Returns what is received until the connection ends.
    auto receive_all() -> std::string {
        auto received = std::string{};
        auto error = boost::system::error_code{};
        boost::asio::read(this->connection, boost::asio::dynamic_buffer(received), error);
        return received;
    }
};

BOOST_FIXTURE_TEST_CASE(a_connection_without_a_request_is_closed, kept_connection) {
    this->server.close_idle();
    BOOST_TEST(this->receive_all().empty());
}

// The connection was closed while the body was on its way.
BOOST_FIXTURE_TEST_CASE(a_connection_whose_request_has_begun_to_arrive_is_not_closed_as_idle,
                        kept_connection) {
    this->server.close_after_responses();
    this->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo");
    while (this->server.requests_arriving() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    this->server.close_idle();
    // The worker closes idle connections before it runs this.
    auto closed = std::promise<void>{};
    this->pool.spawn_on(worker_index{0}, [&] { closed.set_value(); });
    closed.get_future().wait();
    this->send("dy");
    BOOST_TEST(this->receive_all().starts_with("HTTP/1.1 200 "));
    BOOST_TEST(this->server.requests_arriving() == 0U);
}

// The connection was closed with the request unread, or read and without an answer.
BOOST_FIXTURE_TEST_CASE(a_connection_with_an_unread_request_is_not_closed_as_idle,
                        kept_connection) {
    this->server.close_after_responses();
    auto blocked = std::promise<void>{};
    auto sent = std::promise<void>{};
    // Keeps the server's worker from reading.
    this->pool.spawn_on(worker_index{0}, [&] {
        blocked.set_value();
        sent.get_future().wait();
        this->server.close_idle();
    });
    blocked.get_future().wait();
    this->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(50ms);
    sent.set_value();
    BOOST_TEST(this->receive_all().starts_with("HTTP/1.1 200 "));
    BOOST_TEST(this->served == 2);
}

}  // namespace
}  // namespace linnetlane::runtime

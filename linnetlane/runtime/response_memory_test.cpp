#include "linnetlane/runtime/response_memory.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::runtime {
namespace {

using namespace std::chrono_literals;

auto const one = base::endpoint{"10.0.0.1", 1};
auto const two = base::endpoint{"10.0.0.2", 1};

auto bytes(std::int64_t count) -> base::byte_count {
    return base::byte_count{count};
}

// A response, and whether it was told to give way.
struct response {
    response(response_memory& memory, response_direction direction, base::endpoint const& from = {})
        : share{memory, {direction, from}, [this] { this->told = true; }} {}

    bool told = false;
    response_memory::share share;
};

struct memory_fixture {
    response_memory memory{bytes(100)};

    auto receive(base::endpoint const& from) -> response {
        return response{this->memory, response_direction::received, from};
    }
    auto send() -> response { return response{this->memory, response_direction::sent}; }
};

BOOST_FIXTURE_TEST_CASE(responses_within_the_limit_all_go_on, memory_fixture) {
    auto first = this->receive(one);
    auto second = this->receive(two);
    auto third = this->send();
    BOOST_TEST(first.share.resize(bytes(40)));
    BOOST_TEST(second.share.resize(bytes(30)));
    BOOST_TEST(third.share.resize(bytes(30)));
    BOOST_TEST(this->memory.in_use() == bytes(100));
    BOOST_TEST((!first.told && !second.told && !third.told));
}

// Also if another one exceeds the limit, and if the larger one belongs to another server.
BOOST_FIXTURE_TEST_CASE(the_largest_response_of_the_server_that_holds_most_gives_way,
                        memory_fixture) {
    auto small = this->receive(one);
    auto large = this->receive(one);
    auto largest = this->receive(two);
    BOOST_TEST(small.share.resize(bytes(20)));
    BOOST_TEST(large.share.resize(bytes(35)));
    BOOST_TEST(largest.share.resize(bytes(40)));
    BOOST_TEST(small.share.resize(bytes(30)));
    BOOST_TEST((large.told && !small.told && !largest.told));
    BOOST_TEST(!large.share.resize(bytes(1)));
    BOOST_TEST(this->memory.in_use() == bytes(70));
}

BOOST_FIXTURE_TEST_CASE(a_response_that_is_the_largest_itself_gives_way, memory_fixture) {
    auto other = this->receive(one);
    BOOST_TEST(other.share.resize(bytes(40)));
    auto growing = this->receive(two);
    BOOST_TEST(!growing.share.resize(bytes(61)));
    BOOST_TEST((growing.told && !other.told));
}

BOOST_FIXTURE_TEST_CASE(memory_is_free_after_a_response_has_ended, memory_fixture) {
    {
        auto ended = this->receive(one);
        BOOST_TEST(ended.share.resize(bytes(100)));
    }
    auto next = this->receive(one);
    BOOST_TEST(next.share.resize(bytes(100)));
    BOOST_TEST(next.share.resize(bytes(0)));
    BOOST_TEST(this->memory.in_use() == bytes(0));
}

// Callers that read slowly hold most; the answers that are received aren't the cause.
BOOST_FIXTURE_TEST_CASE(the_oldest_response_that_is_sent_gives_way_if_callers_hold_most,
                        memory_fixture) {
    auto empty = this->send();
    auto oldest = this->send();
    auto newest = this->send();
    auto incoming = this->receive(one);
    BOOST_TEST(oldest.share.resize(bytes(25)));
    BOOST_TEST(newest.share.resize(bytes(35)));
    BOOST_TEST(incoming.share.resize(bytes(45)));
    BOOST_TEST((oldest.told && !empty.told && !newest.told && !incoming.told));
}

// However many servers it is that answer without end.
BOOST_FIXTURE_TEST_CASE(a_response_that_is_sent_goes_on_if_those_received_hold_most,
                        memory_fixture) {
    auto sent = this->send();
    BOOST_TEST(sent.share.resize(bytes(45)));
    auto received = std::vector<std::unique_ptr<response>>{};
    auto gave_way = std::size_t{0};
    for (auto port = std::uint16_t{1}; port <= 10; ++port) {
        received.push_back(std::make_unique<response>(this->memory, response_direction::received,
                                                      base::endpoint{"10.0.0.1", port}));
        received.back()->share.resize(bytes(10));
    }
    for (auto const& each : received) {
        gave_way += each->told ? 1 : 0;
    }
    BOOST_TEST(!sent.told);
    BOOST_TEST(gave_way == 5U);
}

BOOST_FIXTURE_TEST_CASE(each_response_that_gives_way_is_reported, memory_fixture) {
    auto reported = std::vector<std::pair<response_group, base::byte_count>>{};
    this->memory.on_give_way(
        [&](auto const& group, auto held) { reported.emplace_back(group, held); });
    auto growing = this->receive(two);
    growing.share.resize(bytes(101));
    growing.share.resize(bytes(200));
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST((reported.front().first == response_group{response_direction::received, two}));
    BOOST_TEST(reported.front().second == bytes(101));
}

// ---- The client and the server ----

constexpr auto process_limit = std::int64_t{20'000'000};

auto soon() -> base::time_point {
    return base::monotonic_clock::now() + 60s;
}

// The pool, in which many servers answer and many requests are sent at once.
struct process_fixture {
    worker_pool pool{worker_count{2}};
    // Grows while responses are received.
    std::atomic<std::int64_t> most = 0;

    process_fixture() { process_response_memory().set_limit(bytes(process_limit)); }
    ~process_fixture() {
        this->pool.stop();
        this->pool.join();
        process_response_memory().on_give_way({});
    }
    process_fixture(process_fixture const&) = delete;
    auto operator=(process_fixture const&) -> process_fixture& = delete;
    process_fixture(process_fixture&&) = delete;
    auto operator=(process_fixture&&) -> process_fixture& = delete;

    // Runs `body` in so many fibers at once and waits for all.
    auto run(std::size_t count, std::function<void(std::size_t)> const& body) -> void {
        auto ended = std::vector<std::promise<void>>(count);
        for (auto index = std::size_t{0}; index < count; ++index) {
            this->pool.spawn([&, index] {
                body(index);
                ended[index].set_value();
            });
        }
        for (auto& each : ended) {
            each.get_future().wait();
        }
    }
};

// As the calls of the store and of other hosts are made, which keep up to 16 MiB of each response.
BOOST_FIXTURE_TEST_CASE(fetched_responses_without_end_leave_memory_to_sound_ones, process_fixture) {
    auto const part = std::string(64UL * 1024, 'x');
    auto const endless = http_server(this->pool, {"127.0.0.1", 0}, {},
                                     [&](http_request const&, http_responder& responder) {
                                         responder.start(200, {});
                                         while (responder.write(part)) {
                                         }
                                     });
    auto const sound = http_server(this->pool, {"127.0.0.1", 0}, {},
                                   [&](http_request const&, http_responder& responder) {
                                       responder.send({200, {}, part});
                                   });
    auto failed = std::atomic<int>{0};
    auto out_of_memory = std::atomic<int>{0};
    auto answered = std::atomic<int>{0};
    this->run(200, [&](std::size_t index) {
        if (index % 4 == 0) {
            auto const fetched = fetch(sound.address(), {}, connection_use::pooled, soon());
            answered += base::succeeded(fetched) ? 1 : 0;
            return;
        }
        auto const fetched = fetch(endless.address(), {}, connection_use::pooled, soon());
        auto const* const failure = base::failure_of(fetched);
        failed += failure != nullptr ? 1 : 0;
        out_of_memory +=
            failure != nullptr && failure->kind == http_failure_kind::no_memory ? 1 : 0;
        auto const used = process_response_memory().in_use().value;
        this->most = std::max(this->most.load(), used);
    });
    BOOST_TEST(answered == 50);
    BOOST_TEST(failed == 150);
    BOOST_TEST(out_of_memory > 0);
    BOOST_TEST(this->most <= process_limit);
    BOOST_TEST(process_response_memory().in_use().value == 0);
}

// Each response was kept until its caller had taken it.
BOOST_FIXTURE_TEST_CASE(callers_that_read_nothing_leave_memory_to_others, process_fixture) {
    constexpr auto large = std::size_t{6'000'000};
    auto const server = http_server(
        this->pool, {"127.0.0.1", 0}, {},
        [](http_request const& request, http_responder& responder) {
            responder.send(
                {200, {}, std::string(request.target == "/large" ? large : 20'000, 'x')});
        });
    namespace asio = boost::asio;
    auto context = asio::io_context{};
    auto slow = std::vector<asio::ip::tcp::socket>{};
    for (auto count = 0; count < 20; ++count) {
        slow.emplace_back(context);
        slow.back().open(asio::ip::tcp::v4());
        slow.back().set_option(asio::socket_base::receive_buffer_size{16 * 1024});
        slow.back().connect({asio::ip::make_address("127.0.0.1"), server.address().port});
        asio::write(slow.back(),
                    asio::buffer(std::string{"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"}));
    }
    auto answered = std::atomic<int>{0};
    this->run(50, [&](std::size_t) {
        auto const fetched =
            fetch(server.address(), {"GET", "/small", {}, {}}, connection_use::pooled, soon());
        answered += base::succeeded(fetched) ? 1 : 0;
        auto const used = process_response_memory().in_use().value;
        this->most = std::max(this->most.load(), used);
    });
    BOOST_TEST(answered == 50);
    BOOST_TEST(this->most <= process_limit);
    slow.clear();
    this->run(1, [](std::size_t) {
        while (process_response_memory().in_use().value > 0) {
            sleep_until(base::monotonic_clock::now() + 1ms);
        }
    });
}

BOOST_FIXTURE_TEST_CASE(a_kept_response_is_taken_unless_it_gave_way, process_fixture) {
    this->run(1, [](std::size_t) {
        auto kept = kept_response{one, {500, {}, std::string(7'000'000, 'x')}};
        auto larger = kept_response{two, {500, {}, std::string(8'000'000, 'x')}};
        auto third = kept_response{one, {500, {}, std::string(6'000'000, 'x')}};
        // Those of the first server hold most, and the handler drops the largest of them.
        sleep_until(base::monotonic_clock::now() + 10ms);
        BOOST_TEST(!kept.take().has_value());
        auto const taken = larger.take();
        BOOST_REQUIRE(taken.has_value());
        BOOST_TEST(taken->status == 500);
        BOOST_TEST(taken->body.size() == 8'000'000U);
        BOOST_TEST(third.take().has_value());
    });
    BOOST_TEST(process_response_memory().in_use().value == 0);
}

}  // namespace
}  // namespace linnetlane::runtime

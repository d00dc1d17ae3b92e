// Tests that the hosts of a fleet together keep the request rate that an upstream takes from all of
// them, however many hosts there are and however their requests are spread.

#include <chrono>
#include <cstddef>
#include <deque>
#include <random>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/upstream_rate_limits.h"

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;
auto const limited = base::upstream_id{"u"};

// The bound that upstreams state: in any four seconds at most one and a half times what the limit
// allows, and five requests.
constexpr auto window = 4s;
auto allowed(double per_second) -> double {
    return 1.5 * per_second * base::to_seconds(window) + 5;
}

// Hosts that send whenever they may, out of the requests that they get.
struct fleet {
    std::vector<upstream_rate_limits> hosts;
    std::mt19937 random;

    fleet(std::size_t count, std::uint32_t seed, double per_second) : hosts(count), random{seed} {
        for (auto& host : this->hosts) {
            host.set_hosts(count, start);
            host.set(limited, per_second, start, start, this->draw());
        }
    }

    auto draw() -> double { return std::uniform_real_distribution<double>{0, 1}(this->random); }

    // Plays `seconds` with `demand` requests a second, which begin after `idle`. Returns the most
    // requests in a window, and the rate of all.
    auto play(double demand, base::duration idle, double seconds, double per_second)
        -> std::pair<std::size_t, double> {
        auto sent = std::deque<base::time_point>{};
        auto most = std::size_t{0};
        auto total = std::size_t{0};
        auto now = start + idle;
        auto const end = now + base::from_seconds(seconds);
        while (now < end) {
            now += base::from_seconds(std::exponential_distribution<double>{demand}(this->random));
            auto& host = this->hosts[this->random() % this->hosts.size()];
            host.set(limited, per_second, now, now, 0);
            if (host.time_left(limited, now) > base::duration::zero()) {
                continue;
            }
            host.note_sent(limited, now);
            ++total;
            sent.push_back(now);
            while (sent.front() + window <= now) {
                sent.pop_front();
            }
            most = std::max(most, sent.size());
        }
        return {most, static_cast<double>(total) / seconds};
    }
};

BOOST_AUTO_TEST_CASE(a_small_fleet_keeps_the_limit_and_uses_most_of_it) {
    for (auto const per_second : {2.7, 5.9, 10.7}) {
        auto all = fleet{7, 1, per_second};
        auto const [most, rate] = all.play(70, 0s, 60, per_second);
        BOOST_TEST(static_cast<double>(most) <= allowed(per_second));
        BOOST_TEST(rate >= 0.5 * per_second);
    }
}

BOOST_AUTO_TEST_CASE(hundreds_of_hosts_keep_a_limit_of_a_few_requests) {
    for (auto seed = std::uint32_t{1}; seed <= 20; ++seed) {
        auto all = fleet{300, seed, 2.7};
        auto const [most, rate] = all.play(420, 0s, 30, 2.7);
        BOOST_TEST(static_cast<double>(most) <= allowed(2.7));
        BOOST_TEST(rate >= 0.3 * 2.7);
    }
}

BOOST_AUTO_TEST_CASE(hosts_that_were_idle_do_not_send_their_saved_shares_at_once) {
    for (auto seed = std::uint32_t{1}; seed <= 20; ++seed) {
        auto all = fleet{300, seed, 5};
        BOOST_TEST(static_cast<double>(all.play(4000, 9s, 4, 5).first) <= allowed(5));
    }
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_lets_nothing_through_until_it_is_lifted) {
    auto one = upstream_rate_limits{};
    one.set(limited, 0, start, start, 0.5);
    BOOST_TEST((one.time_left(limited, start + 5s) > 1s));
    BOOST_TEST(one.is_limited(limited, start + 5s));
    one.lift(limited);
    BOOST_TEST((one.time_left(limited, start + 5s) == base::duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_limit_that_is_not_named_again_ends) {
    auto one = upstream_rate_limits{};
    one.set(limited, 0.1, start, start, 0.99);
    BOOST_TEST((one.time_left(limited, start) > 5s));
    BOOST_TEST((one.time_left(limited, start + 10s) == base::duration::zero()));
    BOOST_TEST(!one.is_limited(limited, start + 10s));
}

BOOST_AUTO_TEST_CASE(a_higher_limit_or_fewer_hosts_shorten_the_wait) {
    auto one = upstream_rate_limits{};
    one.set_hosts(100, start);
    one.set(limited, 1, start, start, 0.5);
    auto const before = one.time_left(limited, start);
    one.set(limited, 10, start, start, 0);
    BOOST_TEST(base::to_seconds(one.time_left(limited, start)) < base::to_seconds(before) / 9);
    one.set_hosts(10, start);
    BOOST_TEST(base::to_seconds(one.time_left(limited, start)) < base::to_seconds(before) / 90);
}

BOOST_AUTO_TEST_CASE(any_fleet_keeps_any_limit) {
    BOOST_TEST(rc::check([] {
        auto const hosts = *rc::gen::inRange<std::size_t>(1, 120);
        auto const per_second = *rc::gen::inRange(5, 400) / 10.0;
        auto const demand = *rc::gen::inRange(1, 600);
        auto all = fleet{hosts, *rc::gen::arbitrary<std::uint32_t>(), per_second};
        auto const idle = std::chrono::milliseconds{*rc::gen::inRange(0, 8000)};
        RC_ASSERT(static_cast<double>(all.play(demand, idle, 8, per_second).first) <=
                  allowed(per_second));
    }));
}

}  // namespace
}  // namespace linnetlane::routing

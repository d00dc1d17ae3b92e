// Guards against the hosts of a fleet together sending an upstream more requests than the limit
// that it named for all of them, while hosts join, leave and are cut off. Whole hosts' views,
// without network: the number of hosts and the limit reach them late, or not at all while they are
// cut off.

#include "linnetlane/router/routing_view.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

using namespace std::chrono_literals;

auto const limited = base::upstream_id{"u"};
auto const service = base::service_id{"app"};

// The bound that upstreams state: from this time after an upstream first named its limit, it gets
// in any four seconds at most one and a half times what the limit allows, and five requests.
constexpr auto contact_time = 3s;
constexpr auto window = 4s;
auto allowed(double per_second) -> double {
    return 1.5 * per_second * base::to_seconds(window) + 5;
}
// The part of the limit that a fleet without changes uses at least.
constexpr auto least_share = 0.5;
// Until all hosts know a lower number of hosts: the window of the budgets, and an interval in which
// hosts ask for it.
constexpr auto settling_time = 14s;

class fleet {
public:
    fleet(std::size_t count, std::uint32_t seed, double limit, bool first_start)
        : per_second{limit}, random{seed} {
        while (this->members.size() < count) {
            this->join(first_start);
        }
    }

    // A restarted host assumes many hosts for some time. One of a fleet that starts for the first
    // time knows their number before its services, as a host that follows another one does.
    auto join(bool first_start) -> void {
        auto settings = router_settings{};
        settings.first_start = first_start;
        auto record = routing::upstream_record{};
        record.id = limited;
        record.service = service;
        auto added = member{};
        added.number = this->joined++;
        added.view = std::make_unique<routing_view>(settings, this->random());
        added.view->upstreams.put(record);
        // The view takes the time of its start from the clock, which doesn't move with the model.
        added.next_count =
            first_start ? this->now : this->now + base::duration{routing_view::assumption_time};
        added.next_exchange = this->now + 100ms;
        this->members.push_back(std::move(added));
        if (first_start) {
            this->tell_count(this->members.back());
            static_cast<void>(this->members.back().view->service(service));
        }
    }

    auto leave() -> void {
        if (this->members.size() > 1) {
            this->members.erase(this->members.begin() +
                                static_cast<std::ptrdiff_t>(this->pick(this->members.size())));
        }
    }

    // Cuts `count` hosts off from the registry and the other hosts, though not from the upstream
    // and the callers, and connects all others.
    auto cut_off(std::size_t count) -> void {
        std::ranges::shuffle(this->members, this->random);
        for (auto index = std::size_t{0}; index < this->members.size(); ++index) {
            this->members[index].cut_off = index < count;
        }
    }

    // Lets callers send each host ten requests a second for `span`.
    auto play(base::duration span) -> void {
        constexpr auto step = 5ms;
        constexpr auto requests_per_step = 0.05;
        for (auto const until = this->now + span; this->now < until; this->now += step) {
            this->deliver_answers();
            for (auto& each : this->members) {
                if (!each.cut_off) {
                    this->hear_others(each);
                }
                if (this->draw() < requests_per_step) {
                    this->request(each);
                }
            }
        }
    }

    // Returns the most requests in any window since the upstream first named its limit.
    [[nodiscard]] auto most_in_window() const -> double {
        auto const first = std::ranges::lower_bound(this->sent, this->begin + contact_time);
        auto most = std::ptrdiff_t{0};
        for (auto at = first; at != this->sent.end(); ++at) {
            auto const end = std::lower_bound(at, this->sent.end(), *at + window);
            most = std::max(most, end - at);
        }
        return static_cast<double>(most);
    }

    // Plays a fleet that doesn't change, and returns the part of the limit that it uses.
    auto play_settled() -> double {
        this->play(settling_time);
        auto const before = this->sent.size();
        constexpr auto span = 20s;
        this->play(span);
        return static_cast<double>(this->sent.size() - before) / base::to_seconds(span) /
               this->per_second;
    }

    [[nodiscard]] auto size() const -> std::size_t { return this->members.size(); }

private:
    struct member {
        std::size_t number = 0;
        std::unique_ptr<routing_view> view;
        bool cut_off = false;
        base::time_point next_count;
        base::time_point next_exchange;
    };
    struct pending_answer {
        base::time_point due;
        std::size_t to = 0;
    };

    auto draw() -> double { return std::uniform_real_distribution<double>{0, 1}(this->random); }
    auto pick(std::size_t count) -> std::size_t {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(this->random);
    }

    auto tell_count(member& to) -> void {
        auto const connected = std::ranges::count(this->members, false, &member::cut_off);
        to.view->note_hosts(static_cast<std::size_t>(connected), this->now);
    }

    // Tells a host the number of hosts, and what one other host knows, when they are due.
    auto hear_others(member& each) -> void {
        if (this->now >= each.next_count) {
            this->tell_count(each);
            each.next_count = this->now + base::from_seconds(2 * this->draw());
        }
        auto const& other = this->members[this->pick(this->members.size())];
        if (this->now >= each.next_exchange && !other.cut_off) {
            each.view->learn(other.view->facts.changed_since({}, this->now), this->now);
            each.next_exchange = this->now + base::from_seconds(this->draw());
        }
    }

    auto request(member& at) -> void {
        auto& limits = at.view->service(service).rate_limits;
        if (limits.time_left(limited, this->now) > base::duration::zero()) {
            return;
        }
        limits.note_sent(limited, this->now);
        this->sent.push_back(this->now);
        this->answers.push_back({this->now + 20ms, at.number});
    }

    // The upstream names its limit in each answer.
    auto deliver_answers() -> void {
        auto const key = routing::fact_key{routing::fact_kind::upstream_limit, limited.value, {}};
        while (!this->answers.empty() && this->answers.front().due <= this->now) {
            auto const to =
                std::ranges::find(this->members, this->answers.front().to, &member::number);
            this->answers.pop_front();
            // A host may have left meanwhile.
            if (to != this->members.end()) {
                to->view->learn({{key, this->per_second, this->now}}, this->now);
            }
        }
    }

    double per_second;
    std::mt19937 random;
    // Later than any time that a view takes from the clock.
    base::time_point begin = base::monotonic_clock::now() + 1h;
    base::time_point now = begin;
    std::vector<member> members;
    // Hosts that ever joined.
    std::size_t joined = 0;
    std::deque<pending_answer> answers;
    std::vector<base::time_point> sent;
};

BOOST_AUTO_TEST_CASE(hosts_share_the_limit_and_use_most_of_it) {
    for (auto const first_start : {true, false}) {
        for (auto const count : {5U, 7U, 12U, 30U}) {
            for (auto const per_second : {2.7, 5.9, 10.7}) {
                auto all = fleet{count, count, per_second, first_start};
                BOOST_TEST(all.play_settled() >= least_share);
                BOOST_TEST(all.most_in_window() <= allowed(per_second));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(hosts_that_join_while_the_limit_holds_take_their_share_of_it) {
    for (auto const first_start : {true, false}) {
        for (auto seed = std::uint32_t{1}; seed <= 5; ++seed) {
            auto all = fleet{5, seed, 10, first_start};
            all.play(4s);
            while (all.size() < 40) {
                all.join(first_start);
                all.play(500ms);
            }
            BOOST_TEST(all.play_settled() >= least_share);
            BOOST_TEST(all.most_in_window() <= allowed(10));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_share_of_hosts_that_leave_while_the_limit_holds_goes_to_the_others) {
    for (auto seed = std::uint32_t{1}; seed <= 5; ++seed) {
        auto all = fleet{30, seed, 10, false};
        all.play(10s);
        while (all.size() > 5) {
            all.leave();
            all.play(300ms);
        }
        BOOST_TEST(all.play_settled() >= least_share);
        BOOST_TEST(all.most_in_window() <= allowed(10));
    }
}

// The others count without them.
BOOST_AUTO_TEST_CASE(hosts_that_are_cut_off_keep_to_the_share_that_they_had) {
    for (auto const cut : {1U, 3U, 6U, 10U}) {
        for (auto seed = std::uint32_t{1}; seed <= 3; ++seed) {
            auto all = fleet{12, seed, 10, false};
            all.play(10s);
            all.cut_off(cut);
            all.play(25s);
            all.cut_off(0);
            BOOST_TEST(all.play_settled() >= least_share);
            BOOST_TEST(all.most_in_window() <= allowed(10));
        }
    }
}

// Known to fail, so that ctest runs it by itself (KNOWN-RED.txt). A limit ends for a host that has
// sent nothing for ten seconds, and for all that are cut off at once.
BOOST_AUTO_TEST_CASE(hosts_that_are_cut_off_do_not_forget_a_small_limit_all_at_once,
                     *boost::unit_test::disabled()) {
    for (auto seed = std::uint32_t{1}; seed <= 5; ++seed) {
        auto all = fleet{40, seed, 1, false};
        all.play(10s);
        all.cut_off(20);
        all.play(25s);
        BOOST_TEST(all.most_in_window() <= allowed(1));
    }
}

// No cut is as long as the limit and the number of hosts hold.
BOOST_AUTO_TEST_CASE(any_fleet_that_changes_keeps_any_limit) {
    BOOST_TEST(rc::check([] {
        auto const count = *rc::gen::inRange<std::size_t>(5, 40);
        auto const per_second = *rc::gen::inRange(10, 300) / 10.0;
        auto all = fleet{count, *rc::gen::arbitrary<std::uint32_t>(), per_second,
                         *rc::gen::arbitrary<bool>()};
        // All hosts know their number.
        all.play(6s);
        for (auto changes = *rc::gen::inRange(1, 12); changes > 0; --changes) {
            switch (*rc::gen::inRange(0, 3)) {
                case 0:
                    all.join(*rc::gen::arbitrary<bool>());
                    break;
                case 1:
                    all.leave();
                    break;
                default:
                    all.cut_off(*rc::gen::inRange<std::size_t>(0, all.size()));
                    all.play(std::chrono::milliseconds{*rc::gen::inRange(50, 8000)});
                    all.cut_off(0);
                    break;
            }
            all.play(std::chrono::milliseconds{*rc::gen::inRange(50, 6000)});
        }
        RC_ASSERT(all.most_in_window() <= allowed(per_second));
    }));
}

}  // namespace
}  // namespace linnetlane::router

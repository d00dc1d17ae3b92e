#include "linnetlane/routing/request_ranking.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

auto after(double seconds) -> base::time_point {
    return start + base::from_seconds(seconds);
}

auto rank_of(int route_priority) -> request_rank {
    return request_rank{0, route_priority};
}

BOOST_AUTO_TEST_CASE(an_accounts_priority_goes_before_the_routes) {
    auto const order = std::vector<request_rank>{{0, 5}, {1, 0}, {1, 2}, {2, 0}};
    BOOST_TEST(std::ranges::is_sorted(order));
}

BOOST_AUTO_TEST_CASE(ranks_are_parsed_as_they_are_formatted) {
    auto const parsed = parse_rank(to_string({3, 7}));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == request_rank{3, 7}));
    for (auto const* const text : {"", "1", "/", "1/", "/1", "1/x", "-1/2", "1/10", "1/2/3"}) {
        BOOST_TEST(!parse_rank(text).has_value(), text);
    }
}

auto configuration_with(int first, int second, std::vector<client_account> accounts = {})
    -> configuration {
    auto made = configuration{};
    for (auto const priority : {first, second}) {
        auto one = route{};
        one.targets = {{base::service_id{"llm"}, 1}};
        one.generates = true;
        one.priority = priority;
        made.routes.push_back(one);
    }
    made.accounts = client_accounts{std::move(accounts)};
    return made;
}

BOOST_AUTO_TEST_CASE(requests_are_ranked_only_if_routes_or_accounts_differ_in_priority) {
    auto const llm = base::service_id{"llm"};
    BOOST_TEST(!ranks_requests(configuration_with(1, 1), llm));
    BOOST_TEST(ranks_requests(configuration_with(0, 2), llm));
    BOOST_TEST(!ranks_requests(configuration_with(0, 2), base::service_id{"other"}));
    auto const account = [](char const* name, int priority) {
        auto made = client_account{};
        made.id.value = name;
        made.priority = priority;
        return made;
    };
    BOOST_TEST(!ranks_requests(configuration_with(1, 1, {account("a", 1), account("b", 1)}), llm));
    BOOST_TEST(ranks_requests(configuration_with(1, 1, {account("a", 0), account("b", 1)}), llm));
}

// A repeat differs from a first try in the time that its caller has left.
BOOST_AUTO_TEST_CASE(a_caller_that_comes_back_ranks_like_one_that_comes_first) {
    auto account = client_account{};
    account.priority = 3;
    auto first = route{};
    first.priority = 2;
    first.timeout = std::chrono::seconds{14};
    first.target_latency = std::chrono::milliseconds{800};
    auto repeat = first;
    repeat.timeout -= std::chrono::seconds{13};
    BOOST_TEST((rank_request(first, &account) == request_rank{3, 2}));
    BOOST_TEST((rank_request(repeat, &account) == request_rank{3, 2}));
    auto scarcity = room_scarcity{};
    scarcity.note(rank_request(first, &account), start);
    BOOST_TEST(!scarcity.outranked_until(rank_request(repeat, &account), start).has_value());
}

BOOST_AUTO_TEST_CASE(scarcity_for_a_rank_holds_back_those_behind_it_for_a_while) {
    auto scarcity = room_scarcity{};
    BOOST_TEST(!scarcity.outranked_until(rank_of(2), start).has_value());
    scarcity.note(rank_of(1), start);
    BOOST_TEST(scarcity.outranked_until(rank_of(2), start).has_value());
    BOOST_TEST(!scarcity.outranked_until(rank_of(1), start).has_value());
    BOOST_TEST(!scarcity.outranked_until(rank_of(0), start).has_value());
    scarcity.note(rank_of(0), after(1));
    BOOST_TEST(
        (scarcity.outranked_until(rank_of(2), after(2)) == after(1) + room_scarcity::lifetime));
    BOOST_TEST(!scarcity.outranked_until(rank_of(2), after(4)).has_value());
}

// How the requests of a load fare, by the priority of their route.
struct served_counts {
    double offered = 0;
    double served = 0;
    [[nodiscard]] auto share() const -> double { return this->served / this->offered; }
};

// Engines with room for a few runs each, hosts that search them, and callers of two priorities.
struct overload {
    static constexpr auto usual_free_per_second = 3.84;
    double urgent_per_second = 31;
    double free_per_second = usual_free_per_second;
    bool ranked = true;
    // The time after which all hosts know what one of them observed.
    double fact_delay = 0.5;

    // Plays twelve seconds of this load after as many of the usual one.
    [[nodiscard]] auto play() const -> std::map<int, served_counts> {
        constexpr auto engines = std::size_t{37};
        constexpr auto room = std::size_t{5};
        constexpr auto run_seconds = 3.3;
        constexpr auto warm_up = 12.0;
        constexpr auto seconds = 24.0;
        auto random = std::minstd_rand{7};
        auto scarcity = room_scarcity{};
        auto told = std::queue<std::pair<double, request_rank>>{};
        auto busy = std::vector<std::size_t>(engines, 0);
        using ending = std::pair<double, std::size_t>;
        auto endings = std::priority_queue<ending, std::vector<ending>, std::greater<>>{};
        auto results = std::map<int, served_counts>{};
        for (auto now = 0.0; now < seconds;) {
            auto const free = now < warm_up ? usual_free_per_second : this->free_per_second;
            auto const total = this->urgent_per_second + free;
            now += std::exponential_distribution<double>{total}(random);
            while (!endings.empty() && endings.top().first <= now) {
                --busy[endings.top().second];
                endings.pop();
            }
            while (!told.empty() && told.front().first + this->fact_delay <= now) {
                scarcity.note(told.front().second, after(told.front().first));
                told.pop();
            }
            auto const urgent =
                std::uniform_real_distribution<double>{0, total}(random) < this->urgent_per_second;
            auto const rank = rank_of(urgent ? 0 : 2);
            auto const outranked =
                this->ranked && scarcity.outranked_until(rank, after(now)).has_value();
            auto const most = outranked ? narrow_search : engines;
            auto const first = random() % engines;
            auto asked = std::size_t{0};
            auto found = false;
            while (asked < most && !found) {
                auto const engine = (first + asked++) % engines;
                found = busy[engine] < room;
                if (found) {
                    ++busy[engine];
                    endings.emplace(now + run_seconds, engine);
                }
            }
            if (!outranked && is_hard_search(asked, engines, found)) {
                told.emplace(now, rank);
            }
            if (now >= warm_up) {
                auto& own = results[rank.route_priority];
                own.offered += 1;
                own.served += found ? 1 : 0;
            }
        }
        return results;
    }
};

// Returns the worth of what was served as a share of what full knowledge could have served in the
// same room: all paid requests, and free ones in what is left.
auto share_of_best_worth(std::map<int, served_counts> results) -> double {
    constexpr auto paid_worth = 4.0;
    constexpr auto room_for = 37 * 5 * 12 / 3.3;
    auto const& paid = results[0];
    auto const& free = results[2];
    auto const best_paid = std::min(paid.offered, room_for);
    auto const best_free = std::min(free.offered, room_for - best_paid);
    return (paid.served * paid_worth + free.served) / (best_paid * paid_worth + best_free);
}

BOOST_AUTO_TEST_CASE(free_work_at_12_times_its_usual_leaves_paid_work_its_room) {
    auto const free = 12 * overload::usual_free_per_second;
    auto const ranked = overload{.free_per_second = free}.play();
    auto const blind = overload{.free_per_second = free, .ranked = false}.play();
    BOOST_TEST_MESSAGE("paid " << ranked.at(0).share() << ", free " << ranked.at(2).share()
                               << ", without ranks " << blind.at(0).share() << " and "
                               << blind.at(2).share());
    BOOST_TEST(share_of_best_worth(ranked) >= 0.9);
    BOOST_TEST(share_of_best_worth(blind) < 0.9);
    // The room that paid work leaves isn't wasted.
    BOOST_TEST(ranked.at(0).served + ranked.at(2).served >=
               0.9 * (blind.at(0).served + blind.at(2).served));
}

BOOST_AUTO_TEST_CASE(free_work_at_three_times_the_room_leaves_paid_work_its_room) {
    auto const ranked = overload{.free_per_second = 3 * 56.0 - 31}.play();
    BOOST_TEST_MESSAGE("paid " << ranked.at(0).share() << ", free " << ranked.at(2).share());
    BOOST_TEST(share_of_best_worth(ranked) >= 0.9);
}

BOOST_AUTO_TEST_CASE(ranks_hold_with_views_two_seconds_old) {
    auto const free = 12 * overload::usual_free_per_second;
    auto const ranked = overload{.free_per_second = free, .fact_delay = 2}.play();
    auto const blind = overload{.free_per_second = free, .ranked = false}.play();
    BOOST_TEST_MESSAGE("paid " << ranked.at(0).share() << ", free " << ranked.at(2).share());
    BOOST_TEST(ranked.at(0).share() > blind.at(0).share());
}

BOOST_AUTO_TEST_CASE(with_room_for_all_the_rank_changes_nothing) {
    auto const ranked = overload{.urgent_per_second = 25, .free_per_second = 12}.play();
    BOOST_TEST(ranked.at(0).share() >= 0.99);
    BOOST_TEST(ranked.at(2).share() >= 0.99);
}

}  // namespace
}  // namespace linnetlane::routing

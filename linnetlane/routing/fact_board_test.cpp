// Tests of the facts that hosts share: the newest observation holds everywhere, and facts neither
// circulate nor pile up.

#include <chrono>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/fact_board.h"

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;

auto limit_of(std::string upstream, double limit, base::time_point at) -> shared_fact {
    return shared_fact{{fact_kind::upstream_limit, std::move(upstream), {}}, limit, at};
}

BOOST_AUTO_TEST_CASE(the_newest_observation_holds_in_whatever_order_facts_arrive) {
    auto board = fact_board{};
    BOOST_TEST((board.note(limit_of("u", 5, start), start) == fact_novelty::changed));
    BOOST_TEST((board.note(limit_of("u", 7, start - 10ms), start) == fact_novelty::known));
    BOOST_TEST((board.note(limit_of("u", 3, start + 10ms), start + 10ms) == fact_novelty::changed));
    auto const facts = board.changed_since({}, start + 10ms);
    BOOST_REQUIRE(facts.size() == 1U);
    BOOST_TEST(facts.front().value == 3.0);
}

BOOST_AUTO_TEST_CASE(a_fact_that_comes_back_slightly_younger_does_not_circulate) {
    auto board = fact_board{};
    static_cast<void>(board.note(limit_of("u", 5, start), start));
    auto const before = board.position();
    BOOST_TEST((board.note(limit_of("u", 5, start + 20ms), start + 20ms) == fact_novelty::known));
    BOOST_TEST((board.position() == before));
    BOOST_TEST((board.note(limit_of("u", 5, start + 1s), start + 1s) == fact_novelty::confirmed));
}

BOOST_AUTO_TEST_CASE(only_later_changes_are_told_again) {
    auto board = fact_board{};
    static_cast<void>(board.note(limit_of("u", 5, start), start));
    auto const told = board.position();
    static_cast<void>(board.note(limit_of("v", 6, start), start));
    auto const facts = board.changed_since(told, start);
    BOOST_REQUIRE(facts.size() == 1U);
    BOOST_TEST(facts.front().key.subject == "v");
}

BOOST_AUTO_TEST_CASE(facts_expire_by_their_age_at_every_host) {
    auto board = fact_board{};
    auto const lifetime = fact_board::lifetime(fact_kind::upstream_limit);
    static_cast<void>(board.note(limit_of("u", 5, start), start));
    BOOST_TEST(board.changed_since({}, start + lifetime).empty());
    BOOST_TEST((board.note(limit_of("v", 5, start), start + lifetime) == fact_novelty::known));
}

BOOST_AUTO_TEST_CASE(a_flood_of_facts_leaves_the_newest_of_its_kind_and_the_other_kinds) {
    auto board = fact_board{};
    static_cast<void>(board.note(limit_of("u", 5, start), start));
    auto const count = static_cast<int>(fact_board::max_facts) * 2;
    for (auto index = 0; index < count; ++index) {
        auto const at = start + index * 1ms;
        static_cast<void>(board.note(
            {{fact_kind::upstream_crash, "part" + std::to_string(index), "crash"}, 0, at}, at));
    }
    auto const facts = board.changed_since({}, start + 1s);
    BOOST_TEST(facts.size() == fact_board::max_facts + 1);
    auto const longer = std::string(fact_board::max_text_bytes + 1, 'x');
    BOOST_TEST((board.note(limit_of(longer, 5, start), start) == fact_novelty::known));
}

// Hosts exchange what changed with random neighbours; messages are lost and hosts restart.
BOOST_AUTO_TEST_CASE(all_hosts_come_to_the_same_facts_after_losses_and_restarts) {
    BOOST_TEST(rc::check([] {
        constexpr auto hosts = std::size_t{5};
        auto boards = std::vector<fact_board>(hosts);
        auto now = start;
        auto const tell = [&](std::size_t from, std::size_t to) {
            for (auto const& fact : boards[from].changed_since({}, now)) {
                static_cast<void>(boards[to].note(fact, now));
            }
        };
        for (auto step = 0; step < 60; ++step) {
            now += std::chrono::milliseconds{*rc::gen::inRange(1, 50)};
            auto const one = *rc::gen::inRange<std::size_t>(0, hosts);
            auto const other = *rc::gen::inRange<std::size_t>(0, hosts);
            switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    static_cast<void>(
                        boards[one].note(limit_of("u" + std::to_string(*rc::gen::inRange(0, 3)),
                                                  *rc::gen::inRange(0, 9), now),
                                         now));
                    break;
                case 1:
                    boards[one] = fact_board{};
                    break;
                default:
                    tell(one, other);
                    break;
            }
        }
        for (auto round = 0; round < 2; ++round) {
            for (auto host = std::size_t{0}; host < hosts; ++host) {
                tell(host, (host + 1) % hosts);
                tell((host + 1) % hosts, host);
            }
            for (auto host = hosts; host-- > 0;) {
                tell(host, (host + 1) % hosts);
                tell((host + 1) % hosts, host);
            }
        }
        auto const all = boards.front().changed_since({}, now);
        for (auto const& board : boards) {
            auto const facts = board.changed_since({}, now);
            RC_ASSERT(facts.size() == all.size());
            for (auto index = std::size_t{0}; index < facts.size(); ++index) {
                RC_ASSERT(facts[index].key == all[index].key);
                RC_ASSERT(facts[index].value == all[index].value);
            }
        }
    }));
}

auto request_crash(std::size_t index, base::time_point at) -> shared_fact {
    return {{fact_kind::upstream_crash, fmt::format("request:{}/app", index), "u#1"}, 0, at};
}

// Hosts that dropped it would tell each other of it again and again.
BOOST_AUTO_TEST_CASE(a_full_board_takes_no_older_fact) {
    auto board = fact_board{};
    for (auto index = std::size_t{0}; index < fact_board::max_request_facts; ++index) {
        static_cast<void>(board.note(request_crash(index, start + 1s), start + 1s));
    }
    auto const full = board.position();
    BOOST_TEST((board.note(request_crash(1000, start), start + 2s) == fact_novelty::known));
    BOOST_TEST(board.changed_since(full, start + 2s).empty());
    BOOST_TEST((board.note(request_crash(1001, start + 2s), start + 2s) == fact_novelty::changed));
    BOOST_TEST(board.changed_since({}, start + 2s).size() == fact_board::max_request_facts);
}

BOOST_AUTO_TEST_CASE(facts_of_requests_do_not_displace_those_of_other_subjects) {
    auto board = fact_board{};
    auto const part = fact_key{fact_kind::upstream_crash, "llm/dead", "u#1"};
    static_cast<void>(board.note({part, 0, start}, start));
    for (auto index = std::size_t{0}; index < 2 * fact_board::max_facts; ++index) {
        auto const at = start + index * 1ms;
        static_cast<void>(board.note(request_crash(index, at), at));
    }
    BOOST_TEST(board.find(part, start + 1min).has_value());
}

}  // namespace
}  // namespace linnetlane::routing

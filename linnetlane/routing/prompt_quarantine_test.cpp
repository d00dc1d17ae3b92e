// Tests which parts of prompts are kept away from upstreams: those under which upstreams end, and
// not those that merely were there.

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/prompt_quarantine.h"

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;
using part_list = std::vector<base::prompt_part_id>;

auto const start = base::time_point{} + 1h;
auto const sound = part_list{{"shared"}};
auto const deadly = part_list{{"shared"}, {"dead"}};

// A fleet whose hosts tell each other everything at once.
struct fleet {
    std::vector<prompt_quarantine> hosts = std::vector<prompt_quarantine>(3);

    auto tell(std::vector<shared_fact> facts, base::time_point now) -> void {
        while (!facts.empty()) {
            auto const fact = facts.back();
            facts.pop_back();
            for (auto& host : this->hosts) {
                auto const contrary = host.apply(fact, now);
                facts.insert(facts.end(), contrary.begin(), contrary.end());
            }
        }
    }
    auto answer(std::size_t host, part_list const& parts, base::time_point now) -> void {
        this->tell(this->hosts[host].answer_began(parts, now), now);
    }
    auto crash(std::size_t host, part_list const& parts, int upstream, base::time_point now)
        -> void {
        this->tell(this->hosts[host].upstream_ended(parts, {fmt::format("u{}", upstream)}, now),
                   now);
    }
    auto blocks(part_list const& parts, base::time_point now) -> bool {
        auto const first = this->hosts.front().blocked_until(parts, now).has_value();
        for (auto const& host : this->hosts) {
            BOOST_TEST(host.blocked_until(parts, now).has_value() == first);
        }
        return first;
    }
};

BOOST_AUTO_TEST_CASE(a_part_is_kept_away_after_three_crashes_seen_by_different_hosts) {
    auto all = fleet{};
    all.answer(0, sound, start);
    auto now = start;
    for (auto index = 0; index < 3; ++index) {
        BOOST_TEST(!all.blocks(deadly, now));
        now += 500ms;
        all.crash(static_cast<std::size_t>(index), deadly, index, now);
    }
    BOOST_TEST(all.blocks(deadly, now));
    BOOST_TEST(!all.blocks(sound, now));
    BOOST_TEST(!all.blocks({}, now));
    BOOST_TEST(!all.blocks(deadly, now + 10min));
}

BOOST_AUTO_TEST_CASE(two_crashes_of_one_upstream_count_once_if_they_are_the_same) {
    auto all = fleet{};
    all.answer(0, sound, start);
    for (auto host = std::size_t{0}; host < 3; ++host) {
        all.crash(host, deadly, 1, start + host * 300ms);
    }
    BOOST_TEST(!all.blocks(deadly, start + 2s));
    // The process has started again under its id.
    all.crash(0, deadly, 1, start + 4s);
    all.crash(1, deadly, 1, start + 8s);
    BOOST_TEST(all.blocks(deadly, start + 8s));
}

BOOST_AUTO_TEST_CASE(upstreams_that_end_together_are_no_evidence_against_prompts) {
    auto all = fleet{};
    for (auto index = 0; index < 30; ++index) {
        all.crash(static_cast<std::size_t>(index % 3), deadly, index, start + index * 3ms);
    }
    BOOST_TEST(!all.blocks(deadly, start + 5s));
    BOOST_TEST(!all.blocks(sound, start + 5s));
}

BOOST_AUTO_TEST_CASE(an_answer_that_begins_clears_a_part_at_all_hosts) {
    auto all = fleet{};
    for (auto index = 0; index < 3; ++index) {
        all.crash(0, sound, index, start + index * 500ms);
    }
    BOOST_TEST(all.blocks(sound, start + 1s));
    all.answer(1, sound, start + 1s);
    BOOST_TEST(!all.blocks(sound, start + 1s));
}

BOOST_AUTO_TEST_CASE(a_part_that_was_answered_before_needs_more_evidence) {
    auto all = fleet{};
    all.answer(0, deadly, start);
    auto now = start;
    for (auto index = 0; index < 5; ++index) {
        BOOST_TEST(!all.blocks(deadly, now));
        now += 500ms;
        all.crash(0, deadly, index, now);
    }
    BOOST_TEST(all.blocks(deadly, now + 1s));
}

// After a restart of the fleet, no host has answered the part that all prompts share.
BOOST_AUTO_TEST_CASE(of_two_parts_with_the_same_crashes_the_one_shared_by_fewer_is_kept_away) {
    auto all = fleet{};
    auto now = start;
    for (auto index = 0; index < 3; ++index) {
        now += 500ms;
        all.crash(0, deadly, index, now);
    }
    BOOST_TEST(!all.blocks(sound, now));
    BOOST_TEST(!all.blocks(deadly, now));
    BOOST_TEST(all.blocks(deadly, now + 1s));
    BOOST_TEST(!all.blocks(sound, now + 1s));
}

BOOST_AUTO_TEST_CASE(further_crashes_do_not_delay_a_verdict) {
    auto all = fleet{};
    for (auto index = 0; index < 12; ++index) {
        all.crash(0, deadly, index, start + index * 250ms);
    }
    BOOST_TEST(all.blocks(deadly, start + 3s));
}

BOOST_AUTO_TEST_CASE(crashes_that_a_part_explains_do_not_count_against_its_neighbours) {
    auto all = fleet{};
    // Each deadly prompt has another sound part, and one of them is there more often.
    for (auto index = 0; index < 6; ++index) {
        auto const neighbour =
            base::prompt_part_id{index % 2 == 0 ? "often" : fmt::format("n{}", index)};
        all.crash(0, {{"shared"}, {"dead"}, neighbour}, index, start + index * 500ms);
    }
    all.answer(1, sound, start + 3s);
    BOOST_TEST(all.blocks(deadly, start + 4s));
    BOOST_TEST(!all.blocks({{"shared"}, {"often"}}, start + 4s));
    BOOST_TEST(!all.blocks(sound, start + 4s));
}

BOOST_AUTO_TEST_CASE(a_verdict_that_outlived_all_hosts_holds_until_an_answer_begins) {
    auto all = fleet{};
    all.tell({{{fact_kind::prompt_quarantined, "dead", {}}, 0, start}}, start);
    BOOST_TEST(all.blocks(deadly, start));
    all.answer(2, deadly, start + 1s);
    BOOST_TEST(!all.blocks(deadly, start + 1s));
}

BOOST_AUTO_TEST_CASE(the_memory_of_answers_is_bounded) {
    auto one = prompt_quarantine{};
    for (auto index = std::size_t{0}; index < prompt_quarantine::max_answered + 10; ++index) {
        static_cast<void>(one.answer_began({{fmt::format("p{}", index)}}, start + index * 1ms));
    }
    // The newest are known: their crashes need more evidence.
    auto const newest = part_list{{fmt::format("p{}", prompt_quarantine::max_answered + 9)}};
    for (auto index = 0; index < 4; ++index) {
        auto const at = start + 10s + index * 1s;
        for (auto const& fact : one.upstream_ended(newest, {fmt::format("u{}", index)}, at)) {
            static_cast<void>(one.apply(fact, at));
        }
    }
    BOOST_TEST(!one.blocked_until(newest, start + 15s).has_value());
}

// Whatever the mix of requests, the shared part stays allowed and the deadly one is found.
BOOST_AUTO_TEST_CASE(random_mixes_never_block_what_is_answered_and_find_what_crashes) {
    BOOST_TEST(rc::check([] {
        auto all = fleet{};
        auto now = start;
        auto crashes = 0;
        for (auto step = 0; step < 80; ++step) {
            now += std::chrono::milliseconds{*rc::gen::inRange(220, 800)};
            auto const host = *rc::gen::inRange<std::size_t>(0, 3);
            if (*rc::gen::inRange(0, 3) == 0 && !all.blocks(deadly, now)) {
                all.crash(host, deadly, crashes++, now);
            } else {
                RC_ASSERT(!all.blocks(sound, now));
                all.answer(host, sound, now);
            }
        }
        // Enough for a verdict, and those within the delay of an ambiguous one.
        RC_ASSERT(crashes <= 8);
    }));
}

}  // namespace
}  // namespace linnetlane::routing

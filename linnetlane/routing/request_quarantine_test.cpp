// Tests which parts of prompts are kept away from upstreams: those under which upstreams end, and
// not those that merely were there.

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/request_quarantine.h"

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;
using part_list = std::vector<quarantine_subject>;

auto const start = base::time_point{} + 1h;
auto const sound = part_list{{"shared"}};
auto const deadly = part_list{{"shared"}, {"dead"}};

// A fleet whose hosts tell each other everything at once.
struct fleet {
    std::vector<request_quarantine> hosts = std::vector<request_quarantine>(3);

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
        this->tell(this->hosts[host].answered(parts, now), now);
    }
    auto crash(std::size_t host, part_list const& parts, int upstream, base::time_point now)
        -> void {
        this->tell(this->hosts[host].upstream_ended(parts, {fmt::format("u{}", upstream)}, now),
                   now);
    }
    auto finds(request_subjects const& subjects, base::time_point now) -> bool {
        auto const first = this->hosts.front().find(subjects, now).has_value();
        for (auto& host : this->hosts) {
            BOOST_TEST(host.find(subjects, now).has_value() == first);
        }
        return first;
    }
    auto blocks(part_list const& parts, base::time_point now) -> bool {
        return this->finds({parts, {"request:other/"}}, now);
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
            quarantine_subject{index % 2 == 0 ? "often" : fmt::format("n{}", index)};
        all.crash(0, {{"shared"}, {"dead"}, neighbour}, index, start + index * 500ms);
    }
    all.answer(1, sound, start + 3s);
    BOOST_TEST(all.blocks(deadly, start + 4s));
    BOOST_TEST(!all.blocks({{"shared"}, {"often"}}, start + 4s));
    BOOST_TEST(!all.blocks(sound, start + 4s));
}

BOOST_AUTO_TEST_CASE(a_verdict_that_outlived_all_hosts_holds_until_an_answer_begins) {
    auto all = fleet{};
    all.tell({{{fact_kind::quarantined, "dead", {}}, 0, start}}, start);
    BOOST_TEST(all.blocks(deadly, start));
    all.answer(2, deadly, start + 1s);
    BOOST_TEST(!all.blocks(deadly, start + 1s));
}

BOOST_AUTO_TEST_CASE(the_newest_of_many_answers_count) {
    constexpr auto answers = answer_memory::set_count * answer_memory::entries_per_set + 10;
    auto one = request_quarantine{};
    for (auto index = std::size_t{0}; index < answers; ++index) {
        static_cast<void>(one.answered({{fmt::format("p{}", index)}}, start + index * 100us));
    }
    // The newest is known: its crashes need more evidence.
    auto const newest = part_list{{fmt::format("p{}", answers - 1)}};
    auto const last_answer = start + answers * 100us;
    for (auto index = 0; index < 4; ++index) {
        auto const at = last_answer + (index + 1) * 1s;
        for (auto const& fact : one.upstream_ended(newest, {fmt::format("u{}", index)}, at)) {
            static_cast<void>(one.apply(fact, at));
        }
    }
    BOOST_TEST(!one.find({newest, {}}, last_answer + 5s).has_value());
}

auto const repeated = subjects_of({"app"}, {}, {"d1"});
auto const beside = subjects_of({"app"}, {}, {"d2"});

// Callers repeat a request at any host, and each attempt ends two upstreams, one after the other.
BOOST_AUTO_TEST_CASE(a_request_is_kept_away_once_its_second_attempt_ends_a_third_upstream) {
    auto all = fleet{};
    all.crash(0, repeated.all(), 0, start);
    all.crash(0, repeated.all(), 1, start + 100ms);
    BOOST_TEST(!all.finds(repeated, start + 200ms));
    all.crash(1, repeated.all(), 2, start + 210ms);
    BOOST_TEST(all.finds(repeated, start + 210ms));
    BOOST_TEST(!all.finds(beside, start + 210ms));
    BOOST_TEST(!all.finds(repeated, start + 11min));
}

BOOST_AUTO_TEST_CASE(a_request_whose_upstreams_end_together_is_not_kept_away) {
    auto all = fleet{};
    for (auto index = 0; index < 30; ++index) {
        all.crash(static_cast<std::size_t>(index % 3), repeated.all(), index, start + index * 3ms);
    }
    BOOST_TEST(!all.finds(repeated, start + 1s));
}

BOOST_AUTO_TEST_CASE(a_request_that_ran_beside_the_cause_is_not_kept_away) {
    auto all = fleet{};
    for (auto index = 0; index < 4; ++index) {
        auto const at = start + index * 300ms;
        all.crash(0, repeated.all(), index, at);
        if (index > 0) {
            all.crash(1, beside.all(), index, at + 5ms);
        }
    }
    BOOST_TEST(all.finds(repeated, start + 3s));
    BOOST_TEST(!all.finds(beside, start + 3s));
}

// Both were at all upstreams that ended. A wrong verdict lasts until the next crash and isn't
// recorded for hosts that start later.
BOOST_AUTO_TEST_CASE(of_two_requests_with_the_same_crashes_the_next_crash_tells_the_cause) {
    auto all = fleet{};
    for (auto index = 0; index < 3; ++index) {
        for (auto const* const each : {&repeated, &beside}) {
            all.crash(0, each->all(), index, start + index * 300ms);
        }
    }
    BOOST_TEST(all.hosts.front().convicted(start + 2s).empty());
    all.crash(0, repeated.all(), 3, start + 2s);
    BOOST_TEST(all.finds(repeated, start + 3s));
    BOOST_TEST(!all.finds(beside, start + 3s));
    BOOST_TEST(all.hosts.front().convicted(start + 3s) == part_list{repeated.whole});
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_request_and_one_of_its_parts_does_not) {
    auto all = fleet{};
    auto const prompt = subjects_of({"llm"}, {{"p"}}, {"d3"});
    for (auto index = 0; index < 3; ++index) {
        all.crash(0, {prompt.whole}, index, start + index * 300ms);
        all.answer(1, prompt.parts, start + index * 300ms + 10ms);
    }
    BOOST_TEST(all.finds(prompt, start + 1s));
    all.answer(2, {prompt.whole}, start + 2s);
    BOOST_TEST(!all.finds(prompt, start + 2s));
}

BOOST_AUTO_TEST_CASE(a_request_that_moves_to_another_service_stays_away_unless_answered_there) {
    auto all = fleet{};
    auto const moved = subjects_of({"other"}, {}, {"d1"});
    for (auto index = 0; index < 3; ++index) {
        all.crash(0, repeated.all(), index, start + index * 300ms);
    }
    BOOST_TEST(all.finds(moved, start + 1s));
    all.answer(0, {moved.whole}, start + 1s);
    BOOST_TEST(all.hosts.front().find(repeated, start + 2s).has_value());
    BOOST_TEST(!all.hosts.front().find(moved, start + 2s).has_value());
}

// A part that crashes engines is in many requests, and each comes again.
BOOST_AUTO_TEST_CASE(a_part_is_found_although_each_request_with_it_comes_again) {
    auto all = fleet{};
    all.answer(0, sound, start);
    for (auto request = 0; request < 3; ++request) {
        auto const one = subjects_of({"llm"}, {{"dead"}}, {fmt::format("r{}", request)});
        for (auto attempt = 0; attempt < 2 && !all.finds(one, start + request * 1s); ++attempt) {
            all.crash(0, one.all(), 2 * request + attempt, start + request * 1s + attempt * 300ms);
        }
    }
    BOOST_TEST(all.finds(subjects_of({"llm"}, {{"dead"}}, {"r9"}), start + 4s));
}

BOOST_AUTO_TEST_CASE(suspects_are_bounded_and_the_ones_with_more_crashes_stay) {
    auto all = fleet{};
    all.crash(0, repeated.all(), 0, start);
    all.crash(0, repeated.all(), 1, start + 300ms);
    for (auto index = 0; index < 1000; ++index) {
        auto const one = subjects_of({"app"}, {}, {fmt::format("x{}", index)});
        all.crash(1, one.all(), 100 + index, start + 1s + index * 1ms);
    }
    all.crash(2, repeated.all(), 2, start + 5s);
    BOOST_TEST(all.finds(repeated, start + 5s));
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

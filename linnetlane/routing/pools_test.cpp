// Where work goes under the loads that were met: each case names its pattern.

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/data_centre_reachability.h"
#include "linnetlane/routing/generation_pool.h"
#include "linnetlane/routing/plain_pool.h"
#include "linnetlane/routing/retry_after.h"
#include "linnetlane/routing/stage_balancer.h"

namespace linnetlane::routing {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

auto make_record(std::string id, std::string data_centre, std::optional<engine_stage> stage)
    -> upstream_record {
    auto made = upstream_record{};
    made.id.value = std::move(id);
    made.data_centre.value = std::move(data_centre);
    made.slots = 6;
    made.stage = stage;
    return made;
}

auto make_engines(std::size_t prefill, std::size_t decode) -> std::vector<upstream_record> {
    auto engines = std::vector<upstream_record>{};
    for (auto index = std::size_t{0}; index < prefill + decode; ++index) {
        auto const stage = index < prefill ? engine_stage::prefill : engine_stage::decode;
        engines.push_back(
            make_record("e" + std::to_string(index), "dc" + std::to_string(index % 4), stage));
    }
    return engines;
}

auto plain_answer(std::chrono::milliseconds took) -> plain_ending {
    return plain_ending{exchange_outcome::answered, took, std::nullopt};
}

// Sends 100 requests, 10 ms apart, to two upstreams that end them as `ending_at` says; how many
// each got.
template <typename Ending>
auto sends_to(std::string const& one, std::string const& other, Ending ending_at)
    -> std::map<std::string, int> {
    auto ways = data_centre_reach{};
    auto pool = plain_pool{ways};
    pool.set_members({make_record(one, "a", {}), make_record(other, "a", {})});
    auto sent = std::map<std::string, int>{};
    for (auto count = 0; count < 100; ++count) {
        auto const now = start + std::chrono::milliseconds{10} * count;
        auto const id = pool.pick({}, count / 100.0, now).value();
        ++sent[id.value];
        pool.started(id);
        pool.ended(id, ending_at(id.value), now);
    }
    return sent;
}

BOOST_AUTO_TEST_CASE(one_slow_plain_upstream_gets_few_requests) {
    auto sent = sends_to("fast", "slow", [](std::string const& id) {
        return plain_answer(std::chrono::milliseconds{id == "slow" ? 150 : 30});
    });
    BOOST_TEST(sent["slow"] <= 5);
}

BOOST_AUTO_TEST_CASE(a_full_plain_upstream_that_rejects_at_once_is_not_taken_for_a_fast_one) {
    auto sent = sends_to("hung", "sound", [](std::string const& id) {
        auto const rejects = id == "hung";
        return plain_ending{rejects ? exchange_outcome::rejected : exchange_outcome::answered,
                            std::chrono::milliseconds{rejects ? 2 : 60},
                            load_report{6, rejects ? 12U : 0U, 6}};
    });
    BOOST_TEST(sent["hung"] <= 10);
}

BOOST_AUTO_TEST_CASE(a_plain_upstream_that_callers_leave_is_not_taken_for_a_fast_one) {
    auto sent = sends_to("hung", "sound", [](std::string const& id) {
        auto const hangs = id == "hung";
        return plain_ending{hangs ? exchange_outcome::abandoned : exchange_outcome::answered,
                            std::chrono::milliseconds{hangs ? 900 : 60}, std::nullopt};
    });
    BOOST_TEST(sent["hung"] <= 10);
}

BOOST_AUTO_TEST_CASE(a_grey_plain_upstream_rests_and_gets_a_trial) {
    auto ways = data_centre_reach{};
    auto pool = plain_pool{ways};
    pool.set_members({make_record("good", "a", {}), make_record("grey", "a", {})});
    auto const grey = base::upstream_id{"grey"};
    for (auto count = 0; count < 20; ++count) {
        pool.started(grey);
        pool.ended(grey, {exchange_outcome::failed_answer, std::chrono::milliseconds{1}, {}},
                   start);
    }
    BOOST_TEST(pool.pick({}, 0.5, start)->value == "good");
    // With nothing else left it is still better than no try.
    BOOST_TEST(pool.pick({base::upstream_id{"good"}}, 0.5, start)->value == "grey");
    auto const later = start + upstream_health::longest_rest;
    BOOST_TEST(pool.pick({base::upstream_id{"good"}}, 0.5, later)->value == "grey");
}

BOOST_AUTO_TEST_CASE(a_service_that_fails_a_part_of_its_requests_by_design_keeps_all_upstreams) {
    auto health = upstream_health{};
    for (auto count = 0; count < 200; ++count) {
        auto const failed = count % 7 == 0;
        health.note(failed ? exchange_outcome::failed_answer : exchange_outcome::answered, 0.14,
                    start);
        BOOST_TEST(health.usable(start));
    }
}

BOOST_AUTO_TEST_CASE(burst_of_long_answers_reserves_for_what_is_usual_and_never_beyond_the_bound) {
    BOOST_TEST(rc::check([] {
        auto size = generation_size{};
        size.prompt.value = *rc::gen::inRange(1, 50'000);
        size.max_output.value = *rc::gen::inRange(1, 50'000);
        size.expected_output = base::token_count{*rc::gen::inRange(0, 100'000)};
        auto const reserved = memory_to_reserve(size, 1.9);
        RC_ASSERT(reserved >= size.prompt);
        RC_ASSERT(reserved <= size.prompt + size.max_output);
    }));
    // An estimate that is far off moves the expectation by its square root only.
    auto const usual = generation_size{{5000}, {10'000}, base::token_count{4800}};
    auto const far_off = generation_size{{5000}, {10'000}, base::token_count{1200}};
    BOOST_TEST(expected_output(far_off) == expected_output(usual) / 2,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(an_engine_without_room_is_asked_last_for_a_while) {
    auto ways = data_centre_reach{};
    auto pool = generation_pool{ways};
    pool.set_members(make_engines(1, 3));
    pool.note_full(base::upstream_id{"e1"}, start);

    BOOST_TEST(pool.decode_candidates(3, 0.3, start).back().value == "e1");
    pool.begin(base::upstream_id{"e2"}, base::token_count{10'000});
    pool.begin(base::upstream_id{"e3"}, base::token_count{10'000});
    auto const later = start + generation_pool::full_for;
    BOOST_TEST(pool.decode_candidates(3, 0.3, later).front().value == "e1");
}

BOOST_AUTO_TEST_CASE(a_prefill_engine_that_refuses_while_it_changes_stage_is_passed_over) {
    auto ways = data_centre_reach{};
    auto pool = generation_pool{ways};
    pool.set_members(make_engines(2, 1));
    // The other one is busy, so that the refusing one looks best.
    pool.begin(base::upstream_id{"e1"}, base::token_count{50'000});
    BOOST_TEST(pool.prefill_candidate({}, {}, 0.5, start)->value == "e0");
    pool.note_full(base::upstream_id{"e0"}, start);
    BOOST_TEST(pool.prefill_candidate({}, {}, 0.5, start)->value == "e1");
}

BOOST_AUTO_TEST_CASE(an_engine_whose_address_another_process_has_is_asked_last) {
    auto ways = data_centre_reach{};
    auto pool = generation_pool{ways};
    pool.set_members(make_engines(0, 3));
    pool.begin(base::upstream_id{"e1"}, base::token_count{10'000});
    pool.begin(base::upstream_id{"e2"}, base::token_count{10'000});
    pool.note_replaced(base::upstream_id{"e0"}, start);
    BOOST_TEST(pool.decode_candidates(3, 0.3, start + std::chrono::seconds{1}).back().value ==
               "e0");
    auto const later = start + generation_pool::replaced_for;
    BOOST_TEST(pool.decode_candidates(3, 0.3, later).front().value == "e0");
}

BOOST_AUTO_TEST_CASE(a_prompt_is_read_near_the_engine_that_decodes_it_unless_that_takes_longer) {
    auto ways = data_centre_reach{};
    auto pool = generation_pool{ways};
    // Prefill engines in the first four data centres, decode engines in the same ones.
    pool.set_members(make_engines(4, 4));
    pool.begin(base::upstream_id{"e0"}, base::token_count{5'000});
    pool.end(base::upstream_id{"e0"}, base::token_count{5'000});
    for (auto draw = 0.0; draw < 1; draw += 0.1) {
        BOOST_TEST(pool.prefill_candidate({}, base::upstream_id{"e6"}, draw, start)->value == "e2");
    }
    pool.begin(base::upstream_id{"e2"}, base::token_count{10'000});
    BOOST_TEST(pool.prefill_candidate({}, base::upstream_id{"e6"}, 0.5, start)->value != "e2");
}

BOOST_AUTO_TEST_CASE(one_zone_alone_asks_its_own_engines_first_after_one_silence) {
    auto ways = data_centre_reach{};
    auto pool = generation_pool{ways};
    pool.set_members(make_engines(0, 8));
    // All of the three other data centres are cut off; one engine of each was tried.
    for (auto const* const silent : {"e1", "e2", "e3"}) {
        pool.note_outcome(base::upstream_id{silent}, exchange_outcome::transport_failure, start);
    }
    auto const order = pool.decode_candidates(8, 0.7, start + std::chrono::milliseconds{1});
    auto const first_two = std::vector<std::string>{order[0].value, order[1].value};
    BOOST_TEST(std::ranges::count(first_two, "e0") == 1);
    BOOST_TEST(std::ranges::count(first_two, "e4") == 1);
}

BOOST_AUTO_TEST_CASE(one_silent_upstream_among_answering_ones_casts_no_doubt_on_its_data_centre) {
    auto ways = data_centre_reach{};
    auto const here = base::data_centre_id{"dc"};
    ways.note_answer(here, start);
    ways.note_silence(here, start + std::chrono::milliseconds{20});
    BOOST_TEST(!ways.doubted(here, start + std::chrono::milliseconds{30}));
    ways.note_silence(here, start + data_centre_reach::answer_vouches_for * 2);
    BOOST_TEST(ways.doubted(here, start + data_centre_reach::answer_vouches_for * 2));
}

BOOST_AUTO_TEST_CASE(a_squeeze_brings_callers_back_early) {
    auto const target = std::chrono::milliseconds{900};
    BOOST_TEST(base::to_seconds(retry_after(target, 0.99)) < 0.3);
    BOOST_TEST(base::to_seconds(retry_after(target, 0)) > 0.05);
}

BOOST_AUTO_TEST_CASE(a_return_leaves_time_for_the_answer) {
    BOOST_TEST(rc::check([] {
        auto const target = std::chrono::milliseconds{*rc::gen::inRange(60, 20'000)};
        auto const back = retry_after(target, *rc::gen::inRange(0, 100) / 100.0);
        RC_ASSERT(back > base::duration::zero());
        RC_ASSERT(back <= target / 2);
    }));
}

// Applies changes as engines would, until none is due.
auto settle(stage_split& split, std::vector<upstream_record>& engines, base::time_point now)
    -> std::size_t {
    auto changes = std::size_t{0};
    while (auto const change = split.next_change(engines, now)) {
        split.note_ordered(*change, now + std::chrono::seconds{9});
        for (auto& engine : engines) {
            engine.stage = engine.id == change->engine ? change->to : engine.stage;
        }
        ++changes;
    }
    return changes;
}

auto count_stage(std::vector<upstream_record> const& engines, engine_stage stage) -> std::size_t {
    return static_cast<std::size_t>(std::ranges::count_if(
        engines, [&](auto const& one) { return one.stage == stage && !one.leaving; }));
}

BOOST_AUTO_TEST_CASE(surplus_prefill_engines_decode_from_the_first_seconds_on) {
    auto split = stage_split{base::fraction{0.22}, start + std::chrono::seconds{1}};
    auto engines = make_engines(5, 9);
    BOOST_TEST(settle(split, engines, start) == 2U);
    BOOST_TEST(count_stage(engines, engine_stage::prefill) == 3U);
}

BOOST_AUTO_TEST_CASE(a_crash_of_prefill_engines_that_are_soon_back_changes_nothing) {
    auto split = stage_split{base::fraction{0.22}, start};
    auto engines = make_engines(2, 11);
    BOOST_TEST(settle(split, engines, start) == 0U);
    BOOST_TEST(settle(split, engines, start + std::chrono::seconds{5}) == 0U);
    BOOST_TEST(settle(split, engines, start + std::chrono::seconds{7}) == 1U);
}

BOOST_AUTO_TEST_CASE(a_crash_of_decode_engines_that_are_soon_back_takes_no_prefill_engine_away) {
    auto split = stage_split{base::fraction{0.22}, start};
    auto engines = make_engines(3, 11);
    auto crashed = make_engines(3, 7);
    BOOST_TEST(settle(split, crashed, start) == 0U);
    BOOST_TEST(settle(split, crashed, start + std::chrono::seconds{5}) == 0U);
    BOOST_TEST(settle(split, engines, start + std::chrono::seconds{6}) == 0U);
    // One that lasts is mended.
    BOOST_TEST(settle(split, crashed, start + std::chrono::seconds{10}) == 0U);
    BOOST_TEST(settle(split, crashed, start + std::chrono::seconds{16}) == 1U);
}

BOOST_AUTO_TEST_CASE(the_last_prefill_engine_is_replaced_at_once) {
    auto split = stage_split{base::fraction{0.22}, start};
    auto engines = make_engines(0, 12);
    BOOST_TEST(settle(split, engines, start) >= 1U);
}

BOOST_AUTO_TEST_CASE(no_stage_is_ever_left_without_an_engine) {
    BOOST_TEST(rc::check([] {
        auto const prefill = *rc::gen::inRange<std::size_t>(0, 20);
        auto const decode = *rc::gen::inRange<std::size_t>(0, 20);
        RC_PRE(prefill + decode >= 2);
        auto engines = make_engines(prefill, decode);
        auto split = stage_split{base::fraction{*rc::gen::inRange(0, 101) / 100.0}, start};
        settle(split, engines, start);
        settle(split, engines, start + std::chrono::seconds{20});
        RC_ASSERT(count_stage(engines, engine_stage::prefill) >= 1);
        RC_ASSERT(count_stage(engines, engine_stage::decode) >= 1);
    }));
}

}  // namespace
}  // namespace linnetlane::routing

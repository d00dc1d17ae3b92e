// Tests of the pools that choose upstreams and engines, of the retry delay and of the stage
// balancer.

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>
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

auto plain_answer(std::chrono::milliseconds took) -> plain_result {
    return plain_result{exchange_outcome::answered, took, std::nullopt};
}

// Sends 100 requests, 10 ms apart, through a pool of two upstreams, whose results `result_at`
// gives. Returns the number of requests that each upstream received.
template <typename Result>
auto sends_to(std::string const& one, std::string const& other, Result result_at)
    -> std::map<std::string, int> {
    auto reachability = data_centre_reachability{};
    auto pool = plain_pool{reachability};
    pool.set_members({make_record(one, "a", {}), make_record(other, "a", {})});
    auto sent = std::map<std::string, int>{};
    for (auto count = 0; count < 100; ++count) {
        auto const now = start + std::chrono::milliseconds{10} * count;
        auto const id = pool.pick({}, count / 100.0, now).value();
        ++sent[id.value];
        pool.started(id);
        pool.ended(id, result_at(id.value), now);
    }
    return sent;
}

BOOST_AUTO_TEST_CASE(one_slow_plain_upstream_gets_few_requests) {
    auto sent = sends_to("fast", "slow", [](std::string const& id) {
        return plain_answer(std::chrono::milliseconds{id == "slow" ? 150 : 30});
    });
    BOOST_TEST(sent["slow"] <= 5);
}

BOOST_AUTO_TEST_CASE(fast_rejections_do_not_count_as_fast_answers) {
    auto sent = sends_to("hung", "sound", [](std::string const& id) {
        auto const rejects = id == "hung";
        return plain_result{rejects ? exchange_outcome::rejected : exchange_outcome::answered,
                            std::chrono::milliseconds{rejects ? 2 : 60},
                            load_report{6, rejects ? 12U : 0U, 6}};
    });
    BOOST_TEST(sent["hung"] <= 10);
}

BOOST_AUTO_TEST_CASE(abandoned_requests_do_not_count_as_fast_answers) {
    auto sent = sends_to("hung", "sound", [](std::string const& id) {
        auto const abandons = id == "hung";
        return plain_result{abandons ? exchange_outcome::abandoned : exchange_outcome::answered,
                            std::chrono::milliseconds{abandons ? 900 : 60}, std::nullopt};
    });
    BOOST_TEST(sent["hung"] <= 10);
}

BOOST_AUTO_TEST_CASE(an_upstream_with_failed_answers_is_ejected_for_a_while) {
    auto reachability = data_centre_reachability{};
    auto pool = plain_pool{reachability};
    pool.set_members({make_record("good", "a", {}), make_record("grey", "a", {})});
    auto const grey = base::upstream_id{"grey"};
    for (auto count = 0; count < 20; ++count) {
        pool.started(grey);
        pool.ended(grey, {exchange_outcome::failed_answer, std::chrono::milliseconds{1}, {}},
                   start);
    }
    BOOST_TEST(pool.pick({}, 0.5, start)->value == "good");
    // An ejected upstream is still used if no other is left.
    BOOST_TEST(pool.pick({base::upstream_id{"good"}}, 0.5, start)->value == "grey");
    auto const later = start + upstream_health::max_ejection;
    BOOST_TEST(pool.pick({base::upstream_id{"good"}}, 0.5, later)->value == "grey");
}

BOOST_AUTO_TEST_CASE(failures_as_frequent_as_those_of_peers_eject_no_upstream) {
    auto health = upstream_health{};
    for (auto count = 0; count < 200; ++count) {
        auto const failed = count % 7 == 0;
        health.note(failed ? exchange_outcome::failed_answer : exchange_outcome::answered, 0.14,
                    start);
        BOOST_TEST(health.usable(start));
    }
}

BOOST_AUTO_TEST_CASE(reserved_memory_never_exceeds_the_output_limit) {
    BOOST_TEST(rc::check([] {
        auto size = generation_size{};
        size.prompt.value = *rc::gen::inRange(1, 50'000);
        size.max_output.value = *rc::gen::inRange(1, 50'000);
        size.expected_output = base::token_count{*rc::gen::inRange(0, 100'000)};
        auto const reserved = memory_to_reserve(size, 1.9);
        RC_ASSERT(reserved >= size.prompt);
        RC_ASSERT(reserved <= size.prompt + size.max_output);
    }));
    // The expected length grows only with the square root of the caller's estimate.
    auto const usual = generation_size{{5000}, {10'000}, base::token_count{4800}};
    auto const far_off = generation_size{{5000}, {10'000}, base::token_count{1200}};
    BOOST_TEST(expected_output(far_off) == expected_output(usual) / 2,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(a_stream_that_has_begun_is_offered_only_to_engines_of_its_software_version) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    auto engines = make_engines(1, 4);
    for (auto& each : engines) {
        each.software.value = each.id.value == "e2" || each.id.value == "e4" ? "v2" : "v1";
    }
    pool.set_members(engines);
    // Neither a lack of room nor failures let another version take the stream.
    pool.note_full(base::upstream_id{"e2"}, start);
    pool.note_outcome(base::upstream_id{"e4"}, exchange_outcome::transport_failure, start);

    auto offered = pool.decode_candidates(4, 0.3, start, base::software_version{"v2"});
    std::ranges::sort(offered);
    BOOST_TEST((offered == std::vector{base::upstream_id{"e2"}, base::upstream_id{"e4"}}));
    BOOST_TEST(pool.decode_candidates(4, 0.3, start, base::software_version{"v3"}).empty());
    BOOST_TEST(pool.decode_candidates(4, 0.3, start).size() == 4U);
}

BOOST_AUTO_TEST_CASE(upstreams_that_asked_for_a_pause_are_left_alone_until_its_end) {
    auto reachability = data_centre_reachability{};
    auto engines = generation_pool{reachability};
    engines.set_members(make_engines(1, 2));
    auto plain = plain_pool{reachability};
    plain.set_members({make_record("a", "dc", {}), make_record("b", "dc", {})});
    auto const until = start + std::chrono::seconds{2};
    engines.note_pause(base::upstream_id{"e1"}, until, start);
    plain.note_pause(base::upstream_id{"a"}, until, start);
    BOOST_TEST((engines.decode_candidates(3, 0.3, start) == std::vector{base::upstream_id{"e2"}}));
    BOOST_TEST(plain.pick({}, 0.3, start)->value == "b");
    BOOST_TEST((plain.paused_for(start) == base::duration::zero()));
    // A record that is dropped and listed again is still the same process.
    plain.set_members({});
    plain.set_members({make_record("a", "dc", {}), make_record("b", "dc", {})});
    plain.note_pause(base::upstream_id{"b"}, until + std::chrono::seconds{1}, start);
    BOOST_TEST(!plain.pick({}, 0.3, start).has_value());
    BOOST_TEST((plain.paused_for(start) == std::chrono::seconds{2}));
    engines.note_pause(base::upstream_id{"e0"}, until, start);
    BOOST_TEST(!engines.prefill_candidate({}, {}, 0.3, start).has_value());
    BOOST_TEST((engines.paused_for(start) == std::chrono::seconds{2}));
    // A restart ends the pause, and so does its time.
    engines.forget(base::upstream_id{"e0"});
    BOOST_TEST((engines.paused_for(start) == base::duration::zero()));
    BOOST_TEST(plain.pick({}, 0.3, until)->value == "a");
    BOOST_TEST(engines.decode_candidates(3, 0.3, until).size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_engine_without_room_is_ranked_last_for_a_while) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_engines(1, 3));
    pool.note_full(base::upstream_id{"e1"}, start);

    BOOST_TEST(pool.decode_candidates(3, 0.3, start).back().value == "e1");
    pool.begin(base::upstream_id{"e2"}, base::token_count{10'000});
    pool.begin(base::upstream_id{"e3"}, base::token_count{10'000});
    auto const later = start + generation_pool::full_cooldown;
    BOOST_TEST(pool.decode_candidates(3, 0.3, later).front().value == "e1");
}

// Returns how often the most frequent value of `choose`, which is called with uniform draws, occurs
// as a multiple of the mean over `count` values.
template <typename Choose>
auto greatest_share(std::size_t count, Choose choose) -> double {
    constexpr auto draws_per_value = 200;
    auto random = std::mt19937{5};
    auto chosen = std::map<base::upstream_id, int>{};
    for (auto number = std::size_t{0}; number < count * draws_per_value; ++number) {
        ++chosen[choose(std::uniform_real_distribution<double>{0, 1}(random))];
    }
    auto most = 0;
    for (auto const& [id, times] : chosen) {
        most = std::max(most, times);
    }
    return static_cast<double>(most) / draws_per_value;
}

BOOST_AUTO_TEST_CASE(hosts_without_reports_spread_generations_evenly_over_many_engines) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_engines(18, 65));
    auto const decode = greatest_share(
        65, [&](double draw) { return pool.decode_candidates(1, draw, start).front(); });
    BOOST_TEST(decode < 1.5);
    auto const prefill = greatest_share(
        18, [&](double draw) { return pool.prefill_candidate({}, {}, draw, start).value(); });
    BOOST_TEST(prefill < 1.5);
}

BOOST_AUTO_TEST_CASE(hosts_without_reports_spread_requests_evenly_over_plain_upstreams) {
    auto reachability = data_centre_reachability{};
    auto pool = plain_pool{reachability};
    auto members = std::vector<upstream_record>{};
    for (auto number = 0; number < 12; ++number) {
        members.push_back(make_record("u" + std::to_string(number), "a", {}));
    }
    pool.set_members(members);
    auto const share =
        greatest_share(12, [&](double draw) { return pool.pick({}, draw, start).value(); });
    BOOST_TEST(share < 1.5);
}

BOOST_AUTO_TEST_CASE(an_engine_without_a_current_report_counts_as_loaded_as_the_others) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_engines(4, 0));
    pool.begin(base::upstream_id{"e3"}, base::token_count{5000});
    pool.end(base::upstream_id{"e3"}, base::token_count{5000});
    for (auto const* const id : {"e0", "e1"}) {
        pool.note_load(base::upstream_id{id}, load_report{1, 3, 64}, start);
    }
    pool.note_load(base::upstream_id{"e2"}, load_report{1, 0, 64}, start);
    // Two of the three reports show long queues, so an engine without one isn't better than the
    // engine that reported a short queue.
    BOOST_TEST(pool.prefill_candidate({}, {}, 0.5, start)->value == "e2");
}

BOOST_AUTO_TEST_CASE(a_prefill_engine_that_refuses_is_skipped) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_engines(2, 1));
    // The other engine is busy, so the refusing one is ranked first by load.
    pool.begin(base::upstream_id{"e1"}, base::token_count{50'000});
    BOOST_TEST(pool.prefill_candidate({}, {}, 0.5, start)->value == "e0");
    pool.note_full(base::upstream_id{"e0"}, start);
    BOOST_TEST(pool.prefill_candidate({}, {}, 0.5, start)->value == "e1");
}

BOOST_AUTO_TEST_CASE(an_engine_whose_address_was_reused_is_ranked_last) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_engines(0, 3));
    pool.begin(base::upstream_id{"e1"}, base::token_count{10'000});
    pool.begin(base::upstream_id{"e2"}, base::token_count{10'000});
    pool.note_replaced(base::upstream_id{"e0"}, start);
    BOOST_TEST(pool.decode_candidates(3, 0.3, start + std::chrono::seconds{1}).back().value ==
               "e0");
    auto const later = start + generation_pool::replaced_cooldown;
    BOOST_TEST(pool.decode_candidates(3, 0.3, later).front().value == "e0");
}

BOOST_AUTO_TEST_CASE(prefill_prefers_the_data_centre_of_the_decode_engine_unless_it_is_busier) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    // One prefill and one decode engine in each of four data centres.
    pool.set_members(make_engines(4, 4));
    pool.begin(base::upstream_id{"e0"}, base::token_count{5'000});
    pool.end(base::upstream_id{"e0"}, base::token_count{5'000});
    for (auto draw = 0.0; draw < 1; draw += 0.1) {
        BOOST_TEST(pool.prefill_candidate({}, base::upstream_id{"e6"}, draw, start)->value == "e2");
    }
    pool.begin(base::upstream_id{"e2"}, base::token_count{10'000});
    BOOST_TEST(pool.prefill_candidate({}, base::upstream_id{"e6"}, 0.5, start)->value != "e2");
}

BOOST_AUTO_TEST_CASE(a_missing_answer_ranks_all_engines_of_that_data_centre_last) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_engines(0, 8));
    // The three other data centres are cut off, and one engine of each was tried.
    for (auto const* const silent : {"e1", "e2", "e3"}) {
        pool.note_outcome(base::upstream_id{silent}, exchange_outcome::transport_failure, start);
    }
    auto const order = pool.decode_candidates(8, 0.7, start + std::chrono::milliseconds{1});
    auto const first_two = std::vector<std::string>{order[0].value, order[1].value};
    BOOST_TEST(std::ranges::count(first_two, "e0") == 1);
    BOOST_TEST(std::ranges::count(first_two, "e4") == 1);
}

BOOST_AUTO_TEST_CASE(a_recent_answer_keeps_a_data_centre_from_becoming_suspect) {
    auto reachability = data_centre_reachability{};
    auto const here = base::data_centre_id{"dc"};
    reachability.note_answer(here, start);
    reachability.note_no_answer(here, start + std::chrono::milliseconds{20});
    BOOST_TEST(!reachability.is_suspect(here, start + std::chrono::milliseconds{30}));
    reachability.note_no_answer(here, start + data_centre_reachability::recent_answer_window * 2);
    BOOST_TEST(
        reachability.is_suspect(here, start + data_centre_reachability::recent_answer_window * 2));
}

BOOST_AUTO_TEST_CASE(the_time_of_an_answer_follows_its_expected_length) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    auto const answer_of = [](std::int64_t tokens) {
        return generation_size{base::token_count{1000}, base::token_count{tokens}, std::nullopt};
    };
    BOOST_TEST((pool.decode_time(answer_of(100)) == base::duration::zero()));
    for (auto count = 0; count < 20; ++count) {
        pool.note_decode_time(answer_of(100), std::chrono::seconds{2});
    }
    BOOST_TEST(base::to_seconds(pool.decode_time(answer_of(100))) == 2.0,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(base::to_seconds(pool.decode_time(answer_of(300))) == 6.0,
               boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(refused_callers_return_when_room_is_expected) {
    auto const left = std::chrono::seconds{14};
    auto const room = std::chrono::milliseconds{1500};
    BOOST_TEST(base::to_seconds(retry_after(room, left, 0)) == 1.0,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(base::to_seconds(retry_after(room, left, 0.5)) == 1.5,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(base::to_seconds(retry_after(base::duration::zero(), left, 1)) < 0.03);
}

BOOST_AUTO_TEST_CASE(a_retry_leaves_most_of_the_callers_time_for_the_answer) {
    BOOST_TEST(rc::check([] {
        auto const left = std::chrono::milliseconds{*rc::gen::inRange(60, 20'000)};
        auto const room = std::chrono::milliseconds{*rc::gen::inRange(0, 60'000)};
        auto const delay = retry_after(room, left, *rc::gen::inRange(0, 100) / 100.0);
        RC_ASSERT(delay > base::duration::zero());
        RC_ASSERT(delay <= left / 2);
    }));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_rejected_a_request_is_full_until_it_holds_fewer) {
    auto reachability = data_centre_reachability{};
    auto pool = plain_pool{reachability};
    pool.set_members({make_record("a", "dc", {}), make_record("b", "dc", {})});
    auto const a = base::upstream_id{"a"};
    auto const b = base::upstream_id{"b"};
    BOOST_TEST(!pool.is_full(start));
    BOOST_TEST((pool.time_behind_queues(start) == base::duration::zero()));
    auto const rejected = plain_result{exchange_outcome::rejected, std::chrono::milliseconds{2},
                                       load_report{6, 12, 6}};
    pool.started(a);
    pool.ended(a, rejected, start);
    BOOST_TEST(!pool.is_full(start));
    BOOST_TEST((pool.pick({}, 0, start) == b));
    pool.started(b);
    pool.ended(b, rejected, start);
    BOOST_TEST(pool.is_full(start + std::chrono::milliseconds{50}));
    BOOST_TEST((pool.time_behind_queues(start) > base::duration::zero()));
    pool.started(b);
    pool.ended(b,
               {exchange_outcome::answered, std::chrono::milliseconds{100}, load_report{6, 2, 6}},
               start + std::chrono::milliseconds{60});
    BOOST_TEST(!pool.is_full(start + std::chrono::milliseconds{60}));
    BOOST_TEST((pool.pick({}, 0, start + std::chrono::milliseconds{60}) == b));
    // Without a current report, one of them is tried.
    BOOST_TEST(!pool.is_full(start + std::chrono::seconds{1}));
}

// Applies stage changes until the balancer requests no more. Returns their number.
auto settle(stage_balancer& balancer, std::vector<upstream_record>& engines, base::time_point now)
    -> std::size_t {
    auto changes = std::size_t{0};
    while (auto const change = balancer.next_change(engines, now)) {
        balancer.note_ordered(*change, now + std::chrono::seconds{9});
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

BOOST_AUTO_TEST_CASE(surplus_prefill_engines_are_changed_during_startup_once_all_have_registered) {
    auto balancer = stage_balancer{base::fraction{0.22}, start + std::chrono::seconds{8}};
    auto engines = make_engines(5, 9);
    auto const early = settle(balancer, engines, start);
    BOOST_TEST(count_stage(engines, engine_stage::prefill) >= 3U);
    auto const later = settle(balancer, engines, start + stage_balancer::registration_gap);
    BOOST_TEST(early + later == 2U);
    BOOST_TEST(count_stage(engines, engine_stage::prefill) == 3U);
}

BOOST_AUTO_TEST_CASE(engines_that_register_one_after_another_cause_no_later_shortage) {
    BOOST_TEST(rc::check([] {
        auto const prefill = *rc::gen::inRange<std::size_t>(1, 8);
        auto const decode = *rc::gen::inRange<std::size_t>(1, 12);
        auto balancer = stage_balancer{base::fraction{0.22}, start + std::chrono::seconds{30}};
        auto const all = make_engines(prefill, decode);
        auto const wanted = stage_balancer::wanted_prefill(all.size(), base::fraction{0.22});
        RC_PRE(prefill >= wanted);
        // Half of the engines or more register together, the others later in any order.
        auto order = all;
        for (auto index = order.size(); index > 1; --index) {
            std::swap(order[index - 1], order[*rc::gen::inRange<std::size_t>(0, index)]);
        }
        auto registered = std::vector<upstream_record>{};
        while (registered.size() < (all.size() + 1) / 2) {
            registered.push_back(order.back());
            order.pop_back();
        }
        auto now = start;
        for (;;) {
            settle(balancer, registered, now);
            if (order.empty()) {
                break;
            }
            now += stage_balancer::registration_gap / 2;
            registered.push_back(order.back());
            order.pop_back();
        }
        RC_ASSERT(count_stage(registered, engine_stage::prefill) >= wanted);
        settle(balancer, registered, now + stage_balancer::registration_gap);
        auto const kept = stage_balancer::kept_prefill(all.size(), base::fraction{0.22});
        RC_ASSERT(count_stage(registered, engine_stage::prefill) >= wanted);
        RC_ASSERT(count_stage(registered, engine_stage::prefill) <= kept);
    }));
}

BOOST_AUTO_TEST_CASE(a_pool_that_lost_a_decode_engine_keeps_its_prefill_engines) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    // The exact target is 2.42.
    auto engines = make_engines(3, 8);
    BOOST_TEST(settle(balancer, engines, start) == 0U);
    BOOST_TEST(settle(balancer, engines, start + std::chrono::seconds{20}) == 0U);
}

BOOST_AUTO_TEST_CASE(a_severe_lack_of_prefill_engines_is_corrected_soon) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    auto engines = make_engines(1, 9);
    BOOST_TEST(settle(balancer, engines, start) == 0U);
    BOOST_TEST(settle(balancer, engines, start + std::chrono::seconds{1}) == 0U);
    BOOST_TEST(settle(balancer, engines, start + std::chrono::seconds{2}) == 1U);
}

BOOST_AUTO_TEST_CASE(an_engine_whose_change_is_under_way_is_not_chosen_again) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    auto engines = make_engines(3, 9);
    // An order of an earlier time has an engine on its way to decode; its record still has the old
    // stage.
    balancer.note_ordered({engines[0].id, engine_stage::decode}, start + std::chrono::seconds{15});
    BOOST_TEST(!balancer.next_change(engines, start).has_value());
    auto const change = balancer.next_change(engines, start + std::chrono::seconds{6});
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->to == engine_stage::prefill));
    BOOST_TEST(change->engine.value != engines[0].id.value);
}

BOOST_AUTO_TEST_CASE(an_engine_that_shows_its_new_stage_may_be_changed_back) {
    auto balancer = stage_balancer{base::fraction{0.5}, start};
    auto engines = make_engines(2, 2);
    balancer.note_ordered({engines[0].id, engine_stage::decode}, start + std::chrono::seconds{15});
    BOOST_TEST(!balancer.next_change(engines, start).has_value());
    engines[0].stage = engine_stage::decode;
    BOOST_TEST(!balancer.next_change(engines, start + std::chrono::seconds{1}).has_value());
    engines[0].stage = engine_stage::prefill;
    // The change is complete, so this is a later one, made by another host.
    BOOST_TEST(!balancer.next_change(engines, start + std::chrono::seconds{20}).has_value());
}

BOOST_AUTO_TEST_CASE(a_change_that_an_engine_declines_is_replaced_by_that_of_another_engine) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    auto const engines = make_engines(2, 10);
    BOOST_TEST(!balancer.next_change(engines, start).has_value());
    auto const now = start + stage_balancer::min_imbalance_time;
    auto const first = balancer.next_change(engines, now);
    BOOST_REQUIRE(first.has_value());
    balancer.note_declined(first->engine, now + std::chrono::seconds{2});
    auto const second = balancer.next_change(engines, now);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->engine.value != first->engine.value);
    BOOST_TEST((second->to == engine_stage::prefill));
}

BOOST_AUTO_TEST_CASE(a_short_lack_of_prefill_engines_changes_no_stage) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    auto engines = make_engines(2, 11);
    BOOST_TEST(settle(balancer, engines, start) == 0U);
    BOOST_TEST(settle(balancer, engines, start + std::chrono::seconds{5}) == 0U);
    BOOST_TEST(settle(balancer, engines, start + std::chrono::seconds{7}) == 1U);
}

BOOST_AUTO_TEST_CASE(a_short_lack_of_decode_engines_changes_no_stage) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    auto engines = make_engines(3, 11);
    auto crashed = make_engines(4, 7);
    BOOST_TEST(settle(balancer, crashed, start) == 0U);
    BOOST_TEST(settle(balancer, crashed, start + std::chrono::seconds{5}) == 0U);
    BOOST_TEST(settle(balancer, engines, start + std::chrono::seconds{6}) == 0U);
    // A shortage that persists is corrected.
    BOOST_TEST(settle(balancer, crashed, start + std::chrono::seconds{10}) == 0U);
    BOOST_TEST(settle(balancer, crashed, start + std::chrono::seconds{16}) == 1U);
}

BOOST_AUTO_TEST_CASE(the_last_prefill_engine_is_replaced_at_once) {
    auto balancer = stage_balancer{base::fraction{0.22}, start};
    auto engines = make_engines(0, 12);
    BOOST_TEST(settle(balancer, engines, start) >= 1U);
}

BOOST_AUTO_TEST_CASE(no_stage_is_ever_left_without_an_engine) {
    BOOST_TEST(rc::check([] {
        auto const prefill = *rc::gen::inRange<std::size_t>(0, 20);
        auto const decode = *rc::gen::inRange<std::size_t>(0, 20);
        RC_PRE(prefill + decode >= 2);
        auto engines = make_engines(prefill, decode);
        auto balancer = stage_balancer{base::fraction{*rc::gen::inRange(0, 101) / 100.0}, start};
        settle(balancer, engines, start);
        settle(balancer, engines, start + std::chrono::seconds{20});
        RC_ASSERT(count_stage(engines, engine_stage::prefill) >= 1);
        RC_ASSERT(count_stage(engines, engine_stage::decode) >= 1);
    }));
}

BOOST_AUTO_TEST_CASE(a_stage_change_leaves_each_software_version_a_decode_engine) {
    auto engines = make_engines(0, 9);
    for (auto& each : engines) {
        each.software.value = each.id.value == "e0" ? "v1" : "v2";
        each.data_centre.value = each.id.value == "e0" ? "a" : each.id.value;
    }
    // The data centre of `e0` has most engines, so that it would be the first to lose one.
    engines.push_back(make_record("e9", "a", engine_stage::decode));
    engines.back().software.value = "v2";
    auto balancer = stage_balancer{base::fraction{0.2}, start};
    settle(balancer, engines, start);
    settle(balancer, engines, start + std::chrono::seconds{20});
    BOOST_TEST(count_stage(engines, engine_stage::prefill) == 2U);
    BOOST_TEST((engines.front().stage == engine_stage::decode));
}

BOOST_AUTO_TEST_CASE(a_surplus_prefill_engine_goes_to_the_version_without_a_decode_engine) {
    auto engines = make_engines(4, 6);
    for (auto& each : engines) {
        each.software.value = each.id.value == "e3" ? "v1" : "v2";
    }
    auto balancer = stage_balancer{base::fraction{0.3}, start};
    settle(balancer, engines, start);
    settle(balancer, engines, start + std::chrono::seconds{20});
    BOOST_TEST(count_stage(engines, engine_stage::prefill) == 3U);
    BOOST_TEST((engines[3].stage == engine_stage::decode));
}

}  // namespace
}  // namespace linnetlane::routing

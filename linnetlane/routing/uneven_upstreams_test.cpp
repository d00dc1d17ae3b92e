// Tests of the choice among upstreams whose speed differs, for a moment or for good.

#include <cmath>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/uneven_upstreams_model.h"

namespace linnetlane::routing {
namespace {

using std::chrono::milliseconds;

auto const start = base::time_point{} + std::chrono::hours{1};

auto at_pace(double pace) -> load_report {
    return load_report{1, 0, 6, pace};
}

// The sums over runs with five seeds.
template <typename Chooser>
auto run_seeds(uneven_load load) -> uneven_outcome {
    auto sum = uneven_outcome{};
    sum.sent.resize(load.upstreams);
    for (load.seed = 1; load.seed <= 5; ++load.seed) {
        auto const one = uneven_model<Chooser>{load}.run();
        sum.requests += one.requests;
        sum.late += one.late;
        sum.most_at_once = std::max(sum.most_at_once, one.most_at_once);
        for (auto index = std::size_t{0}; index < load.upstreams; ++index) {
            sum.sent[index] += one.sent[index];
        }
    }
    return sum;
}

struct compared {
    uneven_outcome with;
    uneven_outcome without;
};

// Runs the same load with answers that report the pace and with answers that don't. The latter are
// treated as they were before there was a pace.
auto with_and_without_pace(uneven_load load) -> compared {
    load.reports_pace = true;
    auto const with = run_seeds<plain_chooser>(load);
    load.reports_pace = false;
    return {with, run_seeds<plain_chooser>(load)};
}

// Each machine is disturbed by turns for half a second, every second one by none.
auto one_after_the_other(std::size_t machine, double seconds) -> double {
    auto const turn = static_cast<std::size_t>(seconds / 0.5);
    return turn % 4 == 1 && turn / 4 % 4 == machine ? 2.5 : 1.0;
}

// Each machine is disturbed for a share of 0.15 of the time, independently, for 600 ms at a time.
auto at_random(std::size_t machine, double seconds) -> double {
    auto const turn = static_cast<unsigned>(seconds / 0.6);
    auto random = std::minstd_rand{1 + turn * 64 + static_cast<unsigned>(machine)};
    random.discard(3);
    return random() % 100 < 15 ? 2.5 : 1.0;
}

// Returns how many of 200 draws pick an upstream.
auto picks_of(plain_pool const& pool, std::string const& id, base::time_point now) -> int {
    auto count = 0;
    for (auto draw = 0; draw < 200; ++draw) {
        count += pool.pick({}, draw / 200.0, now)->value == id ? 1 : 0;
    }
    return count;
}

auto make_records(std::vector<std::string> const& ids, std::optional<engine_stage> stage)
    -> std::vector<upstream_record> {
    auto records = std::vector<upstream_record>{};
    for (auto const& id : ids) {
        auto made = upstream_record{};
        made.id.value = id;
        made.data_centre.value = "a";
        made.slots = 6;
        made.stage = stage;
        records.push_back(made);
    }
    return records;
}

BOOST_AUTO_TEST_CASE(a_reported_pace_fades_with_its_age_and_is_bounded) {
    auto pace = machine_pace{};
    BOOST_TEST(pace.at(start) == 1.0);
    pace.note(load_report{1, 0, 6}, start);
    BOOST_TEST(pace.at(start) == 1.0);
    pace.note(at_pace(3), start);
    BOOST_TEST(pace.at(start) == 3.0);
    BOOST_TEST(pace.at(start + machine_pace::validity / 2) == 2.0,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(pace.at(start + machine_pace::validity) == 1.0);
    pace.note(at_pace(1e9), start);
    BOOST_TEST(pace.at(start) == machine_pace::most);
    pace.note(at_pace(1e-9), start);
    BOOST_TEST(pace.at(start) == machine_pace::least);
}

BOOST_AUTO_TEST_CASE(a_neighbour_that_disturbs_a_plain_upstream_for_half_a_second_is_avoided_then) {
    auto reachability = data_centre_reachability{};
    auto pool = plain_pool{reachability};
    pool.set_members(make_records({"disturbed", "usual"}, {}));
    auto const answer = [&](std::string const& id, milliseconds took, double pace,
                            base::time_point now) {
        pool.started(base::upstream_id{id});
        pool.ended(base::upstream_id{id}, {exchange_outcome::answered, took, at_pace(pace)}, now);
    };
    for (auto count = 0; count < 20; ++count) {
        answer("disturbed", milliseconds{30}, 1, start);
        answer("usual", milliseconds{30}, 1, start);
    }
    auto const disturbed_until = start + milliseconds{500};
    for (auto now = start; now < disturbed_until; now += milliseconds{25}) {
        answer("disturbed", milliseconds{75}, 2.5, now);
        answer("usual", milliseconds{30}, 1, now);
        BOOST_TEST(picks_of(pool, "disturbed", now) == 0);
    }
    // The upstream is as good as the other when the neighbour has left.
    auto const later = disturbed_until + machine_pace::validity;
    auto const picks = picks_of(pool, "disturbed", later);
    BOOST_TEST(picks >= 70);
    BOOST_TEST(picks <= 130);
}

BOOST_AUTO_TEST_CASE(half_a_second_of_neighbours_at_each_plain_upstream_makes_few_requests_late) {
    for (auto const& [hosts, gain] : std::map<std::size_t, std::size_t>{{1, 2}, {4, 1}}) {
        auto load = uneven_load{.hosts = hosts};
        load.pace = one_after_the_other;
        auto const got = with_and_without_pace(load);
        BOOST_TEST_MESSAGE(hosts << " hosts, late " << got.with.late << " of " << got.with.requests
                                 << ", without pace " << got.without.late << " of "
                                 << got.without.requests);
        BOOST_TEST(got.with.late * gain < got.without.late);
        for (auto const sent : got.with.sent) {
            BOOST_TEST(sent > got.with.requests / 5);
        }
    }
}

BOOST_AUTO_TEST_CASE(neighbours_at_random_make_fewer_requests_late_where_reports_are_fresh) {
    auto load = uneven_load{.hosts = 4};
    load.pace = at_random;
    auto const got = with_and_without_pace(load);
    BOOST_TEST_MESSAGE("late " << got.with.late << ", without pace " << got.without.late);
    BOOST_TEST(got.with.late * 10 < got.without.late * 9);
}

BOOST_AUTO_TEST_CASE(views_two_seconds_old_do_not_change_the_choice) {
    auto reachability = data_centre_reachability{};
    auto told = plain_pool{reachability};
    auto untold = plain_pool{reachability};
    for (auto* const pool : {&told, &untold}) {
        pool->set_members(make_records({"u1", "u2", "u3"}, {}));
        for (auto const* const id : {"u1", "u2", "u3"}) {
            pool->started(base::upstream_id{id});
        }
    }
    auto pace = 2.5;
    for (auto const* const id : {"u1", "u2", "u3"}) {
        auto const usual = milliseconds{40};
        told.ended(base::upstream_id{id},
                   {exchange_outcome::answered,
                    std::chrono::duration_cast<milliseconds>(usual * pace), at_pace(pace)},
                   start);
        untold.ended(base::upstream_id{id},
                     {exchange_outcome::answered, usual, load_report{1, 0, 6}}, start);
        pace = 1;
    }
    auto const now = start + std::chrono::seconds{2};
    BOOST_TEST(picks_of(told, "u1", start) == 0);
    for (auto draw = 0; draw < 200; ++draw) {
        BOOST_TEST((told.pick({}, draw / 200.0, now) == untold.pick({}, draw / 200.0, now)));
    }
}

// Each of 100 hosts hears from each upstream every two seconds.
BOOST_AUTO_TEST_CASE(views_two_seconds_old_make_no_more_requests_late) {
    auto load = uneven_load{.hosts = 100};
    load.pace = at_random;
    auto const got = with_and_without_pace(load);
    BOOST_TEST_MESSAGE("late " << got.with.late << ", without pace " << got.without.late);
    BOOST_TEST(got.with.late <= got.without.late + got.without.late / 20);
}

BOOST_AUTO_TEST_CASE(many_hosts_do_not_herd_on_the_one_upstream_with_the_best_pace) {
    auto load = uneven_load{.hosts = 79, .rate = 400};
    load.pace = [](std::size_t machine, double) { return machine == 2 ? 0.7 : 1.0; };
    auto const got = with_and_without_pace(load);
    BOOST_TEST_MESSAGE("at the best " << got.with.sent[2] << " of " << got.with.requests
                                      << ", most at once " << got.with.most_at_once
                                      << ", without pace " << got.without.sent[2] << " of "
                                      << got.without.requests << ", " << got.without.most_at_once);
    BOOST_TEST(got.with.sent[2] < got.with.requests / 2);
    BOOST_TEST(got.with.most_at_once <= got.without.most_at_once);
    BOOST_TEST(got.with.late <= got.without.late);
}

auto uneven_engines(std::size_t hosts) -> uneven_load {
    return {.hosts = hosts,
            .upstreams = 12,
            .slots = 1,
            .rate = 75,
            .seconds = 30,
            .work = 0.09,
            .aim = 0.4,
            .slowness = {2, 2, 2, 2}};
}

BOOST_AUTO_TEST_CASE(a_third_of_prefill_engines_at_half_speed_get_what_they_finish_in_time) {
    auto const learned = run_seeds<prefill_chooser<true>>(uneven_engines(4));
    auto const common = run_seeds<prefill_chooser<false>>(uneven_engines(4));
    BOOST_TEST_MESSAGE("late " << learned.late << " of " << learned.requests
                               << ", with a common speed " << common.late << " of "
                               << common.requests);
    BOOST_TEST(learned.late * 4 < common.late);
    // They are still used.
    for (auto index = std::size_t{0}; index < 4; ++index) {
        BOOST_TEST(learned.sent[index] > learned.requests / 100);
    }
}

BOOST_AUTO_TEST_CASE(prefill_engines_of_equal_speed_share_as_with_a_common_speed) {
    for (auto const hosts : {1U, 20U}) {
        auto load = uneven_engines(hosts);
        load.slowness.clear();
        load.rate = 100;
        auto const learned = run_seeds<prefill_chooser<true>>(load);
        auto const common = run_seeds<prefill_chooser<false>>(load);
        BOOST_TEST_MESSAGE(hosts << " hosts, late " << learned.late << " of " << learned.requests
                                 << ", with a common speed " << common.late);
        BOOST_TEST(learned.late <= common.late + common.late / 20);
        for (auto const sent : learned.sent) {
            BOOST_TEST(sent * 12 > learned.requests * 9 / 10);
            BOOST_TEST(sent * 12 < learned.requests * 11 / 10);
        }
    }
}

// Notes `count` prefills of 5000 tokens at an engine.
auto note_prefills(generation_pool& pool, std::string const& id, int count, milliseconds took)
    -> void {
    for (auto each = 0; each < count; ++each) {
        pool.note_prefill_time(base::upstream_id{id}, base::token_count{5000}, 0, took, start);
    }
}

auto const engine_ids = std::vector<std::string>{"e0", "e1", "e2", "e3"};

BOOST_AUTO_TEST_CASE(a_slow_prefill_engine_counts_as_slow_only_after_several_prefills) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_records(engine_ids, engine_stage::prefill));
    auto const slow = base::upstream_id{"e0"};
    for (auto const& id : engine_ids) {
        note_prefills(pool, id, 1, milliseconds{id == "e0" ? 200 : 100});
    }
    BOOST_TEST(pool.prefill_slowness(slow, start) < 1.05);
    for (auto const& id : engine_ids) {
        note_prefills(pool, id, 20, milliseconds{id == "e0" ? 200 : 100});
    }
    BOOST_TEST(pool.prefill_slowness(slow, start) > 1.4);
    BOOST_TEST(pool.prefill_slowness(slow, start) < 2.0);
    auto const to_usual = pool.expected_prefill_time({}, base::token_count{5000}, start);
    auto const to_slow = pool.expected_prefill_time(
        {base::upstream_id{"e1"}, base::upstream_id{"e2"}, base::upstream_id{"e3"}},
        base::token_count{5000}, start);
    BOOST_TEST(base::to_seconds(to_usual) == 0.1, boost::test_tools::tolerance(0.1));
    BOOST_TEST(base::to_seconds(to_slow) > 0.15);
    // What was learned is forgotten after a while without prefills.
    BOOST_TEST(pool.prefill_slowness(slow, start + 20 * prefill_speed::half_life) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_prefill_engine_that_restarts_is_learned_anew) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_records(engine_ids, engine_stage::prefill));
    auto const restarted = base::upstream_id{"e0"};
    for (auto const& id : engine_ids) {
        note_prefills(pool, id, 20, milliseconds{id == "e0" ? 200 : 100});
    }
    BOOST_TEST(pool.prefill_slowness(restarted, start) > 1.4);
    pool.forget(restarted);
    pool.set_members(make_records(engine_ids, engine_stage::prefill));
    BOOST_TEST(pool.prefill_slowness(restarted, start) == 1.0);
    note_prefills(pool, "e0", 20, milliseconds{100});
    BOOST_TEST(pool.prefill_slowness(restarted, start) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_neighbour_of_a_prefill_engine_is_not_learned_as_its_speed) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_records(engine_ids, engine_stage::prefill));
    for (auto const& id : engine_ids) {
        pool.begin(base::upstream_id{id}, base::token_count{5000});
        pool.end(base::upstream_id{id}, base::token_count{5000});
        pool.note_load(base::upstream_id{id}, load_report{0, 0, 6, id == "e0" ? 2.5 : 1.0}, start);
        note_prefills(pool, id, 20, milliseconds{id == "e0" ? 250 : 100});
    }
    BOOST_TEST(pool.prefill_slowness(base::upstream_id{"e0"}, start) == 1.0);
    auto const expected_at_e0 = [&](base::time_point now) {
        return base::to_seconds(pool.expected_prefill_time(
            {base::upstream_id{"e1"}, base::upstream_id{"e2"}, base::upstream_id{"e3"}},
            base::token_count{5000}, now));
    };
    BOOST_TEST(expected_at_e0(start) == 0.25, boost::test_tools::tolerance(0.01));
    BOOST_TEST(expected_at_e0(start + machine_pace::validity) == 0.1,
               boost::test_tools::tolerance(0.01));
    for (auto draw = 0; draw < 100; ++draw) {
        auto const chosen =
            pool.prefill_candidate({}, base::upstream_id{"none"}, draw / 100.0, start);
        BOOST_TEST(chosen->value != "e0");
    }
}

BOOST_AUTO_TEST_CASE(a_neighbour_of_a_decode_engine_makes_it_the_last_choice_for_a_moment) {
    auto reachability = data_centre_reachability{};
    auto pool = generation_pool{reachability};
    pool.set_members(make_records(engine_ids, engine_stage::decode));
    pool.begin(base::upstream_id{"e1"}, base::token_count{5000});
    pool.end(base::upstream_id{"e1"}, base::token_count{5000});
    pool.note_load(base::upstream_id{"e0"}, load_report{0, 0, 6, 2.5}, start);
    auto firsts = 0;
    for (auto draw = 0; draw < 100; ++draw) {
        BOOST_TEST(pool.decode_candidates(4, draw / 100.0, start).back().value == "e0");
        auto const later = start + machine_pace::validity;
        firsts += pool.decode_candidates(4, draw / 100.0, later).front().value == "e0" ? 1 : 0;
    }
    BOOST_TEST(firsts > 10);
}

}  // namespace
}  // namespace linnetlane::routing

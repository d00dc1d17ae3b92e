// Tests order givers on a fake network, platform store and clock.

#include "linnetlane/order/order_giver.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "linnetlane/order/fake_engines.h"

namespace linnetlane::order {
namespace {

using namespace std::chrono_literals;

auto inject_random_fault(fake_engines& fakes) -> void {
    auto const number = *rc::gen::inRange<std::size_t>(0, fakes.givers.size());
    switch (*rc::gen::inRange(0, 8)) {
        case 0:
            fakes.faults = {0.1, 0.1, 0.3, 0.3, 1500ms};
            break;
        case 1:
            fakes.platform_down = !fakes.platform_down;
            break;
        case 2:
            fakes.start(number);
            break;
        case 3:
            fakes.pause(number);
            break;
        case 4:
            fakes.resume(number);
            break;
        case 5:
            fakes.step(number, candidate_changed{*rc::gen::arbitrary<bool>()});
            break;
        default:
            break;
    }
}

RC_BOOST_PROP(an_engine_gets_one_order_at_a_time_and_loses_no_request, (std::uint64_t seed)) {
    // All engines may change at the same time, so that orders are in transit at each takeover.
    auto all_at_once = limits{};
    all_at_once.engines_per_concurrent_drain = 1;
    auto fakes = fake_engines{seed, 3, 8, 8, all_at_once};
    fakes.configuration.deployment.weight_loads_per_second = 10;
    fakes.send_document();
    auto const steps = *rc::gen::inRange(1, 40);
    for (auto step = 0; step < steps; ++step) {
        inject_random_fault(fakes);
        if (*rc::gen::inRange(0, 3) == 0) {
            fakes.deploy(std::to_string(step));
        }
        fakes.time.run_for(*rc::gen::inRange(1, 30'000) * 1ms);
        RC_ASSERT(fakes.orders_while_busy == 0U);
        RC_ASSERT(fakes.orders_that_cut_off_requests == 0U);
    }
    fakes.faults = {};
    fakes.platform_down = false;
    for (auto const& [number, process] : fakes.givers) {
        fakes.resume(number);
        fakes.step(number, candidate_changed{number == 0});
    }
    fakes.deploy("last");
    fakes.time.run_for(300s);
    RC_ASSERT(fakes.all_engines_run("last"));
    RC_ASSERT(fakes.drains.empty());
    RC_ASSERT(fakes.orders_while_busy == 0U);
    RC_ASSERT(fakes.orders_that_cut_off_requests == 0U);
}

RC_BOOST_PROP(a_giver_that_hands_over_leaves_no_order_to_meet_the_next, (std::uint64_t seed)) {
    auto fakes = fake_engines{seed, 1, 6, 0};
    fakes.configuration.deployment.weight_loads_per_second = 10;
    fakes.deploy("2");
    while (fakes.orders_sent == 0U) {
        fakes.time.run_for(50ms);
    }
    fakes.step(0, candidate_changed{false});
    // The next order giver can acquire the lease immediately.
    fakes.time.run_for(100ms);
    fakes.start(1);
    fakes.deploy("3");
    fakes.time.run_for(60s);
    RC_ASSERT(fakes.orders_while_busy == 0U);
}

RC_BOOST_PROP(at_most_one_giver_may_send_at_a_time, (std::uint64_t seed)) {
    auto fakes = fake_engines{seed, 3, 1, 1};
    for (auto step = 0; step < 1500; ++step) {
        if (step % 30 == 0) {
            inject_random_fault(fakes);
        }
        fakes.time.run_for(100ms);
        auto holders = 0;
        for (auto const& [number, process] : fakes.givers) {
            holders += process->holds_lease(fakes.time.now()) ? 1 : 0;
        }
        RC_ASSERT(holders <= 1);
    }
}

BOOST_AUTO_TEST_CASE(a_lease_ends_a_span_after_the_call_that_kept_it_was_sent) {
    auto const start = base::time_point{1h};
    auto commands = std::vector<command>{};
    auto lease = lease_holder{{"findings"}, limits{}, "writer"};
    auto store = coordination::fake_store{};
    // Each call takes effect immediately and is answered two seconds later.
    auto now = start;
    auto const answer_late = [&] {
        auto const wanted = std::get<call_store>(commands.back()).call;
        auto const answer = store.run(wanted, now);
        now += 2s;
        commands.clear();
        return lease.handle(*answer, now, commands);
    };
    lease.set_candidate(true, now, commands);
    lease.run_due(now, commands);
    answer_late();
    answer_late();
    BOOST_TEST((answer_late() == lease_change::acquired));
    BOOST_TEST(!lease.is_held(start + limits{}.lease_span));
    lease.run_due(now, commands);
    auto const sent = now;
    answer_late();
    BOOST_TEST(lease.is_held(sent + limits{}.lease_span - 1ms));
    BOOST_TEST(!lease.is_held(sent + limits{}.lease_span));
}

BOOST_AUTO_TEST_CASE(loads_keep_to_the_rate_of_the_weight_store_across_givers) {
    auto fakes = fake_engines{1, 2, 15, 15};
    fakes.configuration.deployment.weight_loads_per_second = 0.2;
    fakes.deploy("2");
    for (auto step = 0; step < 10; ++step) {
        fakes.time.run_for(20s);
        fakes.start(static_cast<std::size_t>(step % 2));
    }
    fakes.time.run_for(600s);
    BOOST_TEST(fakes.all_engines_run("2"));
    BOOST_TEST_REQUIRE(fakes.loads.size() == 30U);
    for (auto place = std::size_t{1}; place < fakes.loads.size(); ++place) {
        // An order takes up to 4 s to arrive at a fake engine.
        BOOST_TEST((fakes.loads[place] - fakes.loads[place - 1] >= 5s - 4s));
    }
    BOOST_TEST((fakes.loads.back() - fakes.loads.front() >= 29 * 5s - 4s));
}

BOOST_AUTO_TEST_CASE(a_new_giver_does_not_begin_with_a_load_to_spare) {
    auto fakes = fake_engines{7, 1, 20, 20};
    fakes.configuration.deployment.weight_loads_per_second = 0.01;
    fakes.deploy("2");
    fakes.time.run_for(300s);
    auto const before = fakes.loads.size();
    BOOST_TEST_REQUIRE(before > 0U);
    auto const last = fakes.loads.back();
    while (fakes.loads.size() == before) {
        fakes.time.run_for(1s);
    }
    fakes.start(0);
    fakes.time.run_for(200s);
    BOOST_TEST_REQUIRE(fakes.loads.size() > before + 1);
    BOOST_TEST((fakes.loads[before] - last >= 100s - 4s));
    BOOST_TEST((fakes.loads[before + 1] - fakes.loads[before] >= 100s - 4s));
}

BOOST_AUTO_TEST_CASE(a_rollout_drains_few_engines_at_a_time) {
    auto fakes = fake_engines{2, 1, 20, 20};
    fakes.configuration.deployment.weight_loads_per_second = 10;
    fakes.deploy("2");
    fakes.time.run_for(600s);
    BOOST_TEST(fakes.all_engines_run("2"));
    BOOST_TEST(fakes.max_drained == 4U);
}

BOOST_AUTO_TEST_CASE(a_successor_ends_the_drains_that_a_dead_giver_began) {
    auto fakes = fake_engines{3, 1, 1, 1};
    fakes.configuration.deployment.weight_loads_per_second = 10;
    fakes.deploy("2");
    fakes.time.run_for(1s);
    while (fakes.drains.empty()) {
        fakes.time.run_for(100ms);
    }
    fakes.deploy("1");
    fakes.start(0);
    fakes.time.run_for(60s);
    BOOST_TEST(fakes.drains.empty());
    BOOST_TEST(fakes.all_engines_run("1"));
}

auto apply_pressure(fake_engines& fakes, double prefill, double decode, base::duration span)
    -> void {
    for (auto passed = base::duration{0}; passed < span; passed += 10s) {
        fakes.step(0, pressure_measured{{"a"}, {prefill}, {decode}});
        fakes.time.run_for(10s);
    }
}

BOOST_AUTO_TEST_CASE(pools_follow_lasting_pressure_within_their_bounds) {
    auto fakes = fake_engines{4, 1, 3, 3};
    fakes.configuration.deployment.least_decode = 2;
    fakes.configuration.deployment.most_decode = 4;
    fakes.send_document();
    fakes.time.run_for(30s);
    apply_pressure(fakes, 0.3, 1.2, 60s);
    BOOST_TEST(fakes.decode_engines() == 3);
    apply_pressure(fakes, 0.3, 1.2, 180s);
    BOOST_TEST(fakes.decode_engines() == 4);
    apply_pressure(fakes, 0.3, 1.2, 600s);
    BOOST_TEST(fakes.decode_engines() == 4);
    apply_pressure(fakes, 1.2, 0.3, 1200s);
    BOOST_TEST(fakes.decode_engines() == 2);
    BOOST_TEST(fakes.orders_that_cut_off_requests == 0U);
}

BOOST_AUTO_TEST_CASE(pressure_that_comes_and_goes_moves_no_engine) {
    auto fakes = fake_engines{5, 1, 3, 3};
    fakes.configuration.deployment.least_decode = 1;
    fakes.configuration.deployment.most_decode = 5;
    fakes.send_document();
    for (auto round = 0; round < 20; ++round) {
        apply_pressure(fakes, 0.3, 1.2, 60s);
        apply_pressure(fakes, 0.8, 0.8, 20s);
        apply_pressure(fakes, 1.2, 0.3, 60s);
    }
    BOOST_TEST(fakes.decode_engines() == 3);
    for (auto const& [upstream, engine] : fakes.engines) {
        BOOST_TEST(engine.orders == 0U);
    }
}

BOOST_AUTO_TEST_CASE(in_an_outage_of_the_platform_no_order_is_given) {
    auto fakes = fake_engines{6, 1, 2, 2};
    fakes.time.run_for(30s);
    fakes.platform_down = true;
    fakes.deploy("2");
    fakes.time.run_for(120s);
    for (auto const& [upstream, engine] : fakes.engines) {
        BOOST_TEST(engine.orders == 0U);
    }
    fakes.platform_down = false;
    fakes.time.run_for(300s);
    BOOST_TEST(fakes.all_engines_run("2"));
}

}  // namespace
}  // namespace linnetlane::order

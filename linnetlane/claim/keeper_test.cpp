// Tests of the claim keeper on a simulated network, platform and clock.

#include "linnetlane/claim/keeper.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>

#include "linnetlane/claim/fake_claims.h"

namespace linnetlane::claim {
namespace {

using namespace std::chrono_literals;

auto two_shards() -> limits {
    auto bounds = limits{};
    bounds.shards = 2;
    return bounds;
}

constexpr auto heavy_faults = fake_faults{0.2, 0.3, 0.1, 0.2, 300ms};

auto inject_random_fault(fake_claims& claims) -> void {
    auto const keeper = *rc::gen::inRange<std::size_t>(0, claims.keepers.size());
    switch (*rc::gen::inRange(0, 7)) {
        case 0:
            claims.faults = heavy_faults;
            break;
        case 1:
            claims.platform_down = !claims.platform_down;
            break;
        case 2:
            claims.start(keeper);
            break;
        case 3:
            claims.set_kept(keeper, *rc::gen::arbitrary<bool>());
            break;
        case 4:
            claims.clear_faults();
            break;
        default:
            break;
    }
}

RC_BOOST_PROP(a_keyed_call_runs_at_most_once_under_any_keeper, (std::uint64_t seed)) {
    auto claims = fake_claims{seed, *rc::gen::inRange<std::size_t>(1, 4), two_shards()};
    claims.faults = heavy_faults;
    auto const keys = std::vector<std::string>{"a", "b", "c"};
    auto const any_bool = rc::gen::arbitrary<bool>();
    auto const steps = *rc::gen::inRange(1, 40);
    for (auto step = 0; step < steps; ++step) {
        inject_random_fault(claims);
        // Makes four calls with the same key. The entry hosts of some of them fail to send the
        // call.
        auto const called = *rc::gen::elementOf(keys);
        for (auto const cannot_send : *rc::gen::container<std::vector<bool>>(4, any_bool)) {
            claims.begin_call(called, cannot_send);
        }
        claims.time.run_for(*rc::gen::inRange(1, 800) * 1ms);
        for (auto const& key : keys) {
            RC_ASSERT(claims.count_runs(key) <= 1U);
        }
    }
    claims.clear_faults();
    for (auto const& [number, keeper] : claims.keepers) {
        claims.set_kept(number, true);
    }
    claims.time.run_for(10s);
    for (auto const& key : keys) {
        RC_ASSERT(claims.count_runs(key) <= 1U);
    }
    auto const fresh = claims.begin_call("fresh");
    claims.time.run_for(4s);
    RC_ASSERT(claims.calls.at(fresh).ran);
}

RC_BOOST_PROP(a_second_call_gets_the_state_and_answer_of_the_first, (std::uint64_t seed)) {
    auto claims = fake_claims{seed, 1, two_shards()};
    claims.begin_call("key");
    claims.time.run_for(2s);
    if (*rc::gen::arbitrary<bool>()) {
        claims.start(0);
    }
    auto const second = claims.begin_call("key");
    claims.time.run_for(2s);
    auto const& reply = claims.calls.at(second).reply;
    RC_ASSERT(reply.has_value());
    RC_ASSERT(reply->verdict == verdict::already_claimed);
    RC_ASSERT(reply->state == claim_state::answered);
    RC_ASSERT(reply->answer->body == "notice");
}

RC_BOOST_PROP(records_round_trip_through_their_stored_form, ()) {
    auto const bytes = rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto stored = record{};
    stored.service = {"notices"};
    stored.key = {*bytes};
    stored.claimant = {{"entry"}, {*rc::gen::arbitrary<std::uint64_t>()}, {3}};
    stored.state = claim_state::answered;
    stored.answer = stored_answer{200, *bytes, *bytes};
    stored.keep_until = wall_time{*rc::gen::inRange<std::int64_t>(0, 1LL << 45) * 1ms};
    auto const value = to_value(std::vector{stored});
    RC_ASSERT(parse_records(value) == std::vector{stored});
    RC_ASSERT(value.size() <= max_serialized_size(stored) + 2);
}

BOOST_AUTO_TEST_CASE(in_a_platform_outage_claims_are_refused_as_not_run) {
    auto claims = fake_claims{1, 1, two_shards()};
    claims.platform_down = true;
    auto const number = claims.begin_call("key");
    claims.time.run_for(1s);
    auto const& call = claims.calls.at(number);
    BOOST_TEST_REQUIRE(call.reply.has_value());
    BOOST_TEST((call.reply->verdict == verdict::platform_unavailable));
    BOOST_TEST(!call.ran);
    claims.platform_down = false;
    claims.time.run_for(5s);
    BOOST_TEST(claims.store.current_revision() == coordination::revision{});
}

BOOST_AUTO_TEST_CASE(a_call_that_was_not_sent_frees_its_key) {
    auto claims = fake_claims{2, 1, two_shards()};
    claims.begin_call("key", true);
    claims.time.run_for(2s);
    auto const second = claims.begin_call("key");
    claims.time.run_for(2s);
    BOOST_TEST(claims.calls.at(second).ran);
}

BOOST_AUTO_TEST_CASE(a_delayed_duplicate_of_a_withdrawn_claim_does_not_hold_the_key) {
    auto claims = fake_claims{10, 1, two_shards()};
    auto const first = claims.begin_call("key", true);
    claims.time.run_for(2s);
    claims.step(0, request_received{claims.calls.at(first).request, claims.wall()});
    claims.time.run_for(2s);
    auto const second = claims.begin_call("key");
    claims.time.run_for(2s);
    BOOST_TEST(claims.calls.at(second).ran);
}

BOOST_AUTO_TEST_CASE(only_the_claimant_settles_its_claim) {
    auto claims = fake_claims{11, 1, two_shards()};
    claims.entry_hosts_settle = false;
    auto const first = claims.begin_call("key");
    claims.time.run_for(2s);
    auto const& sent = claims.calls.at(first).request;
    auto other = sent.claimant;
    other.number = {99};
    auto const settle =
        settle_request{other, sent.service, sent.key, claim_state::not_run, std::nullopt};
    claims.step(0, request_received{settle, claims.wall()});
    claims.time.run_for(2s);
    claims.begin_call("key");
    claims.time.run_for(2s);
    BOOST_TEST(claims.count_runs("key") == 1U);
}

BOOST_AUTO_TEST_CASE(a_claim_of_a_host_that_is_gone_has_an_unknown_outcome) {
    auto claims = fake_claims{3, 1, two_shards()};
    claims.entry_hosts_settle = false;
    claims.begin_call("key");
    claims.time.run_for(2s);
    claims.step(0, view_changed{{{0}, {1}}, {{{"entry"}, {2}}}});
    auto const second = claims.begin_call("key");
    claims.time.run_for(2s);
    auto const& reply = claims.calls.at(second).reply;
    BOOST_TEST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->verdict == verdict::already_claimed));
    BOOST_TEST((reply->state == claim_state::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(a_record_is_kept_for_the_minimum_retention) {
    auto claims = fake_claims{8, 1, two_shards()};
    // The entry host requests a retention that ends at once.
    claims.begin_call("key");
    claims.time.run_for(limits{}.min_retention - 1s);
    claims.start(0);
    claims.begin_call("key");
    claims.time.run_for(2s);
    BOOST_TEST(claims.count_runs("key") == 1U);
}

BOOST_AUTO_TEST_CASE(a_shard_that_cannot_be_read_grants_nothing) {
    auto claims = fake_claims{9, 1, two_shards()};
    claims.begin_call("key");
    claims.time.run_for(2s);
    for (auto const shard : {shard_number{0}, shard_number{1}}) {
        claims.store.put(segment_key(shard, 0), "damaged");
    }
    claims.start(0);
    claims.begin_call("key");
    claims.time.run_for(10s);
    BOOST_TEST(claims.count_runs("key") == 1U);
}

BOOST_AUTO_TEST_CASE(a_full_shard_refuses_claims_until_records_expire) {
    auto bounds = two_shards();
    bounds.shards = 1;
    bounds.max_shard_bytes = 2000;
    bounds.segment_bytes = 500;
    auto claims = fake_claims{4, 1, bounds};
    for (auto number = 0; number < 20; ++number) {
        claims.begin_call("key-" + std::to_string(number));
        claims.time.run_for(1s);
    }
    auto const last = claims.calls.rbegin()->second;
    BOOST_TEST((last.reply->verdict == verdict::shard_full));
    BOOST_TEST(!last.ran);
    claims.time.run_for(15min);
    auto const later = claims.begin_call("later");
    claims.time.run_for(2s);
    BOOST_TEST(claims.calls.at(later).ran);
}

BOOST_AUTO_TEST_CASE(expired_records_free_space_in_their_shard) {
    auto bounds = two_shards();
    bounds.shards = 1;
    bounds.segment_bytes = 1000;
    bounds.max_shard_bytes = 8000;
    auto claims = fake_claims{5, 1, bounds};
    for (auto number = 0; number < 200; ++number) {
        claims.begin_call("key-" + std::to_string(number));
        claims.time.run_for(60s);
    }
    auto ran = 0;
    for (auto const& [number, call] : claims.calls) {
        ran += call.ran ? 1 : 0;
    }
    BOOST_TEST(ran == 200);
}

BOOST_AUTO_TEST_CASE(writes_are_bounded_at_any_request_rate) {
    auto const writes_with = [](int calls) {
        auto claims = fake_claims{6, 1, two_shards()};
        for (auto step = 0; step < 100; ++step) {
            for (auto each = 0; each < calls; ++each) {
                claims.begin_call(std::to_string(step) + "/" + std::to_string(each));
            }
            claims.time.run_for(100ms);
        }
        BOOST_TEST_MESSAGE(calls * 10 << " requests a second: " << claims.writes
                                      << " writes in 10 s, largest value " << claims.largest_value
                                      << " bytes");
        BOOST_TEST(claims.largest_value < 1'000'000U);
        return claims.writes;
    };
    auto const few = writes_with(1);
    auto const many = writes_with(40);
    // 2 shards * 4 writes/s * 10 s = 80, plus 8 for writes in progress at the start and end.
    constexpr auto max_writes = std::size_t{88};
    BOOST_TEST(many <= max_writes);
    BOOST_TEST(many <= 2 * few);
}

BOOST_AUTO_TEST_CASE(claims_missing_from_a_restored_platform_are_written_back) {
    auto claims = fake_claims{7, 1, two_shards()};
    claims.begin_call("earlier");
    claims.time.run_for(2s);
    auto const backup = claims.store;
    for (auto number = 0; number < 10; ++number) {
        claims.begin_call("key-" + std::to_string(number));
        claims.time.run_for(2s);
    }
    claims.store = backup;
    // Calls in each shard make the keeper notice the older state.
    for (auto number = 0; number < 8; ++number) {
        claims.begin_call("after-" + std::to_string(number));
        claims.time.run_for(2s);
    }
    claims.start(0);
    auto const second = claims.begin_call("key-9");
    claims.time.run_for(2s);
    BOOST_TEST((claims.calls.at(second).reply->verdict == verdict::already_claimed));
}

}  // namespace
}  // namespace linnetlane::claim

// Tests membership on a fake network and clock.

#include "linnetlane/membership/member.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "linnetlane/membership/fake_fleet.h"

namespace linnetlane::membership {
namespace {

using namespace std::chrono_literals;

// Bounds the time from a host's failure until every other host has declared it gone.
constexpr auto eviction_bound = base::duration{2s};

auto cut_both_ways(fake_fleet& fleet, base::host_id const& left, base::host_id const& right)
    -> void {
    fleet.cut_links.insert({left, right});
    fleet.cut_links.insert({right, left});
}

RC_BOOST_PROP(hosts_that_start_at_once_find_each_other, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.faults.loss = 0.05;
    fleet.faults.duplicates = 0.05;
    fleet.start("a", *rc::gen::inRange<std::size_t>(1, 40));
    fleet.time.run_for(8s);
    RC_ASSERT(fleet.agrees_on("a"));
    RC_ASSERT(fleet.evictions.empty());
}

RC_BOOST_PROP(a_killed_host_is_evicted_in_time_and_no_other, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", *rc::gen::inRange<std::size_t>(2, 60));
    fleet.time.run_for(6s + *rc::gen::inRange(0, 1000) * 1ms);
    auto const victim = *rc::gen::elementOf(fleet.all_hosts());
    fleet.kill(victim);
    fleet.time.run_for(eviction_bound);
    RC_ASSERT(fleet.agrees_on("a"));
    auto const other = [&](auto const& each) { return each.evicted.host != victim; };
    RC_ASSERT(std::none_of(fleet.evictions.begin(), fleet.evictions.end(), other));
}

RC_BOOST_PROP(a_closed_link_shortens_the_suspicion_of_a_dead_host, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", 12);
    fleet.time.run_for(6s);
    auto const victim = base::host_id{"a-3"};
    fleet.kill(victim);
    for (auto const& host : fleet.live_hosts()) {
        fleet.step(host, link_lost{victim});
    }
    fleet.time.run_for(800ms);
    RC_ASSERT(fleet.agrees_on("a"));
}

RC_BOOST_PROP(a_closed_link_alone_evicts_nobody, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", 5);
    fleet.time.run_for(6s);
    for (auto const& host : fleet.live_hosts()) {
        fleet.step(host, link_lost{{"a-3"}});
    }
    fleet.time.run_for(5s);
    RC_ASSERT(fleet.evictions.empty());
}

RC_BOOST_PROP(one_lost_message_evicts_nobody, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", *rc::gen::inRange<std::size_t>(2, 6));
    fleet.time.run_for(4s);
    fleet.dropped_message = fleet.messages + *rc::gen::inRange<std::size_t>(1, 60);
    fleet.time.run_for(6s);
    RC_ASSERT(fleet.evictions.empty());
}

RC_BOOST_PROP(lossy_links_evict_nobody, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", *rc::gen::inRange<std::size_t>(3, 20));
    fleet.time.run_for(4s);
    fleet.faults = {0.1, 0.1, 200us, 60ms};
    fleet.time.run_for(30s);
    RC_ASSERT(fleet.evictions.empty());
}

RC_BOOST_PROP(a_link_cut_one_way_evicts_nobody, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", 6);
    fleet.time.run_for(6s);
    auto const from = *rc::gen::elementOf(fleet.all_hosts());
    auto const to = *rc::gen::elementOf(fleet.all_hosts());
    fleet.cut_links.insert({from, to});
    fleet.time.run_for(20s);
    RC_ASSERT(fleet.evictions.empty());
}

RC_BOOST_PROP(a_paused_host_may_not_act_once_a_peer_has_evicted_it, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", *rc::gen::inRange<std::size_t>(2, 20));
    fleet.time.run_for(6s);
    auto const victim = *rc::gen::elementOf(fleet.all_hosts());
    auto const incarnation = fleet.member_at(victim).self().incarnation;
    fleet.pause(victim);
    auto const span = *rc::gen::inRange(100, 4000) * 1ms;
    for (auto passed = 0ms; passed < span; passed += 10ms) {
        fleet.time.run_for(10ms);
        auto const evicted = !fleet.evictions.empty();
        RC_ASSERT(!(evicted && fleet.member_at(victim).may_act(fleet.time.now())));
    }
    auto const was_evicted = !fleet.evictions.empty();
    fleet.resume(victim);
    RC_ASSERT(!was_evicted || fleet.member_at(victim).self().incarnation > incarnation);
    RC_ASSERT(!was_evicted || !fleet.member_at(victim).may_act(fleet.time.now()));
    fleet.time.run_for(5s);
    RC_ASSERT(fleet.agrees_on("a"));
    RC_ASSERT(fleet.member_at(victim).may_act(fleet.time.now()));
}

RC_BOOST_PROP(halves_of_a_data_centre_join_again_after_a_cut, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", *rc::gen::inRange<std::size_t>(2, 12));
    fleet.time.run_for(6s);
    auto const all_hosts = fleet.all_hosts();
    auto const half = all_hosts.size() / 2;
    for (auto left = std::size_t{0}; left < half; ++left) {
        for (auto right = half; right < all_hosts.size(); ++right) {
            cut_both_ways(fleet, all_hosts[left], all_hosts[right]);
        }
    }
    fleet.time.run_for(20s);
    RC_ASSERT(fleet.member_at(all_hosts.front()).hosts().present_in({"a"}).size() == half);
    fleet.cut_links.clear();
    fleet.time.run_for(20s);
    RC_ASSERT(fleet.agrees_on("a"));
}

RC_BOOST_PROP(a_replaced_host_is_known_by_its_new_incarnation, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", 8);
    fleet.time.run_for(6s);
    auto const victim = base::host_id{"a-2"};
    fleet.kill(victim);
    fleet.time.run_for(*rc::gen::inRange(1, 4000) * 1ms);
    // The new process may start with an incarnation that isn't higher, as if its clock were behind.
    fleet.replace(victim, *rc::gen::inRange<std::uint64_t>(1, 3));
    fleet.time.run_for(6s);
    RC_ASSERT(fleet.agrees_on("a"));
    for (auto const& host : fleet.live_hosts()) {
        auto const* const record = fleet.member_at(host).hosts().find(victim);
        RC_ASSERT(record->incarnation == fleet.member_at(victim).self().incarnation);
    }
    RC_ASSERT(fleet.superseded_hosts.empty());
}

RC_BOOST_PROP(a_leaving_mark_reaches_all_within_a_second, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", 51);
    fleet.time.run_for(8s);
    auto const host = base::host_id{"a-7"};
    fleet.step(host, leave{});
    fleet.time.run_for(1s);
    for (auto const& other : fleet.live_hosts()) {
        auto const* const record = fleet.member_at(other).hosts().find(host);
        RC_ASSERT(record != nullptr && record->leaving);
    }
}

RC_BOOST_PROP(data_centres_follow_each_other_and_outlast_a_cut, (std::uint64_t seed)) {
    auto fleet = fake_fleet{seed};
    fleet.start("a", 6);
    fleet.start("b", 6);
    fleet.time.run_for(15s);
    RC_ASSERT(fleet.agrees_on("a") && fleet.agrees_on("b"));
    for (auto const& left : fleet.all_hosts()) {
        for (auto const& right : fleet.all_hosts()) {
            if (left.value.front() != right.value.front()) {
                cut_both_ways(fleet, left, right);
            }
        }
    }
    fleet.time.run_for(30s);
    RC_ASSERT(fleet.evictions.empty());
    fleet.cut_links.clear();
    fleet.kill({"a-1"});
    fleet.time.run_for(15s);
    RC_ASSERT(fleet.agrees_on("a") && fleet.agrees_on("b"));
}

BOOST_AUTO_TEST_CASE(a_woken_host_that_was_replaced_gives_way) {
    auto fleet = fake_fleet{1};
    fleet.start("a", 5);
    fleet.time.run_for(6s);
    auto old = fleet.member_at({"a-2"});
    fleet.kill({"a-2"});
    fleet.replace({"a-2"}, 7);
    fleet.time.run_for(6s);
    auto const replaced = *fleet.member_at({"a-1"}).hosts().find({"a-2"});
    BOOST_TEST(replaced.incarnation == base::incarnation{7});
    auto const update = gossip{fleet.member_at({"a-1"}).self(), {replaced}};
    auto const commands = old.handle(received{update}, fleet.time.now());
    auto const is_superseded = [](command const& each) {
        return std::holds_alternative<superseded>(each);
    };
    BOOST_TEST(std::any_of(commands.begin(), commands.end(), is_superseded));
    BOOST_TEST(!old.may_act(fleet.time.now()));
}

}  // namespace
}  // namespace linnetlane::membership

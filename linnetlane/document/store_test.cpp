// Tests of the document store on a simulated network, platform and clock.

#include "linnetlane/document/store.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

#include "linnetlane/document/fake_hosts.h"
#include "linnetlane/document/stored_value.h"

namespace linnetlane::document {
namespace {

using namespace std::chrono_literals;

auto is_removed(fake_hosts& hosts, std::size_t number) -> bool {
    return hosts.in_force(number, "findings").removed;
}

// The ids of all writes of the service that the platform has ever accepted.
auto written_ids(fake_hosts const& hosts) -> std::set<std::string> {
    auto ids = std::set<std::string>{};
    for (auto const& entry : hosts.store_state.changes(current_prefix, {})) {
        if (auto const stored = parse_value({"findings"}, entry.value)) {
            ids.insert(stored->write_id);
        }
    }
    return ids;
}

auto inject_random_fault(fake_hosts& hosts) -> void {
    auto const host = *rc::gen::inRange<std::size_t>(0, hosts.hosts.size());
    switch (*rc::gen::inRange(0, 7)) {
        case 0:
            hosts.faults = {0.2, 0.1, 0.2, 0.2, 0.3, 80ms};
            break;
        case 1:
            hosts.platform_down = !hosts.platform_down;
            break;
        case 2:
            hosts.cut_from_platform.insert(host);
            break;
        case 3:
            hosts.cut_from_peers.insert(host);
            break;
        case 4:
            hosts.start(host);
            break;
        default:
            hosts.clear_faults();
            break;
    }
}

auto apply_at_random_host(fake_hosts& hosts) -> void {
    auto const host = *rc::gen::inRange<std::size_t>(0, hosts.hosts.size());
    auto const replaces = hosts.in_force(host, "findings").generation;
    auto text = std::optional<std::string>{"text"};
    if (*rc::gen::inRange(0, 8) == 0) {
        text.reset();
    }
    hosts.apply_at(host, "findings", replaces, text);
}

RC_BOOST_PROP(accepted_versions_never_revert_and_all_hosts_converge, (std::uint64_t seed)) {
    auto hosts = fake_hosts{seed, *rc::gen::inRange<std::size_t>(2, 7)};
    hosts.time.run_for(1s);
    auto const steps = *rc::gen::inRange(1, 25);
    for (auto step = 0; step < steps; ++step) {
        inject_random_fault(hosts);
        apply_at_random_host(hosts);
        apply_at_random_host(hosts);
        hosts.time.run_for(*rc::gen::inRange(1, 3000) * 1ms);
        RC_ASSERT(!hosts.reverted);
    }
    hosts.clear_faults();
    hosts.time.run_for(100s);
    RC_ASSERT(!hosts.reverted);
    RC_ASSERT(hosts.live_hosts_have_equal_documents());
    auto const newest = hosts.in_force(0, "findings");
    auto generations = std::set<base::generation>{};
    for (auto const& each : hosts.accepted) {
        RC_ASSERT(each.version.generation <= newest.generation);
        RC_ASSERT(generations.insert(each.version.generation).second);
    }
    auto const ids = written_ids(hosts);
    for (auto const& each : hosts.refusals) {
        auto const id = "write-" + std::to_string(each.number.value);
        RC_ASSERT(each.reason == refusal::outcome_unknown || !ids.contains(id));
    }
    for (auto const& each : hosts.conflicts) {
        RC_ASSERT(!ids.contains("write-" + std::to_string(each.number.value)));
    }
}

RC_BOOST_PROP(a_platform_restored_from_a_backup_gets_the_newest_version_back,
              (std::uint64_t seed)) {
    auto hosts = fake_hosts{seed, 4};
    hosts.time.run_for(1s);
    auto backup = hosts.store_state;
    auto const changes = *rc::gen::inRange(1, 6);
    for (auto change = 0; change < changes; ++change) {
        hosts.apply_at(0, "findings", hosts.in_force(0, "findings").generation, "text");
        hosts.time.run_for(1s);
        backup = *rc::gen::inRange(0, 2) == 0 ? hosts.store_state : backup;
    }
    auto const newest = hosts.in_force(0, "findings");
    RC_ASSERT(newest.generation.value == static_cast<std::uint64_t>(changes));
    hosts.restore(backup);
    hosts.time.run_for(100s);
    RC_ASSERT(!hosts.reverted);
    auto const* const stored = hosts.store_state.find(current_key({"findings"}));
    RC_ASSERT(stored != nullptr);
    RC_ASSERT(parse_value({"findings"}, stored->value) == newest);
    hosts.apply_at(2, "findings", newest.generation, "after");
    hosts.time.run_for(2s);
    RC_ASSERT(hosts.in_force(3, "findings").text == "after");
}

BOOST_AUTO_TEST_CASE(a_watch_that_outlived_a_restore_is_restarted) {
    auto hosts = fake_hosts{10, 4};
    hosts.time.run_for(1s);
    auto const backup = hosts.store_state;
    for (auto change = std::uint64_t{0}; change < 30; ++change) {
        hosts.apply_at(0, "findings", {change}, "text");
        hosts.time.run_for(100ms);
    }
    hosts.time.run_for(100s);
    hosts.restore(backup, false);
    hosts.time.run_for(100s);
    // Peers can't reach this host, so only the watch can deliver its change in time.
    hosts.cut_from_peers = {3};
    hosts.apply_at(3, "findings", {30}, "after");
    hosts.time.run_for(1s);
    BOOST_TEST(hosts.in_force(0, "findings").text == "after");
}

BOOST_AUTO_TEST_CASE(an_offer_of_a_host_that_lacks_documents_makes_no_other_ready) {
    auto hosts = fake_hosts{11, 3};
    hosts.time.run_for(1s);
    hosts.apply_at(0, "findings", {}, "one");
    hosts.time.run_for(1s);
    hosts.platform_down = true;
    hosts.start(0);
    hosts.start(1);
    hosts.hosts.at(2).dead = true;
    // One of the two starting hosts has a document from a peer that is gone.
    hosts.step(0, received{{"2"}, push{{version{{"jobs"}, {4}, "w", false, "two"}}}});
    hosts.time.run_for(20s);
    BOOST_TEST(hosts.in_force(1, "jobs").text == "two");
    BOOST_TEST(!hosts.hosts.at(0).knows_documents);
    BOOST_TEST(!hosts.hosts.at(1).knows_documents);
}

RC_BOOST_PROP(of_racing_operators_one_wins_and_the_others_see_it, (std::uint64_t seed)) {
    auto hosts = fake_hosts{seed, 4};
    hosts.time.run_for(1s);
    hosts.faults.lost_answers = 0.3;
    for (auto host = std::size_t{0}; host < 4; ++host) {
        hosts.apply_at(host, "findings", {}, "of-" + std::to_string(host));
    }
    hosts.time.run_for(10s);
    hosts.clear_faults();
    hosts.time.run_for(70s);
    auto const winner = hosts.in_force(0, "findings");
    // If the first read of every apply is lost, all are refused before a write.
    auto const none =
        hosts.refusals.size() == 4U &&
        std::all_of(hosts.refusals.begin(), hosts.refusals.end(),
                    [](auto const& each) { return each.reason == refusal::platform_unavailable; });
    RC_ASSERT(winner.generation == base::generation{none ? 0U : 1U});
    RC_ASSERT(hosts.accepted.size() <= 1U);
    for (auto const& each : hosts.conflicts) {
        RC_ASSERT(each.version == winner);
    }
}

RC_BOOST_PROP(a_host_that_starts_in_an_outage_asks_its_peers, (std::uint64_t seed)) {
    auto hosts = fake_hosts{seed, 4};
    hosts.time.run_for(1s);
    hosts.apply_at(0, "findings", {}, "one");
    hosts.apply_at(0, "jobs", {}, "two");
    hosts.time.run_for(2s);
    hosts.platform_down = true;
    hosts.faults.loss = 0.2;
    auto const started = *rc::gen::inRange<std::size_t>(0, 4);
    hosts.start(started);
    RC_ASSERT(!hosts.hosts.at(started).knows_documents);
    for (auto step = 0; step < 100; ++step) {
        hosts.time.run_for(100ms);
        auto const all = hosts.in_force(started, "findings").text == "one" &&
                         hosts.in_force(started, "jobs").text == "two";
        RC_ASSERT(!hosts.hosts.at(started).knows_documents || all);
    }
    RC_ASSERT(hosts.hosts.at(started).knows_documents);
}

BOOST_AUTO_TEST_CASE(no_host_is_ready_when_all_start_in_an_outage) {
    auto hosts = fake_hosts{1, 3};
    hosts.platform_down = true;
    for (auto host = std::size_t{0}; host < 3; ++host) {
        hosts.start(host);
    }
    hosts.time.run_for(30s);
    auto const known = [](auto const& each) { return each.second.knows_documents; };
    BOOST_TEST(std::none_of(hosts.hosts.begin(), hosts.hosts.end(), known));
    hosts.platform_down = false;
    hosts.time.run_for(15s);
    BOOST_TEST(std::all_of(hosts.hosts.begin(), hosts.hosts.end(), known));
}

BOOST_AUTO_TEST_CASE(an_apply_in_an_outage_is_refused_and_not_applied) {
    auto hosts = fake_hosts{2, 3};
    hosts.time.run_for(1s);
    hosts.platform_down = true;
    auto const id = hosts.apply_at(1, "findings", {}, "text");
    hosts.time.run_for(1s);
    hosts.platform_down = false;
    hosts.time.run_for(30s);
    BOOST_TEST(hosts.refusals.size() == 1U);
    BOOST_TEST((hosts.refusals.front().reason == refusal::platform_unavailable));
    BOOST_TEST(!written_ids(hosts).contains(id));
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_only_reaches_its_peers_follows) {
    auto hosts = fake_hosts{3, 6};
    hosts.time.run_for(1s);
    // Both readers are cut off from the platform; the change is made at another host.
    hosts.cut_from_platform = {0, 1};
    hosts.apply_at(4, "findings", {}, "text");
    hosts.time.run_for(2s);
    BOOST_TEST(hosts.live_hosts_have_equal_documents());
    BOOST_TEST(hosts.in_force(0, "findings").text == "text");
}

BOOST_AUTO_TEST_CASE(others_read_the_platform_once_both_readers_are_dead) {
    auto hosts = fake_hosts{12, 6};
    hosts.time.run_for(1s);
    hosts.hosts.at(0).dead = true;
    hosts.hosts.at(1).dead = true;
    // Peers can't reach this host, so only the platform can deliver its change.
    hosts.cut_from_peers = {5};
    hosts.apply_at(5, "findings", {}, "text");
    hosts.time.run_for(2s);
    BOOST_TEST(hosts.in_force(3, "findings").text == "text");
}

BOOST_AUTO_TEST_CASE(an_invalid_stored_value_is_reported_and_the_last_valid_version_stays) {
    auto hosts = fake_hosts{4, 3};
    hosts.time.run_for(1s);
    hosts.apply_at(0, "findings", {}, "good");
    hosts.time.run_for(1s);
    hosts.store_state.put(current_key({"findings"}), "id = 'findings'");
    hosts.time.run_for(100s);
    BOOST_TEST(hosts.in_force(2, "findings").text == "good");
    BOOST_TEST(hosts.hosts.at(0).invalid_reports == 1U);
    auto const bad = version{{"findings"}, {9}, "by-hand", false, "bad"};
    hosts.store_state.put(current_key({"findings"}), to_value(bad));
    hosts.time.run_for(100s);
    BOOST_TEST(hosts.in_force(2, "findings").text == "good");
    BOOST_TEST(hosts.hosts.at(0).invalid_reports == 2U);
}

BOOST_AUTO_TEST_CASE(an_invalid_document_is_refused_with_its_error) {
    auto hosts = fake_hosts{5, 3};
    hosts.time.run_for(1s);
    hosts.apply_at(0, "findings", {}, "bad");
    BOOST_TEST(hosts.refusals.size() == 1U);
    BOOST_TEST(hosts.refusals.front().error == "it is bad");
}

BOOST_AUTO_TEST_CASE(a_service_is_removed_by_a_tombstone_and_can_be_created_again) {
    auto hosts = fake_hosts{6, 3};
    hosts.time.run_for(1s);
    hosts.apply_at(0, "findings", {}, "first");
    hosts.time.run_for(1s);
    hosts.apply_at(1, "findings", {1}, std::nullopt);
    hosts.time.run_for(1s);
    BOOST_TEST(is_removed(hosts, 2));
    hosts.apply_at(2, "findings", {}, "again");
    hosts.time.run_for(1s);
    BOOST_TEST(hosts.in_force(0, "findings").generation == base::generation{3});
    BOOST_TEST(!is_removed(hosts, 0));
}

BOOST_AUTO_TEST_CASE(the_last_versions_can_be_read) {
    auto hosts = fake_hosts{7, 3};
    hosts.time.run_for(1s);
    for (auto change = std::uint64_t{0}; change < history_length + 5; ++change) {
        hosts.apply_at(0, "findings", {change}, "text");
        hosts.time.run_for(100ms);
    }
    hosts.step(1, history{{999}, {"findings"}});
    hosts.time.run_for(100ms);
    BOOST_TEST_REQUIRE(hosts.histories.size() == 1U);
    auto const& versions = hosts.histories.front().versions;
    BOOST_TEST(versions.size() == history_length);
    BOOST_TEST(versions.front().generation == base::generation{history_length + 5});
}

BOOST_AUTO_TEST_CASE(platform_calls_do_not_grow_with_hosts) {
    auto few = fake_hosts{8, 3};
    auto many = fake_hosts{8, 51};
    for (auto* const hosts : {&few, &many}) {
        hosts->time.run_for(1s);
        hosts->apply_at(0, "findings", {}, "text");
        hosts->time.run_for(600s);
    }
    BOOST_TEST_MESSAGE("calls in 601 s: " << few.calls << " of 3 hosts, " << many.calls
                                          << " of 51 hosts");
    BOOST_TEST(many.calls <= few.calls + 10);
}

BOOST_AUTO_TEST_CASE(a_text_reaches_each_host_about_once_and_within_two_seconds) {
    constexpr auto count = std::size_t{51};
    auto hosts = fake_hosts{9, count};
    hosts.time.run_for(2s);
    hosts.texts_pushed = 0;
    hosts.apply_at(7, "findings", {}, "text");
    hosts.time.run_for(2s);
    BOOST_TEST(hosts.live_hosts_have_equal_documents());
    BOOST_TEST(hosts.in_force(50, "findings").text == "text");
    BOOST_TEST(hosts.texts_pushed < count + (count / 10));
}

RC_BOOST_PROP(a_table_agrees_with_a_map_of_the_greatest_ids, ()) {
    auto const drawn = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 6), rc::gen::inRange(0, 3)));
    auto table = version_table{};
    auto greatest = std::map<int, std::pair<int, int>>{};
    for (auto const& [service, generation, write] : drawn) {
        auto candidate = version{};
        candidate.service = {std::to_string(service)};
        candidate.generation = {static_cast<std::uint64_t>(generation)};
        candidate.write_id = std::to_string(write);
        table.insert_if_newer(candidate);
        auto& best = greatest[service];
        best = std::max(best, std::pair{generation, write});
    }
    RC_ASSERT(table.all().size() == greatest.size());
    for (auto const& [service, best] : greatest) {
        auto const* const stored = table.find({std::to_string(service)});
        RC_ASSERT(stored->generation.value == static_cast<std::uint64_t>(best.first));
        RC_ASSERT(stored->write_id == std::to_string(best.second));
    }
}

}  // namespace
}  // namespace linnetlane::document

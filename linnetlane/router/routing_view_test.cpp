// Tests of the number of hosts that share the budgets and of the hosts that may be followed.

#include "linnetlane/router/routing_view.h"
#include "linnetlane/router/registry_follower.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

using namespace std::chrono_literals;

auto settings_of_restart(bool first_start) -> router_settings {
    auto settings = router_settings{};
    settings.first_start = first_start;
    settings.retries.window = 10s;
    return settings;
}

BOOST_AUTO_TEST_CASE(a_restarted_host_assumes_many_hosts_until_it_had_time_to_find_the_others) {
    auto view = routing_view{settings_of_restart(false), 1};
    auto const started = base::monotonic_clock::now();
    view.note_hosts(6, started);
    BOOST_TEST(view.hosts == routing_view::assumed_hosts);
    // The assumption isn't passed on as a count, which others would keep for a whole window.
    BOOST_TEST(view.known_hosts() == 0U);
    view.note_hosts(7, started + 4s);
    BOOST_TEST(view.hosts == 7U);
    BOOST_TEST(view.known_hosts() == 7U);
}

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_for_the_first_time_uses_the_first_count) {
    auto view = routing_view{settings_of_restart(true), 1};
    view.note_hosts(7, base::monotonic_clock::now());
    BOOST_TEST(view.hosts == 7U);
}

BOOST_AUTO_TEST_CASE(hosts_that_have_left_count_until_the_end_of_the_window) {
    auto view = routing_view{settings_of_restart(true), 1};
    auto const now = base::monotonic_clock::now();
    view.note_hosts(7, now);
    view.note_hosts(3, now + 9s);
    BOOST_TEST(view.hosts == 7U);
    view.note_hosts(3, now + 10s);
    BOOST_TEST(view.hosts == 3U);
}

// Otherwise followers ask again and again without a pause.
BOOST_AUTO_TEST_CASE(a_follower_of_a_host_without_facts_waits_for_changes) {
    auto view = routing_view{settings_of_restart(true), 1};
    view.feed.set_reads_configuration(true);
    view.feed.restart(registry_position{10});
    view.feed.extend_validity(base::time_point::max());
    auto question = changes_question{{10}, {}, {}};
    question.known_facts = view.facts_mark();
    auto const until = base::monotonic_clock::now() + 50ms;
    static_cast<void>(view.feed.await(question, until));
    BOOST_TEST((base::monotonic_clock::now() >= until));
    auto const now = base::monotonic_clock::now();
    view.learn({{{routing::fact_kind::upstream_crash, "part", "u#1"}, 0, now}}, now);
    static_cast<void>(view.feed.await(question, now + 1min));
    BOOST_TEST((base::monotonic_clock::now() < now + 1min));
}

BOOST_AUTO_TEST_CASE(only_hosts_of_the_same_data_centre_are_followed) {
    auto listing = host_listing{};
    for (auto const* const data_centre : {"a", "b", "a"}) {
        auto entry = host_entry{};
        entry.host.value = "h" + std::to_string(listing.hosts.size());
        entry.data_centre.value = data_centre;
        listing.hosts.push_back(registered_host{entry, 0});
    }
    auto self = host_entry{};
    self.data_centre.value = "a";
    auto const found = hosts_of(listing, self);
    BOOST_REQUIRE(found.size() == 2U);
    BOOST_TEST(found[0].host.value == "h0");
    BOOST_TEST(found[1].host.value == "h2");
}

auto const service = base::service_id{"s"};
auto const older = base::software_version{"v1"};
auto const newer = base::software_version{"v2"};

auto upstream_of(base::software_version const& software, std::uint64_t started)
    -> routing::upstream_record {
    auto record = routing::upstream_record{};
    record.id.value = "u-" + software.value;
    record.service = service;
    record.software = software;
    record.started.value = started;
    return record;
}

auto listing_of(std::vector<base::software_version> const& stated) -> host_listing {
    auto listing = host_listing{};
    for (auto const& version : stated) {
        auto entry = registered_host{};
        entry.entry.host.value = "h" + std::to_string(listing.hosts.size());
        entry.sole_versions.emplace(service, version);
        listing.hosts.push_back(std::move(entry));
    }
    return listing;
}

// An upstream of an older version may have left just before the host started.
BOOST_AUTO_TEST_CASE(no_start_of_an_upstream_tells_what_there_was_before_this_host_started) {
    for (auto const started :
         {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{1'700'000'000'000},
          std::uint64_t{4'000'000'000'000}, std::numeric_limits<std::uint64_t>::max()}) {
        auto view = routing_view{settings_of_restart(false), 1};
        auto const now = base::monotonic_clock::now();
        view.upstreams.replace_all({upstream_of(newer, started)}, now);
        view.refresh_pools();
        BOOST_TEST(view.sole_versions(base::monotonic_clock::now()).empty(), started);
    }
}

BOOST_AUTO_TEST_CASE(another_host_tells_what_there_was_before_this_host_started) {
    auto view = routing_view{settings_of_restart(false), 1};
    auto const now = base::monotonic_clock::now();
    view.learn_stated_versions(listing_of({newer, newer}), now);
    view.upstreams.replace_all({upstream_of(newer, 1)}, now);
    view.refresh_pools();
    BOOST_TEST((view.sole_versions(base::monotonic_clock::now()).at(service) == newer));
}

BOOST_AUTO_TEST_CASE(hosts_that_state_different_versions_tell_nothing) {
    auto view = routing_view{settings_of_restart(false), 1};
    auto const now = base::monotonic_clock::now();
    view.learn_stated_versions(listing_of({newer, older, newer}), now);
    view.upstreams.replace_all({upstream_of(newer, 1)}, now);
    view.refresh_pools();
    BOOST_TEST(view.sole_versions(base::monotonic_clock::now()).empty());
}

// The registry may have been restored from a copy that is older than what this host has seen.
BOOST_AUTO_TEST_CASE(what_hosts_state_later_does_not_count) {
    auto view = routing_view{settings_of_restart(false), 1};
    auto const now = base::monotonic_clock::now();
    view.upstreams.replace_all({upstream_of(newer, 1)}, now);
    view.refresh_pools();
    view.learn_stated_versions(listing_of({newer}), now);
    view.refresh_pools();
    BOOST_TEST(view.sole_versions(base::monotonic_clock::now()).empty());
}

}  // namespace
}  // namespace linnetlane::router

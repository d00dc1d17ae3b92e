#include "linnetlane/router/peer_directory.h"

#include <string>

#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

auto peer(std::string name) -> host_entry {
    auto entry = host_entry{};
    entry.host.value = std::move(name);
    entry.peers = base::endpoint{"10.0.0.1", 7000};
    return entry;
}

BOOST_AUTO_TEST_CASE(requests_of_a_partitioned_host_are_spread_over_all_other_hosts) {
    auto directory = peer_directory{};
    for (auto const* const name : {"a", "b", "c", "d"}) {
        directory.add(peer(name));
    }
    auto counts = std::map<base::host_id, int>{};
    for (auto index = 0; index < 100; ++index) {
        ++counts[directory.pick({}, index / 100.0, start)->host];
    }
    BOOST_TEST(counts.size() == 4U);
    for (auto const& [host, count] : counts) {
        BOOST_TEST(count == 25, host);
    }
}

BOOST_AUTO_TEST_CASE(a_host_that_took_no_request_is_skipped_for_a_while) {
    auto directory = peer_directory{};
    directory.add(peer("a"));
    directory.add(peer("b"));
    directory.note_unusable(base::host_id{"a"}, start);
    BOOST_TEST(directory.pick({}, 0.0, start)->host.value == "b");
    BOOST_TEST(!directory.pick({base::host_id{"b"}}, 0.0, start).has_value());
    // A new list doesn't make it usable.
    directory.restart(start);
    directory.add(peer("a"));
    directory.add(peer("b"));
    BOOST_TEST(directory.pick({}, 0.0, start)->host.value == "b");
    BOOST_TEST(directory.pick({}, 0.0, start + peer_directory::unusable_time)->host.value == "a");
}

BOOST_AUTO_TEST_CASE(hosts_without_an_address_for_others_are_left_out) {
    auto directory = peer_directory{};
    BOOST_TEST(!directory.is_current(start));
    directory.restart(start);
    directory.add(host_entry{base::host_id{"a"}, {}, std::nullopt, {}});
    BOOST_TEST(!directory.pick({}, 0.5, start).has_value());
    BOOST_TEST(directory.is_current(start));
    BOOST_TEST(!directory.is_current(start + peer_directory::max_age));
}

}  // namespace
}  // namespace linnetlane::router

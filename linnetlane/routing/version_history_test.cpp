#include "linnetlane/routing/version_history.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;
auto const v1 = base::software_version{"v1"};
auto const v2 = base::software_version{"v2"};
auto const v3 = base::software_version{"v3"};

BOOST_AUTO_TEST_CASE(the_only_version_of_a_steady_service_is_certain) {
    auto versions = version_history{};
    versions.note_present({v1}, start);
    BOOST_TEST(!versions.certain_version(start + stream_lifetime - 1s).has_value());
    BOOST_TEST((versions.certain_version(start + stream_lifetime) == v1));
}

// Guards against streams that go on at a newer version: a host that had just started took the only
// version for that of every stream, since its upstreams had run for long. Those of an older version
// had left just before.
BOOST_AUTO_TEST_CASE(a_host_that_has_just_started_is_not_certain) {
    auto versions = version_history{};
    BOOST_TEST(!versions.certain_version(start).has_value());
    versions.note_present({}, start - 1h);
    versions.note_present({v1}, start);
    BOOST_TEST(!versions.certain_version(start).has_value());
    BOOST_TEST(!versions.certain_version(start + stream_lifetime - 1s).has_value());
    BOOST_TEST((versions.certain_version(start + stream_lifetime) == v1));
}

BOOST_AUTO_TEST_CASE(a_host_that_has_just_started_learns_the_only_version_from_another_one) {
    auto versions = version_history{};
    versions.note_present({v1}, start);
    versions.note_stated(v1, start);
    BOOST_TEST((versions.certain_version(start) == v1));
    versions.note_present({v1, v2}, start + 1s);
    BOOST_TEST(!versions.certain_version(start + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(what_another_host_stated_does_not_count_against_what_is_seen) {
    auto other = version_history{};
    other.note_present({v2}, start);
    other.note_stated(v1, start);
    BOOST_TEST(!other.certain_version(start).has_value());
    auto several = version_history{};
    several.note_present({v1, v2}, start);
    several.note_stated(v1, start);
    BOOST_TEST(!several.certain_version(start).has_value());
}

// A stream of the newer version whose record was lost with its host went on at the older one.
BOOST_AUTO_TEST_CASE(nothing_is_inferred_from_a_missing_record_once_a_rollout_has_begun) {
    auto versions = version_history{};
    versions.note_present({v1}, start);
    auto const rollout = start + 1min;
    BOOST_TEST((versions.certain_version(rollout) == v1));
    versions.note_present({v1, v2}, rollout);
    BOOST_TEST(!versions.certain_version(rollout).has_value());
    BOOST_TEST(!versions.certain_version(rollout + 5s).has_value());
    BOOST_TEST(!versions.certain_version(rollout + stream_lifetime).has_value());
}

// A version came and left while the host was cut off.
BOOST_AUTO_TEST_CASE(after_missed_changes_a_version_is_certain_only_after_the_life_of_a_stream) {
    auto versions = version_history{};
    versions.note_present({v1}, start);
    auto const missed = start + 1min;
    BOOST_TEST((versions.certain_version(missed) == v1));
    versions.note_missed_changes(missed);
    BOOST_TEST(!versions.certain_version(missed).has_value());
    BOOST_TEST(!versions.certain_version(missed + stream_lifetime - 1s).has_value());
    BOOST_TEST((versions.certain_version(missed + stream_lifetime) == v1));
}

BOOST_AUTO_TEST_CASE(a_version_that_has_left_counts_as_long_as_its_streams_can_be_resumed) {
    auto versions = version_history{};
    versions.note_present({v1}, start);
    versions.note_present({v1, v2}, start + 1min);
    auto const left = start + 2min;
    versions.note_present({v2}, left);
    BOOST_TEST(!versions.certain_version(left + 1s).has_value());
    BOOST_TEST(!versions.certain_version(left + stream_lifetime - 1s).has_value());
    BOOST_TEST((versions.certain_version(left + stream_lifetime) == v2));
}

BOOST_AUTO_TEST_CASE(versions_that_were_there_when_the_host_started_are_not_told_apart) {
    auto versions = version_history{};
    versions.note_present({v1, v2}, start);
    BOOST_TEST(!versions.certain_version(start + 1s).has_value());
    versions.note_present({v1, v2, v3}, start + 2s);
    BOOST_TEST(!versions.certain_version(start + 3s).has_value());
    BOOST_TEST(!versions.certain_version(start + 2 * stream_lifetime).has_value());
}

}  // namespace
}  // namespace linnetlane::routing

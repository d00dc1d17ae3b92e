#include "linnetlane/routing/configuration_freshness.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

constexpr auto bound = base::duration{1s};

auto at(base::duration span) -> configuration_freshness::time_point {
    return configuration_freshness::time_point{} + std::chrono::hours{1} + span;
}

// A host asks another one at `asked_at` and has its answer `under_way` later. The other host
// answers at once.
auto follow(configuration_freshness& follower, configuration_freshness const& followed,
            configuration_freshness::time_point asked_at, base::duration under_way) -> void {
    if (auto const age = followed.age(asked_at + under_way)) {
        follower.note_newest(asked_at - *age);
    }
}

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_first_proof_and_after_a_restoration) {
    auto host = configuration_freshness{};
    BOOST_TEST(!host.is_within(bound, at(0s)));
    host.note_newest(at(0s));
    BOOST_TEST(host.is_within(bound, at(1s)));
    BOOST_TEST(!host.is_within(bound, at(1s) + 1ns));
    host.forget();
    BOOST_TEST(!host.is_within(bound, at(0s)));
}

BOOST_AUTO_TEST_CASE(an_older_proof_takes_nothing_back) {
    auto const followed = base::host_id{"h2"};
    auto host = configuration_freshness{};
    host.note_newest(at(2s), followed);
    host.note_newest(at(1s));
    BOOST_TEST(host.is_within(bound, at(3s)));
    BOOST_TEST(host.told_by() == followed);
}

BOOST_AUTO_TEST_CASE(a_follower_never_knows_of_a_later_moment_than_the_host_that_it_follows) {
    for (auto const under_way : {base::duration{0s}, base::duration{400ms}, base::duration{5s}}) {
        auto reader = configuration_freshness{};
        auto follower = configuration_freshness{};
        reader.note_newest(at(0s));
        follow(follower, reader, at(300ms), under_way);
        BOOST_TEST(!follower.is_within(bound, at(1s) + 1ns));
    }
}

BOOST_AUTO_TEST_CASE(hosts_that_follow_each_other_after_an_outage_make_no_freshness) {
    auto one = configuration_freshness{};
    auto other = configuration_freshness{};
    one.note_newest(at(0s));
    for (auto now = base::duration{100ms}; now < 10s; now += 100ms) {
        follow(other, one, at(now), 30ms);
        follow(one, other, at(now + 50ms), 30ms);
        BOOST_TEST(one.is_within(bound, at(now)) == (now <= bound));
        BOOST_TEST((!other.is_within(bound, at(now)) || now <= bound));
    }
}

}  // namespace
}  // namespace linnetlane::routing

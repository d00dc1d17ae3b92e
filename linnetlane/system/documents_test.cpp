// An accepted document comes into force on all hosts and is never reverted, whatever faults the
// platform has.

#include <csignal>
#include <future>
#include <string>

#include <boost/test/unit_test.hpp>

#include "linnetlane/system/cluster.h"

namespace linnetlane::system {
namespace {

constexpr auto status_ok = 200;
constexpr auto status_conflict = 409;
constexpr auto status_unavailable = 503;
constexpr auto service = "jobs";

// Two hosts in one data centre and one in another, in front of a plain service.
struct deployment {
    cluster servers;

    deployment() {
        this->servers.start_platform();
        this->servers.start_plain("jobs-1");
        this->servers.start_hosts(
            {{"north-1", "bne-north"}, {"north-2", "bne-north"}, {"south-1", "bne-south"}});
        this->servers.apply(service, this->text(100));
    }

    // A document that is distinguished by its `share`.
    [[nodiscard]] auto text(int share) const -> std::string {
        return this->servers.plain_document(
            service, "[policy]\nretry_share = 0." + std::to_string(share) + "\n");
    }
    auto apply(std::string const& host, int share, std::uint64_t replaces) -> int {
        return this->servers.apply_at(host, service, this->text(share), replaces).status;
    }
    [[nodiscard]] auto in_force_everywhere(std::uint64_t generation) -> bool {
        return cluster::eventually([&] {
            return this->servers.generation_at("north-1", service) == generation &&
                   this->servers.generation_at("north-2", service) == generation &&
                   this->servers.generation_at("south-1", service) == generation;
        });
    }
};

BOOST_FIXTURE_TEST_CASE(of_racing_operators_one_wins_and_the_others_are_told, deployment) {
    auto won = 0;
    auto lost = 0;
    auto first = this->servers.begin_apply("north-1", service, this->text(11), 1);
    auto second = this->servers.begin_apply("north-2", service, this->text(12), 1);
    auto third = this->servers.begin_apply("south-1", service, this->text(13), 1);
    for (auto* const each : {&first, &second, &third}) {
        auto const status = each->get().status;
        won += status == status_ok ? 1 : 0;
        lost += status == status_conflict ? 1 : 0;
    }
    BOOST_TEST(won == 1);
    BOOST_TEST(lost == 2);
    BOOST_TEST(this->in_force_everywhere(2));
}

BOOST_FIXTURE_TEST_CASE(a_write_whose_answer_was_lost_is_settled_by_reading_back, deployment) {
    this->servers.control("platform", {{"lose_answers", 1}});
    BOOST_TEST(this->apply("north-2", 21, 1) == status_ok);
    BOOST_TEST(this->in_force_everywhere(2));
}

BOOST_FIXTURE_TEST_CASE(a_change_during_an_outage_is_refused_and_not_applied_later, deployment) {
    this->servers.control("platform", {{"outage", "refuse"}});
    BOOST_TEST(this->apply("north-1", 31, 1) == status_unavailable);
    this->servers.control("platform", {{"outage", "none"}});
    BOOST_TEST(cluster::eventually([&] { return this->apply("south-1", 32, 1) == status_ok; }));
    BOOST_TEST(this->in_force_everywhere(2));
}

BOOST_FIXTURE_TEST_CASE(a_platform_restored_from_an_old_copy_reverts_nothing, deployment) {
    this->servers.control("platform", {{"keep_copy", "before"}});
    BOOST_REQUIRE(this->apply("north-1", 41, 1) == status_ok);
    BOOST_REQUIRE(this->apply("north-1", 42, 2) == status_ok);
    BOOST_REQUIRE(this->in_force_everywhere(3));
    this->servers.control("platform", {{"restore_copy", "before"}});
    BOOST_TEST(cluster::eventually([&] { return this->apply("north-2", 43, 3) == status_ok; }));
    BOOST_TEST(this->in_force_everywhere(4));
}

BOOST_FIXTURE_TEST_CASE(a_host_that_starts_with_the_platform_down_learns_from_its_peers,
                        deployment) {
    BOOST_REQUIRE(this->apply("north-1", 51, 1) == status_ok);
    BOOST_REQUIRE(this->in_force_everywhere(2));
    this->servers.control("platform", {{"outage", "refuse"}});
    this->servers.at("north-2").kill();
    this->servers.start_host({"north-2", "bne-north"});
    this->servers.await_ready("north-2");
    BOOST_TEST(this->servers.generation_at("north-2", service) == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_change_comes_into_force_though_a_reader_of_the_platform_is_killed,
                        deployment) {
    this->servers.at("north-1").kill();
    BOOST_TEST(this->apply("south-1", 61, 1) == status_ok);
    BOOST_TEST(cluster::eventually([&] {
        return this->servers.generation_at("north-2", service) == 2U &&
               this->servers.generation_at("south-1", service) == 2U;
    }));
}

BOOST_FIXTURE_TEST_CASE(a_frozen_host_catches_up_once_awake, deployment) {
    this->servers.at("north-2").signal(SIGSTOP);
    BOOST_REQUIRE(this->apply("south-1", 71, 1) == status_ok);
    BOOST_REQUIRE(
        cluster::eventually([&] { return this->servers.generation_at("north-1", service) == 2U; }));
    this->servers.at("north-2").signal(SIGCONT);
    BOOST_TEST(this->in_force_everywhere(2));
}

}  // namespace
}  // namespace linnetlane::system

// Tests of the choice of the host that provides changes of the registry, for data centres of up to
// a hundred hosts.

#include "linnetlane/router/relay_selector.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;
constexpr auto small_host = std::uint64_t{120};
constexpr auto large_host = std::uint64_t{500};

auto entry(std::string name, std::uint64_t capacity = small_host) -> host_entry {
    return host_entry{base::host_id{std::move(name)}, base::data_centre_id{"a"},
                      base::endpoint{"10.0.0.1", 1}, host_capacity{capacity}};
}

auto names(std::vector<host_entry> const& hosts) -> std::vector<std::string> {
    auto found = std::vector<std::string>{};
    std::ranges::transform(hosts, std::back_inserter(found),
                           [](auto const& each) { return each.host.value; });
    return found;
}

// Returns the name of the host to follow, "registry", or "" if no source is usable.
auto chosen(relay_selector& relays, base::time_point now) -> std::string {
    auto const choice = relays.choose(now);
    if (choice.origin == change_origin::registry) {
        return "registry";
    }
    return choice.relay ? choice.relay->host.value : "";
}

BOOST_AUTO_TEST_CASE(hosts_with_more_capacity_are_followed_first) {
    auto const order = order_relays({entry("h2"), entry("h1"), entry("h3", large_host)},
                                    {entry("h0", large_host), entry("h3", large_host)});
    BOOST_TEST(names(order) == (std::vector<std::string>{"h3", "h1", "h2", "h0"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_order_is_bounded_and_leaves_out_hosts_without_an_address_for_peers) {
    auto followers = std::vector<host_entry>{};
    for (auto number = 0; number < 60; ++number) {
        followers.push_back(entry(fmt::format("h{:02}", number)));
    }
    followers[0].peers.reset();
    auto const order = order_relays({entry("r")}, followers);
    BOOST_TEST(order.size() == relay_selector::max_order);
    BOOST_TEST(order[0].host.value == "r");
    BOOST_TEST(order[1].host.value == "h01");
}

BOOST_AUTO_TEST_CASE(the_first_host_in_the_order_reads_the_registry) {
    auto relays = relay_selector{entry("h1")};
    relays.set_order({entry("h1"), entry("h2")});
    BOOST_TEST(chosen(relays, start) == "registry");
    auto follower = relay_selector{entry("h2")};
    follower.set_order({entry("h1"), entry("h2")});
    BOOST_TEST(chosen(follower, start) == "h1");
}

BOOST_AUTO_TEST_CASE(the_next_host_in_the_order_replaces_a_host_that_failed) {
    auto next = relay_selector{entry("h2")};
    next.set_order({entry("h1"), entry("h2"), entry("h3")});
    BOOST_TEST(chosen(next, start) == "h1");
    next.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    BOOST_TEST(chosen(next, start) == "registry");
    auto other = relay_selector{entry("h9")};
    other.set_order({entry("h1"), entry("h2"), entry("h3")});
    other.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    BOOST_TEST(chosen(other, start) == "h2");
}

BOOST_AUTO_TEST_CASE(a_host_that_replaced_another_does_not_return_to_it_while_it_may_be_dead) {
    auto next = relay_selector{entry("h2")};
    next.set_order({entry("h1"), entry("h2")});
    next.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    BOOST_TEST(chosen(next, start) == "registry");
    BOOST_TEST(chosen(next, start + relay_selector::max_cooldown) == "registry");
    BOOST_TEST(chosen(next, start + relay_selector::reader_cooldown) == "h1");
}

BOOST_AUTO_TEST_CASE(a_follower_asks_a_failed_host_again_after_increasing_delays) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(1h);
    relays.set_order({entry("h1")});
    auto now = start;
    for (auto const cooldown : {500ms, 1000ms, 2000ms, 4000ms, 4000ms}) {
        BOOST_TEST(chosen(relays, now) == "h1");
        relays.note_failure(base::host_id{"h1"}, relay_failure::unreachable, now);
        BOOST_TEST(chosen(relays, now + cooldown - 1ms) == "");
        now += cooldown;
    }
    relays.note_success(base::host_id{"h1"});
    BOOST_TEST(chosen(relays, now) == "h1");
}

BOOST_AUTO_TEST_CASE(a_host_outside_of_the_order_reads_the_registry_only_as_a_last_resort) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(1s);
    relays.set_order({entry("h1"), entry("h2")});
    BOOST_TEST(chosen(relays, start) == "h1");
    for (auto const* const name : {"h1", "h2"}) {
        relays.note_failure(base::host_id{name}, relay_failure::unreachable, start);
    }
    BOOST_TEST(chosen(relays, start) == "");
    BOOST_TEST(chosen(relays, start + 400ms) == "");
    // Asking in between doesn't restart the delay.
    BOOST_TEST(chosen(relays, start + 600ms) == "h1");
    for (auto const* const name : {"h1", "h2"}) {
        relays.note_failure(base::host_id{name}, relay_failure::unreachable, start + 600ms);
    }
    BOOST_TEST(chosen(relays, start + 1s) == "registry");
}

// Two hosts that fell silent were each asked twice before this host read the registry itself.
BOOST_AUTO_TEST_CASE(a_silent_host_is_not_asked_again_while_there_is_another_source) {
    constexpr auto attempt = 650ms;
    for (auto silent = std::size_t{1}; silent < relay_selector::max_order; ++silent) {
        auto order = std::vector<host_entry>{};
        for (auto number = std::size_t{0}; number <= silent; ++number) {
            order.push_back(entry(fmt::format("h{}", number)));
        }
        auto relays = relay_selector{order.back()};
        relays.set_order(order);
        auto now = start;
        for (auto number = std::size_t{0}; number < silent; ++number) {
            BOOST_TEST(chosen(relays, now) == order[number].host.value);
            now += attempt;
            relays.note_failure(order[number].host, relay_failure::unreachable, now);
        }
        BOOST_TEST(chosen(relays, now) == "registry");
    }
}

BOOST_AUTO_TEST_CASE(a_silent_host_is_asked_again_soon_if_another_host_follows_it) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(1h);
    relays.set_order({entry("h1"), entry("h2"), entry("h3")});
    relays.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    BOOST_TEST(chosen(relays, start + relay_selector::initial_cooldown) == "h2");
    relays.note_failure(base::host_id{"h2"}, relay_failure::without_registry, start);
    relays.note_followed_elsewhere(base::host_id{"h1"});
    BOOST_TEST(chosen(relays, start) == "h3");
    BOOST_TEST(chosen(relays, start + relay_selector::initial_cooldown) == "h1");
    // The latest word counts.
    relays.note_followed_elsewhere(base::host_id{"h3"});
    BOOST_TEST(chosen(relays, start + relay_selector::initial_cooldown) == "h2");
}

// A host whose partition has ended was redirected from host to host for four seconds.
BOOST_AUTO_TEST_CASE(a_host_that_others_follow_is_usable_soon_however_often_it_has_failed_here) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(1h);
    relays.set_order({entry("h1"), entry("h2")});
    for (auto count = 0; count < 8; ++count) {
        relays.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    }
    auto const soon = start + relay_selector::initial_cooldown;
    relays.note_failure(base::host_id{"h2"}, relay_failure::without_registry, soon);
    BOOST_TEST(chosen(relays, soon) == "");
    relays.note_followed_elsewhere(base::host_id{"h1"});
    BOOST_TEST(chosen(relays, soon) == "h1");
    // It fails again, and nobody has said since that it is followed.
    relays.note_failure(base::host_id{"h1"}, relay_failure::unreachable, soon);
    BOOST_TEST(chosen(relays, soon + relay_selector::initial_cooldown) != "h1");
}

BOOST_AUTO_TEST_CASE(hosts_before_this_one_that_were_not_silent_are_candidates) {
    auto relays = relay_selector{entry("h4")};
    relays.set_order({entry("h1"), entry("h2"), entry("h3"), entry("h4"), entry("h5")});
    relays.note_failure(base::host_id{"h2"}, relay_failure::unreachable, start);
    BOOST_TEST(names(relays.candidates(start + 1s)) == (std::vector<std::string>{"h1", "h3"}),
               boost::test_tools::per_element());
    auto outside = relay_selector{entry("h9")};
    outside.set_order({entry("h1"), entry("h2")});
    BOOST_TEST(names(outside.candidates(start)) == (std::vector<std::string>{"h1", "h2"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_last_resort_comes_soon_after_a_followed_host_fell_silent) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(800ms);
    relays.set_order({entry("h1")});
    relays.note_success(base::host_id{"h1"});
    relays.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    BOOST_TEST(chosen(relays, start) == "");
    BOOST_TEST(chosen(relays, start + 99ms) == "");
    BOOST_TEST(chosen(relays, start + 100ms) == "registry");
}

BOOST_AUTO_TEST_CASE(the_last_resort_comes_later_if_the_hosts_to_follow_lost_the_registry) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(100ms);
    relays.set_order({entry("h1")});
    relays.note_failure(base::host_id{"h1"}, relay_failure::without_registry, start);
    BOOST_TEST(chosen(relays, start) == "");
    BOOST_TEST(chosen(relays, start + 399ms) == "");
    BOOST_TEST(chosen(relays, start + 400ms) == "registry");
}

BOOST_AUTO_TEST_CASE(the_delay_before_the_last_resort_begins_when_the_registry_is_regained) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(1s);
    BOOST_TEST(chosen(relays, start) == "");
    // The host started in an outage, and the list of hosts can't be read.
    relays.note_failure(base::host_id{"h9"}, relay_failure::without_registry, start + 500ms);
    BOOST_TEST(chosen(relays, start + 600ms) == "");
    BOOST_TEST(chosen(relays, start + 5s) == "");
    relays.note_registry_regained(start + 5s);
    BOOST_TEST(chosen(relays, start + 5s) == "");
    BOOST_TEST(chosen(relays, start + 6s) == "registry");
}

BOOST_AUTO_TEST_CASE(a_host_without_the_registry_is_asked_again_at_least_every_second) {
    auto relays = relay_selector{entry("h9")};
    relays.set_last_resort_delay(1h);
    relays.set_order({entry("h1")});
    for (auto failure = 0; failure < 6; ++failure) {
        relays.note_failure(base::host_id{"h1"}, relay_failure::without_registry, start);
    }
    BOOST_TEST(chosen(relays, start + 1s) == "h1");
}

BOOST_AUTO_TEST_CASE(a_host_that_lost_the_registry_follows_its_own_followers_and_tries_again) {
    auto relays = relay_selector{entry("h1")};
    relays.set_order({entry("h1"), entry("h2")});
    BOOST_TEST(chosen(relays, start) == "registry");
    relays.note_failure(base::host_id{"h1"}, relay_failure::without_registry, start);
    BOOST_TEST(chosen(relays, start) == "h2");
    relays.note_failure(base::host_id{"h2"}, relay_failure::without_registry, start);
    BOOST_TEST(chosen(relays, start) == "");
    BOOST_TEST(chosen(relays, start + relay_selector::initial_registry_cooldown) == "registry");
}

BOOST_AUTO_TEST_CASE(followers_are_told_of_hosts_that_work_and_of_a_host_that_reads_the_registry) {
    auto relays = relay_selector{entry("h2")};
    relays.set_order({entry("h1"), entry("h2"), entry("h3")});
    BOOST_TEST(chosen(relays, start) == "h1");
    BOOST_TEST(names(relays.order_for_followers(start)) == (std::vector<std::string>{"h1", "h3"}),
               boost::test_tools::per_element());
    relays.note_failure(base::host_id{"h1"}, relay_failure::unreachable, start);
    BOOST_TEST(chosen(relays, start) == "registry");
    BOOST_TEST(names(relays.order_for_followers(start)) == (std::vector<std::string>{"h2", "h3"}),
               boost::test_tools::per_element());
    auto last_resort = relay_selector{entry("h9")};
    BOOST_TEST(chosen(last_resort, start) == "registry");
    BOOST_TEST(names(last_resort.order_for_followers(start)) == (std::vector<std::string>{"h9"}),
               boost::test_tools::per_element());
}

// Simulates the hosts of one data centre without a network. In each round every live host chooses a
// source and learns whether it works.
struct data_centre {
    std::map<std::string, relay_selector> hosts;
    std::map<std::string, bool> cut_from_registry;
    std::map<std::string, bool> registry_lost;
    std::size_t registry_reads = 0;

    explicit data_centre(std::size_t count) {
        auto order = std::vector<host_entry>{};
        for (auto number = std::size_t{0}; number < count; ++number) {
            auto const self = entry(fmt::format("h{:03}", number));
            auto& added = this->hosts.emplace(self.host.value, self).first->second;
            added.set_last_resort_delay(std::chrono::milliseconds{100 + 30 * number});
            order.push_back(self);
        }
        order = order_relays({}, order);
        for (auto& [name, host] : this->hosts) {
            host.set_order(order);
        }
    }

    [[nodiscard]] auto reads_registry(std::string const& name, base::time_point now) -> bool {
        auto const found = this->hosts.find(name);
        return found != this->hosts.end() && !this->cut_from_registry[name] &&
               found->second.choose(now).origin == change_origin::registry;
    }

    // Returns the number of hosts that got changes.
    auto round(base::time_point now) -> std::size_t {
        auto served = std::size_t{0};
        for (auto& [name, host] : this->hosts) {
            auto const choice = host.choose(now);
            if (choice.origin == change_origin::none) {
                // A host without a source lists the registered hosts.
                if (!this->cut_from_registry[name] && this->registry_lost[name]) {
                    host.note_registry_regained(now);
                    this->registry_lost[name] = false;
                }
                continue;
            }
            auto const source = choice.relay ? choice.relay->host.value : name;
            this->registry_reads += choice.relay ? 0 : 1;
            auto const works =
                choice.relay ? this->reads_registry(source, now) : !this->cut_from_registry[name];
            if (works) {
                host.note_success(base::host_id{source});
                ++served;
            } else {
                this->registry_lost[name] = this->registry_lost[name] || !choice.relay;
                host.note_failure(base::host_id{source},
                                  this->hosts.contains(source) ? relay_failure::without_registry
                                                               : relay_failure::unreachable,
                                  now);
            }
        }
        return served;
    }
};

BOOST_AUTO_TEST_CASE(one_followed_host_lost_among_a_hundred_sends_one_host_to_the_registry) {
    auto site = data_centre{100};
    BOOST_TEST(site.round(start) == 100U);
    BOOST_TEST(site.registry_reads == 1U);
    site.hosts.erase("h000");
    site.registry_reads = 0;
    auto now = start;
    for (auto round = 0; round < 20; ++round) {
        now += 100ms;
        site.round(now);
    }
    BOOST_TEST(site.round(now) == 99U);
    // One host reads the registry in each round.
    BOOST_TEST(site.registry_reads <= 21U);
}

BOOST_AUTO_TEST_CASE(hosts_recover_while_any_of_them_reaches_the_registry) {
    BOOST_TEST(rc::check([] {
        auto site = data_centre{*rc::gen::inRange<std::size_t>(2, 40)};
        auto const open = *rc::gen::inRange<std::size_t>(0, site.hosts.size());
        for (auto number = std::size_t{0}; number < site.hosts.size(); ++number) {
            site.cut_from_registry[fmt::format("h{:03}", number)] =
                number != open && *rc::gen::inRange(0, 4) > 0;
        }
        // A host outside of the order can be the only one that reaches the registry. The others
        // can't find it before it is registered, so only that host itself must recover.
        auto reached = false;
        for (auto now = start; now < start + 20s; now += 50ms) {
            auto const served = site.round(now);
            reached = reached || served > 0;
            if (open < relay_selector::max_order && now > start + 15s) {
                RC_ASSERT(served > 0U);
            }
        }
        RC_ASSERT(reached);
    }));
}

}  // namespace
}  // namespace linnetlane::router

#include "linnetlane/routing/configuration.h"

#include <algorithm>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto make_configuration(std::uint64_t version, std::vector<route> routes)
    -> std::shared_ptr<configuration const> {
    auto made = configuration{};
    made.version.value = version;
    made.routes = std::move(routes);
    return std::make_shared<configuration const>(std::move(made));
}

auto make_route(std::string name, std::string prefix) -> route {
    auto made = route{};
    made.name.value = std::move(name);
    made.host = "api.example";
    made.prefix = std::move(prefix);
    return made;
}

BOOST_AUTO_TEST_CASE(longest_prefix_is_matched) {
    auto table = route_table{};
    table.offer(make_configuration(1, {make_route("short", "/a/"), make_route("long", "/a/b/")}));

    BOOST_TEST(table.match("api.example", "/a/b/c")->name.value == "long");
    BOOST_TEST(table.match("API.example:80", "/a/c?x=/a/b/")->name.value == "short");
    BOOST_TEST(table.match("api.example", "/a") == nullptr);
    BOOST_TEST(table.match("other.example", "/a/b/c") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_older_version_never_replaces_a_newer_one) {
    BOOST_TEST(rc::check([](std::vector<std::uint64_t> const& versions) {
        auto table = route_table{};
        auto newest = std::uint64_t{0};
        for (auto const version : versions) {
            table.offer(make_configuration(version, {}));
            newest = std::max(newest, version);
            RC_ASSERT(table.current()->version.value == newest);
        }
    }));
}

BOOST_AUTO_TEST_CASE(targets_are_chosen_by_weight) {
    auto split = make_route("split", "/");
    split.targets = {{base::service_id{"a"}, 90}, {base::service_id{"b"}, 10}};

    BOOST_TEST(choose_target(split, 0.0)->value == "a");
    BOOST_TEST(choose_target(split, 0.89)->value == "a");
    BOOST_TEST(choose_target(split, 0.91)->value == "b");
    BOOST_TEST(choose_target(make_route("none", "/"), 0.5) == nullptr);
}

}  // namespace
}  // namespace linnetlane::routing

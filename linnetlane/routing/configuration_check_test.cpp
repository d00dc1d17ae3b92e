#include "linnetlane/routing/configuration_check.h"

#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto make_route(std::string name, std::string prefix) -> route {
    auto made = route{};
    made.name.value = std::move(name);
    made.host = "api.example";
    made.prefix = std::move(prefix);
    made.targets.push_back({{"llm"}, 1});
    made.timeout = 4s;
    made.target_latency = 900ms;
    return made;
}

auto make_account(std::string name, std::string const& key) -> client_account {
    auto made = client_account{};
    made.id.value = std::move(name);
    made.keys.push_back(base::digest_of_key(key));
    made.quota = account_quota{quota_unit::tokens, 5'000, 9'000, 200};
    return made;
}

auto set_accounts(configuration& target, std::vector<client_account> accounts) -> void {
    target.requires_keys = true;
    target.accounts = client_accounts{std::move(accounts)};
}

// A configuration without findings.
auto make_draft() -> configuration_draft {
    auto draft = configuration_draft{};
    draft.read.version.value = 4;
    draft.read.routes = {make_route("answers", "/a/"), make_route("drafts", "/a/b/")};
    auto llm = service{};
    llm.id.value = "llm";
    llm.engine = engine_shape{};
    llm.engine->memory.value = 60'000;
    draft.read.services[llm.id] = llm;
    set_accounts(draft.read, {make_account("one", "k1"), make_account("two", "k2")});
    return draft;
}

auto to_text(configuration_finding const& found) -> std::string {
    auto const* const severity = found.severity == finding_severity::error ? "error" : "warning";
    return std::string{severity} + ": " + found.where + ": " + found.what;
}

auto findings_of(configuration_draft const& draft, expected_use const& use = {})
    -> std::vector<std::string> {
    auto lines = std::vector<std::string>{};
    for (auto const& found : check_configuration(draft, use)) {
        lines.push_back(to_text(found));
    }
    return lines;
}

auto expect_only(configuration_draft const& draft, std::string const& line,
                 expected_use const& use = {}) -> void {
    BOOST_TEST(findings_of(draft, use) == std::vector<std::string>{line},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_fine_configuration_has_no_findings) {
    BOOST_TEST(findings_of(make_draft()).empty());
    BOOST_TEST(findings_of(make_draft(), {9'000, {{{"llm"}, 1}}}).empty());
    auto keyless = make_draft();
    keyless.read.requires_keys = false;
    keyless.read.accounts = {};
    BOOST_TEST(findings_of(keyless).empty());
}

BOOST_AUTO_TEST_CASE(parts_of_the_text_are_named_by_their_paths) {
    auto draft = make_draft();
    draft.unreadable = {"routes[2]"};
    expect_only(draft, "error: routes[2]: can't be read and is left out");
    draft.unreadable.clear();
    draft.without_effect = {"routes[0].parts[1]"};
    expect_only(draft, "warning: routes[0].parts[1]: has no effect");
}

BOOST_AUTO_TEST_CASE(a_route_behind_one_of_the_same_host_and_prefix_never_matches) {
    auto draft = make_draft();
    draft.read.routes.push_back(make_route("late", "/a/"));
    draft.read.routes.back().host = "API.example:80";
    expect_only(draft,
                "warning: route late: never matches: route answers before it has the same host and "
                "prefix");
}

BOOST_AUTO_TEST_CASE(a_prefix_without_a_slash_in_front_never_matches) {
    auto draft = make_draft();
    draft.read.routes[1].prefix = "b/";
    expect_only(draft,
                "warning: route drafts: never matches: its prefix doesn't begin with a slash");
}

BOOST_AUTO_TEST_CASE(targets_must_be_services) {
    auto draft = make_draft();
    draft.read.routes[0].targets.push_back({{"lost"}, 1});
    expect_only(draft, "error: route answers: its target lost is no service");
    draft.read.routes[0].targets.clear();
    expect_only(draft, "error: route answers: has no target, so all its requests are refused");
}

BOOST_AUTO_TEST_CASE(a_target_of_weight_0_is_reported) {
    auto draft = make_draft();
    draft.read.routes[0].targets.push_back({{"llm"}, 0});
    expect_only(draft, "warning: route answers: its target llm has weight 0 and gets nothing");
}

BOOST_AUTO_TEST_CASE(limits_of_a_route_that_contradict_each_other_are_reported) {
    auto draft = make_draft();
    draft.read.routes[0].target_latency = 4500ms;
    expect_only(
        draft,
        "warning: route answers: its target latency of 4500 ms is above its timeout of 4000 ms");
    draft.read.routes[0].timeout = 0s;
    expect_only(draft, "error: route answers: its timeout is 0, so no request is answered in time");
    draft = make_draft();
    draft.read.routes[0].max_attempts = 0;
    expect_only(draft, "error: route answers: allows no attempt, so no request runs");
}

BOOST_AUTO_TEST_CASE(a_burst_below_the_largest_request_is_reported) {
    auto draft = make_draft();
    auto tight = make_account("tight", "k1");
    tight.quota->burst = 150;
    set_accounts(draft.read, {tight});
    expect_only(draft,
                "warning: account tight: its burst of 150 tokens is below its largest request of "
                "200");
    expect_only(draft,
                "warning: account tight: its burst of 150 tokens is below its largest request of "
                "8000",
                {8'000, {}});
    tight.quota = account_quota{quota_unit::requests, 5, 0.5, 0};
    set_accounts(draft.read, {tight});
    expect_only(draft, "warning: account tight: its burst of 0.5 requests is below one request");
}

BOOST_AUTO_TEST_CASE(a_quota_that_no_engine_could_serve_is_reported) {
    auto draft = make_draft();
    auto large = make_account("large", "k1");
    large.quota->burst = 130'000;
    set_accounts(draft.read, {large});
    BOOST_TEST(findings_of(draft).empty());
    expect_only(draft,
                "warning: account large: its burst of 130000 tokens is more than all engines hold, "
                "120000",
                {std::nullopt, {{{"llm"}, 2}}});
    large.quota->unsized_tokens = 70'000;
    set_accounts(draft.read, {large});
    expect_only(draft,
                "warning: account large: a request without a size counts 70000 tokens; no engine "
                "holds more than 60000");
}

BOOST_AUTO_TEST_CASE(routes_need_keys_that_some_account_has) {
    auto draft = make_draft();
    set_accounts(draft.read, {});
    expect_only(draft,
                "error: route answers: needs a key, as do all routes that aren't open to all, and "
                "no key opens it");
    for (auto& each : draft.read.routes) {
        each.open_to_all = true;
    }
    BOOST_TEST(findings_of(draft).empty());
}

BOOST_AUTO_TEST_CASE(a_key_held_twice_is_named_by_its_accounts_and_never_printed) {
    auto draft = make_draft();
    set_accounts(draft.read, {make_account("one", "k1"), make_account("two", "k1"),
                              make_account("three", "k3")});
    auto const line =
        std::string{"error: account two: has a key of account one too, which opens neither"};
    expect_only(draft, line);
    BOOST_TEST(line.find(base::digest_of_key("k1").value) == std::string::npos);

    auto repeated = make_account("one", "k1");
    repeated.keys.push_back(repeated.keys.front());
    set_accounts(draft.read, {repeated});
    expect_only(draft, "warning: account one: lists a key twice");
}

BOOST_AUTO_TEST_CASE(accounts_have_names_of_their_own_and_keys) {
    auto draft = make_draft();
    set_accounts(draft.read, {make_account("one", "k1"), make_account("one", "k2")});
    expect_only(draft, "error: account one: another account has the same name");
    auto keyless = make_account("two", "k2");
    keyless.keys.clear();
    set_accounts(draft.read, {make_account("one", "k1"), keyless});
    expect_only(draft, "warning: account two: has no key");
}

BOOST_AUTO_TEST_CASE(a_version_that_hosts_would_ignore_is_an_error) {
    auto const in_force = make_draft().read;
    auto offered = in_force;
    BOOST_TEST(!check_succession(in_force, offered).has_value());
    offered.routes.pop_back();
    BOOST_TEST(to_text(check_succession(in_force, offered).value()) ==
               "error: version: 4 isn't newer than 4, which is in force, so hosts ignore it");
    offered.version.value = 5;
    BOOST_TEST(!check_succession(in_force, offered).has_value());
}

BOOST_AUTO_TEST_CASE(differences_are_listed_by_part) {
    auto const in_force = make_draft().read;
    BOOST_TEST(compare_configurations(in_force, in_force).empty());

    auto offered = in_force;
    offered.routes[0].timeout = 5s;
    offered.routes[0].max_attempts = 2;
    offered.routes[1].name.value = "later";
    offered.services.begin()->second.max_connections = 7;
    offered.services[{"app"}] = service{};
    offered.limits.idle = 20s;
    auto changed = make_account("one", "k9");
    changed.priority = 2;
    set_accounts(offered, {changed, make_account("three", "k3")});

    using kind = configuration_change_kind;
    auto const expected =
        std::vector<configuration_change>{{kind::changed, "route answers", {"timeout", "attempts"}},
                                          {kind::removed, "route drafts", {}},
                                          {kind::added, "route later", {}},
                                          {kind::added, "service app", {}},
                                          {kind::changed, "service llm", {"connections"}},
                                          {kind::changed, "limits", {"idle connections"}},
                                          {kind::changed, "account one", {"keys", "priority"}},
                                          {kind::added, "account three", {}},
                                          {kind::removed, "account two", {}}};
    BOOST_TEST((compare_configurations(in_force, offered) == expected));

    auto open = in_force;
    open.requires_keys = false;
    open.accounts = {};
    auto const opened = std::vector<configuration_change>{{kind::removed, "need of keys", {}},
                                                          {kind::removed, "account one", {}},
                                                          {kind::removed, "account two", {}}};
    BOOST_TEST((compare_configurations(in_force, open) == opened));
}

}  // namespace
}  // namespace linnetlane::routing

#include "linnetlane/router/account_page.h"

#include <algorithm>
#include <memory>
#include <string>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

using namespace std::chrono_literals;

auto account_named(std::string name) -> routing::client_account {
    auto account = routing::client_account{};
    account.keys.push_back(base::digest_of_key("key of " + name));
    account.id.value = std::move(name);
    return account;
}

auto count_of(std::string const& text, std::string const& part) -> std::size_t {
    auto count = std::size_t{0};
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

// A host that is the only one, with the accounts `limited` and `free`.
struct lone_host {
    runtime::worker_pool pool{runtime::worker_count{1}};
    router_settings settings = make_settings();
    routing_view view{this->settings, 1};
    router_metrics metrics;
    telemetry::event_log log{this->settings.log, {this->settings.host, {}}};
    host_shutdown shutdown;
    host_context host{this->pool, this->view,     this->metrics,
                      this->log,  this->settings, this->shutdown};
    quota_service quotas{this->host};
    account_activity activity{this->metrics};

    lone_host() {
        auto limited = account_named("limited");
        limited.keys.push_back(base::digest_of_key("another"));
        limited.priority = 2;
        limited.quota = routing::account_quota{routing::quota_unit::tokens, 500, 90, 10};
        auto offered = routing::configuration{};
        offered.version.value = 7;
        offered.requires_keys = true;
        offered.accounts = routing::client_accounts{{limited, account_named("free")}};
        this->view.routes.offer(std::make_shared<routing::configuration const>(std::move(offered)));
        this->view.hosts = 1;
        this->view.reads_registry = true;
    }
    lone_host(lone_host const&) = delete;
    auto operator=(lone_host const&) -> lone_host& = delete;
    lone_host(lone_host&&) = delete;
    auto operator=(lone_host&&) -> lone_host& = delete;
    ~lone_host() {
        this->pool.stop();
        this->pool.join();
    }

    static auto make_settings() -> router_settings {
        auto settings = router_settings{};
        settings.host.value = "h1";
        settings.quotas.slack = 40;
        return settings;
    }

    [[nodiscard]] auto page() -> ctl::account_list {
        return make_account_page(this->host, this->quotas, this->activity);
    }
};

BOOST_FIXTURE_TEST_CASE(the_page_shows_what_accounts_are_granted_and_had, lone_host) {
    this->view.freshness.note_newest(base::boot_clock::now());
    this->activity.note_end({"limited"}, request_outcome::answered, std::nullopt);
    this->activity.note_end({"limited"}, request_outcome::refused, refusal_reason::quota_exceeded);

    auto const page = this->page();
    BOOST_TEST(page.seen_by.value == "h1");
    BOOST_TEST(page.version.value() == 7U);
    BOOST_TEST(page.requires_keys);
    BOOST_TEST(page.age.value() >= 0);
    BOOST_TEST(page.keeps_quotas);
    BOOST_TEST(page.share == 1.0);
    BOOST_REQUIRE(page.accounts.size() == 2U);
    auto const& limited = page.accounts[0];
    BOOST_TEST(limited.keys == 2U);
    BOOST_TEST(limited.priority.value() == 2);
    BOOST_TEST(limited.quota->unit == "tokens");
    BOOST_TEST(limited.quota->per_second == 500);
    BOOST_TEST(limited.quota->burst == 90);
    // The initial share of the tolerance, and what became available since.
    BOOST_TEST(limited.level.value() >= routing::account_quotas::initial_share * 40);
    BOOST_TEST(limited.level.value() <= 90);
    BOOST_TEST(limited.requests == 2U);
    BOOST_TEST((limited.refusals == std::map<std::string, std::uint64_t>{{"quota_exceeded", 1}}));
    auto const& free = page.accounts[1];
    BOOST_TEST(!free.quota.has_value());
    BOOST_TEST(!free.level.has_value());
    BOOST_TEST(free.requests == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_page_holds_no_key_and_no_digest, lone_host) {
    auto const text = ctl::to_json_text(this->page());
    BOOST_TEST(count_of(text, "key of") == 0U);
    BOOST_TEST(count_of(text, base::digest_of_key("another").value) == 0U);
    BOOST_TEST(count_of(text, base::digest_of_key("key of free").value) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_follower_names_the_keeper_and_shows_no_level, lone_host) {
    this->view.reads_registry = false;
    this->view.source = host_entry{{"h2"}, {}, base::endpoint{"127.0.0.1", 1}, {}};
    auto const page = this->page();
    BOOST_TEST(!page.keeps_quotas);
    BOOST_TEST(page.keeper.value().value == "h2");
    BOOST_TEST(page.share == 0.0);
    BOOST_TEST(!page.accounts[0].level.has_value());
}

BOOST_AUTO_TEST_CASE(metrics_name_at_most_twenty_accounts_and_count_the_others_together) {
    auto metrics = router_metrics{};
    auto activity = account_activity{metrics};
    for (auto account = 0; account < 100; ++account) {
        for (auto request = 0; request <= account; ++request) {
            activity.note_end({fmt::format("a{}", account)}, request_outcome::answered,
                              std::nullopt);
        }
    }
    auto const text = metrics.scrape();
    BOOST_TEST(count_of(text, "linnetlane_account_requests_total{") ==
               router_metrics::max_named_accounts + 1);
    BOOST_TEST(count_of(text, "account=\"other\"") == 1U);
    BOOST_TEST(count_of(text, "account=\"a99\"") == 1U);
    BOOST_TEST(count_of(text, "account=\"a0\"") == 0U);
}

BOOST_AUTO_TEST_CASE(no_request_is_lost_when_an_account_loses_its_name) {
    auto metrics = router_metrics{};
    auto activity = account_activity{metrics};
    for (auto account = 0; account < 21; ++account) {
        activity.note_end({fmt::format("a{}", account)}, request_outcome::answered, std::nullopt);
    }
    activity.note_end({"a20"}, request_outcome::answered, std::nullopt);
    auto const text = metrics.scrape();
    BOOST_TEST(count_of(text, "account=\"a20\",outcome=\"answered\"} 1\n") == 1U);
    // The first request of `a20` and that of the account that lost its name.
    BOOST_TEST(count_of(text, "account=\"other\",outcome=\"answered\"} 2\n") == 1U);
}

BOOST_AUTO_TEST_CASE(accounts_that_were_removed_are_forgotten) {
    auto metrics = router_metrics{};
    auto activity = account_activity{metrics};
    activity.note_end({"gone"}, request_outcome::answered, std::nullopt);
    activity.note_end({"kept"}, request_outcome::answered, std::nullopt);
    activity.retain(routing::client_accounts{{account_named("kept")}});
    BOOST_TEST(activity.of({"gone"}).requests == 0U);
    BOOST_TEST(activity.of({"kept"}).requests == 1U);
    auto const text = metrics.scrape();
    BOOST_TEST(count_of(text, "account=\"gone\"") == 0U);
    BOOST_TEST(count_of(text, "account=\"other\",outcome=\"answered\"} 1\n") == 1U);
}

BOOST_AUTO_TEST_CASE(an_account_with_the_label_of_the_others_is_one_of_them) {
    auto metrics = router_metrics{};
    auto activity = account_activity{metrics};
    activity.note_end({"other"}, request_outcome::answered, std::nullopt);
    activity.note_end({"gone"}, request_outcome::answered, std::nullopt);
    activity.retain(routing::client_accounts{{account_named("other")}});
    BOOST_TEST(count_of(metrics.scrape(), "account=\"other\",outcome=\"answered\"} 2\n") == 1U);
}

}  // namespace
}  // namespace linnetlane::router

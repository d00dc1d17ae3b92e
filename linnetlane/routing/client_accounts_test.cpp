#include "linnetlane/routing/client_accounts.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto account(std::string name, std::vector<std::string> const& keys) -> client_account {
    auto made = client_account{};
    made.id.value = std::move(name);
    for (auto const& key : keys) {
        made.keys.push_back(base::digest_of_key(key));
    }
    return made;
}

auto name_of(client_accounts const& accounts, std::string const& key) -> std::string {
    auto const* const found = accounts.find(base::digest_of_key(key));
    return found == nullptr ? "" : found->id.value;
}

BOOST_AUTO_TEST_CASE(each_key_of_an_account_opens_it_and_no_other_key_does) {
    auto const accounts = client_accounts{{account("one", {"a", "b"}), account("two", {"c"})}};
    BOOST_TEST(name_of(accounts, "a") == "one");
    BOOST_TEST(name_of(accounts, "b") == "one");
    BOOST_TEST(name_of(accounts, "c") == "two");
    BOOST_TEST(name_of(accounts, "d").empty());
    BOOST_TEST(name_of(accounts, "").empty());
    BOOST_TEST(name_of(client_accounts{}, "a").empty());
    // The digest itself is no key.
    BOOST_TEST(name_of(accounts, base::digest_of_key("a").value).empty());
}

BOOST_AUTO_TEST_CASE(a_key_of_several_accounts_opens_none_and_their_other_keys_still_do) {
    auto const accounts = client_accounts{
        {account("one", {"a", "b"}), account("two", {"a"}), account("three", {"a", "c"})}};
    BOOST_TEST(name_of(accounts, "a").empty());
    BOOST_TEST(name_of(accounts, "b") == "one");
    BOOST_TEST(name_of(accounts, "c") == "three");
    // Listed twice for the same account, it is the account's.
    BOOST_TEST(name_of(client_accounts{{account("one", {"a", "a"})}}, "a") == "one");
}

BOOST_AUTO_TEST_CASE(accounts_are_found_by_name) {
    auto const accounts = client_accounts{{account("one", {"a"}), account("two", {})}};
    BOOST_REQUIRE(accounts.find(base::caller_id{"two"}) != nullptr);
    BOOST_TEST(accounts.find(base::caller_id{"two"})->keys.empty());
    BOOST_TEST((accounts.find(base::caller_id{"three"}) == nullptr));
}

BOOST_AUTO_TEST_CASE(a_key_opens_the_one_account_that_lists_it) {
    BOOST_TEST(rc::check([] {
        auto listed = std::vector<client_account>{};
        auto keys = std::vector<std::vector<std::string>>{};
        auto const count = *rc::gen::inRange<std::size_t>(0, 6);
        for (auto index = std::size_t{0}; index < count; ++index) {
            keys.push_back(*rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("a", "b", "c", "d", "e", "f", "g", "h")));
            listed.push_back(account(std::to_string(index), keys.back()));
        }
        auto const accounts = client_accounts{listed};
        // Copies refer to their own accounts.
        auto const copies = std::vector<client_accounts>{accounts};
        for (auto const* const key : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            auto holders = std::vector<std::string>{};
            for (auto index = std::size_t{0}; index < count; ++index) {
                if (std::ranges::find(keys[index], key) != keys[index].end()) {
                    holders.push_back(std::to_string(index));
                }
            }
            auto const expected = holders.size() == 1 ? holders.front() : "";
            RC_ASSERT(name_of(accounts, key) == expected);
            RC_ASSERT(name_of(copies.front(), key) == expected);
        }
    }));
}

}  // namespace
}  // namespace linnetlane::routing

#include "linnetlane/coordination/etcd_json.h"

#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::coordination {
namespace {

constexpr auto number = call_number{7};

BOOST_AUTO_TEST_CASE(a_prefix_becomes_a_range_that_ends_after_it) {
    auto const request = to_gateway(read_prefix{number, "services/"});
    BOOST_TEST(request.target == "/v3/kv/range");
    // "services/" and "services0".
    BOOST_TEST(request.body == R"({"key":"c2VydmljZXMv","range_end":"c2VydmljZXMw"})");
}

BOOST_AUTO_TEST_CASE(a_swap_compares_the_last_write_and_reads_on_failure) {
    auto const request =
        to_gateway(compare_and_swap{number, "k", revision{5}, "v", lease_number{9}, {}});
    BOOST_TEST(request.target == "/v3/kv/txn");
    BOOST_TEST(request.body ==
               R"({"compare":[{"key":"aw==","mod_revision":"5","result":"EQUAL","target":"MOD"}],)"
               R"("failure":[{"requestRange":{"key":"aw=="}}],)"
               R"("success":[{"requestPut":{"key":"aw==","lease":"9","value":"dg=="}}]})");
}

BOOST_AUTO_TEST_CASE(entries_carry_the_write_that_set_them) {
    auto const parsed = parse_entries(
        number, R"({"header":{"revision":"12"},"count":"1","kvs":[)"
                R"({"key":"aw==","value":"dg==","mod_revision":"5","create_revision":"2"}]})");
    BOOST_REQUIRE(base::succeeded(parsed));
    auto const& read = std::get<entries_read>(base::value_of(parsed));
    BOOST_TEST(read.call == number);
    BOOST_TEST(read.at == revision{12});
    BOOST_REQUIRE(read.entries.size() == 1U);
    BOOST_TEST((read.entries.front() == entry{"k", "v", revision{5}}));
}

BOOST_AUTO_TEST_CASE(a_failed_swap_carries_the_current_entry) {
    auto const parsed =
        parse_swap(number, R"({"header":{"revision":"12"},"responses":[{"response_range":{"kvs":[)"
                           R"({"key":"aw==","value":"dg==","mod_revision":"5"}]}}]})");
    auto const& answer = std::get<swap_answer>(base::value_of(parsed));
    BOOST_TEST(!answer.swapped);
    BOOST_TEST((answer.current == entry{"k", "v", revision{5}}));
}

BOOST_AUTO_TEST_CASE(a_lease_that_ended_is_not_kept) {
    auto const kept = parse_kept(number, R"({"result":{"ID":"9","TTL":"10"}})");
    BOOST_TEST(std::get<lease_kept>(base::value_of(kept)).kept);
    auto const ended = parse_kept(number, R"({"result":{"ID":"9"}})");
    BOOST_TEST(!std::get<lease_kept>(base::value_of(ended)).kept);
}

BOOST_AUTO_TEST_CASE(a_watch_line_gives_changes_removals_or_its_end) {
    auto const changed = parse_watch_line(
        number, R"({"result":{"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"6"}},)"
                R"({"type":"DELETE","kv":{"key":"bA==","mod_revision":"7"}}]}})");
    auto const& changes = std::get<watch_changes>(base::value_of(changed)).changed;
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST((changes[0] == entry{"k", "v", revision{6}}));
    BOOST_TEST((changes[1] == entry{"l", "", revision{7}}));
    auto const cancelled = parse_watch_line(number, R"({"result":{"canceled":true}})");
    BOOST_TEST(std::holds_alternative<watch_ended>(base::value_of(cancelled)));
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_is_a_typed_failure) {
    BOOST_TEST((*base::failure_of(parse_entries(number, "<html>")) == gateway_failure::not_json));
    BOOST_TEST((*base::failure_of(parse_entries(number, "{}")) == gateway_failure::missing_field));
    BOOST_TEST((*base::failure_of(parse_swap(number, R"({"error":"x"})")) ==
                gateway_failure::error_answer));
    BOOST_TEST((*base::failure_of(parse_granted(number, R"({"ID":"nine"})")) ==
                gateway_failure::bad_field));
}

RC_BOOST_PROP(arbitrary_text_never_crashes_a_parser, (std::string const& text)) {
    static_cast<void>(parse_entries(number, text));
    static_cast<void>(parse_swap(number, text));
    static_cast<void>(parse_watch_line(number, text));
}

}  // namespace
}  // namespace linnetlane::coordination

#include "linnetlane/ctl/operator_api.h"

#include <array>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::ctl {
namespace {

BOOST_AUTO_TEST_CASE(every_call_round_trips_through_method_and_target) {
    auto const service = base::service_id{"finding"};
    auto const calls = std::array<operator_call, 13>{
        list_services{},
        get_service{service},
        apply_service{service, base::generation{3}},
        remove_service{service, base::generation{18'446'744'073'709'551'615U}},
        get_history{service},
        get_status{service},
        list_hosts{},
        list_upstreams{},
        list_requests{},
        list_accounts{},
        check_health{},
        check_readiness{},
        get_metrics{}};
    for (auto const& call : calls) {
        auto const line = format_call(call);
        auto const parsed = parse_call(line.method, line.target);
        BOOST_TEST_CONTEXT(line.target) {
            BOOST_REQUIRE(base::succeeded(parsed));
            BOOST_TEST(base::value_of(parsed).index() == call.index());
            BOOST_TEST(format_call(base::value_of(parsed)).target == line.target);
        }
    }
}

auto failure_of_call(std::string_view method, std::string_view target) -> std::string {
    auto const parsed = parse_call(method, target);
    auto const* const failure = base::failure_of(parsed);
    return failure == nullptr ? "none" : std::string{name_of(failure->type)};
}

BOOST_AUTO_TEST_CASE(an_invalid_call_is_refused_with_the_matching_error) {
    BOOST_TEST(failure_of_call("GET", "/") == "not_found");
    BOOST_TEST(failure_of_call("GET", "/v1/services/") == "not_found");
    BOOST_TEST(failure_of_call("GET", "/v1/services/../hosts") == "not_found");
    BOOST_TEST(failure_of_call("GET", "/v1/services/a/other") == "not_found");
    BOOST_TEST(failure_of_call("POST", "/v1/services/a") == "method_not_allowed");
    BOOST_TEST(failure_of_call("PUT", "/v1/hosts") == "method_not_allowed");
    BOOST_TEST(failure_of_call("PUT", "/v1/services/a") == "bad_request");
    BOOST_TEST(failure_of_call("PUT", "/v1/services/a?base=") == "bad_request");
    BOOST_TEST(failure_of_call("PUT", "/v1/services/a?base=-1") == "bad_request");
    BOOST_TEST(failure_of_call("PUT", "/v1/services/a?base=1&x=2") == "bad_request");
}

RC_BOOST_PROP(parsing_any_target_does_not_crash, (std::string const& target)) {
    (void)parse_call("GET", target);
    (void)parse_call("PUT", "/v1/services/" + target);
}

BOOST_AUTO_TEST_CASE(a_conflict_carries_the_document_in_force) {
    auto conflict = api_error{};
    conflict.type = api_failure::conflict;
    conflict.in_force = service_text{{"finding"}, base::generation{4}, false, "id = \"finding\"\n"};
    auto const read = parse_error(to_json_text(conflict));
    BOOST_REQUIRE(base::succeeded(read));
    BOOST_TEST((base::value_of(read).type == api_failure::conflict));
    BOOST_TEST(base::value_of(read).in_force->generation == base::generation{4});
    BOOST_TEST(base::value_of(read).in_force->text == "id = \"finding\"\n");
    BOOST_TEST(!base::value_of(read).retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(only_optional_fields_may_be_absent) {
    auto const status = parse_message<service_status>(
        R"({"service":"a","generation":2,"hosts":[{"host":"h","data_centre":"d"}]})");
    BOOST_REQUIRE(base::succeeded(status));
    BOOST_TEST(!base::value_of(status).hosts.front().generation.has_value());
    for (auto const* text :
         {"", "[]", "{}", R"({"service":1,"generation":2,"hosts":[]})", "{\"service\":"}) {
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST(!base::succeeded(parse_message<service_status>(text)));
        }
    }
}

BOOST_AUTO_TEST_CASE(failures_map_to_their_http_status) {
    BOOST_TEST(status_of(api_failure::conflict) == 409);
    BOOST_TEST(status_of(api_failure::invalid_document) == 422);
    BOOST_TEST(status_of(api_failure::not_applied) == 503);
    BOOST_TEST(status_of(api_failure::outcome_unknown) == 504);
}

}  // namespace
}  // namespace linnetlane::ctl

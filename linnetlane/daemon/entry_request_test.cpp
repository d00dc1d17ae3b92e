#include "linnetlane/daemon/entry_request.h"

#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/standin/token_text.h"

namespace linnetlane::daemon {
namespace {

auto request_with(std::string body) -> runtime::http_request {
    auto request = runtime::http_request{"POST", "/v1/completions", {}, std::move(body)};
    return request;
}

auto keyed_document() -> service::document {
    auto document = service::document{};
    auto known = service::caller{};
    known.id = base::caller_id{"inspectors"};
    known.key_hash = service::hash_key("secret");
    document.callers.push_back(known);
    return document;
}

auto credentials_of(char const* header, char const* value) -> caller_credentials {
    auto fields = runtime::http_fields{};
    fields.add(header, value);
    return read_credentials(fields);
}

RC_BOOST_PROP(prefix_hashes_match_those_of_engines, (std::string const& prompt)) {
    auto const tokens = base::token_count{*rc::gen::inRange<std::int64_t>(1, 200)};
    auto const piece = base::token_count{*rc::gen::inRange<std::int64_t>(1, 50)};
    auto expected = standin::piece_hashes(prompt, tokens, piece);
    expected.resize(std::min(expected.size(), max_prefixes));
    RC_ASSERT(prefix_hashes(prompt, tokens, piece) == expected);
}

RC_BOOST_PROP(any_body_gives_a_request_or_a_typed_failure, (std::string const& body)) {
    (void)parse_completion(request_with(body));
}

BOOST_AUTO_TEST_CASE(a_request_is_read_with_its_headers_and_fields) {
    auto request = request_with(
        R"({"model":"m","prompt":"12345","max_tokens":7,"stream":true,"x_prompt_tokens":900})");
    request.fields.add("X-Service", "finding");
    request.fields.add("x-priority", "batch");
    request.fields.add("x-repeatable", "false");
    auto const parsed = parse_completion(request);
    BOOST_TEST_REQUIRE(base::succeeded(parsed));
    auto const& completion = base::value_of(parsed);
    BOOST_TEST(completion.service == base::service_id{"finding"});
    BOOST_TEST((completion.priority == base::priority_class::batch));
    BOOST_TEST(!completion.repeatable);
    BOOST_TEST(completion.stream);
    BOOST_TEST(completion.prompt_tokens == base::token_count{900});
    BOOST_TEST((completion.output_bound == base::token_count{7}));
}

BOOST_AUTO_TEST_CASE(prompt_tokens_are_estimated_from_characters) {
    auto const parsed = parse_completion(request_with(R"({"model":"m","prompt":"12345"})"));
    BOOST_TEST(base::value_of(parsed).prompt_tokens == base::token_count{2});
}

BOOST_AUTO_TEST_CASE(a_caller_is_identified_by_key_where_keys_are_required) {
    auto const document = keyed_document();
    auto const known = identify(document, credentials_of("authorization", "Bearer secret"));
    BOOST_TEST_REQUIRE(known.has_value());
    BOOST_TEST(known->id == base::caller_id{"inspectors"});
    BOOST_TEST(!identify(document, credentials_of("authorization", "Bearer wrong")).has_value());
    BOOST_TEST(!identify(document, credentials_of("x-caller", "inspectors")).has_value());
}

BOOST_AUTO_TEST_CASE(a_caller_is_identified_by_name_where_no_keys_are_required) {
    auto const named = identify(service::document{}, credentials_of("x-caller", "field"));
    BOOST_TEST(named->id == base::caller_id{"field"});
    BOOST_TEST(identify(service::document{}, {})->id == base::caller_id{"anonymous"});
}

}  // namespace
}  // namespace linnetlane::daemon

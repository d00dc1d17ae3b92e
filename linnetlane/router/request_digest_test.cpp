#include "linnetlane/router/request_digest.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

auto make_request() -> caller_request {
    auto request = caller_request{};
    request.caller = "a.example\n";
    request.forwarded.method = "POST";
    request.forwarded.target = "/x";
    request.forwarded.body = "body";
    return request;
}

BOOST_AUTO_TEST_CASE(a_repeat_has_the_same_digest) {
    auto const first = make_request();
    auto repeat = make_request();
    repeat.id = {"another id"};
    repeat.resumes = true;
    repeat.timeout = std::chrono::seconds{1};
    repeat.forwarded.fields.add("Last-Event-Id", "3");
    BOOST_TEST(digest_of(first) == digest_of(repeat));
}

BOOST_AUTO_TEST_CASE(method_target_caller_and_body_tell_requests_apart) {
    auto const first = digest_of(make_request());
    for (auto const change : {+[](caller_request& one) { one.forwarded.method = "PUT"; },
                              +[](caller_request& one) { one.forwarded.target = "/x?y"; },
                              +[](caller_request& one) { one.caller = "b.example\n"; },
                              +[](caller_request& one) { one.forwarded.body = "bodY"; },
                              // No text moves from one to the next.
                              +[](caller_request& one) {
                                  one.forwarded.target = "/x\na.example\n";
                                  one.caller = "";
                              }}) {
        auto other = make_request();
        change(other);
        BOOST_TEST(digest_of(other) != first);
    }
}

}  // namespace
}  // namespace linnetlane::router

#include "linnetlane/load/answer_check.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace linnetlane::load {
namespace {

using json = nlohmann::json;

auto asked() -> planned_request {
    auto request = planned_request{};
    request.prompt = "Trench 9";
    request.output_tokens = base::token_count{4};
    request.output_bound = base::token_count{300};
    return request;
}

auto part(std::int64_t begin, std::int64_t end, char const* prompt = "Trench 9") -> std::string {
    auto const text = standin::answer_text(standin::prompt_key(prompt), begin, end);
    return json{{"choices", json::array({json{{"text", text}}})}}.dump();
}

// The state of the check after `events` and the end mark.
auto state_after(std::vector<std::string> const& events) -> answer_state {
    auto check = answer_check{asked()};
    for (auto const& event : events) {
        check.add_event(event, base::time_point{});
    }
    check.add_event("[DONE]", base::time_point{});
    return check.state();
}

BOOST_AUTO_TEST_CASE(tokens_in_order_make_a_whole_answer_however_they_are_joined) {
    BOOST_TEST(
        (state_after({part(0, 1), part(1, 2), part(2, 3), part(3, 4)}) == answer_state::whole));
    BOOST_TEST((state_after({part(0, 3), part(3, 4), part(4, 4)}) == answer_state::whole));
}

BOOST_AUTO_TEST_CASE(missing_double_and_foreign_tokens_are_wrong) {
    BOOST_TEST((state_after({part(0, 3)}) == answer_state::wrong));
    BOOST_TEST((state_after({part(0, 2), part(1, 4)}) == answer_state::wrong));
    BOOST_TEST((state_after({part(0, 2), part(3, 4)}) == answer_state::wrong));
    BOOST_TEST((state_after({part(0, 2), part(2, 4, "Trench 8")}) == answer_state::wrong));
    BOOST_TEST((state_after({part(0, 4), part(4, 5)}) == answer_state::wrong));
    BOOST_TEST((state_after({part(0, 4), "[DONE]"}) == answer_state::wrong));
    BOOST_TEST((state_after({"{\"id\":%%%"}) == answer_state::wrong));
}

BOOST_AUTO_TEST_CASE(an_error_in_the_stream_keeps_its_type) {
    auto check = answer_check{asked()};
    check.add_event(part(0, 2), base::time_point{});
    check.add_event(R"({"error":{"type":"upstream_failed"}})", base::time_point{});
    BOOST_TEST((check.state() == answer_state::failed));
    BOOST_TEST(check.error_type() == "upstream_failed");
    BOOST_TEST(check.arrivals().size() == 2);
}

}  // namespace
}  // namespace linnetlane::load

#include "linnetlane/ctl/explain_command.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace linnetlane::ctl {
namespace {

BOOST_AUTO_TEST_CASE(a_story_has_the_lines_of_its_request_and_of_its_upstreams) {
    auto log = std::istringstream{
        "not json\n"
        R"(12.5 h1 {"time":"t1","host":"h1","event":"upstream gone","upstream":"i-1"})"
        "\n"
        R"({"time":"t2","host":"h1","event":"upstream gone","upstream":"i-2"})"
        "\n"
        R"({"time":"t3","host":"h1","event":"request ended","request":"r1","upstream":"i-1","took":0.5})"
        "\n"
        R"({"time":"t4","host":"h1","event":"request ended","request":"r2","upstream":"i-2"})"
        "\n{\"request\":\n"};
    auto story = std::vector<story_line>{};
    collect_story(log, "r1", story);

    BOOST_REQUIRE(story.size() == 2U);
    BOOST_TEST(story[0].event == "request ended");
    BOOST_TEST(story[0].details == R"( upstream="i-1" took=0.5)");
    BOOST_TEST(story[1].event == "upstream gone");
    BOOST_TEST(story[1].time == "t1");
}

}  // namespace
}  // namespace linnetlane::ctl

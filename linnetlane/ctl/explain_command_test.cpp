#include "linnetlane/ctl/explain_command.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace linnetlane::ctl {
namespace {

BOOST_AUTO_TEST_CASE(a_timeline_has_the_lines_of_its_request_and_of_its_upstreams) {
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
    auto timeline = std::vector<timeline_entry>{};
    collect_timeline(log, "r1", timeline);

    BOOST_REQUIRE(timeline.size() == 2U);
    BOOST_TEST(timeline[0].event == "request ended");
    BOOST_TEST(timeline[0].details == R"( upstream="i-1" took=0.5)");
    BOOST_TEST(timeline[1].event == "upstream gone");
    BOOST_TEST(timeline[1].time == "t1");
}

}  // namespace
}  // namespace linnetlane::ctl

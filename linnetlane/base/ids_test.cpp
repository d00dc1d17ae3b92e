#include "linnetlane/base/ids.h"

#include <type_traits>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::base {
namespace {

static_assert(!std::is_convertible_v<std::string, host_id>);
static_assert(!std::is_constructible_v<upstream_id, host_id>);

RC_BOOST_PROP(request_id_round_trips_through_text, (std::uint64_t high, std::uint64_t low)) {
    auto const id = request_id{high, low};
    RC_ASSERT(parse_request_id(to_string(id)) == id);
}

BOOST_AUTO_TEST_CASE(malformed_text_is_not_a_request_id) {
    BOOST_TEST(!parse_request_id("").has_value());
    BOOST_TEST(!parse_request_id("0af7651916cd43dd8448eb211c80319").has_value());
    BOOST_TEST(!parse_request_id("0af7651916cd43dd8448eb211c80319g").has_value());
}

}  // namespace
}  // namespace linnetlane::base

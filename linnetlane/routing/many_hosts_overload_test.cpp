// Tests of the admission of generations under overload, for fleets of many hosts, each of which
// sees few answers of the engines.

#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/generation_overload_model.h"

namespace linnetlane::routing {
namespace {

BOOST_AUTO_TEST_CASE(goodput_holds_with_one_prefill_engine_too_few_and_many_hosts) {
    check_goodput_holds({.hosts = 70, .prefill_engines = 8, .decode_engines = 60}, 80);
}

}  // namespace
}  // namespace linnetlane::routing

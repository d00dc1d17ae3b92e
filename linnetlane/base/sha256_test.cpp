#include "linnetlane/base/sha256.h"

#include <boost/test/unit_test.hpp>

namespace linnetlane::base {
namespace {

// The examples of FIPS 180-2.
BOOST_AUTO_TEST_CASE(digests_are_those_of_the_standard) {
    BOOST_TEST(sha256_hex("") ==
               "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    BOOST_TEST(sha256_hex("abc") ==
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace linnetlane::base

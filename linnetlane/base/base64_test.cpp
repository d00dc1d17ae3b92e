#include "linnetlane/base/base64.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::base {
namespace {

RC_BOOST_PROP(bytes_round_trip_through_base64, (std::string const& bytes)) {
    RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
}

RC_BOOST_PROP(arbitrary_text_never_crashes_the_decoder, (std::string const& text)) {
    static_cast<void>(decode_base64(text));
}

BOOST_AUTO_TEST_CASE(text_has_the_standard_alphabet_and_padding) {
    BOOST_TEST(encode_base64("k") == "aw==");
    BOOST_TEST(encode_base64("services/") == "c2VydmljZXMv");
    BOOST_TEST(decode_base64("not base64!") == "");
}

}  // namespace
}  // namespace linnetlane::base

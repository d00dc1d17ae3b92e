// Fuzz tests of the parsers: random mutations of valid texts, and a corpus of texts that once made
// a parser fail.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/service/diff.h"
#include "linnetlane/service/parse.h"
#include "linnetlane/settings/parse.h"

namespace linnetlane::service {
namespace {

constexpr auto model_text = std::string_view{R"(# trench findings
id = "finding"
generation = 3
kind = "model"
[shape]
piece_size = 2000
prefill_rate = 2.5e4
result_kept = "800ms"
[targets]
first_token = "1.8s"
[deployment]
model = """trench
finding"""
adapters = ["council-a", 'council-b']
[[callers]]
id = "inspectors"
share = 0.5
[[upstreams]]
id = "p1"
data_centre = "bne-north"
role = "prefill"
address = "10.0.0.5:8000"
[[upstreams]]
id = "d1"
data_centre = "bne-north"
role = "decode"
address = "[::1]:8000"
leaving = true
)"};

constexpr auto settings_text = std::string_view{R"(host = "bne-north-1"
data_centre = "bne-north"
workers = 4
platform = { endpoints = ["10.0.9.1:2379"] }
[listen]
callers = "0.0.0.0:8080"
peers = "10.0.0.1:7000"
operators = "10.0.0.1:9000"
[[seeds]]
host = "gold-coast-1"
data_centre = "gold-coast"
address = "10.1.0.1:7000"
[limits]
request_arrival = "2.5s"
)"};

// TOML fragments that are likely to trigger parser errors.
auto any_token() -> rc::Gen<std::string> {
    return rc::gen::element<std::string>(
        "[[", "]]", "[", "]", "{", "}", "=", ".", ",", "#", "\n", "\r", "\"", "'", "\"\"\"", "'''",
        "\\", "\\u00", "\\U0010FFFF", "-", "+", "0x", "1e999", "inf", "nan", "1979-05-27", "true",
        "9223372036854775808", "\xc6\x98", "\xe2\x80\xa8", "\xff", std::string(1, '\0'), "id",
        "upstreams", "\"10.0.0.5:8000\"", "\"1.8s\"");
}

// Applies one to eight random mutations to `text`.
auto mutated(std::string text) -> std::string {
    constexpr auto max_erased_bytes = std::size_t{12};
    auto const changes = *rc::gen::inRange(1, 9);
    for (auto count = 0; count < changes; ++count) {
        auto const place = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        if (*rc::gen::arbitrary<bool>()) {
            text.insert(place, *any_token());
        } else {
            text.erase(place, *rc::gen::inRange<std::size_t>(1, max_erased_bytes));
        }
    }
    return text;
}

// Whether `text` is either rejected with errors, or accepted and unchanged by a round trip through
// `format_document` and `with_generation`.
auto is_read_safely(std::string_view text) -> bool {
    (void)settings::parse_settings(text, "host.toml");
    auto const read = parse_document(text);
    if (!base::succeeded(read)) {
        return !base::failure_of(read)->empty();
    }
    auto const& accepted = base::value_of(read);
    auto const again = parse_document(format_document(accepted));
    auto const newer = parse_document(with_generation(text, base::generation{77}));
    return base::succeeded(again) && base::value_of(again) == accepted && base::succeeded(newer) &&
           diff_documents(base::value_of(newer), accepted).empty();
}

BOOST_AUTO_TEST_CASE(every_corpus_text_is_accepted_or_rejected) {
    auto cases = std::size_t{0};
    for (auto const& found : std::filesystem::directory_iterator{LINNETLANE_CORPUS}) {
        auto file = std::ifstream{found.path(), std::ios::binary};
        auto const text = std::string{std::istreambuf_iterator<char>{file}, {}};
        BOOST_TEST_CONTEXT(found.path().filename().string()) {
            BOOST_TEST(is_read_safely(text));
        }
        ++cases;
    }
    BOOST_TEST(cases > 0U);
}

BOOST_AUTO_TEST_CASE(the_unmutated_texts_are_valid) {
    BOOST_TEST(base::succeeded(parse_document(model_text)));
    BOOST_TEST(base::succeeded(settings::parse_settings(settings_text, "host.toml")));
}

RC_BOOST_PROP(any_mutated_document_is_accepted_or_rejected, ()) {
    for (auto round = 0; round < 20; ++round) {
        RC_ASSERT(is_read_safely(mutated(std::string{model_text})));
    }
}

RC_BOOST_PROP(any_mutated_settings_are_accepted_or_rejected, ()) {
    for (auto round = 0; round < 20; ++round) {
        RC_ASSERT(is_read_safely(mutated(std::string{settings_text})));
    }
}

RC_BOOST_PROP(arbitrary_bytes_are_accepted_or_rejected, (std::string const& text)) {
    RC_ASSERT(is_read_safely(text));
}

}  // namespace
}  // namespace linnetlane::service

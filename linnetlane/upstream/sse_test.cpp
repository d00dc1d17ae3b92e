#include "linnetlane/upstream/sse.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::upstream {
namespace {

auto events_of(std::string const& text) -> std::vector<sse_event> {
    auto parser = sse_parser{};
    return base::take_value(parser.feed(text));
}

// Feeds `text` in pieces of the sizes in `cuts`, which are repeated as needed.
auto events_in_pieces(std::string const& text, std::vector<std::uint8_t> const& cuts)
    -> std::vector<sse_event> {
    auto parser = sse_parser{};
    auto events = std::vector<sse_event>{};
    auto begin = std::size_t{0};
    for (auto turn = std::size_t{0}; begin < text.size(); ++turn) {
        auto const size = cuts.empty() ? 1 : cuts[turn % cuts.size()] % 7U + 1U;
        auto const piece = text.substr(begin, size);
        for (auto& event : base::take_value(parser.feed(piece))) {
            events.push_back(std::move(event));
        }
        begin += size;
    }
    return events;
}

// Reference parser of the whole text: normalizes all line ends, then reads line by line.
auto reference_events(std::string text) -> std::vector<sse_event> {
    auto const replace_all = [&](std::string const& from) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + 1)) {
            text.replace(at, from.size(), "\n");
        }
    };
    replace_all("\r\n");
    replace_all("\r");
    if (text.starts_with("\xEF\xBB\xBF")) {
        text.erase(0, 3);
    }
    auto events = std::vector<sse_event>{};
    auto lines = std::vector<std::string>{};
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
        auto const line = text.substr(0, end);
        text.erase(0, end + 1);
        if (line.empty() && !lines.empty()) {
            auto data = std::string{};
            for (auto const& one : lines) {
                data += (&one == &lines.front() ? "" : "\n") + one;
            }
            events.push_back({data});
            lines.clear();
        } else if (line == "data") {
            lines.emplace_back();
        } else if (line.starts_with("data: ")) {
            lines.push_back(line.substr(6));
        } else if (line.starts_with("data:")) {
            lines.push_back(line.substr(5));
        }
    }
    return events;
}

// Generates text with many fields and line ends.
auto stream_text() -> rc::Gen<std::string> {
    auto const words = rc::gen::element<std::string>("data", "data:", "data: ", ":", "event: x",
                                                     "\r", "\n", "\r\n", "\n\n", "\xEF\xBB\xBF");
    auto const noise = rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto const parts = rc::gen::container<std::vector<std::string>>(
        rc::gen::weightedOneOf<std::string>({{4, words}, {1, noise}}));
    return rc::gen::map(parts, [](std::vector<std::string> const& chosen) {
        auto text = std::string{};
        for (auto const& part : chosen) {
            text += part;
        }
        return text;
    });
}

auto read_file(std::filesystem::path const& path) -> std::string {
    auto file = std::ifstream{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

RC_BOOST_PROP(any_split_gives_the_same_events, (std::vector<std::uint8_t> const& cuts)) {
    auto const text = *stream_text();
    RC_ASSERT(events_in_pieces(text, cuts) == events_of(text));
}

RC_BOOST_PROP(events_are_those_of_the_reference_parser, ()) {
    auto const text = *stream_text();
    RC_ASSERT(events_of(text) == reference_events(text));
}

BOOST_AUTO_TEST_CASE(corpus_files_are_parsed_as_by_the_reference_parser) {
    auto files = 0;
    for (auto const& entry :
         std::filesystem::directory_iterator{LINNETLANE_UPSTREAM_CORPUS "/sse"}) {
        auto const text = read_file(entry.path());
        auto const split = events_in_pieces(text, {});
        BOOST_TEST((split == events_of(text)), entry.path().filename());
        BOOST_TEST((split == reference_events(text)), entry.path().filename());
        ++files;
    }
    BOOST_TEST(files > 0);
}

BOOST_AUTO_TEST_CASE(an_event_over_the_size_limit_fails_for_good) {
    auto parser = sse_parser{};
    auto const largest = std::string(sse_parser::max_event_bytes, 'x');
    BOOST_TEST(base::succeeded(parser.feed(largest)));
    BOOST_TEST(!base::succeeded(parser.feed("x")));
    BOOST_TEST(!base::succeeded(parser.feed("\n\n")));
}

}  // namespace
}  // namespace linnetlane::upstream

#include "linnetlane/settings/parse.h"

#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

namespace linnetlane::settings {
namespace {

constexpr auto complete = std::string_view{R"(host = "bne-north-1"
data_centre = "bne-north"
workers = 4
[listen]
callers = "0.0.0.0:8080"
peers = "10.0.0.1:7000"
operators = "10.0.0.1:9000"
[platform]
endpoints = ["10.0.9.1:2379", "10.0.9.2:2379"]
[[seeds]]
host = "bne-north-1"
data_centre = "bne-north"
address = "10.0.0.1:7000"
[[seeds]]
host = "gold-coast-1"
data_centre = "gold-coast"
address = "10.1.0.1:7000"
[log]
level = "debug"
format = "json"
[trace]
output = "file"
file = "spans.jsonl"
[limits]
header_bytes = 4096
request_arrival = "2.5s"
[tls.peers]
certificate = "peer.crt"
key = "peer.key"
authority = "peers.crt"
)"};

auto with(std::string_view from, std::string_view to) -> std::string {
    auto text = std::string{complete};
    auto const place = text.find(from);
    BOOST_REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

// The errors of `text`, one per line.
auto errors_of(std::string_view text) -> std::string {
    auto const parsed = parse_settings(text, "host.toml");
    auto lines = std::string{};
    if (auto const* errors = base::failure_of(parsed)) {
        for (auto const& error : *errors) {
            lines += to_string(error) + "\n";
        }
    }
    return lines;
}

BOOST_AUTO_TEST_CASE(complete_settings_are_read) {
    auto const parsed = parse_settings(complete, "host.toml");
    BOOST_REQUIRE_EQUAL(errors_of(complete), "");
    auto const& loaded = base::value_of(parsed);
    BOOST_TEST(loaded.host == base::host_id{"bne-north-1"});
    BOOST_TEST(loaded.workers == 4U);
    BOOST_TEST((loaded.listen.callers == base::endpoint{"0.0.0.0", 8080}));
    BOOST_TEST(loaded.platform.size() == 2U);
    BOOST_TEST(loaded.seeds.size() == 2U);
    BOOST_TEST((loaded.log.format == log_format::json));
    BOOST_TEST((loaded.trace.output == trace_output::file));
    BOOST_TEST(loaded.limits.header_bytes == 4096U);
    BOOST_TEST((loaded.limits.request_arrival == std::chrono::milliseconds{2500}));
    BOOST_TEST(loaded.peer_tls->authority == "peers.crt");
    BOOST_TEST(!loaded.caller_tls.has_value());
}

BOOST_AUTO_TEST_CASE(an_unknown_setting_is_reported) {
    BOOST_TEST(errors_of(with("workers = 4", "wrokers = 4")) ==
               "host.toml:3: wrokers: unknown key\n");
    BOOST_TEST(errors_of(with("level = \"debug\"", "levle = \"debug\"")) ==
               "host.toml:19: log.levle: unknown key\n");
}

BOOST_AUTO_TEST_CASE(a_wrong_type_is_reported) {
    BOOST_TEST(errors_of(with("workers = 4", "workers = \"4\"")) ==
               "host.toml:3: workers: wrong type (expected an integer)\n");
    BOOST_TEST(errors_of(with("[log]", "[[log]]")) ==
               "host.toml:18: log: wrong type (expected a table)\n");
    BOOST_TEST(errors_of(with("[\"10.0.9.1:2379\", \"10.0.9.2:2379\"]", "[5]")) ==
               "host.toml:9: platform.endpoints[0]: wrong type (expected an address such as "
               "\"10.0.0.1:8080\")\n");
}

BOOST_AUTO_TEST_CASE(an_address_that_is_not_an_ip_address_is_reported) {
    BOOST_TEST(errors_of(with("\"10.1.0.1:7000\"", "\"peer.example:7000\"")) ==
               "host.toml:17: seeds[1].address: not an IP number with a port "
               "(peer.example:7000)\n");
}

BOOST_AUTO_TEST_CASE(a_missing_key_is_reported) {
    BOOST_TEST(errors_of(with("peers = \"10.0.0.1:7000\"\n", "")) ==
               "host.toml:4: listen.peers: missing key\n");
    BOOST_TEST(errors_of(with("file = \"spans.jsonl\"\n", "")) ==
               "host.toml:21: trace.file: missing key\n");
    BOOST_TEST(errors_of(with("authority = \"peers.crt\"\n", "")) ==
               "host.toml:27: tls.peers.authority: missing key\n");
}

BOOST_AUTO_TEST_CASE(duplicate_hosts_are_reported) {
    BOOST_TEST(errors_of(with("\"gold-coast-1\"", "\"bne-north-1\"")) ==
               "host.toml:15: seeds[1].host: duplicate host name (this host has the same name at "
               "another address)\n"
               "host.toml:15: seeds[1].host: duplicate host name (seeds[0] has the same name)\n");
    BOOST_TEST(errors_of(with("\"10.1.0.1:7000\"", "\"10.0.0.1:7000\"")) ==
               "host.toml:17: seeds[1].address: duplicate host address (seeds[0] has the same "
               "address)\n");
}

BOOST_AUTO_TEST_CASE(bounds_and_words_are_checked) {
    BOOST_TEST(errors_of(with("workers = 4", "workers = 0")) ==
               "host.toml:3: workers: out of bounds (expected 1 or more)\n");
    BOOST_TEST(errors_of(with("header_bytes = 4096", "header_bytes = -1")) ==
               "host.toml:25: limits.header_bytes: out of bounds (expected 0 or more)\n");
    BOOST_TEST(errors_of(with("\"2.5s\"", "\"0s\"")) ==
               "host.toml:26: limits.request_arrival: out of bounds (expected more than 0)\n");
    BOOST_TEST(errors_of(with("\"json\"", "\"xml\"")) ==
               "host.toml:20: log.format: unknown word (xml)\n");
    BOOST_TEST(errors_of(with("\"bne-north-1\"", "\"bne/north\"")) ==
               "host.toml:1: host: not a name (bne/north)\n");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once) {
    BOOST_TEST(errors_of("host = 1\nextra = 2\n") ==
               "host.toml:1: host: wrong type (expected a string)\n"
               "host.toml:1: data_centre: missing key\n"
               "host.toml:1: listen: missing key\n"
               "host.toml:1: platform: missing key\n"
               "host.toml:2: extra: unknown key\n");
}

BOOST_AUTO_TEST_CASE(a_syntax_error_names_its_line) {
    auto const parsed = parse_settings("host = \"a\"\nworkers = = 2\n", "host.toml");
    auto const* const errors = base::failure_of(parsed);
    BOOST_REQUIRE(errors != nullptr);
    BOOST_TEST(errors->size() == 1U);
    BOOST_TEST(errors->front().line == 2U);
    BOOST_TEST((std::get<toml_fault>(errors->front().fault) == toml_fault::malformed));
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_a_typed_error) {
    auto const loaded = load_settings("no-such-file.toml");
    auto const* const errors = base::failure_of(loaded);
    BOOST_REQUIRE(errors != nullptr);
    BOOST_TEST(
        (std::get<settings_fault>(errors->front().fault) == settings_fault::unreadable_file));
}

}  // namespace
}  // namespace linnetlane::settings

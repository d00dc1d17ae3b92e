#include "linnetlane/upstream/completions.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace linnetlane::upstream {
namespace {

using json = nlohmann::json;

auto const attempt =
    cell::attempt{{0x0af7651916cd43ddU, 0x8448eb211c80319cU}, base::attempt_number{2}};

auto example_transfer() -> kv_transfer {
    return {"engine", "job", "127.0.0.1", 8123, {1, 2, 3}};
}

auto prefill_answer_text() -> std::string {
    auto call = decode_call{};
    call.call.attempt = attempt;
    call.transfer = example_transfer();
    auto const params = json::parse(write_decode(call)).at("kv_transfer_params");
    return json{{"id", wire_id(attempt)}, {"kv_transfer_params", params}}.dump();
}

auto part_text() -> std::string {
    auto const choice = json{{"index", 0}, {"text", "word "}, {"finish_reason", nullptr}};
    return json{{"id", wire_id(attempt)}, {"choices", json::array({choice})}, {"x_offset", 7}}
        .dump();
}

// Runs every parser on `text`. Returns whether all values are in range.
auto run_all_parsers(std::string const& text) -> bool {
    auto const item = parse_stream_item(text);
    auto in_range = true;
    if (base::succeeded(item)) {
        if (auto const* const part = std::get_if<answer_part>(&base::value_of(item))) {
            in_range = part->offset.value >= 0 && part->count.value >= 0;
        }
    }
    auto const load = parse_load(text);
    if (base::succeeded(load)) {
        in_range = in_range && base::value_of(load).pieces_used.value >= 0;
    }
    (void)parse_prefill_answer(text);
    (void)parse_cache_changes(text);
    (void)parse_error(text);
    (void)parse_wire_id(text);
    return in_range;
}

// Changes, removes or duplicates bytes of `text`.
auto corrupt(std::string text, std::vector<std::pair<std::uint16_t, char>> const& changes)
    -> std::string {
    for (auto const& [place, byte] : changes) {
        if (text.empty()) {
            break;
        }
        auto const at = place % text.size();
        if (byte % 3 == 0) {
            text.erase(at, 1);
        } else if (byte % 3 == 1) {
            text[at] = byte;
        } else {
            text.insert(at, text.substr(at / 2, 4));
        }
    }
    return text;
}

// Collects `body` and the values in it at any depth.
auto collect_values(json& body, std::vector<json*>& found) -> void {
    found.push_back(&body);
    if (body.is_structured()) {
        for (auto& inner : body) {
            collect_values(inner, found);
        }
    }
}

// Replaces one of the values in `text` by `other`.
auto replace_value(std::string const& text, std::size_t place, json const& other) -> std::string {
    auto body = json::parse(text);
    auto values = std::vector<json*>{};
    collect_values(body, values);
    *values[place % values.size()] = other;
    return body.dump();
}

RC_BOOST_PROP(values_of_a_wrong_type_give_a_value_or_a_typed_failure, (std::uint8_t place)) {
    auto const other = *rc::gen::element<json>(nullptr, true, -1, 7, 1.5, "x", json::array(),
                                               json::object(), json::array({1, "x"}));
    auto const combined = std::string{
        R"({"pieces_used":1,"running":2,"leaving":true,"events":[{"sequence":1,"stored":[4]}],)"
        R"("error":{"type":"overloaded"}})"};
    for (auto const& text : {part_text(), prefill_answer_text(), combined}) {
        RC_ASSERT(run_all_parsers(replace_value(text, place, other)));
    }
}

RC_BOOST_PROP(any_bytes_give_a_value_or_a_typed_failure, (std::string const& bytes)) {
    RC_ASSERT(run_all_parsers(bytes));
}

RC_BOOST_PROP(corrupted_answers_give_a_value_or_a_typed_failure,
              (std::vector<std::pair<std::uint16_t, char>> const& changes)) {
    RC_ASSERT(run_all_parsers(corrupt(part_text(), changes)));
    RC_ASSERT(run_all_parsers(corrupt(prefill_answer_text(), changes)));
    RC_ASSERT(
        run_all_parsers(corrupt("{\"pieces_used\":1,\"events\":[{\"sequence\":1}]}", changes)));
}

RC_BOOST_PROP(a_wire_id_identifies_its_attempt,
              (std::uint64_t high, std::uint64_t low, std::uint64_t number)) {
    auto const named = cell::attempt{{high, low}, base::attempt_number{number}};
    RC_ASSERT(parse_wire_id(wire_id(named)) == named);
}

BOOST_AUTO_TEST_CASE(corpus_files_give_a_value_or_a_typed_failure) {
    auto files = 0;
    for (auto const& entry :
         std::filesystem::directory_iterator{LINNETLANE_UPSTREAM_CORPUS "/answers"}) {
        auto file = std::ifstream{entry.path(), std::ios::binary};
        auto const text = std::string{std::istreambuf_iterator<char>{file}, {}};
        BOOST_TEST(run_all_parsers(text), entry.path().filename());
        auto const good = entry.path().filename().string().starts_with("good_");
        auto const item = parse_stream_item(text);
        auto const is_part =
            base::succeeded(item) && std::holds_alternative<answer_part>(base::value_of(item));
        BOOST_TEST(is_part == good, entry.path().filename());
        ++files;
    }
    BOOST_TEST(files > 0);
}

BOOST_AUTO_TEST_CASE(deep_nesting_gives_a_value_or_a_typed_failure) {
    constexpr auto depth = 500'000;
    BOOST_TEST(run_all_parsers(std::string(depth, '[')));
    BOOST_TEST(run_all_parsers(std::string(depth, '[') + std::string(depth, ']')));
}

BOOST_AUTO_TEST_CASE(a_prefill_answer_holds_the_location_of_the_cache) {
    auto const answer = parse_prefill_answer(prefill_answer_text());
    BOOST_TEST_REQUIRE(base::succeeded(answer));
    BOOST_TEST((base::value_of(answer).attempt == attempt));
    BOOST_TEST((base::value_of(answer).transfer == example_transfer()));
}

BOOST_AUTO_TEST_CASE(both_calls_hold_the_offset_to_resume_from) {
    auto call = decode_call{};
    call.call.attempt = attempt;
    call.call.caller_body = R"({"prompt":"p","max_tokens":100,"temperature":0.5,"stream":false})";
    call.call.resume_from = base::token_count{30};
    call.call.delivered_text = "so far";
    call.output_bound = base::token_count{100};
    auto const prefill = json::parse(write_prefill(call.call));
    BOOST_TEST(prefill.at("max_tokens") == 1);
    BOOST_TEST(prefill.at("x_resume_from") == 30);
    BOOST_TEST(prefill.at("x_delivered_text") == "so far");
    BOOST_TEST(prefill.at("kv_transfer_params").at("do_remote_decode") == true);
    auto const decode = json::parse(write_decode(call));
    BOOST_TEST(decode.at("max_tokens") == 70);
    BOOST_TEST(decode.at("x_resume_from") == 30);
    BOOST_TEST(decode.at("stream") == true);
    BOOST_TEST(decode.at("temperature") == 0.5);
    BOOST_TEST(!decode.contains("kv_transfer_params"));
    BOOST_TEST(decode.at("request_id") == wire_id(attempt));
}

BOOST_AUTO_TEST_CASE(a_part_is_parsed_with_its_offset) {
    auto const item = parse_stream_item(part_text());
    BOOST_TEST_REQUIRE(base::succeeded(item));
    auto const& part = std::get<answer_part>(base::value_of(item));
    BOOST_TEST(part.offset == base::token_count{7});
    BOOST_TEST(part.count == base::token_count{1});
    BOOST_TEST(part.text == "word ");
    BOOST_TEST(!part.finish.has_value());
    auto const end = parse_stream_item("[DONE]");
    BOOST_TEST(std::holds_alternative<answer_end>(base::value_of(end)));
}

}  // namespace
}  // namespace linnetlane::upstream

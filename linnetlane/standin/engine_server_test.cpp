#include "linnetlane/standin/engine_server.h"

#include "linnetlane/standin/server_test_support.h"
#include "linnetlane/standin/token_text.h"

namespace linnetlane::standin {
namespace {

using json = nlohmann::json;

constexpr auto const* prompt = "Trench 7: three photographs, one missing";

// Runs 50 times as fast, but keeps prefill results for 5 minutes so that they do not expire on a
// busy machine.
auto fast_engine() -> engine_settings {
    auto settings = scaled(engine_settings{}, 50);
    settings.result_kept = std::chrono::minutes{5};
    return settings;
}

auto prefill_body(std::string const& id) -> json {
    return json{{"request_id", id},
                {"prompt", prompt},
                {"x_prompt_tokens", 3000},
                {"max_tokens", 1},
                {"kv_transfer_params", json{{"do_remote_decode", true}}}};
}

auto decode_body(std::string const& id, json const& transfer = nullptr) -> json {
    auto body = json{{"request_id", id},
                     {"prompt", prompt},
                     {"x_prompt_tokens", 3000},
                     {"max_tokens", 400},
                     {"stream", true}};
    if (!transfer.is_null()) {
        body["kv_transfer_params"] = transfer;
    }
    return body;
}

// The data of each server-sent event in `body`.
auto events_in(std::string const& body) -> std::vector<std::string> {
    auto events = std::vector<std::string>{};
    for (auto at = body.find("data: "); at != std::string::npos; at = body.find("data: ", at + 1)) {
        auto const begin = at + std::string{"data: "}.size();
        events.push_back(body.substr(begin, body.find("\n\n", begin) - begin));
    }
    return events;
}

// The text of a streamed answer. Checks that the offsets are consecutive from `begin` and that the
// end mark is present.
auto whole_text(std::string const& body, std::int64_t begin) -> std::string {
    auto text = std::string{};
    auto events = events_in(body);
    BOOST_REQUIRE(!events.empty());
    BOOST_TEST(events.back() == "[DONE]");
    events.pop_back();
    for (auto const& event : events) {
        auto const part = json::parse(event);
        BOOST_REQUIRE(part["x_offset"] == begin++);
        text += part["choices"][0]["text"].get<std::string>();
    }
    return text;
}

auto whole_answer(std::int64_t begin = 0) -> std::string {
    auto const answered = prompt_key(prompt);
    return answer_text(answered, begin, natural_length(answered).value);
}

auto opened_stream(base::endpoint const& at, json const& body) -> runtime::http_stream {
    return base::take_value(runtime::open_stream(at, post("/v1/completions", body),
                                                 runtime::connection_use::fresh, far_deadline()));
}

auto running(base::endpoint const& at) -> std::int64_t {
    return call_json(at, get("/stats"))["load"]["running"].get<std::int64_t>();
}

// Starts an answer that is too long to complete, and closes the connection after the response has
// begun.
auto start_and_leave(base::endpoint const& at, std::string const& id) -> void {
    auto body = decode_body(id);
    body["x_output_tokens"] = 100'000;
    body["max_tokens"] = 100'000;
    auto stream = opened_stream(at, body);
    BOOST_TEST(stream.status() == 200);
    stream.close();
}

BOOST_FIXTURE_TEST_CASE(a_prefill_result_is_imported_and_decoded_whole, pool_fixture) {
    auto const prefill = engine_server{this->pool, loopback, fast_engine()};
    auto const decode = engine_server{this->pool, loopback, fast_engine()};
    this->in_fiber([&] {
        auto const kept = call_json(prefill.address(), post("/v1/completions", prefill_body("r")));
        auto const body = decode_body("r", kept["kv_transfer_params"]);
        auto const answer = call(decode.address(), post("/v1/completions", body));
        BOOST_TEST(whole_text(answer.body, 0) == whole_answer());
        auto const stats = call_json(prefill.address(), get("/stats"));
        BOOST_TEST(stats["imported_tokens"] == 3000);
        BOOST_TEST(stats["wasted_tokens"] == 0);
        BOOST_TEST(call_json(decode.address(), get("/stats"))["held"].empty());
        auto const again = call(decode.address(), post("/v1/completions", body));
        BOOST_TEST(again.status == 409);
        BOOST_TEST(json::parse(again.body)["error"]["type"] == "transfer_stalled");
    });
}

BOOST_FIXTURE_TEST_CASE(an_answer_is_resumed_at_an_offset, pool_fixture) {
    auto const engine = engine_server{this->pool, loopback, fast_engine()};
    this->in_fiber([&] {
        call(engine.address(), post("/control", json{{"cut_after", 7}}));
        auto stream = opened_stream(engine.address(), decode_body("r"));
        auto const cut = stream.read_all(1'000'000, far_deadline());
        BOOST_TEST(!base::succeeded(cut));
        call(engine.address(), post("/control", json{{"cut_after", 0}}));
        auto body = decode_body("r");
        body["x_resume_from"] = 7;
        auto const rest = call(engine.address(), post("/v1/completions", body));
        BOOST_TEST(whole_text(rest.body, 7) == whole_answer(7));
    });
}

BOOST_FIXTURE_TEST_CASE(a_closed_connection_frees_unless_the_cancel_is_lost, pool_fixture) {
    auto const engine = engine_server{this->pool, loopback, engine_settings{}};
    auto const at = engine.address();
    this->in_fiber([&] {
        start_and_leave(at, "a");
        wait_until([&] { return running(at) == 0; });
        call(at, post("/control", json{{"lose_cancels", 1}}));
        start_and_leave(at, "b");
        wait_until(
            [&] { return call_json(at, post("/control", json::object()))["lose_cancels"] == 0; });
        BOOST_TEST(call_json(at, get("/stats"))["held"] == (json{{"b", 52}}));
        auto const abort_result = call_json(at, post("/abort", json{{"request_id", "b"}}));
        BOOST_TEST(abort_result == (json{{"jobs", 1}, {"pieces", 52}, {"results", 0}}));
        BOOST_TEST(call_json(at, post("/abort", json{{"request_id", "b"}}))["jobs"] == 0);
        BOOST_TEST(running(at) == 0);
        BOOST_TEST(call_json(at, get("/stats"))["runs"]["b"]["decode"] == 1);
    });
}

BOOST_FIXTURE_TEST_CASE(parts_can_be_duplicated_and_crossed, pool_fixture) {
    auto const engine = engine_server{this->pool, loopback, fast_engine()};
    this->in_fiber([&] {
        call(engine.address(), post("/v1/completions", decode_body("other")));
        call(engine.address(), post("/control", json{{"duplicate_each", 3}, {"cross_each", 1}}));
        auto const answer = call(engine.address(), post("/v1/completions", decode_body("own")));
        auto const events = events_in(answer.body);
        BOOST_TEST(json::parse(events[0])["id"] == "other");
        BOOST_TEST(json::parse(events[3])["x_offset"] == 2);
        BOOST_TEST(events[3] == events[4]);
    });
}

BOOST_FIXTURE_TEST_CASE(a_dead_engine_loses_its_work_and_answers_nothing, pool_fixture) {
    auto const engine = engine_server{this->pool, loopback, fast_engine()};
    auto const at = engine.address();
    this->in_fiber([&] {
        call(at, post("/v1/completions", prefill_body("r")));
        call(at, post("/control", json{{"down", true}}));
        BOOST_TEST(call(at, post("/v1/completions", decode_body("r"))).status == 0);
        BOOST_TEST(call(at, get("/healthz")).status == 0);
        call(at, post("/control", json{{"down", false}}));
        BOOST_TEST(call(at, get("/healthz")).status == 200);
        BOOST_TEST(call_json(at, get("/stats"))["cancelled_tokens"] == 3000);
    });
}

BOOST_FIXTURE_TEST_CASE(a_frozen_engine_goes_on_when_it_thaws, pool_fixture) {
    auto const engine = engine_server{this->pool, loopback, fast_engine()};
    auto const at = engine.address();
    this->in_fiber([&] {
        call(at, post("/control", json{{"freeze", true}}));
        auto const soon = base::monotonic_clock::now() + std::chrono::milliseconds{50};
        auto const waited = runtime::fetch(at, get("/load"), runtime::connection_use::fresh, soon);
        BOOST_TEST(!base::succeeded(waited));
        call(at, post("/control", json{{"freeze", false}}));
        BOOST_TEST(call(at, get("/load")).status == 200);
    });
}

BOOST_FIXTURE_TEST_CASE(too_large_and_malformed_requests_are_refused_by_type, pool_fixture) {
    auto const engine = engine_server{this->pool, loopback, fast_engine()};
    auto const error_of = [&](json const& body) {
        return call_json(engine.address(), post("/v1/completions", body))["error"]["type"];
    };
    this->in_fiber([&] {
        auto large = decode_body("r");
        large["x_prompt_tokens"] = 200'000;
        BOOST_TEST(error_of(large) == "too_large");
        BOOST_TEST(error_of(json{{"request_id", "r"}}) == "no_prompt");
        call(engine.address(), post("/control", json{{"refuse", true}}));
        BOOST_TEST(error_of(decode_body("r")) == "overloaded");
    });
}

}  // namespace
}  // namespace linnetlane::standin

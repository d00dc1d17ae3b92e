#include "linnetlane/daemon/model_entry.h"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

auto const loopback = base::endpoint{"127.0.0.1", 0};
auto const service_name = base::service_id{"finding"};
constexpr auto answer_tokens = 40;

auto test_deadline() -> base::time_point {
    return base::monotonic_clock::now() + 60s;
}

auto token_text(int index) -> std::string {
    return "w" + std::to_string(index) + " ";
}

auto whole_answer() -> std::string {
    auto text = std::string{};
    for (auto index = 0; index < answer_tokens; ++index) {
        text += token_text(index);
    }
    return text;
}

// A minimal engine for the protocol, with faults on demand.
class fake_engine {
public:
    explicit fake_engine(runtime::worker_pool& pool)
        : server(pool, loopback, {}, [this](auto const& request, auto& responder) {
              this->serve(request, responder);
          }) {}

    [[nodiscard]] auto address() const -> base::endpoint { return this->server.address(); }

    [[nodiscard]] auto aborts_of(std::string const& id) -> int {
        auto const lock = std::scoped_lock{this->mutex};
        return this->aborted[id];
    }

    // Decodes are cut before the token with this index; never if negative.
    std::atomic<int> cut_before = -1;
    // Sends parts of another request and repeated parts before each part.
    std::atomic<bool> interleaves_other_parts = false;
    std::atomic<bool> sends_malformed_events = false;
    // Streams pause before the token with this index until this changes or the client is gone;
    // never if negative.
    std::atomic<int> hang_before = -1;
    // The number of aborts to drop without an answer, from the first on.
    std::atomic<int> lost_aborts = 0;
    std::atomic<int> prefills = 0;
    std::atomic<int> decodes = 0;
    std::atomic<int> streaming = 0;

private:
    auto serve(runtime::http_request const& request, runtime::http_responder& responder) -> void {
        auto const body = json::parse(request.body);
        auto const id = body.at("request_id").get<std::string>();
        if (request.target == "/abort") {
            this->abort(id, responder);
        } else if (body.contains("kv_transfer_params") &&
                   body.at("kv_transfer_params").contains("do_remote_decode")) {
            this->prefill(id, responder);
        } else {
            this->decode(id, body, responder);
        }
    }

    auto abort(std::string const& id, runtime::http_responder& responder) -> void {
        if (this->lost_aborts.fetch_sub(1) > 0) {
            responder.abort();
            return;
        }
        {
            auto const lock = std::scoped_lock{this->mutex};
            ++this->aborted[id];
        }
        responder.send(runtime::http_response{200, {}, "{}"});
    }

    auto prefill(std::string const& id, runtime::http_responder& responder) -> void {
        ++this->prefills;
        auto const transfer = json{{"do_remote_prefill", true}, {"remote_engine_id", "p"},
                                   {"remote_request_id", id},   {"remote_host", "127.0.0.1"},
                                   {"remote_port", 1},          {"remote_block_ids", {1, 2}}};
        auto const answer = json{{"id", id}, {"kv_transfer_params", transfer}};
        responder.send(runtime::http_response{200, {}, answer.dump()});
    }

    static auto part(std::string const& id, int index) -> std::string {
        auto const choice =
            json{{"index", 0}, {"text", token_text(index)}, {"finish_reason", nullptr}};
        auto const body = json{{"id", id}, {"choices", json::array({choice})}, {"x_offset", index}};
        return "data: " + body.dump() + "\n\n";
    }

    auto decode(std::string const& id, json const& body, runtime::http_responder& responder)
        -> void {
        ++this->decodes;
        ++this->streaming;
        responder.start(200, {});
        for (auto index = body.at("x_resume_from").get<int>(); index < answer_tokens; ++index) {
            if (index == this->cut_before) {
                responder.abort();
                --this->streaming;
                return;
            }
            while (index == this->hang_before && !responder.client_disconnected()) {
                runtime::sleep_until(base::monotonic_clock::now() + 1ms);
            }
            if (responder.client_disconnected()) {
                --this->streaming;
                return;
            }
            this->write_part(id, index, responder);
        }
        auto const choice = json{{"index", 0}, {"text", ""}, {"finish_reason", "stop"}};
        auto const last =
            json{{"id", id}, {"choices", json::array({choice})}, {"x_offset", answer_tokens}};
        responder.write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
        responder.finish();
        --this->streaming;
    }

    auto write_part(std::string const& id, int index, runtime::http_responder& responder) -> void {
        if (this->sends_malformed_events) {
            responder.write("data: {\"choices\": 7\n\n");
            return;
        }
        if (this->interleaves_other_parts) {
            responder.write(part(std::string(32, 'f') + "-1", index));
            responder.write(part(id, index > 0 ? index - 1 : 0));
        }
        responder.write(part(id, index));
    }

    std::mutex mutex;
    std::map<std::string, int> aborted;
    runtime::http_server server;
};

// Grants each attempt immediately, from another worker, the first engines that it doesn't avoid.
class fake_cell_access {
public:
    explicit fake_cell_access(runtime::worker_pool& workers) : pool(&workers) {}

    auto open(base::service_id const& /*service*/, base::request_id const& request,
              cell_sink const& sink) -> void {
        auto const lock = std::scoped_lock{this->mutex};
        this->sinks[request] = sink;
    }

    auto acquire(base::service_id const& /*service*/, cell::acquire const& ask) -> void {
        auto const lock = std::scoped_lock{this->mutex};
        this->acquires.push_back(ask);
        auto const sink = this->sinks.at(ask.attempt.request);
        if (this->refusing) {
            auto refused = cell::refuse{};
            refused.attempt = ask.attempt;
            refused.retry_at = base::monotonic_clock::now() + 1500ms;
            this->pool->spawn([sink, refused] { sink(refused); });
            return;
        }
        auto granted = cell::grant{};
        granted.attempt = ask.attempt;
        if (!ask.kept_by) {
            granted.prefill = base::upstream_id{"prefill"};
        }
        auto const avoided = std::ranges::find(ask.avoid, base::upstream_id{"decode-a"});
        granted.decode = base::upstream_id{avoided == ask.avoid.end() ? "decode-a" : "decode-b"};
        granted.prefill_start = base::monotonic_clock::now();
        granted.deadline = base::monotonic_clock::now() + 60s;
        this->held.insert(ask.attempt);
        this->pool->spawn([sink, granted] { sink(granted); });
    }

    auto progress(cell::renewal const& /*renewal*/) -> void {}

    auto release(cell::release const& release) -> void {
        auto const lock = std::scoped_lock{this->mutex};
        this->held.erase(release.attempt);
        this->released.push_back(release);
    }

    auto close(base::request_id const& request) -> void {
        auto const lock = std::scoped_lock{this->mutex};
        this->sinks.erase(request);
    }

    [[nodiscard]] auto releases() -> std::vector<cell::release> {
        auto const lock = std::scoped_lock{this->mutex};
        return this->released;
    }

    [[nodiscard]] auto holds_nothing() -> bool {
        auto const lock = std::scoped_lock{this->mutex};
        return this->held.empty() && this->sinks.empty();
    }

    std::atomic<bool> refusing = false;

private:
    runtime::worker_pool* pool;
    std::mutex mutex;
    std::map<base::request_id, cell_sink> sinks;
    std::vector<cell::acquire> acquires;
    std::set<cell::attempt> held;
    std::vector<cell::release> released;
};

struct fake_documents {
    std::shared_ptr<service::document const> document;

    [[nodiscard]] auto find(base::service_id const& service) const
        -> std::shared_ptr<service::document const> {
        return service == service_name ? this->document : nullptr;
    }
    [[nodiscard]] auto find_route(std::string_view /*path*/) const
        -> std::shared_ptr<service::document const> {
        return nullptr;
    }
};

static_assert(cell_access<fake_cell_access>);
static_assert(document_source<fake_documents>);

auto make_upstream(std::string name, service::upstream_role role, base::endpoint const& at)
    -> service::upstream {
    auto made = service::upstream{};
    made.id = base::upstream_id{std::move(name)};
    made.role = role;
    made.address = at;
    return made;
}

// The response that a caller received.
struct observed_answer {
    int status = 0;
    std::string text;
    std::string error_type;
    std::string error_outcome;
    std::string retry_after;
    bool done = false;
};

struct fixture {
    using dependencies =
        model_entry_dependencies<fake_cell_access, fake_documents, upstream::completions_engine>;

    fixture() {
        auto document = std::make_shared<service::document>();
        document->id = service_name;
        document->kind = service::service_kind::model;
        document->upstreams = {
            make_upstream("prefill", service::upstream_role::prefill, this->prefill.address()),
            make_upstream("decode-a", service::upstream_role::decode, this->decode_a.address()),
            make_upstream("decode-b", service::upstream_role::decode, this->decode_b.address())};
        this->documents.document = document;
    }
    ~fixture() {
        this->pool.stop();
        this->pool.join();
    }
    fixture(fixture const&) = delete;
    auto operator=(fixture const&) -> fixture& = delete;
    fixture(fixture&&) = delete;
    auto operator=(fixture&&) -> fixture& = delete;

    template <typename Body>
    auto in_fiber(Body body) -> void {
        auto done = std::promise<void>{};
        this->pool.spawn([&] {
            body();
            done.set_value();
        });
        done.get_future().get();
    }

    static auto make_request(bool stream, bool repeatable) -> runtime::http_request {
        auto request = runtime::http_request{};
        request.method = "POST";
        request.target = "/v1/completions";
        request.fields.add("x-repeatable", repeatable ? "true" : "false");
        request.body =
            json{{"model", service_name.value}, {"prompt", "report"}, {"stream", stream}}.dump();
        return request;
    }

    static auto read_events(std::string const& body, observed_answer& seen) -> void {
        auto parser = upstream::sse_parser{};
        auto const events = parser.feed(body);
        for (auto const& event : base::value_of(events)) {
            if (event.data == "[DONE]") {
                seen.done = true;
                continue;
            }
            read_json(json::parse(event.data), seen);
        }
    }

    static auto read_json(json const& part, observed_answer& seen) -> void {
        if (part.contains("error")) {
            seen.error_type = part.at("error").at("type");
            seen.error_outcome = part.at("error").at("outcome");
            return;
        }
        seen.text += part.at("choices").at(0).at("text").get<std::string>();
    }

    auto complete(bool stream, bool repeatable = true) -> observed_answer {
        auto seen = observed_answer{};
        this->in_fiber([&] {
            auto opened =
                runtime::open_stream(this->server.address(), make_request(stream, repeatable),
                                     runtime::connection_use::fresh, test_deadline());
            auto answer = base::take_value(std::move(opened));
            seen.status = answer.status();
            seen.retry_after = answer.fields().find("retry-after").value_or("");
            auto body = std::string{};
            while (true) {
                auto const bytes = answer.read_some(test_deadline());
                if (!base::succeeded(bytes) || base::value_of(bytes).empty()) {
                    break;
                }
                body += base::value_of(bytes);
            }
            if (stream && seen.status == 200) {
                read_events(body, seen);
            } else {
                read_json(json::parse(body), seen);
            }
        });
        return seen;
    }

    // Waits until no request is in flight; callers check the result.
    auto wait_until_drained() -> void {
        while (this->registry.size() > 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    auto check_nothing_is_held() -> void {
        this->wait_until_drained();
        BOOST_TEST(this->scheduler.holds_nothing());
        while (this->decode_a.streaming > 0 || this->decode_b.streaming > 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    runtime::worker_pool pool{runtime::worker_count{3}};
    fake_engine prefill{pool};
    fake_engine decode_a{pool};
    fake_engine decode_b{pool};
    fake_cell_access scheduler{pool};
    fake_documents documents;
    upstream::completions_engine engine;
    request_registry registry;
    retry_budgets budgets;
    telemetry::tracer traces{{}, telemetry::origin{}};
    telemetry::metrics metrics;
    model_entry<fake_cell_access, fake_documents, upstream::completions_engine> entry{dependencies{
        scheduler, documents, engine, registry, budgets, telemetry_sinks{traces, metrics}}};
    runtime::http_server server{pool, loopback, {}, [this](auto const& request, auto& responder) {
                                    this->entry.handle(request, responder);
                                }};
};

BOOST_FIXTURE_TEST_CASE(a_streamed_answer_is_whole, fixture) {
    auto const seen = this->complete(true);
    BOOST_TEST(seen.status == 200);
    BOOST_TEST(seen.text == whole_answer());
    BOOST_TEST(seen.done);
    this->check_nothing_is_held();
    BOOST_TEST(this->scheduler.releases().size() == 1U);
    BOOST_TEST((this->scheduler.releases().front().ending == cell::ending::completed));
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_is_not_streamed_is_whole, fixture) {
    auto const seen = this->complete(false);
    BOOST_TEST(seen.status == 200);
    BOOST_TEST(seen.text == whole_answer());
    this->check_nothing_is_held();
}

BOOST_FIXTURE_TEST_CASE(parts_of_other_requests_and_repeated_parts_are_dropped, fixture) {
    this->decode_a.interleaves_other_parts = true;
    auto const seen = this->complete(true);
    BOOST_TEST(seen.text == whole_answer());
    BOOST_TEST(seen.done);
    BOOST_TEST(this->decode_b.decodes == 0);
}

BOOST_FIXTURE_TEST_CASE(an_answer_resumes_on_another_engine_when_its_engine_fails, fixture) {
    this->decode_a.cut_before = 17;
    auto const seen = this->complete(true);
    BOOST_TEST(seen.text == whole_answer());
    BOOST_TEST(seen.done);
    BOOST_TEST(this->decode_b.decodes == 1);
    this->check_nothing_is_held();
    BOOST_TEST(this->scheduler.releases().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_sends_malformed_events_is_abandoned, fixture) {
    this->decode_a.sends_malformed_events = true;
    auto const seen = this->complete(true);
    BOOST_TEST(seen.text == whole_answer());
    BOOST_TEST(this->decode_b.decodes == 1);
    this->check_nothing_is_held();
}

BOOST_FIXTURE_TEST_CASE(a_failed_request_that_is_not_repeatable_ends_with_outcome_unknown,
                        fixture) {
    this->decode_a.cut_before = 17;
    auto const seen = this->complete(true, false);
    BOOST_TEST(seen.error_type == "upstream_failed");
    BOOST_TEST(seen.error_outcome == "unknown");
    BOOST_TEST(!seen.done);
    BOOST_TEST(this->prefill.prefills == 1);
    BOOST_TEST(this->decode_b.decodes == 0);
    this->check_nothing_is_held();
}

BOOST_FIXTURE_TEST_CASE(a_refusal_is_typed_and_says_not_run, fixture) {
    this->scheduler.refusing = true;
    auto const seen = this->complete(true);
    BOOST_TEST(seen.status == 503);
    BOOST_TEST(seen.error_type == "overloaded");
    BOOST_TEST(seen.error_outcome == "not_run");
    BOOST_TEST(seen.retry_after == "2");
    BOOST_TEST(this->prefill.prefills == 0);
    this->check_nothing_is_held();
}

BOOST_FIXTURE_TEST_CASE(engines_are_freed_when_the_caller_leaves, fixture) {
    this->decode_a.hang_before = 5;
    this->decode_a.lost_aborts = 1;
    this->in_fiber([&] {
        auto opened = runtime::open_stream(this->server.address(), make_request(true, true),
                                           runtime::connection_use::fresh, test_deadline());
        auto answer = base::take_value(std::move(opened));
        auto const first = answer.read_some(test_deadline());
        BOOST_TEST(!base::value_of(first).empty());
        answer.close();
    });
    this->check_nothing_is_held();
    auto const releases = this->scheduler.releases();
    BOOST_TEST(releases.size() == 1U);
    BOOST_TEST((releases.front().ending == cell::ending::cancelled));
    BOOST_TEST(releases.front().engines_clear);
    BOOST_TEST(this->decode_a.aborts_of(upstream::wire_id(releases.front().attempt)) == 1);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_host_refuses_new_requests_and_completes_accepted_ones, fixture) {
    this->decode_a.hang_before = 5;
    auto first = std::async(std::launch::async, [&] { return this->complete(true); });
    while (this->decode_a.streaming == 0) {
        std::this_thread::sleep_for(1ms);
    }
    this->registry.close();
    auto const refused = this->complete(true);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.error_type == "shutting_down");
    BOOST_TEST(refused.error_outcome == "not_run");
    this->decode_a.hang_before = -1;
    auto const seen = first.get();
    BOOST_TEST(seen.text == whole_answer());
    BOOST_TEST(seen.done);
    this->check_nothing_is_held();
}

BOOST_FIXTURE_TEST_CASE(bad_requests_get_a_typed_answer, fixture) {
    for (auto const* const body : {"", "[]", "{\"model\":\"finding\"}", "{\"prompt\":\"x\"}",
                                   "{\"model\":\"finding\",\"prompt\":\"x\",\"max_tokens\":-1}"}) {
        auto answer = runtime::http_response{};
        this->in_fiber([&] {
            auto request = make_request(true, true);
            request.body = body;
            answer = base::value_of(runtime::fetch(
                this->server.address(), request, runtime::connection_use::pooled, test_deadline()));
        });
        BOOST_TEST(answer.status == 400);
        BOOST_TEST(json::parse(answer.body).at("error").at("type") == "malformed");
    }
}

}  // namespace
}  // namespace linnetlane::daemon

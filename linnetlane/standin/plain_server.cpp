#include "linnetlane/standin/plain_server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "linnetlane/runtime/http.h"
#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;

constexpr auto poll_interval = std::chrono::milliseconds{5};
constexpr auto status_ok = 200;
constexpr auto status_bad_request = 400;
constexpr auto status_failed = 500;
constexpr auto status_unavailable = 503;

auto header(runtime::http_request const& request, std::string_view name) -> std::string {
    return std::string{request.fields.find(name).value_or("")};
}

// Decrements `count` if it is positive. Returns false if it is not.
auto consume_one(std::atomic<std::int64_t>& count) -> bool {
    auto left = count.load();
    while (left > 0) {
        if (count.compare_exchange_weak(left, left - 1)) {
            return true;
        }
    }
    return false;
}

}  // namespace

struct plain_server::state {
    auto serve(runtime::http_request const& request, runtime::http_responder& responder) -> void;
    auto serve_call(runtime::http_request const& request, runtime::http_responder& responder)
        -> void;
    auto wait(runtime::http_responder& responder) -> void;
    auto count_run(runtime::http_request const& request) -> std::int64_t;
    auto control(json const& body) -> void;
    auto stats() -> json;
    auto response(int status, json const& body) -> runtime::http_response;

    std::atomic<std::int64_t> delay_milliseconds = 0;
    std::atomic<std::int64_t> fail = 0;
    std::atomic<std::int64_t> refuse = 0;
    std::atomic<std::int64_t> lose_answers = 0;
    std::atomic<std::int64_t> cut = 0;
    std::atomic<bool> frozen = false;
    std::atomic<bool> leaving = false;
    std::atomic<std::int64_t> running = 0;
    std::mutex mutex;
    std::int64_t runs = 0;
    std::map<std::string, std::int64_t> runs_by_key;
    std::map<std::string, std::int64_t> runs_by_request;
    std::unique_ptr<runtime::http_server> server;
};

auto plain_server::state::serve(runtime::http_request const& request,
                                runtime::http_responder& responder) -> void {
    if (request.target == "/control") {
        auto const body = parse_object(request.body);
        if (body) {
            this->control(*body);
        }
        responder.send(this->response(body ? status_ok : status_bad_request, json::object()));
    } else if (request.target == "/stats") {
        responder.send(this->response(status_ok, this->stats()));
    } else if (request.target == "/healthz") {
        responder.send(this->response(status_ok, json{{"ok", true}}));
    } else if (request.target == "/load") {
        responder.send(this->response(status_ok, json{{"pieces_used", 0},
                                                      {"running", this->running.load()},
                                                      {"waiting", 0},
                                                      {"leaving", this->leaving.load()}}));
    } else {
        ++this->running;
        this->serve_call(request, responder);
        --this->running;
    }
}

auto plain_server::state::serve_call(runtime::http_request const& request,
                                     runtime::http_responder& responder) -> void {
    if (consume_one(this->cut)) {
        responder.abort();
        return;
    }
    if (consume_one(this->refuse)) {
        responder.send(this->response(status_unavailable, json{{"error", "unavailable"}}));
        return;
    }
    auto const run = this->count_run(request);
    this->wait(responder);
    if (consume_one(this->lose_answers)) {
        responder.abort();
        return;
    }
    auto const status = consume_one(this->fail) ? status_failed : status_ok;
    responder.send(
        this->response(status, json{{"method", request.method},
                                    {"target", request.target},
                                    {"body", request.body},
                                    {"idempotency_key", header(request, "Idempotency-Key")},
                                    {"request_id", header(request, "X-Request-Id")},
                                    {"run", run}}));
}

auto plain_server::state::wait(runtime::http_responder& responder) -> void {
    auto const delay = this->delay_milliseconds.load();
    if (delay > 0) {
        runtime::sleep_until(base::monotonic_clock::now() + std::chrono::milliseconds{delay});
    }
    while (this->frozen && !responder.client_disconnected()) {
        runtime::sleep_until(base::monotonic_clock::now() + poll_interval);
    }
}

auto plain_server::state::count_run(runtime::http_request const& request) -> std::int64_t {
    auto const lock = std::scoped_lock{this->mutex};
    if (auto const key = header(request, "Idempotency-Key"); !key.empty()) {
        ++this->runs_by_key[key];
    }
    if (auto const id = header(request, "X-Request-Id"); !id.empty()) {
        ++this->runs_by_request[id];
    }
    return ++this->runs;
}

auto plain_server::state::control(json const& body) -> void {
    this->delay_milliseconds = integer_field(body, "delay_ms", this->delay_milliseconds);
    this->fail = integer_field(body, "fail", this->fail);
    this->refuse = integer_field(body, "refuse", this->refuse);
    this->lose_answers = integer_field(body, "lose_answers", this->lose_answers);
    this->cut = integer_field(body, "cut", this->cut);
    this->frozen = flag_field(body, "freeze", this->frozen);
    this->leaving = flag_field(body, "leaving", this->leaving);
}

auto plain_server::state::stats() -> json {
    auto const lock = std::scoped_lock{this->mutex};
    return json{{"runs", this->runs},
                {"by_idempotency_key", this->runs_by_key},
                {"by_request_id", this->runs_by_request}};
}

auto plain_server::state::response(int status, json const& body) -> runtime::http_response {
    auto made = runtime::http_response{};
    made.status = status;
    made.body = to_text(body);
    made.fields.add("Content-Type", "application/json");
    if (this->leaving) {
        made.fields.add("x-leaving", "true");
    }
    return made;
}

plain_server::plain_server(runtime::worker_pool& pool, base::endpoint const& address)
    : shared(std::make_shared<state>()) {
    auto* const serving = this->shared.get();
    this->shared->server = std::make_unique<runtime::http_server>(
        pool, address, runtime::http_limits{},
        [serving](runtime::http_request const& request, runtime::http_responder& responder) {
            serving->serve(request, responder);
        });
}

plain_server::~plain_server() = default;

auto plain_server::address() const -> base::endpoint {
    return this->shared->server->address();
}

}  // namespace linnetlane::standin

#include "linnetlane/standin/engine_server.h"

#include <atomic>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "linnetlane/runtime/http.h"
#include "linnetlane/standin/decode_session.h"
#include "linnetlane/standin/engine_json.h"
#include "linnetlane/standin/engine_runner.h"
#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// Interval at which a call to a frozen engine checks whether it may proceed.
constexpr auto poll_interval = milliseconds{5};

constexpr auto status_ok = 200;
constexpr auto status_bad_request = 400;
constexpr auto status_not_found = 404;
constexpr auto status_conflict = 409;
constexpr auto status_unavailable = 503;

auto json_response(int status, json const& body) -> runtime::http_response {
    auto response = runtime::http_response{};
    response.status = status;
    response.body = to_text(body);
    response.fields.add("Content-Type", "application/json");
    return response;
}

auto error_response(int status, char const* type) -> runtime::http_response {
    return json_response(status, write_error(type));
}

// The value of the query parameter `after` in a request's target; 0 if absent.
auto after_parameter(std::string_view target) -> std::uint64_t {
    constexpr auto name = std::string_view{"after="};
    auto const found = target.find(name);
    if (found == std::string_view::npos) {
        return 0;
    }
    return std::strtoull(std::string{target.substr(found + name.size())}.c_str(), nullptr, 10);
}

auto job_in(json const& body) -> job_number {
    return job_number{static_cast<std::uint64_t>(integer_field(body, "request_id"))};
}

}  // namespace

struct engine_server::state {
    explicit state(engine_settings const& wanted)
        : settings(wanted), runner(std::make_shared<engine_runner>(wanted)) {}

    auto serve(runtime::http_request const& request, runtime::http_responder& responder) -> void;
    auto handle_report(runtime::http_request const& request) -> runtime::http_response;
    auto handle_action(runtime::http_request const& request, json const& body)
        -> runtime::http_response;
    auto control(json const& body) -> runtime::http_response;
    auto set_model_faults(json const& body) -> void;
    auto execute_order(json const& body) -> runtime::http_response;
    auto serve_completion(json const& body, runtime::http_responder& responder) -> void;
    auto serve_prefill(completion_request const& request, runtime::http_responder& responder)
        -> void;
    auto serve_decode(completion_request const& request, runtime::http_responder& responder)
        -> void;
    auto accepts_work() -> bool;
    auto wait_unfrozen(runtime::http_responder& responder) -> void;

    engine_settings settings;
    std::shared_ptr<engine_runner> runner;
    base::endpoint address;
    std::atomic<bool> frozen = false;
    std::atomic<bool> down = false;
    std::atomic<bool> refuse = false;
    stream_faults faults;
    std::unique_ptr<runtime::http_server> server;
};

auto engine_server::state::serve(runtime::http_request const& request,
                                 runtime::http_responder& responder) -> void {
    auto const body = parse_object(request.body);
    if (!body) {
        responder.send(error_response(status_bad_request, "not_json"));
        return;
    }
    if (request.target == "/control") {
        responder.send(this->control(*body));
        return;
    }
    if (request.target == "/stats") {
        responder.send(this->handle_report(request));
        return;
    }
    this->wait_unfrozen(responder);
    if (this->down) {
        responder.abort();
        return;
    }
    if (request.method == "POST" && request.target == "/v1/completions") {
        this->serve_completion(*body, responder);
        return;
    }
    responder.send(request.method == "POST" ? this->handle_action(request, *body)
                                            : this->handle_report(request));
}

auto engine_server::state::wait_unfrozen(runtime::http_responder& responder) -> void {
    while (this->frozen && !responder.client_disconnected()) {
        runtime::sleep_until(base::monotonic_clock::now() + poll_interval);
    }
}

auto engine_server::state::handle_report(runtime::http_request const& request)
    -> runtime::http_response {
    using base::time_point;
    if (request.target == "/healthz") {
        return runtime::http_response{.status = status_ok, .fields = {}, .body = "ok\n"};
    }
    if (this->faults.nonsense && request.target != "/stats") {
        return runtime::http_response{.status = status_ok, .fields = {}, .body = "{\"pie"};
    }
    auto answer = json{};
    if (request.target == "/load") {
        answer = this->runner->with_model([](engine_model& model, time_point now) {
            return write_load(model.reported_load(now));
        });
    } else if (request.target.starts_with("/cache_events")) {
        auto const after = after_parameter(request.target);
        answer = this->runner->with_model([after](engine_model& model, time_point now) {
            return write_cache_changes(model.cache().changes_after(after, now));
        });
    } else if (request.target == "/state") {
        answer = this->runner->with_model(
            [](engine_model& model, time_point now) { return write_state(model.state(), now); });
    } else if (request.target == "/stats") {
        answer = this->runner->with_model(
            [](engine_model& model, time_point) { return write_stats(model); });
    } else {
        return error_response(status_not_found, "not_found");
    }
    return json_response(status_ok, answer);
}

auto engine_server::state::handle_action(runtime::http_request const& request, json const& body)
    -> runtime::http_response {
    if (request.target == "/abort") {
        return json_response(
            status_ok, write_abort_result(this->runner->abort(text_field(body, "request_id"))));
    }
    if (request.target == "/orders") {
        return this->execute_order(body);
    }
    auto const job = job_in(body);
    auto kept = false;
    if (request.target == "/kv/begin") {
        kept = this->runner->with_model([job](engine_model& model, base::time_point now) {
            return model.export_begin(job, now).has_value();
        });
    } else if (request.target == "/kv/done") {
        kept = this->runner->with_model([job](engine_model& model, base::time_point now) {
            return model.export_done(job, now);
        });
    }
    return kept ? json_response(status_ok, json::object())
                : error_response(status_not_found, "not_found");
}

auto engine_server::state::execute_order(json const& body) -> runtime::http_response {
    auto const order = read_order(body);
    auto const outcome =
        this->runner->with_model([&order](engine_model& model, base::time_point now) {
            return std::pair{model.execute_order(order, now), write_state(model.state(), now)};
        });
    switch (outcome.first) {
        case order_outcome::done:
            return json_response(status_ok, outcome.second);
        case order_outcome::old_fencing:
            return json_response(status_conflict, json{{"error", json{{"type", "old_fencing"}}},
                                                       {"fencing", outcome.second["fencing"]}});
        case order_outcome::unknown_order:
            break;
    }
    return error_response(status_bad_request, "unknown_order");
}

auto engine_server::state::control(json const& body) -> runtime::http_response {
    if (has_field(body, "die")) {
        std::_Exit(static_cast<int>(integer_field(body, "die")));
    }
    this->refuse = flag_field(body, "refuse", this->refuse);
    this->faults.nonsense = flag_field(body, "nonsense", this->faults.nonsense);
    this->faults.chunk_delay_milliseconds =
        integer_field(body, "late_ms", this->faults.chunk_delay_milliseconds);
    this->faults.duplicate_each =
        integer_field(body, "duplicate_each", this->faults.duplicate_each);
    this->faults.cross_each = integer_field(body, "cross_each", this->faults.cross_each);
    this->faults.cut_after = integer_field(body, "cut_after", this->faults.cut_after);
    this->set_model_faults(body);
    if (has_field(body, "freeze")) {
        this->frozen = flag_field(body, "freeze");
        this->runner->set_frozen(this->frozen);
    }
    if (has_field(body, "lose_cancels")) {
        this->runner->set_cancels_to_ignore(integer_field(body, "lose_cancels"));
    }
    this->down = flag_field(body, "down", this->down);
    if (this->down || flag_field(body, "kill_connections")) {
        this->runner->end_all(this->down);
    }
    return json_response(status_ok,
                         json{{"lose_cancels", this->runner->remaining_cancels_to_ignore()}});
}

auto engine_server::state::set_model_faults(json const& body) -> void {
    this->runner->with_model([&body](engine_model& model, base::time_point now) {
        if (has_field(body, "leaving")) {
            model.set_leaving(flag_field(body, "leaving"), now);
        }
        if (has_field(body, "slow")) {
            model.set_slowdown(number_field(body, "slow", 1));
        }
        if (has_field(body, "stall_transfer")) {
            model.set_transfer_stall(flag_field(body, "stall_transfer"), now);
        }
    });
}

auto engine_server::state::accepts_work() -> bool {
    return !this->refuse && this->runner->with_model([](engine_model& model, base::time_point now) {
        return model.state().loading_until <= now;
    });
}

auto engine_server::state::serve_completion(json const& body, runtime::http_responder& responder)
    -> void {
    auto const request = read_completion(body, this->settings.piece_size);
    if (!request) {
        responder.send(error_response(status_bad_request, "no_prompt"));
    } else if (!this->accepts_work()) {
        responder.send(error_response(status_unavailable, "overloaded"));
    } else if (request->prefill_only) {
        this->serve_prefill(*request, responder);
    } else {
        this->serve_decode(*request, responder);
    }
}

auto engine_server::state::serve_prefill(completion_request const& request,
                                         runtime::http_responder& responder) -> void {
    auto const submitted = this->runner->submit_prefill(prefill_request_of(request));
    responder.on_client_disconnect(
        [runner = this->runner, job = submitted.job] { runner->handle_disconnect(job); });
    auto const notices = this->runner->wait(*submitted.mailbox);
    this->runner->forget(submitted.job);
    if (notices.empty()) {
        responder.abort();
        return;
    }
    auto const& done = std::get<prefill_done>(notices.front());
    auto response = json_response(status_ok, write_prefill_answer(request, done, this->address));
    if (this->faults.nonsense) {
        response.body.resize(response.body.size() / 2);
    }
    responder.send(response);
}

auto engine_server::state::serve_decode(completion_request const& request,
                                        runtime::http_responder& responder) -> void {
    auto session = decode_session{*this->runner, this->faults, request, responder};
    if (request.begin >= request.end) {
        session.write_empty();
        return;
    }
    auto const outcome = this->runner->submit_decode(decode_request_of(request));
    if (!base::succeeded(outcome)) {
        session.refuse(status_bad_request, "too_large");
        return;
    }
    auto const& submitted = base::value_of(outcome);
    responder.on_client_disconnect(
        [runner = this->runner, job = submitted.job] { runner->handle_disconnect(job); });
    session.run(submitted);
}

engine_server::engine_server(runtime::worker_pool& pool, base::endpoint const& address,
                             engine_settings const& settings)
    : shared(std::make_shared<state>(settings)) {
    auto* const serving = this->shared.get();
    this->shared->server = std::make_unique<runtime::http_server>(
        pool, address, runtime::http_limits{},
        [serving](runtime::http_request const& request, runtime::http_responder& responder) {
            serving->serve(request, responder);
        });
    this->shared->address = this->shared->server->address();
    this->shared->runner->start(pool);
}

engine_server::~engine_server() = default;

auto engine_server::address() const -> base::endpoint {
    return this->shared->address;
}

}  // namespace linnetlane::standin

#include "linnetlane/standin/decode_session.h"

#include <utility>

#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;

// Timeout of a decode engine's call to a prefill engine.
constexpr auto peer_timeout = std::chrono::seconds{2};

constexpr auto status_ok = 200;
constexpr auto status_conflict = 409;

// Calls `path` at the prefill engine that keeps the result. Returns true if it answers 200.
auto query_source(kv_source const& source, char const* path) -> bool {
    auto request = runtime::http_request{};
    request.method = "POST";
    request.target = path;
    request.body = to_text(json{{"request_id", source.request_id}});
    auto const deadline = base::monotonic_clock::now() + peer_timeout;
    auto const answer =
        runtime::fetch(source.engine, request, runtime::connection_use::pooled, deadline);
    return base::succeeded(answer) && base::value_of(answer).status == status_ok;
}

auto is_nth(std::int64_t count, std::int64_t each) -> bool {
    return each > 0 && count % each == 0;
}

auto json_response(int status, json const& body) -> runtime::http_response {
    auto response = runtime::http_response{};
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = to_text(body);
    return response;
}

}  // namespace

auto stream_faults::exchange_last_chunk(std::string const& request_id, std::string const& chunk)
    -> std::string {
    auto const lock = std::scoped_lock{this->mutex};
    auto const other_chunk = std::exchange(this->last_chunk, chunk);
    auto const other_request_id = std::exchange(this->last_id, request_id);
    return other_request_id == request_id ? std::string{} : other_chunk;
}

decode_session::decode_session(engine_runner& engine, stream_faults& wanted,
                               completion_request const& served, runtime::http_responder& to)
    : runner(engine), faults(wanted), request(served), out(to) {}

auto decode_session::run(engine_runner::submission const& submitted) -> void {
    this->job = submitted.job;
    while (!this->ended) {
        auto const notices = this->runner.wait(*submitted.mailbox);
        if (notices.empty()) {
            this->cut();
        }
        for (auto const& notice : notices) {
            if (!this->ended) {
                this->handle(notice);
            }
        }
    }
    this->runner.forget(this->job);
}

auto decode_session::handle(engine_notice const& notice) -> void {
    std::visit(base::overloaded{
                   [](prefill_done const&) {},
                   [this](import_requested const&) { this->import_begin(); },
                   [this](transfer_finished const&) { this->import_end(); },
                   [this](token_produced const& token) { this->handle_token(token); },
                   [this](job_failed const&) { this->refuse(status_conflict, "transfer_stalled"); },
               },
               notice);
}

auto decode_session::import_begin() -> void {
    auto const found = query_source(*this->request.source, "/kv/begin");
    this->runner.with_model([this, found](engine_model& model, base::time_point now) {
        model.begin_import(this->job, found, now);
    });
}

auto decode_session::import_end() -> void {
    auto const kept = query_source(*this->request.source, "/kv/done");
    this->runner.with_model([this, kept](engine_model& model, base::time_point now) {
        model.finish_import(this->job, kept, now);
    });
}

auto decode_session::handle_token(token_produced const& token) -> void {
    if (this->request.stream) {
        this->write(this->chunk_text(token));
    }
    auto const cut_after = this->faults.cut_after.load();
    if (cut_after > 0 && this->chunks_sent >= cut_after) {
        this->runner.with_model(
            [this](engine_model& model, base::time_point now) { model.cancel(this->job, now); });
        this->cut();
        return;
    }
    if (token.last) {
        this->write_end();
    }
}

auto decode_session::chunk_text(token_produced const& token) -> std::string {
    if (this->faults.nonsense) {
        return event_text("{\"id\":%%%");
    }
    auto const chunk = event_text(to_text(write_chunk(this->request, token.offset, token.last)));
    auto const other_chunk = this->faults.exchange_last_chunk(this->request.request_id, chunk);
    auto const number = this->chunks_sent + 1;
    auto text = chunk;
    if (is_nth(number, this->faults.cross_each)) {
        text = other_chunk + text;
    }
    if (is_nth(number, this->faults.duplicate_each)) {
        text += chunk;
    }
    return text;
}

auto decode_session::write(std::string const& chunk) -> void {
    if (auto const delay = this->faults.chunk_delay_milliseconds.load(); delay > 0) {
        runtime::sleep_until(base::monotonic_clock::now() + std::chrono::milliseconds{delay});
    }
    if (!this->started) {
        auto fields = runtime::http_fields{};
        fields.add("Content-Type", "text/event-stream");
        this->out.start(status_ok, fields);
        this->started = true;
    }
    this->out.write(chunk);
    ++this->chunks_sent;
}

auto decode_session::write_empty() -> void {
    if (this->request.stream) {
        this->write(event_text(to_text(write_chunk(this->request, this->request.end, true))));
    }
    this->write_end();
}

auto decode_session::write_end() -> void {
    this->ended = true;
    if (!this->request.stream) {
        this->out.send(json_response(status_ok, write_answer(this->request)));
        return;
    }
    this->out.write(event_text("[DONE]"));
    this->out.finish();
}

auto decode_session::refuse(int status, char const* type) -> void {
    this->ended = true;
    this->out.send(json_response(status, write_error(type)));
}

auto decode_session::cut() -> void {
    this->ended = true;
    this->out.abort();
}

}  // namespace linnetlane::standin

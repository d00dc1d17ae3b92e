#include "linnetlane/standin/decode_session.h"

#include <utility>

#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;

// How long a decode engine waits for a prefill engine's word.
constexpr auto peer_patience = std::chrono::seconds{2};

constexpr auto status_ok = 200;
constexpr auto status_conflict = 409;

// Whether the prefill engine that keeps a result says yes.
auto ask_source(kv_source const& source, char const* path) -> bool {
    auto request = runtime::http_request{};
    request.method = "POST";
    request.target = path;
    request.body = to_text(json{{"request_id", source.request_id}});
    auto const deadline = base::monotonic_clock::now() + peer_patience;
    auto const answer =
        runtime::fetch(source.engine, request, runtime::connection_use::pooled, deadline);
    return base::succeeded(answer) && base::value_of(answer).status == status_ok;
}

auto is_each(std::int64_t count, std::int64_t each) -> bool {
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

auto stream_faults::swap_part(std::string const& request_id, std::string const& part)
    -> std::string {
    auto const lock = std::scoped_lock{this->guard};
    auto const other = std::exchange(this->last_part, part);
    auto const other_id = std::exchange(this->last_id, request_id);
    return other_id == request_id ? std::string{} : other;
}

decode_session::decode_session(engine_runner& engine, stream_faults& wanted,
                               completion const& request, runtime::http_responder& to)
    : runner(engine), faults(wanted), asked(request), out(to) {}

auto decode_session::run(engine_runner::submission const& submitted) -> void {
    this->job = submitted.job;
    while (!this->over) {
        auto const notices = this->runner.wait(*submitted.mailbox);
        if (notices.empty()) {
            this->cut();
        }
        for (auto const& notice : notices) {
            if (!this->over) {
                this->handle(notice);
            }
        }
    }
    this->runner.forget(this->job);
}

auto decode_session::handle(engine_notice const& notice) -> void {
    std::visit(base::overloaded{
                   [](prefill_done const&) {},
                   [this](import_wanted const&) { this->import_begin(); },
                   [this](import_arrived const&) { this->import_end(); },
                   [this](token_made const& token) { this->handle_token(token); },
                   [this](job_failed const&) { this->refuse(status_conflict, "transfer_stalled"); },
               },
               notice);
}

auto decode_session::import_begin() -> void {
    auto const found = ask_source(*this->asked.source, "/kv/begin");
    this->runner.with_model([this, found](engine_model& model, base::time_point now) {
        model.import_begun(this->job, found, now);
    });
}

auto decode_session::import_end() -> void {
    auto const kept = ask_source(*this->asked.source, "/kv/done");
    this->runner.with_model([this, kept](engine_model& model, base::time_point now) {
        model.import_finished(this->job, kept, now);
    });
}

auto decode_session::handle_token(token_made const& token) -> void {
    if (this->asked.stream) {
        this->write(this->part_text(token));
    }
    auto const cut_after = this->faults.cut_after.load();
    if (cut_after > 0 && this->parts >= cut_after) {
        this->runner.with_model(
            [this](engine_model& model, base::time_point now) { model.cancel(this->job, now); });
        this->cut();
        return;
    }
    if (token.last) {
        this->write_end();
    }
}

auto decode_session::part_text(token_made const& token) -> std::string {
    if (this->faults.nonsense) {
        return event_text("{\"id\":%%%");
    }
    auto const part = event_text(to_text(write_part(this->asked, token.offset, token.last)));
    auto const other = this->faults.swap_part(this->asked.request_id, part);
    auto const number = this->parts + 1;
    auto text = part;
    if (is_each(number, this->faults.cross_each)) {
        text = other + text;
    }
    if (is_each(number, this->faults.duplicate_each)) {
        text += part;
    }
    return text;
}

auto decode_session::write(std::string const& part) -> void {
    if (auto const late = this->faults.late_milliseconds.load(); late > 0) {
        runtime::sleep_until(base::monotonic_clock::now() + std::chrono::milliseconds{late});
    }
    if (!this->started) {
        auto fields = runtime::http_fields{};
        fields.add("Content-Type", "text/event-stream");
        this->out.start(status_ok, fields);
        this->started = true;
    }
    this->out.write(part);
    ++this->parts;
}

auto decode_session::write_empty() -> void {
    if (this->asked.stream) {
        this->write(event_text(to_text(write_part(this->asked, this->asked.end, true))));
    }
    this->write_end();
}

auto decode_session::write_end() -> void {
    this->over = true;
    if (!this->asked.stream) {
        this->out.send(json_response(status_ok, write_whole(this->asked)));
        return;
    }
    this->out.write(event_text("[DONE]"));
    this->out.finish();
}

auto decode_session::refuse(int status, char const* type) -> void {
    this->over = true;
    this->out.send(json_response(status, write_error(type)));
}

auto decode_session::cut() -> void {
    this->over = true;
    this->out.abort();
}

}  // namespace linnetlane::standin

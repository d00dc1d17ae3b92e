#include "linnetlane/daemon/entry_answer.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace linnetlane::daemon {

namespace {

using json = nlohmann::json;

constexpr auto status_ok = 200;

auto name_of(upstream::finish_reason reason) -> char const* {
    return reason == upstream::finish_reason::length ? "length" : "stop";
}

auto dump(json const& body) -> std::string {
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto choice(std::string_view text, json const& finish) -> json {
    return json{{"index", 0}, {"text", text}, {"finish_reason", finish}};
}

auto make_body(answer_head const& head, json choices) -> json {
    return json{{"id", base::to_string(head.id)},
                {"object", "text_completion"},
                {"model", head.service.value},
                {"choices", std::move(choices)}};
}

auto json_response(int status, std::string body) -> runtime::http_response {
    auto response = runtime::http_response{};
    response.status = status;
    response.fields.add("content-type", "application/json");
    response.body = std::move(body);
    return response;
}

}  // namespace

auto send_refusal(runtime::http_responder& responder, request::refusal const& refused,
                  base::time_point now) -> bool {
    auto response =
        json_response(request::status_of(refused.type), request::refusal_body(refused, now));
    if (auto const seconds = request::retry_after_seconds(refused, now)) {
        response.fields.add("retry-after", std::to_string(*seconds));
    }
    return responder.send(response);
}

auto send_malformed(runtime::http_responder& responder, std::string_view what) -> bool {
    auto const error = json{{"type", request::name_of(request::refusal_type::malformed)},
                            {"message", what},
                            {"outcome", "not_run"}};
    auto const status = request::status_of(request::refusal_type::malformed);
    return responder.send(json_response(status, dump(json{{"error", error}})));
}

completion_answer::completion_answer(runtime::http_responder& connection, answer_head about)
    : responder(&connection), head(std::move(about)) {}

auto completion_answer::deliver(std::string_view text, base::token_count offset,
                                base::token_count count) -> bool {
    this->delivered += count;
    if (!this->head.stream) {
        this->buffered_text.append(text);
        return true;
    }
    auto body = make_body(this->head, json::array({choice(text, nullptr)}));
    body["x_offset"] = offset.value;
    return this->start() && this->write_event(dump(body));
}

auto completion_answer::finish(upstream::finish_reason reason) -> bool {
    if (this->head.stream) {
        auto const last = json::array({choice("", name_of(reason))});
        auto body = make_body(this->head, last);
        body["x_offset"] = this->delivered.value;
        return this->start() && this->write_event(dump(body)) && this->write_event("[DONE]") &&
               this->responder->finish();
    }
    auto body = make_body(this->head, json::array({choice(this->buffered_text, name_of(reason))}));
    body["usage"] = json{{"prompt_tokens", this->head.prompt_tokens.value},
                         {"completion_tokens", this->delivered.value},
                         {"total_tokens", (this->head.prompt_tokens + this->delivered).value}};
    return this->responder->send(json_response(status_ok, dump(body)));
}

auto completion_answer::refuse(request::refusal const& refused, base::time_point now) -> bool {
    return send_refusal(*this->responder, refused, now);
}

auto completion_answer::cut(request::refusal const& refused, base::time_point now) -> bool {
    if (!this->started) {
        return send_refusal(*this->responder, refused, now);
    }
    auto const written = this->write_event(request::refusal_body(refused, now));
    this->responder->abort();
    return written;
}

auto completion_answer::start() -> bool {
    if (std::exchange(this->started, true)) {
        return true;
    }
    auto fields = runtime::http_fields{};
    fields.add("content-type", "text/event-stream");
    fields.add("cache-control", "no-store");
    return this->responder->start(status_ok, fields);
}

auto completion_answer::write_event(std::string_view data) -> bool {
    return this->responder->write(fmt::format("data: {}\n\n", data));
}

}  // namespace linnetlane::daemon

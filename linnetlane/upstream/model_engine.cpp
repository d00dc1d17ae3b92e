#include "linnetlane/upstream/model_engine.h"

#include <cstddef>
#include <string>
#include <utility>
#include <variant>

namespace linnetlane::upstream {

namespace {

constexpr auto status_ok = 200;
constexpr auto max_error_bytes = std::size_t{64} * 1024;

auto kind_of(runtime::http_failure_kind kind) -> call_failure_kind {
    switch (kind) {
        case runtime::http_failure_kind::connect_failed:
            return call_failure_kind::unreachable;
        case runtime::http_failure_kind::timed_out:
            return call_failure_kind::timed_out;
        case runtime::http_failure_kind::closed:
            return call_failure_kind::connection_closed;
        case runtime::http_failure_kind::malformed:
        case runtime::http_failure_kind::too_large:
        case runtime::http_failure_kind::no_memory:
            return call_failure_kind::malformed_answer;
    }
    return call_failure_kind::connection_closed;
}

auto to_call_failure(runtime::http_failure const& failure) -> call_failure {
    auto const sent = failure.send_state == runtime::send_state::may_have_been_sent;
    return call_failure{kind_of(failure.kind),
                        sent ? send_state::may_have_been_sent : send_state::not_sent};
}

auto failure_after_send(call_failure_kind kind) -> call_failure {
    return call_failure{kind, send_state::may_have_been_sent};
}

auto to_call_failure(engine_error error) -> call_failure {
    return failure_after_send(error == engine_error::transfer_stalled
                                  ? call_failure_kind::transfer_stalled
                                  : call_failure_kind::refused);
}

auto post(std::string target, std::string body, std::string const& traceparent)
    -> runtime::http_request {
    auto request = runtime::http_request{};
    request.method = "POST";
    request.target = std::move(target);
    request.fields.add("content-type", "application/json");
    if (!traceparent.empty()) {
        request.fields.add("traceparent", traceparent);
    }
    request.body = std::move(body);
    return request;
}

auto get(std::string target) -> runtime::http_request {
    auto request = runtime::http_request{};
    request.target = std::move(target);
    return request;
}

// Sends `request` and parses the answer's body with `parse`.
template <typename Value, typename Parse>
auto fetch_and_parse(base::endpoint const& address, runtime::http_request const& request,
                     runtime::connection_use use, base::time_point deadline, Parse const& parse)
    -> base::result<Value, call_failure> {
    auto const answer = runtime::fetch(address, request, use, deadline);
    if (auto const* const failure = base::failure_of(answer)) {
        return to_call_failure(*failure);
    }
    auto const& response = base::value_of(answer);
    if (response.status != status_ok) {
        return to_call_failure(parse_error(response.body));
    }
    auto parsed = parse(response.body);
    if (!base::succeeded(parsed)) {
        return failure_after_send(call_failure_kind::malformed_answer);
    }
    return base::take_value(std::move(parsed));
}

}  // namespace

token_stream::token_stream(runtime::http_stream opened) : stream(std::move(opened)) {}

auto token_stream::next(base::time_point deadline) -> base::result<stream_item, call_failure> {
    while (this->events.empty()) {
        auto const more = this->read_more(deadline);
        if (auto const* const failure = base::failure_of(more)) {
            return *failure;
        }
    }
    auto const event = std::move(this->events.front());
    this->events.pop_front();
    auto item = parse_stream_item(event.data);
    if (!base::succeeded(item)) {
        return failure_after_send(call_failure_kind::malformed_answer);
    }
    return base::take_value(std::move(item));
}

auto token_stream::close() -> void {
    this->stream.close();
}

auto token_stream::read_more(base::time_point deadline)
    -> base::result<base::nothing, call_failure> {
    auto const bytes = this->stream.read_some(deadline);
    if (auto const* const failure = base::failure_of(bytes)) {
        return to_call_failure(*failure);
    }
    if (base::value_of(bytes).empty()) {
        return failure_after_send(call_failure_kind::connection_closed);
    }
    auto parsed = this->parser.feed(base::value_of(bytes));
    this->stream.note_kept(this->parser.held_bytes());
    if (!base::succeeded(parsed)) {
        return failure_after_send(call_failure_kind::malformed_answer);
    }
    for (auto& event : base::take_value(std::move(parsed))) {
        this->events.push_back(std::move(event));
    }
    return base::nothing{};
}

auto completions_engine::prefill(base::endpoint const& address, completion_call const& call,
                                 base::time_point deadline) const
    -> base::result<prefill_answer, call_failure> {
    auto const request = post("/v1/completions", write_prefill(call), call.traceparent);
    return fetch_and_parse<prefill_answer>(address, request, runtime::connection_use::pooled,
                                           deadline, parse_prefill_answer);
}

auto completions_engine::decode(base::endpoint const& address, decode_call const& call,
                                base::time_point deadline) const
    -> base::result<token_stream, call_failure> {
    auto const request = post("/v1/completions", write_decode(call), call.call.traceparent);
    auto opened = runtime::open_stream(address, request, runtime::connection_use::pooled, deadline);
    if (auto const* const failure = base::failure_of(opened)) {
        return to_call_failure(*failure);
    }
    auto answer = base::take_value(std::move(opened));
    if (answer.status() == status_ok) {
        return token_stream{std::move(answer)};
    }
    auto const body = answer.read_all(max_error_bytes, deadline);
    if (auto const* const failure = base::failure_of(body)) {
        return to_call_failure(*failure);
    }
    return to_call_failure(parse_error(base::value_of(body)));
}

auto completions_engine::abort(base::endpoint const& address, cell::attempt const& attempt,
                               base::time_point deadline) const -> bool {
    auto const request = post("/abort", write_abort(attempt), "");
    auto const answer = runtime::fetch(address, request, runtime::connection_use::pooled, deadline);
    return base::succeeded(answer) && base::value_of(answer).status == status_ok;
}

auto completions_engine::load(base::endpoint const& address, base::time_point deadline) const
    -> base::result<load_report, call_failure> {
    return fetch_and_parse<load_report>(address, get("/load"), runtime::connection_use::pooled,
                                        deadline, parse_load);
}

auto completions_engine::cache_changes(base::endpoint const& address, std::uint64_t after_sequence,
                                       base::time_point deadline) const
    -> base::result<std::vector<cache_change>, call_failure> {
    auto const request = get("/cache_events?after=" + std::to_string(after_sequence));
    return fetch_and_parse<std::vector<cache_change>>(
        address, request, runtime::connection_use::pooled, deadline, parse_cache_changes);
}

}  // namespace linnetlane::upstream

#include "linnetlane/load/sender.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "linnetlane/load/answer_check.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/upstream/sse.h"

namespace linnetlane::load {

namespace {

using json = nlohmann::json;

constexpr auto status_ok = 200;
constexpr auto max_error_bytes = std::size_t{64} * 1024;

// The result of one try: its outcome, and the time of the next try if the refusal states one.
struct try_result {
    request_outcome outcome;
    std::optional<base::time_point> retry_at{};
};

auto common_body(planned_request const& request) -> json {
    return json{{"prompt", request.prompt},
                {"x_prompt_tokens", request.prompt_tokens.value},
                {"x_output_tokens", request.output_tokens.value},
                {"max_tokens", request.output_bound.value},
                {"stream", true}};
}

auto completion(json const& body) -> runtime::http_request {
    auto result = runtime::http_request{};
    result.method = "POST";
    result.target = "/v1/completions";
    result.fields.add("Content-Type", "application/json");
    result.body = body.dump();
    return result;
}

auto host_request(host_destination const& destination, planned_request const& request)
    -> runtime::http_request {
    auto body = common_body(request);
    body["model"] = destination.service.value;
    auto result = completion(body);
    result.fields.add("x-caller", request.caller.value);
    auto const batch = request.priority == base::priority_class::batch;
    result.fields.add("x-priority", batch ? "batch" : "interactive");
    return result;
}

auto empty_outcome(planned_request const& request) -> request_outcome {
    auto outcome = request_outcome{};
    outcome.priority = request.priority;
    outcome.prompt_tokens = request.prompt_tokens;
    outcome.output_tokens = request.output_tokens;
    return outcome;
}

auto end_of(runtime::http_failure const& failure) -> request_end {
    return failure.kind == runtime::http_failure_kind::timed_out ? request_end::timed_out
                                                                 : request_end::broken;
}

auto end_of(answer_state state) -> request_end {
    switch (state) {
        case answer_state::whole:
            return request_end::whole;
        case answer_state::wrong:
            return request_end::wrong;
        default:
            return request_end::broken;
    }
}

auto read_retry_time(std::string const& body) -> std::optional<base::time_point> {
    auto const read = json::parse(body, nullptr, false);
    if (!read.is_object() || !read.contains("error") || !read["error"].is_object()) {
        return std::nullopt;
    }
    auto const& error = read["error"];
    if (!error.contains("retry_after_ms") || !error["retry_after_ms"].is_number()) {
        return std::nullopt;
    }
    auto const wait = std::chrono::milliseconds{error["retry_after_ms"].get<std::int64_t>()};
    return base::monotonic_clock::now() + wait;
}

auto record_times(request_outcome& outcome, std::vector<base::time_point> const& times,
                  base::time_point arrival) -> void {
    if (times.empty()) {
        return;
    }
    outcome.first_token = base::to_seconds(times.front() - arrival);
    for (auto index = std::size_t{1}; index < times.size(); ++index) {
        outcome.intervals.push_back(base::to_seconds(times[index] - times[index - 1]));
    }
}

// Passes the events of the stream to `check` until the answer is decided or the connection closes.
auto read_answer(runtime::http_stream& stream, answer_check& check, base::time_point deadline)
    -> request_end {
    auto parser = upstream::sse_parser{};
    while (true) {
        auto const bytes = stream.read_some(deadline);
        if (auto const* failure = base::failure_of(bytes)) {
            return end_of(*failure);
        }
        if (base::value_of(bytes).empty()) {
            return end_of(check.state());
        }
        auto const now = base::monotonic_clock::now();
        auto const events = parser.feed(base::value_of(bytes));
        if (!base::succeeded(events)) {
            return request_end::wrong;
        }
        for (auto const& event : base::value_of(events)) {
            check.add_event(event.data, now);
        }
        if (check.state() == answer_state::wrong || check.state() == answer_state::failed) {
            return end_of(check.state());
        }
    }
}

auto refused(planned_request const& request, std::string const& body) -> try_result {
    auto result = try_result{empty_outcome(request)};
    result.outcome.end = request_end::refused;
    result.outcome.error_type = error_type_in(body);
    result.retry_at = read_retry_time(body);
    return result;
}

auto failed_result(planned_request const& request, runtime::http_failure const& failure)
    -> try_result {
    auto result = try_result{empty_outcome(request)};
    result.outcome.end = end_of(failure);
    result.outcome.error_type = name_of(result.outcome.end);
    return result;
}

// Sends a streaming request and reads its answer.
auto stream_answer(base::endpoint const& to, runtime::http_request const& http,
                   planned_request const& request, base::time_point arrival,
                   base::time_point deadline) -> try_result {
    auto opened = runtime::open_stream(to, http, runtime::connection_use::pooled, deadline);
    if (auto const* failure = base::failure_of(opened)) {
        return failed_result(request, *failure);
    }
    auto stream = base::take_value(std::move(opened));
    if (stream.status() != status_ok) {
        auto const body = stream.read_all(max_error_bytes, deadline);
        return refused(request, base::succeeded(body) ? base::value_of(body) : std::string{});
    }
    auto check = answer_check{request};
    auto result = try_result{empty_outcome(request)};
    result.outcome.end = read_answer(stream, check, deadline);
    if (result.outcome.end != request_end::whole) {
        auto const& type = check.error_type();
        result.outcome.error_type = type.empty() ? name_of(result.outcome.end) : type;
    }
    record_times(result.outcome, check.arrivals(), arrival);
    return result;
}

auto send_once(host_destination const& destination, planned_request const& request,
               base::time_point arrival, base::time_point deadline) -> try_result {
    return stream_answer(destination.host, host_request(destination, request), request, arrival,
                         deadline);
}

auto send_once(engine_destination const& destination, planned_request const& request,
               base::time_point arrival, base::time_point deadline) -> try_result {
    auto prefill = common_body(request);
    prefill["request_id"] = "direct-" + std::to_string(request.number);
    prefill["max_tokens"] = 1;
    prefill["stream"] = false;
    prefill["kv_transfer_params"] = json{{"do_remote_decode", true}};
    auto const kept = runtime::fetch(destination.prefill, completion(prefill),
                                     runtime::connection_use::pooled, deadline);
    if (auto const* failure = base::failure_of(kept)) {
        return failed_result(request, *failure);
    }
    auto const answer = json::parse(base::value_of(kept).body, nullptr, false);
    if (!answer.is_object() || !answer.contains("kv_transfer_params")) {
        return refused(request, base::value_of(kept).body);
    }
    auto decode = common_body(request);
    decode["request_id"] = prefill["request_id"];
    decode["kv_transfer_params"] = answer["kv_transfer_params"];
    return stream_answer(destination.decode, completion(decode), request, arrival, deadline);
}

}  // namespace

auto send_request(request_destination const& destination, planned_request const& request,
                  send_options const& options, base::time_point arrival, base::time_point deadline)
    -> request_outcome {
    auto tries = std::int64_t{0};
    while (true) {
        auto result =
            std::visit([&](auto const& one) { return send_once(one, request, arrival, deadline); },
                       destination);
        ++tries;
        auto const again = options.honours_retry_after && result.retry_at &&
                           *result.retry_at < deadline && tries < options.max_tries;
        if (!again) {
            result.outcome.tries = tries;
            return result.outcome;
        }
        runtime::sleep_until(*result.retry_at);
    }
}

}  // namespace linnetlane::load

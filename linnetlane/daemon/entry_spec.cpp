#include "linnetlane/daemon/entry_spec.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace linnetlane::daemon {

namespace {

// The timeout of a prefill is its predicted time multiplied by `prefill_time_factor`, plus
// `prefill_time_margin`.
constexpr auto prefill_time_factor = 4.0;
constexpr auto prefill_time_margin = std::chrono::seconds{2};
// Timeout between two chunks of a batch answer, which an engine may pause for interactive work.
constexpr auto batch_chunk_timeout = std::chrono::seconds{30};

auto refuse(request::refusal_type type) -> request::refusal {
    auto refused = request::refusal{};
    refused.type = type;
    return refused;
}

auto make_timeouts(service::document const& document, request::request_spec const& spec)
    -> request::step_timeouts {
    auto const& shape = document.shape;
    auto timeouts = request::step_timeouts{};
    auto const rate = std::max(1.0, shape.prefill_rate.per_second);
    auto const predicted = static_cast<double>(spec.prompt.value) / rate;
    timeouts.prefill = base::from_seconds(prefill_time_factor * predicted) + prefill_time_margin;
    timeouts.result_kept = shape.result_kept;
    timeouts.resume = document.targets.first_token;
    if (spec.priority == base::priority_class::batch) {
        timeouts.between_chunks = batch_chunk_timeout;
    }
    return timeouts;
}

}  // namespace

auto plan_request(std::shared_ptr<service::document const> document,
                  completion_request const& completion, base::time_point now)
    -> base::result<model_plan, request::refusal> {
    if (!document || document->removed || document->kind != service::service_kind::model) {
        return refuse(request::refusal_type::unknown_service);
    }
    auto const caller = identify(*document, completion.caller);
    if (!caller) {
        return refuse(request::refusal_type::unauthorized);
    }
    auto const& targets = document->targets;
    auto spec = request::request_spec{};
    spec.id = make_request_id();
    spec.caller = caller->id;
    spec.priority = completion.priority.value_or(caller->priority);
    spec.prompt = completion.prompt_tokens;
    spec.output_bound = completion.output_bound.value_or(document->policy.default_output_bound);
    spec.prefixes =
        prefix_hashes(completion.prompt, completion.prompt_tokens, document->shape.piece_size);
    spec.repeatable = completion.repeatable;
    spec.retry_share = document->policy.retry_share;
    auto const interactive = spec.priority == base::priority_class::interactive;
    spec.first_token_deadline =
        now + (interactive ? targets.first_token : targets.batch_first_token);
    spec.answer_deadline = now + targets.whole_answer;
    if (!interactive) {
        spec.answer_deadline += targets.batch_first_token;
    }
    auto const timeouts = make_timeouts(*document, spec);
    return model_plan{std::move(document), std::move(spec), timeouts};
}

auto find_address(service::document const& document, base::upstream_id const& id)
    -> std::optional<base::endpoint> {
    auto const found = std::ranges::find(document.upstreams, id, &service::upstream::id);
    return found == document.upstreams.end() ? std::nullopt : std::optional{found->address};
}

auto continue_trace(std::optional<telemetry::trace_context> const& parent,
                    base::request_id const& request) -> telemetry::trace_context {
    return parent.value_or(telemetry::trace_context{request, {}, true});
}

auto make_shutdown_refusal(base::time_point now) -> request::refusal {
    auto refused = refuse(request::refusal_type::shutting_down);
    refused.retry_at = now;
    return refused;
}

auto to_event(cell_answer const& answer) -> request::event {
    return std::visit(base::overloaded{
                          [](keeper_lost const& lost) -> request::event {
                              return request::keeper_lost{lost.attempt};
                          },
                          [](renewed const& taken) -> request::event {
                              return request::grant_renewed{taken.attempt, taken.deadline};
                          },
                          [](auto const& same) -> request::event { return same; },
                      },
                      answer);
}

}  // namespace linnetlane::daemon

#include "linnetlane/telemetry/metrics.h"

#include <string_view>
#include <utility>

#include <prometheus/text_serializer.h>

namespace linnetlane::telemetry {

namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;
using buckets = Histogram::BucketBoundaries;

// Bounds in seconds. The current latency targets, 1.8 s and 40 ms, are among them.
auto first_token_buckets() -> buckets {
    return {0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30, 60, 300, 600};
}

auto token_interval_buckets() -> buckets {
    return {0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 2};
}

auto platform_call_buckets() -> buckets {
    return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5};
}

// 15 s is the guaranteed time for configuration changes.
auto generation_delay_buckets() -> buckets {
    return {0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 15, 60};
}

auto counter(prometheus::Registry& registry, std::string const& name, std::string const& help)
    -> prometheus::Family<Counter>& {
    return prometheus::BuildCounter().Name("linnetlane_" + name).Help(help).Register(registry);
}

auto gauge(prometheus::Registry& registry, std::string const& name, std::string const& help)
    -> prometheus::Family<Gauge>& {
    return prometheus::BuildGauge().Name("linnetlane_" + name).Help(help).Register(registry);
}

auto histogram(prometheus::Registry& registry, std::string const& name, std::string const& help)
    -> prometheus::Family<Histogram>& {
    return prometheus::BuildHistogram().Name("linnetlane_" + name).Help(help).Register(registry);
}

auto label_value(base::priority_class priority) -> std::string {
    return priority == base::priority_class::batch ? "batch" : "interactive";
}

auto index_of(base::priority_class priority) -> std::size_t {
    return priority == base::priority_class::batch ? 1 : 0;
}

auto label_value(request_ending ending) -> std::string {
    switch (ending) {
        case request_ending::completed:
            return "completed";
        case request_ending::refused:
            return "refused";
        case request_ending::cut:
            return "cut";
        case request_ending::caller_gone:
            break;
    }
    return "caller_gone";
}

auto label_value(waste_cause cause) -> std::string {
    switch (cause) {
        case waste_cause::caller_gone:
            return "caller_gone";
        case waste_cause::transfer_stalled:
            return "transfer_stalled";
        case waste_cause::decode_failed:
            return "decode_failed";
        case waste_cause::expired:
            return "expired";
        case waste_cause::refused:
            break;
    }
    return "refused";
}

auto label_value(platform_operation operation) -> std::string {
    switch (operation) {
        case platform_operation::read:
            return "read";
        case platform_operation::swap:
            return "swap";
        case platform_operation::watch:
            return "watch";
        case platform_operation::lease:
            break;
    }
    return "lease";
}

auto label_value(call_outcome outcome) -> std::string {
    switch (outcome) {
        case call_outcome::done:
            return "done";
        case call_outcome::not_run:
            return "not_run";
        case call_outcome::unknown:
            break;
    }
    return "unknown";
}

auto label_value(peer_traffic traffic) -> std::string {
    switch (traffic) {
        case peer_traffic::membership:
            return "membership";
        case peer_traffic::documents:
            return "documents";
        case peer_traffic::cell:
            return "cell";
        case peer_traffic::claims:
            break;
    }
    return "claims";
}

auto label_value(peer_direction direction) -> std::string {
    return direction == peer_direction::sent ? "sent" : "received";
}

auto label_value(order_result result) -> std::string {
    switch (result) {
        case order_result::accepted:
            return "accepted";
        case order_result::fenced:
            return "fenced";
        case order_result::busy:
            return "busy";
        case order_result::unknown:
            break;
    }
    return "unknown";
}

auto label_value(claim_result result) -> std::string {
    switch (result) {
        case claim_result::granted:
            return "granted";
        case claim_result::already:
            return "already";
        case claim_result::refused:
            break;
    }
    return "refused";
}

auto label_value(host_state state) -> std::string {
    switch (state) {
        case host_state::alive:
            return "alive";
        case host_state::suspected:
            return "suspected";
        case host_state::leaving:
            break;
    }
    return "leaving";
}

auto label_value(limit_kind kind) -> std::string {
    switch (kind) {
        case limit_kind::header:
            return "header";
        case limit_kind::body:
            return "body";
        case limit_kind::connections:
            return "connections";
        case limit_kind::request_arrival:
            break;
    }
    return "request_arrival";
}

auto to_double(std::int64_t count) -> double {
    return static_cast<double>(count);
}

}  // namespace

metric_families::metric_families(prometheus::Registry& registry)
    : accepted{counter(registry, "requests_accepted_total", "Requests that were accepted.")},
      ended{counter(registry, "requests_ended_total", "Accepted requests by how they ended.")},
      refused{counter(registry, "requests_refused_total", "Requests refused, by type of refusal.")},
      within_targets{counter(registry, "requests_within_targets_total",
                             "Completed requests that met both latency targets (goodput).")},
      output_tokens{counter(registry, "output_tokens_total", "Tokens sent to callers.")},
      output_tokens_within_targets{counter(registry, "output_tokens_within_targets_total",
                                           "Tokens of requests that met both latency targets.")},
      first_token{histogram(registry, "first_token_seconds",
                            "From the arrival of a request to its first token.")},
      token_interval{histogram(registry, "token_interval_seconds", "Between two tokens.")},
      prefill_tokens{counter(registry, "prefill_tokens_total", "Prompt tokens prefilled.")},
      wasted_prefill_tokens{counter(registry, "wasted_prefill_tokens_total",
                                    "Prompt tokens prefilled for nothing, by cause.")},
      retries{counter(registry, "retries_total", "Tries after a failed one.")},
      resumes{counter(registry, "resumes_total", "Answers resumed on another engine.")},
      retry_budget{gauge(registry, "retry_budget_retries", "Retries that may be made now.")},
      ledger_pieces{gauge(registry, "ledger_pieces",
                          "Pieces of decode memory in the cells that this host keeps.")},
      queued{gauge(registry, "queued_requests", "Requests waiting in the cells kept here.")},
      hosts{gauge(registry, "hosts", "Hosts as this one sees them.")},
      generation{gauge(registry, "document_generation", "Generation of the document in force.")},
      generation_delay{histogram(registry, "document_delay_seconds",
                                 "From the acceptance of a document to its being in force here.")},
      platform_calls{counter(registry, "platform_calls_total", "Calls on the platform.")},
      platform_call_time{
          histogram(registry, "platform_call_seconds", "Time of a call on the platform.")},
      peer_messages{counter(registry, "peer_messages_total", "Messages between hosts.")},
      peer_bytes{counter(registry, "peer_bytes_total", "Bytes between hosts.")},
      orders{counter(registry, "orders_total", "Orders to engines by how they were taken.")},
      claims{counter(registry, "claims_total", "Claims on idempotency keys by outcome.")},
      limits{counter(registry, "limits_exceeded_total", "Requests over a limit of the host.")},
      connections{gauge(registry, "caller_connections", "Open connections of callers.")},
      requests_under_way{gauge(registry, "requests_under_way", "Requests that this host serves.")} {
}

service_metrics::service_metrics(metric_families& all, std::string const& service)
    : families{&all},
      name{service},
      accepted{},
      first_token{},
      token_interval{&all.token_interval.Add({{"service", service}}, token_interval_buckets())},
      output_tokens{&all.output_tokens.Add({{"service", service}})},
      output_tokens_within_targets{&all.output_tokens_within_targets.Add({{"service", service}})},
      prefill_tokens{&all.prefill_tokens.Add({{"service", service}})} {
    for (auto const priority : {base::priority_class::interactive, base::priority_class::batch}) {
        auto const labels =
            prometheus::Labels{{"service", service}, {"priority", label_value(priority)}};
        this->accepted[index_of(priority)] = &all.accepted.Add(labels);
        this->first_token[index_of(priority)] = &all.first_token.Add(labels, first_token_buckets());
    }
}

auto service_metrics::count_accepted(base::priority_class priority) -> void {
    this->accepted[index_of(priority)]->Increment();
}

auto service_metrics::count_ended(ended_request const& request) -> void {
    auto const priority = label_value(request.priority);
    auto const tokens = to_double(request.produced.value);
    this->output_tokens->Increment(tokens);
    this->families->ended
        .Add({{"service", this->name},
              {"priority", priority},
              {"ending", label_value(request.ending)}})
        .Increment();
    if (request.ending == request_ending::completed && request.within_targets) {
        this->output_tokens_within_targets->Increment(tokens);
        this->families->within_targets.Add({{"service", this->name}, {"priority", priority}})
            .Increment();
    }
}

auto service_metrics::count_refused(request::refusal_type type) -> void {
    this->families->refused
        .Add({{"service", this->name}, {"type", std::string{request::name_of(type)}}})
        .Increment();
}

auto service_metrics::record_first_token(base::priority_class priority, base::duration after)
    -> void {
    this->first_token[index_of(priority)]->Observe(base::to_seconds(after));
}

auto service_metrics::record_token_interval(base::duration interval) -> void {
    this->token_interval->Observe(base::to_seconds(interval));
}

auto service_metrics::count_prefill(base::token_count tokens) -> void {
    this->prefill_tokens->Increment(to_double(tokens.value));
}

auto service_metrics::count_wasted_prefill(waste_cause cause, base::token_count tokens) -> void {
    this->families->wasted_prefill_tokens
        .Add({{"service", this->name}, {"cause", label_value(cause)}})
        .Increment(to_double(tokens.value));
}

auto service_metrics::count_retry() -> void {
    this->families->retries.Add({{"service", this->name}}).Increment();
}

auto service_metrics::count_resume() -> void {
    this->families->resumes.Add({{"service", this->name}}).Increment();
}

auto service_metrics::set_retry_budget(std::int64_t available) -> void {
    this->families->retry_budget.Add({{"service", this->name}}).Set(to_double(available));
}

auto service_metrics::set_generation(base::generation in_force) -> void {
    this->families->generation.Add({{"service", this->name}})
        .Set(static_cast<double>(in_force.value));
}

auto service_metrics::record_generation_delay(base::duration delay) -> void {
    this->families->generation_delay.Add({}, generation_delay_buckets())
        .Observe(base::to_seconds(delay));
}

auto service_metrics::set_ledger(base::piece_count free, base::piece_count granted) -> void {
    auto& family = this->families->ledger_pieces;
    family.Add({{"service", this->name}, {"state", "free"}}).Set(to_double(free.value));
    family.Add({{"service", this->name}, {"state", "granted"}}).Set(to_double(granted.value));
}

auto service_metrics::set_queued(base::priority_class priority, std::int64_t requests) -> void {
    this->families->queued.Add({{"service", this->name}, {"priority", label_value(priority)}})
        .Set(to_double(requests));
}

metrics::metrics() : registry{std::make_shared<prometheus::Registry>()}, families{*registry} {}

auto metrics::of(base::service_id const& service) -> service_metrics& {
    auto const lock = std::scoped_lock{this->services_mutex};
    auto found = this->services.find(service.value);
    if (found != this->services.end()) {
        return *found->second;
    }
    auto const name = this->services.size() < max_services ? service.value : std::string{"other"};
    auto& stored = this->services[name];
    if (stored == nullptr) {
        stored = std::make_unique<service_metrics>(this->families, name);
    }
    return *stored;
}

auto metrics::set_hosts(base::data_centre_id const& data_centre, host_state state,
                        std::int64_t count) -> void {
    this->families.hosts.Add({{"data_centre", data_centre.value}, {"state", label_value(state)}})
        .Set(to_double(count));
}

auto metrics::count_platform_call(platform_operation operation, call_outcome outcome,
                                  base::duration took) -> void {
    auto const label = label_value(operation);
    this->families.platform_calls.Add({{"operation", label}, {"outcome", label_value(outcome)}})
        .Increment();
    this->families.platform_call_time.Add({{"operation", label}}, platform_call_buckets())
        .Observe(base::to_seconds(took));
}

auto metrics::count_peer_message(peer_traffic traffic, peer_direction direction,
                                 base::byte_count bytes) -> void {
    auto const labels = prometheus::Labels{{"traffic", label_value(traffic)},
                                           {"direction", label_value(direction)}};
    this->families.peer_messages.Add(labels).Increment();
    this->families.peer_bytes.Add(labels).Increment(to_double(bytes.value));
}

auto metrics::count_order(order_result result) -> void {
    this->families.orders.Add({{"result", label_value(result)}}).Increment();
}

auto metrics::count_claim(claim_result result) -> void {
    this->families.claims.Add({{"result", label_value(result)}}).Increment();
}

auto metrics::count_limit(limit_kind kind) -> void {
    this->families.limits.Add({{"limit", label_value(kind)}}).Increment();
}

auto metrics::set_connections(std::int64_t count) -> void {
    this->families.connections.Add({}).Set(to_double(count));
}

auto metrics::set_requests_under_way(std::int64_t count) -> void {
    this->families.requests_under_way.Add({}).Set(to_double(count));
}

auto metrics::scrape() const -> std::string {
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

}  // namespace linnetlane::telemetry

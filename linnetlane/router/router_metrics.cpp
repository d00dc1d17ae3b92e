#include "linnetlane/router/router_metrics.h"

#include <limits>

#include <prometheus/text_serializer.h>

namespace linnetlane::router {

namespace {

using buckets = prometheus::Histogram::BucketBoundaries;

// In seconds. Covers answers from an upstream's memory up to the longest timeouts of routes.
auto latency_buckets() -> buckets {
    return {0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3, 6, 14};
}

// Multiples of the usual time of work.
auto pace_buckets() -> buckets {
    return {0.5, 0.75, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10};
}

auto counters(prometheus::Registry& registry, char const* name, char const* help)
    -> prometheus::Family<prometheus::Counter>& {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto gauge(prometheus::Registry& registry, char const* name, char const* help)
    -> prometheus::Gauge& {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

auto histograms(prometheus::Registry& registry, char const* name, char const* help)
    -> prometheus::Family<prometheus::Histogram>& {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

auto account_labels(base::caller_id const& account, request_outcome outcome) -> prometheus::Labels {
    return {{"account", account.value}, {"outcome", to_string(outcome)}};
}

auto other_labels(request_outcome outcome) -> prometheus::Labels {
    return {{"account", router_metrics::other_accounts}, {"outcome", to_string(outcome)}};
}

}  // namespace

auto to_string(quota_outcome outcome) -> char const* {
    switch (outcome) {
        case quota_outcome::granted:
            return "granted";
        case quota_outcome::short_of_work:
            return "short";
        case quota_outcome::none:
            break;
    }
    return "none";
}

auto to_string(origin_source source) -> char const* {
    switch (source) {
        case origin_source::memory:
            return "memory";
        case origin_source::record:
            return "record";
        case origin_source::no_record:
            return "no_record";
        case origin_source::other_host:
            return "other_host";
        case origin_source::registry_unavailable:
            break;
    }
    return "registry_unavailable";
}

auto to_string(request_kind kind) -> char const* {
    return kind == request_kind::plain ? "plain" : "generation";
}

auto to_string(request_outcome outcome) -> char const* {
    switch (outcome) {
        case request_outcome::answered:
            return "answered";
        case request_outcome::refused:
            return "refused";
        case request_outcome::cut_off:
            return "cut_off";
        case request_outcome::caller_left:
            break;
    }
    return "caller_left";
}

auto to_string(refusal_reason reason) -> char const* {
    switch (reason) {
        case refusal_reason::no_configuration:
            return "no_configuration";
        case refusal_reason::no_route:
            return "no_route";
        case refusal_reason::no_upstream:
            return "no_upstream";
        case refusal_reason::overloaded:
            return "overloaded";
        case refusal_reason::upstreams_unreachable:
            return "upstreams_unreachable";
        case refusal_reason::unknown_origin:
            return "unknown_origin";
        case refusal_reason::outcome_unknown:
            return "outcome_unknown";
        case refusal_reason::timed_out:
            return "timed_out";
        case refusal_reason::prompt_quarantined:
            return "prompt_quarantined";
        case refusal_reason::request_quarantined:
            return "request_quarantined";
        case refusal_reason::unknown_key:
            return "unknown_key";
        case refusal_reason::configuration_too_old:
            return "configuration_too_old";
        case refusal_reason::older_configuration:
            return "older_configuration";
        case refusal_reason::route_unconfirmed:
            return "route_unconfirmed";
        case refusal_reason::quota_exceeded:
            return "quota_exceeded";
        case refusal_reason::leaving:
            break;
    }
    return "leaving";
}

router_metrics::router_metrics()
    : registry{std::make_shared<prometheus::Registry>()},
      requests{&counters(*this->registry, "linnetlane_requests_total",
                         "Requests by kind and by how they ended.")},
      request_seconds{&histograms(*this->registry, "linnetlane_request_seconds",
                                  "From a request's arrival to its end.")},
      refusals{&counters(*this->registry, "linnetlane_refusals_total",
                         "Requests that the host answered by itself, by reason.")},
      retries{&counters(*this->registry, "linnetlane_repeats_total",
                        "Requests sent to an upstream once more.")},
      reservations{&counters(*this->registry, "linnetlane_reservations_total",
                             "Reservations that engines were asked for, by answer.")},
      forwarded{&counters(*this->registry, "linnetlane_forwarded_requests_total",
                          "Requests that reached no upstream from this host, and whether another "
                          "host took them.")},
      origins{&counters(*this->registry, "linnetlane_resumed_streams_total",
                        "Requests that resume a stream, by where its software version was looked "
                        "for and whether it was found.")},
      unrecorded_streams{&gauge(*this->registry, "linnetlane_unrecorded_streams",
                                "Streams whose software version is not in the registry yet.")},
      prefill_tokens{&counters(*this->registry, "linnetlane_prefill_tokens_total",
                               "Prompt tokens that prefill engines read.")
                          .Add({})},
      wasted_prefill_tokens{&counters(*this->registry, "linnetlane_wasted_prefill_tokens_total",
                                      "Prompt tokens read for answers that never began.")
                                 .Add({})},
      first_event_seconds{&histograms(*this->registry, "linnetlane_first_event_seconds",
                                      "From a request's arrival to the first event of its answer.")
                               .Add({}, latency_buckets())},
      upstream_pace{&histograms(*this->registry, "linnetlane_upstream_pace",
                                "How long work takes at upstreams' machines, as reported with "
                                "answers; 1 is usual.")
                         .Add({}, pace_buckets())},
      registry_failures{&counters(*this->registry, "linnetlane_registry_failures_total",
                                  "Calls on the registry that failed.")
                             .Add({})},
      upstreams{&gauge(*this->registry, "linnetlane_upstreams", "Upstreams known.")},
      configuration{&gauge(*this->registry, "linnetlane_configuration_version",
                           "The version of the configuration in force.")},
      quarantined_parts{&gauge(*this->registry, "linnetlane_quarantined_prompt_parts",
                               "Parts of prompts that are kept away from upstreams.")},
      quarantined_requests{&gauge(*this->registry, "linnetlane_quarantined_requests",
                                  "Requests that are kept away from upstreams.")},
      upstreams_ended{&counters(*this->registry, "linnetlane_upstreams_ended_total",
                                "Requests that an upstream broke off.")
                           .Add({})},
      account_requests{&counters(*this->registry, "linnetlane_account_requests_total",
                                 "Requests of client accounts by how they ended. Accounts without "
                                 "a name here are counted as other.")},
      quota_questions{&counters(*this->registry, "linnetlane_quota_questions_total",
                                "Questions to the hosts that keep quotas, by answer.")},
      configuration_age{&gauge(*this->registry, "linnetlane_configuration_age_seconds",
                               "Since the configuration in force was known to be the newest one; "
                               "no number if it never was.")},
      unconfirmed{&counters(*this->registry, "linnetlane_unconfirmed_requests_total",
                            "Requests that were handled by a configuration that wasn't known to be "
                            "the newest one within the bound on changes.")
                       .Add({})} {
    this->set_configuration_age(std::nullopt);
}

auto router_metrics::count_request(request_kind kind, request_outcome outcome, base::duration took)
    -> void {
    this->requests->Add({{"kind", to_string(kind)}, {"outcome", to_string(outcome)}}).Increment();
    this->request_seconds->Add({{"kind", to_string(kind)}}, latency_buckets())
        .Observe(base::to_seconds(took));
}

auto router_metrics::count_refusal(refusal_reason reason) -> void {
    this->refusals->Add({{"reason", to_string(reason)}}).Increment();
}

auto router_metrics::count_retry(request_kind kind) -> void {
    this->retries->Add({{"kind", to_string(kind)}}).Increment();
}

auto router_metrics::count_reservation(bool granted) -> void {
    this->reservations->Add({{"answer", granted ? "granted" : "no_room"}}).Increment();
}

auto router_metrics::count_forwarded(bool taken) -> void {
    this->forwarded->Add({{"taken", taken ? "yes" : "no"}}).Increment();
}

auto router_metrics::count_prefill(base::token_count tokens) -> void {
    this->prefill_tokens->Increment(static_cast<double>(tokens.value));
}

auto router_metrics::count_wasted_prefill(base::token_count tokens) -> void {
    this->wasted_prefill_tokens->Increment(static_cast<double>(tokens.value));
}

auto router_metrics::count_origin(origin_source source, bool known) -> void {
    this->origins->Add({{"source", to_string(source)}, {"known", known ? "true" : "false"}})
        .Increment();
}

auto router_metrics::set_unrecorded_streams(std::size_t count) -> void {
    this->unrecorded_streams->Set(static_cast<double>(count));
}

auto router_metrics::observe_first_event(base::duration took) -> void {
    this->first_event_seconds->Observe(base::to_seconds(took));
}

auto router_metrics::observe_pace(double pace) -> void {
    this->upstream_pace->Observe(pace);
}

auto router_metrics::count_registry_failure() -> void {
    this->registry_failures->Increment();
}

auto router_metrics::set_upstreams(std::size_t count) -> void {
    this->upstreams->Set(static_cast<double>(count));
}

auto router_metrics::set_configuration(routing::configuration_version version) -> void {
    this->configuration->Set(static_cast<double>(version.value));
}

auto router_metrics::set_quarantined(std::size_t prompt_parts, std::size_t whole_requests) -> void {
    this->quarantined_parts->Set(static_cast<double>(prompt_parts));
    this->quarantined_requests->Set(static_cast<double>(whole_requests));
}

auto router_metrics::count_upstream_ended() -> void {
    this->upstreams_ended->Increment();
}

auto router_metrics::count_account_request(base::caller_id const& account, request_outcome outcome)
    -> void {
    this->account_requests->Add(account_labels(account, outcome)).Increment();
}

auto router_metrics::count_other_account_request(request_outcome outcome) -> void {
    this->account_requests->Add(other_labels(outcome)).Increment();
}

auto router_metrics::forget_account(base::caller_id const& account) -> void {
    for (auto const outcome : {request_outcome::answered, request_outcome::refused,
                               request_outcome::cut_off, request_outcome::caller_left}) {
        auto const labels = account_labels(account, outcome);
        if (this->account_requests->Has(labels)) {
            auto& counted = this->account_requests->Add(labels);
            this->account_requests->Add(other_labels(outcome)).Increment(counted.Value());
            this->account_requests->Remove(&counted);
        }
    }
}

auto router_metrics::count_quota_question(quota_outcome outcome) -> void {
    this->quota_questions->Add({{"answer", to_string(outcome)}}).Increment();
}

auto router_metrics::set_configuration_age(std::optional<base::duration> age) -> void {
    this->configuration_age->Set(age ? base::to_seconds(*age)
                                     : std::numeric_limits<double>::quiet_NaN());
}

auto router_metrics::count_unconfirmed() -> void {
    this->unconfirmed->Increment();
}

auto router_metrics::scrape() const -> std::string {
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

}  // namespace linnetlane::router

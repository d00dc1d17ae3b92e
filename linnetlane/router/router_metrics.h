// Metrics of a router, for Prometheus.
//
// Labels come from closed sets; routes, callers and upstreams are never labels, so that a scrape
// stays bounded with any configuration.

#ifndef LINNETLANE_ROUTER_ROUTER_METRICS_H_
#define LINNETLANE_ROUTER_ROUTER_METRICS_H_

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

enum class request_kind { plain, generation };

// How a request ended, as its caller saw it.
enum class request_outcome { answered, refused, cut_off, caller_left };

[[nodiscard]] auto to_string(request_kind kind) -> char const*;
[[nodiscard]] auto to_string(request_outcome outcome) -> char const*;
[[nodiscard]] auto to_string(refusal_reason reason) -> char const*;

// Thread-safe.
class router_metrics {
public:
    router_metrics();

    auto count_request(request_kind kind, request_outcome outcome, base::duration took) -> void;
    auto count_refusal(refusal_reason reason) -> void;
    // A request was sent to an upstream once more.
    auto count_retry(request_kind kind) -> void;
    // An engine was asked for a place to decode.
    auto count_reservation(bool granted) -> void;
    auto count_prefill(base::token_count tokens) -> void;
    // Prompt tokens that were read for an answer that never began.
    auto count_wasted_prefill(base::token_count tokens) -> void;
    auto observe_first_event(base::duration took) -> void;
    auto count_registry_failure() -> void;
    auto set_upstreams(std::size_t known) -> void;
    auto set_configuration(routing::configuration_version version) -> void;

    // All metrics in Prometheus' text format.
    [[nodiscard]] auto scrape() const -> std::string;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>* requests;
    prometheus::Family<prometheus::Histogram>* request_seconds;
    prometheus::Family<prometheus::Counter>* refusals;
    prometheus::Family<prometheus::Counter>* retries;
    prometheus::Family<prometheus::Counter>* reservations;
    prometheus::Counter* prefill_tokens;
    prometheus::Counter* wasted_prefill_tokens;
    prometheus::Histogram* first_event_seconds;
    prometheus::Counter* registry_failures;
    prometheus::Gauge* upstreams;
    prometheus::Gauge* configuration;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ROUTER_METRICS_H_

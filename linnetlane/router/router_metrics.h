// The Prometheus metrics of the router.
//
// Label values come from fixed sets. Routes, callers and upstreams are never labels, so that the
// size of a scrape is bounded for any configuration.

#ifndef LINNETLANE_ROUTER_ROUTER_METRICS_H_
#define LINNETLANE_ROUTER_ROUTER_METRICS_H_

#include <cstddef>
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

// The outcome of a request from the caller's view.
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
    // Counts a request that was sent to an upstream again.
    auto count_retry(request_kind kind) -> void;
    // Counts a request for a reservation at a decode engine.
    auto count_reservation(bool granted) -> void;
    auto count_prefill(base::token_count tokens) -> void;
    // Counts prompt tokens that were prefilled for an answer that never started.
    auto count_wasted_prefill(base::token_count tokens) -> void;
    // Counts a request that reached no upstream from this host, and whether another host took it.
    auto count_forwarded(bool taken) -> void;
    auto observe_first_event(base::duration took) -> void;
    // Notes the pace that an upstream reported, as in `routing::load_report`.
    auto observe_pace(double pace) -> void;
    auto count_registry_failure() -> void;
    auto set_upstreams(std::size_t count) -> void;
    auto set_configuration(routing::configuration_version version) -> void;
    // Sets the numbers of parts of prompts and of whole requests that are kept away from upstreams.
    auto set_quarantined(std::size_t prompt_parts, std::size_t whole_requests) -> void;
    // Counts an upstream that broke off a request.
    auto count_upstream_ended() -> void;

    // Returns all metrics in the Prometheus text format.
    [[nodiscard]] auto scrape() const -> std::string;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>* requests;
    prometheus::Family<prometheus::Histogram>* request_seconds;
    prometheus::Family<prometheus::Counter>* refusals;
    prometheus::Family<prometheus::Counter>* retries;
    prometheus::Family<prometheus::Counter>* reservations;
    prometheus::Family<prometheus::Counter>* forwarded;
    prometheus::Counter* prefill_tokens;
    prometheus::Counter* wasted_prefill_tokens;
    prometheus::Histogram* first_event_seconds;
    prometheus::Histogram* upstream_pace;
    prometheus::Counter* registry_failures;
    prometheus::Gauge* upstreams;
    prometheus::Gauge* configuration;
    prometheus::Gauge* quarantined_parts;
    prometheus::Gauge* quarantined_requests;
    prometheus::Counter* upstreams_ended;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ROUTER_METRICS_H_

// Metrics of a host, for Prometheus.
//
//   auto table = metrics{};
//   auto& finding = table.of(base::service_id{"finding"});
//   finding.count_accepted(base::priority_class::interactive);
//   finding.count_refused(request::refusal_type::overloaded);
//   respond(table.scrape());
//
// Names follow the convention `linnetlane_WHAT_UNIT[_total]`. Label values come from closed sets or
// from documents. To bound the size of a scrape, services past the first `max_services` are counted
// together as `other`. Callers, requests and prompts are never labels.

#ifndef LINNETLANE_TELEMETRY_METRICS_H_
#define LINNETLANE_TELEMETRY_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/request/refusal.h"

namespace linnetlane::telemetry {

inline constexpr auto max_services = std::size_t{64};

// How an accepted request ended.
enum class request_ending { completed, refused, cut, caller_gone };

// An accepted request that has ended.
struct ended_request {
    base::priority_class priority = base::priority_class::interactive;
    request_ending ending = request_ending::completed;
    // Whether both latency targets were met; counted for completed requests only.
    bool within_targets = false;
    base::token_count produced;
};

// Why the work of a prefill was wasted.
enum class waste_cause { caller_gone, transfer_stalled, decode_failed, expired, refused };

enum class platform_operation { read, swap, watch, lease };
enum class call_outcome { done, not_run, unknown };

// The purpose of messages between hosts.
enum class peer_traffic { membership, documents, cell, claims };
enum class peer_direction { sent, received };

// An engine's answer to an order: `fenced` if the engine has seen a higher fencing number,
// `unknown` if there was no answer, so that the order may or may not be carried out.
enum class order_result { accepted, fenced, busy, unknown };
// The reply to a claim: `already` if the idempotency key was claimed before.
enum class claim_result { granted, already, refused };

// The membership state of a host.
enum class host_state { alive, suspected, leaving };

// The HTTP limit that a request or connection exceeded; `request_arrival` is the time in which a
// request must arrive.
enum class limit_kind { header, body, connections, request_arrival };

// The Prometheus families of all metrics. Owned by `registry`.
struct metric_families {
    explicit metric_families(prometheus::Registry& registry);

    prometheus::Family<prometheus::Counter>& accepted;
    prometheus::Family<prometheus::Counter>& ended;
    prometheus::Family<prometheus::Counter>& refused;
    prometheus::Family<prometheus::Counter>& within_targets;
    prometheus::Family<prometheus::Counter>& output_tokens;
    prometheus::Family<prometheus::Counter>& output_tokens_within_targets;
    prometheus::Family<prometheus::Histogram>& first_token;
    prometheus::Family<prometheus::Histogram>& token_interval;
    prometheus::Family<prometheus::Counter>& prefill_tokens;
    prometheus::Family<prometheus::Counter>& wasted_prefill_tokens;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& resumes;
    prometheus::Family<prometheus::Gauge>& retry_budget;
    prometheus::Family<prometheus::Gauge>& ledger_pieces;
    prometheus::Family<prometheus::Gauge>& queued;
    prometheus::Family<prometheus::Gauge>& hosts;
    prometheus::Family<prometheus::Gauge>& generation;
    prometheus::Family<prometheus::Histogram>& generation_delay;
    prometheus::Family<prometheus::Counter>& platform_calls;
    prometheus::Family<prometheus::Histogram>& platform_call_time;
    prometheus::Family<prometheus::Counter>& peer_messages;
    prometheus::Family<prometheus::Counter>& peer_bytes;
    prometheus::Family<prometheus::Counter>& orders;
    prometheus::Family<prometheus::Counter>& claims;
    prometheus::Family<prometheus::Counter>& limits;
    prometheus::Family<prometheus::Gauge>& connections;
    prometheus::Family<prometheus::Gauge>& requests_under_way;
};

// The metrics of one service. Thread-safe. References stay valid as long as the `metrics` exists.
class service_metrics {
public:
    service_metrics(metric_families& all, std::string const& service);

    auto count_accepted(base::priority_class priority) -> void;
    auto count_ended(ended_request const& request) -> void;
    auto count_refused(request::refusal_type type) -> void;
    auto record_first_token(base::priority_class priority, base::duration after) -> void;
    auto record_token_interval(base::duration interval) -> void;
    auto count_prefill(base::token_count tokens) -> void;
    auto count_wasted_prefill(waste_cause cause, base::token_count tokens) -> void;
    auto count_retry() -> void;
    auto count_resume() -> void;
    auto set_retry_budget(std::int64_t available) -> void;
    auto set_generation(base::generation in_force) -> void;
    // `delay` is the time from a document's acceptance until it is in force on this host.
    auto record_generation_delay(base::duration delay) -> void;
    // Sets the numbers of free and granted KV cache pieces in the cell that this host is keeper of.
    auto set_ledger(base::piece_count free, base::piece_count granted) -> void;
    auto set_queued(base::priority_class priority, std::int64_t requests) -> void;

private:
    static constexpr auto priorities = std::size_t{2};

    metric_families* families;
    std::string name;
    std::array<prometheus::Counter*, priorities> accepted;
    std::array<prometheus::Histogram*, priorities> first_token;
    prometheus::Histogram* token_interval;
    prometheus::Counter* output_tokens;
    prometheus::Counter* output_tokens_within_targets;
    prometheus::Counter* prefill_tokens;
};

// All metrics of a host. Thread-safe.
class metrics {
public:
    metrics();

    // Returns the metrics of `service`, or the shared metrics of `other` services if `max_services`
    // services already have their own.
    auto of(base::service_id const& service) -> service_metrics&;

    auto set_hosts(base::data_centre_id const& data_centre, host_state state, std::int64_t count)
        -> void;
    auto count_platform_call(platform_operation operation, call_outcome outcome,
                             base::duration took) -> void;
    auto count_peer_message(peer_traffic traffic, peer_direction direction, base::byte_count bytes)
        -> void;
    auto count_order(order_result result) -> void;
    auto count_claim(claim_result result) -> void;
    auto count_limit(limit_kind kind) -> void;
    auto set_connections(std::int64_t count) -> void;
    auto set_requests_under_way(std::int64_t count) -> void;

    // Returns all metrics in Prometheus' text format.
    [[nodiscard]] auto scrape() const -> std::string;

private:
    std::shared_ptr<prometheus::Registry> registry;
    metric_families families;
    // Guards `services`.
    std::mutex services_mutex;
    std::map<std::string, std::unique_ptr<service_metrics>> services;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_METRICS_H_

// The Prometheus metrics of the router.
//
// Label values come from fixed sets, except for the names of at most `max_named_accounts` client
// accounts; the others are counted together as `other`. Routes, other callers and upstreams are
// never labels, so that the size of a scrape is bounded for any configuration.

#ifndef LINNETLANE_ROUTER_ROUTER_METRICS_H_
#define LINNETLANE_ROUTER_ROUTER_METRICS_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

enum class request_kind { plain, generation };

// The outcome of a request from the caller's view.
enum class request_outcome { answered, refused, cut_off, caller_left };

// What the host that was asked for work of a quota answered.
enum class quota_outcome {
    granted,
    // It has less than was asked for.
    short_of_work,
    // It gave no answer.
    none,
};

// Where the software version of a resumed stream was looked for last.
enum class origin_source {
    // This host's memory.
    memory,
    // Its record in the registry.
    record,
    // There is no record; the versions that this host has known decide.
    no_record,
    other_host,
    // Nor did another host know it; the versions that this host has known decide.
    registry_unavailable,
};

[[nodiscard]] auto to_string(request_kind kind) -> char const*;
[[nodiscard]] auto to_string(request_outcome outcome) -> char const*;
[[nodiscard]] auto to_string(refusal_reason reason) -> char const*;
[[nodiscard]] auto to_string(quota_outcome outcome) -> char const*;
[[nodiscard]] auto to_string(origin_source source) -> char const*;

// Thread-safe.
class router_metrics {
public:
    static constexpr auto max_named_accounts = std::size_t{20};
    // The label of the accounts without a name of their own.
    static constexpr auto const* other_accounts = "other";

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
    // Counts a request that resumes a stream, and whether the version of the stream was found.
    auto count_origin(origin_source source, bool known) -> void;
    // Sets the number of streams whose version is not in the registry yet.
    auto set_unrecorded_streams(std::size_t count) -> void;
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

    // Counts a request of an account under its name. The caller must bound the number of accounts
    // that have a name at the same time. An account with the label of the others has none.
    auto count_account_request(base::caller_id const& account, request_outcome outcome) -> void;
    // Counts a request of an account without a name.
    auto count_other_account_request(request_outcome outcome) -> void;
    // Drops the name of an account; what it counted is added to the others.
    auto forget_account(base::caller_id const& account) -> void;
    // Counts a question to the host that keeps quotas, or to another keeper.
    auto count_quota_question(quota_outcome outcome) -> void;
    // Sets the time since the configuration in force was known to be the newest one; nothing if it
    // never was.
    auto set_configuration_age(std::optional<base::duration> age) -> void;

    // Counts a request that was handled by a configuration that wasn't known to be the newest one.
    auto count_unconfirmed() -> void;

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
    prometheus::Family<prometheus::Counter>* origins;
    prometheus::Gauge* unrecorded_streams;
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
    prometheus::Family<prometheus::Counter>* account_requests;
    prometheus::Family<prometheus::Counter>* quota_questions;
    prometheus::Gauge* configuration_age;
    prometheus::Counter* unconfirmed;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_ROUTER_METRICS_H_

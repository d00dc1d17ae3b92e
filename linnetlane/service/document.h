// A service document: the configuration of a service, edited by its team.
//
// The text form is TOML (`parse.h`); the platform stores one document per service, each with a
// generation that only increases.

#ifndef LINNETLANE_SERVICE_DOCUMENT_H_
#define LINNETLANE_SERVICE_DOCUMENT_H_

#include <string>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::service {

// A model service has prefill and decode engines; a plain one has interchangeable instances.
enum class service_kind { model, plain };

// The role of an upstream.
enum class upstream_role { prefill, decode, plain };

// One back end of the service.
struct upstream {
    base::upstream_id id;
    base::data_centre_id data_centre;
    upstream_role role = upstream_role::plain;
    base::endpoint address;
    // Draining: receives no new work, and requests that are running finish normally.
    bool leaving = false;
    // Whether the engine refuses an order that carries an old fencing number.
    bool checks_fencing = false;

    friend auto operator==(upstream const&, upstream const&) -> bool = default;
};

// Capacity of one engine of a model service; initial values of the learned estimates.
struct engine_shape {
    // Tokens in a piece of engine memory.
    base::token_count piece_size{2000};
    // Pieces of a decode engine.
    base::piece_count decode_pieces{60};
    // Requests that a decode engine runs concurrently.
    std::int64_t decode_slots = 20;
    // Prompt tokens per second of one prefill engine.
    base::token_rate prefill_rate{20000};
    // Output tokens per second of one request on a decode engine that is full.
    base::token_rate decode_rate{30};
    // Bytes per second of the link into one decode engine.
    base::byte_count link_rate{10'000'000'000};
    // Bytes of KV cache per token.
    base::byte_count kv_bytes_per_token{100'000};
    // How long a prefill engine keeps a result for export.
    base::duration result_kept = std::chrono::milliseconds{800};

    friend auto operator==(engine_shape const&, engine_shape const&) -> bool = default;
};

// Latency targets of the service.
struct targets {
    // From arrival to the first token.
    base::duration first_token = std::chrono::milliseconds{1800};
    // Between two tokens.
    base::duration between_tokens = std::chrono::milliseconds{40};
    // From arrival to the end of the answer of an interactive request.
    base::duration whole_answer = std::chrono::seconds{120};
    // From arrival to the first token of a batch request.
    base::duration batch_first_token = std::chrono::minutes{10};

    friend auto operator==(targets const&, targets const&) -> bool = default;
};

// Trade-offs between competing goals.
struct policy {
    // 0 weighs goodput only, 1 weighs wasted prefill only.
    base::fraction waste_weight{0.5};
    // Maximum rate of retries, as a share of the rate of accepted requests.
    base::fraction retry_share{0.1};
    // Whether a full data centre may send requests to a reachable other one.
    bool spill = true;
    // The output bound of a request that specifies none.
    base::token_count default_output_bound{512};

    friend auto operator==(policy const&, policy const&) -> bool = default;
};

// An account that may call the service.
struct caller {
    base::caller_id id;
    // SHA-256 of the account's key, 64 hexadecimal digits. Empty: no key is required.
    std::string key_hash;
    // The account's fair-share weight when the service is overloaded, relative to the others'.
    double share = 1;
    // The class of its requests that specify none.
    base::priority_class priority = base::priority_class::interactive;

    friend auto operator==(caller const&, caller const&) -> bool = default;
};

// The desired state of the engines; orders are derived from it.
struct deployment {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    // Bounds on the number of decode engines in each data centre when pools are resized by
    // pressure; 0 and 0 keep the roles that the document names.
    std::int64_t least_decode = 0;
    std::int64_t most_decode = 0;
    // Weight loads per second that the weight store allows, over all engines.
    double weight_loads_per_second = 0.2;

    friend auto operator==(deployment const&, deployment const&) -> bool = default;
};

// A whole service document.
struct document {
    base::service_id id;
    base::generation generation;
    service_kind kind = service_kind::plain;
    // A tombstone: the service was removed at this generation.
    bool removed = false;
    // HTTP path prefix under which callers reach a plain service, such as "/jobs/".
    std::string route;
    // Whether calls with methods other than GET and HEAD may be repeated if they do not specify it.
    bool repeatable_by_default = false;
    engine_shape shape;
    service::targets targets;
    service::policy policy;
    service::deployment deployment;
    std::vector<caller> callers;
    std::vector<upstream> upstreams;

    friend auto operator==(document const&, document const&) -> bool = default;
};

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_DOCUMENT_H_

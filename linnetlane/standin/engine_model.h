// A simulation of a language model engine: prefill whose results are kept for a limited time,
// decode memory allocated in pieces, a batch that decodes in steps, KV cache import over a link, a
// prefix cache and orders. It does no I/O and reads no clock; `advance` returns its events as
// notices.
//
//   auto engine = engine_model{engine_settings{}};
//   auto const job = engine.submit_decode(decode_request{...}, now);
//   for (auto const& notice : engine.advance(now)) { ... }
//   wait_until(engine.next_due());

#ifndef LINNETLANE_STANDIN_ENGINE_MODEL_H_
#define LINNETLANE_STANDIN_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/standin/prefix_cache.h"

namespace linnetlane::standin {

enum class engine_role { prefill, decode };

// Identifies one request at one engine. A later request under the same request id gets another
// number.
using job_number = base::basic_number<struct job_tag>;

struct engine_settings {
    engine_role role = engine_role::decode;
    base::token_count piece_size{2000};
    base::piece_count pieces{60};
    // Maximum number of decode requests that run at once.
    std::int64_t slots = 20;
    base::token_rate prefill_rate{20'000};
    // A decode step takes `base_interval` plus `interval_per_running` for each running request.
    base::duration base_interval = std::chrono::milliseconds{20};
    base::duration interval_per_running = std::chrono::microseconds{600};
    // Import bandwidth in bytes per second.
    base::byte_count link_rate{10'000'000'000};
    base::byte_count kv_bytes_per_token{100'000};
    // How long a prefill result is kept.
    base::duration result_kept = std::chrono::milliseconds{800};
    // Age of the load that the engine reports.
    base::duration load_lag = std::chrono::milliseconds{500};
    // Time to load a model; new requests are refused meanwhile.
    base::duration model_load = std::chrono::seconds{2};
    cache_settings cache;
    // Whether orders with a lower fencing number than the last accepted one are refused.
    bool checks_fencing = false;
};

// Returns `settings` for an engine that runs `speed` times as fast.
[[nodiscard]] auto scaled(engine_settings settings, double speed) -> engine_settings;

struct prefill_request {
    std::string request_id;
    // Lower values run first; equal ones run in order of arrival.
    std::int64_t priority = 0;
    base::token_count prompt;
    std::vector<base::prefix_hash> prefixes{};
};

struct decode_request {
    std::string request_id;
    std::int64_t priority = 0;
    base::token_count prompt;
    std::vector<base::prefix_hash> prefixes{};
    // Memory is reserved for the prompt and this many output tokens.
    base::token_count output_bound;
    // Offsets of the first token to produce and of the end of the answer.
    std::int64_t begin = 0;
    std::int64_t end = 0;
    // Whether the KV cache is imported. Otherwise the engine prefills the tokens that are not in
    // its prefix cache.
    bool imports = false;
};

enum class decode_refusal { too_large };
enum class job_failure { kv_missing };

// ---- Notices ----

struct prefill_done {
    job_number job;
    base::token_count prompt;
    base::token_count cached;
};
// Memory is reserved: the caller asks the prefill engine for the result, then calls `begin_import`.
struct import_requested {
    job_number job;
};
// The transfer is complete: the caller confirms it with the prefill engine, then calls
// `finish_import`.
struct transfer_finished {
    job_number job;
};
struct token_produced {
    job_number job;
    std::int64_t offset = 0;
    bool last = false;
};
struct job_failed {
    job_number job;
    job_failure reason = job_failure::kv_missing;
};

using engine_notice =
    std::variant<prefill_done, import_requested, transfer_finished, token_produced, job_failed>;

[[nodiscard]] auto job_of(engine_notice const& notice) -> job_number;

// ---- Reports ----

struct engine_load {
    base::piece_count pieces_used;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    base::token_count waiting_tokens;
    bool leaving = false;

    friend auto operator==(engine_load const&, engine_load const&) -> bool = default;
};

// What an abort released.
struct abort_result {
    std::vector<job_number> jobs{};
    base::piece_count pieces;
    // Number of kept prefill results that were dropped.
    std::int64_t results = 0;
};

struct run_count {
    std::int64_t prefill = 0;
    std::int64_t decode = 0;
};

struct engine_stats {
    // Prompt tokens computed by prefill. Each is counted once more as imported, expired or
    // cancelled, unless its result is still kept.
    base::token_count prefilled;
    base::token_count imported;
    base::token_count expired;
    base::token_count cancelled;
    // Prompt tokens found in the prefix cache and not computed.
    base::token_count from_cache;
    // Prompt tokens computed by a decode engine that imported no KV cache.
    base::token_count local_prefilled;
    base::token_count produced;
    // Decode requests that waited in the engine for memory or a slot.
    std::int64_t over_grant_waits = 0;
    std::int64_t imports_failed = 0;
    std::map<std::string, run_count> runs{};
};

// ---- Orders ----

struct engine_order {
    std::string kind;
    std::string argument;
    std::string version;
    std::uint64_t fencing = 0;
};

enum class order_outcome { done, old_fencing, unknown_order };

struct engine_state {
    engine_role role = engine_role::decode;
    std::string model;
    std::string version;
    std::set<std::string> adapters{};
    std::uint64_t fencing = 0;
    std::int64_t orders_done = 0;
    // New requests are refused until this time.
    base::time_point loading_until;
    bool leaving = false;
};

// Thread-compatible. Times passed in must not decrease.
class engine_model {
public:
    explicit engine_model(engine_settings const& settings);

    auto submit_prefill(prefill_request const& request, base::time_point now) -> job_number;
    auto submit_decode(decode_request const& request, base::time_point now)
        -> base::result<job_number, decode_refusal>;

    // Starts the transfer if the prefill engine `found` the result; otherwise the job fails.
    auto begin_import(job_number job, bool found, base::time_point now) -> void;
    // Starts decoding if the prefill engine still `kept` the result; otherwise the job fails.
    auto finish_import(job_number job, bool kept, base::time_point now) -> void;

    // The number of prompt tokens of a prefill result; nothing if it is no longer kept.
    [[nodiscard]] auto export_begin(job_number job, base::time_point now)
        -> std::optional<base::token_count>;
    // Frees a prefill result after its transfer. Returns false if it was no longer kept.
    auto export_done(job_number job, base::time_point now) -> bool;

    // Cancels one job. Idempotent.
    auto cancel(job_number job, base::time_point now) -> void;
    // Cancels all jobs of a request and drops its kept results. Idempotent.
    auto abort(std::string const& request_id, base::time_point now) -> abort_result;
    // Discards all work, as a crash of the process does; the statistics remain.
    auto drop_all(base::time_point now) -> void;

    // Runs until `now` and returns the notices since the last call.
    auto advance(base::time_point now) -> std::vector<engine_notice>;
    // The next time at which `advance` has work to do; nothing if there is none.
    [[nodiscard]] auto next_due() const -> std::optional<base::time_point>;

    auto execute_order(engine_order const& wanted, base::time_point now) -> order_outcome;

    // The load as it was `load_lag` ago.
    [[nodiscard]] auto reported_load(base::time_point now) -> engine_load;
    [[nodiscard]] auto actual_load() const -> engine_load;
    // Pieces of decode memory by request id.
    [[nodiscard]] auto held() const -> std::map<std::string, base::piece_count>;
    // Prompt tokens computed for the results that are kept.
    [[nodiscard]] auto kept_tokens() const -> base::token_count;
    [[nodiscard]] auto stats() const -> engine_stats const&;
    [[nodiscard]] auto state() const -> engine_state const&;
    [[nodiscard]] auto cache() const -> prefix_cache const&;

    auto set_leaving(bool leaving, base::time_point now) -> void;
    // Work that starts from now on takes `factor` times as long.
    auto set_slowdown(double factor) -> void;
    // While set, no transfer completes; clearing it restarts the stalled transfers.
    auto set_transfer_stall(bool stalled, base::time_point now) -> void;

private:
    // Sort key of a queue: by priority, then by arrival.
    struct queue_key {
        std::int64_t priority = 0;
        job_number job;
        friend auto operator<(queue_key const& left, queue_key const& right) -> bool {
            return std::tie(left.priority, left.job.value) <
                   std::tie(right.priority, right.job.value);
        }
    };
    struct prefill_run {
        job_number job;
        base::token_count computed;
        base::token_count cached;
        base::time_point started;
        base::time_point done_at;
    };
    struct kept_result {
        std::string request_id;
        base::token_count prompt;
        base::token_count computed;
        base::time_point kept_until;
    };
    enum class stage { waiting, requesting, transferring, confirming, prefilling, running };
    struct decode_job {
        decode_request request;
        stage at = stage::waiting;
        base::piece_count pieces;
        std::int64_t next_offset = 0;
        // When the current stage ends, if its end is scheduled.
        std::optional<base::time_point> due;
    };
    struct load_sample {
        base::time_point at;
        engine_load load;
    };

    [[nodiscard]] auto prefill_time(base::token_count tokens) const -> base::duration;
    [[nodiscard]] auto step_time() const -> base::duration;
    auto run_due(base::time_point at) -> void;
    auto start_prefill(base::time_point at) -> void;
    auto finish_prefill(base::time_point at) -> void;
    auto expire_results(base::time_point at) -> void;
    auto cancel_prefill(job_number job, base::time_point now) -> void;
    auto admit_waiting(base::time_point at) -> void;
    auto fits(decode_job const& job) const -> bool;
    auto start_decode(job_number number, decode_job& job, base::time_point at) -> void;
    auto begin_transfer(decode_job& job, base::time_point at) -> void;
    auto start_running(decode_job& job, base::time_point at) -> void;
    auto advance_stage(job_number number, decode_job& job, base::time_point at) -> void;
    auto produce_tokens(base::time_point at) -> void;
    auto end_decode(job_number job, base::time_point now) -> void;
    auto record_load(base::time_point now) -> void;

    engine_settings settings;
    engine_state current_state;
    prefix_cache prefixes;
    double slowdown = 1;
    bool transfers_stalled = false;
    job_number next_job{1};

    std::map<job_number, prefill_request> prefills;
    std::set<queue_key> prefill_queue;
    std::optional<prefill_run> prefilling;
    std::map<job_number, kept_result> kept;

    std::map<job_number, decode_job> decodes;
    std::set<queue_key> decode_queue;
    base::piece_count pieces_used;
    std::int64_t slots_used = 0;
    std::int64_t running = 0;
    std::optional<base::time_point> step_due;
    base::time_point link_free_at;
    base::time_point local_prefill_free_at;

    std::vector<engine_notice> notices;
    std::deque<load_sample> loads;
    engine_stats counts;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_ENGINE_MODEL_H_

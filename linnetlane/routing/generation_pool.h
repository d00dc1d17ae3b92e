// Ranks the engines of a service for a generation: the decode engines to ask for a reservation and
// the prefill engine for the prompt.
//
// The reservation at the engine decides whether there is enough memory. The pool only chooses which
// engines to ask, from the requests of this host and the recent answers of the engines. Therefore
// no state has to be rebuilt after a restart, and two hosts can't reserve the same memory.

#ifndef LINNETLANE_ROUTING_GENERATION_POOL_H_
#define LINNETLANE_ROUTING_GENERATION_POOL_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/data_centre_reachability.h"
#include "linnetlane/routing/load_report.h"
#include "linnetlane/routing/prefill_speed.h"
#include "linnetlane/routing/upstream_health.h"
#include "linnetlane/routing/upstream_pauses.h"
#include "linnetlane/routing/upstream_set.h"

namespace linnetlane::routing {

// The size of a generation as stated by the caller.
struct generation_size {
    base::token_count prompt;
    // The limit on the tokens to generate.
    base::token_count max_output;
    // The caller's estimate of the tokens that will be generated.
    std::optional<base::token_count> expected_output;
};

// Returns the expected length of an answer in tokens. Estimates of callers are right at the median
// but often far off. The geometric mean of the estimate and the median length of answers has a
// smaller error than either.
[[nodiscard]] auto expected_output(generation_size const& size) -> double;

// Returns the memory to reserve for a generation whose answer may be `margin` times as long as
// expected, up to its limit. An engine may preempt an answer that outgrows its reservation and
// prefill it again.
[[nodiscard]] auto memory_to_reserve(generation_size const& size, double margin)
    -> base::token_count;

// Not thread-safe; must be used on one worker only. There is one instance for each service with
// engines.
class generation_pool {
public:
    // The median length of an answer as a fraction of its limit.
    static constexpr auto median_output_fraction = 0.48;
    // How long an engine without enough free memory is ranked last.
    static constexpr auto full_cooldown = std::chrono::milliseconds{150};
    // How long an engine is ranked last after another process answered at its address, or the
    // engine turned out to have another stage. The registry reports the change within one or two
    // heartbeats.
    static constexpr auto replaced_cooldown = std::chrono::seconds{2};
    // How long a prefill that timed out counts as evidence of a long queue.
    static constexpr auto prefill_timeout_validity = std::chrono::milliseconds{300};
    // Load reports of engines expire after this time.
    static constexpr auto load_report_validity = std::chrono::milliseconds{800};

    // `shared_reachability` must outlive the pool.
    explicit generation_pool(data_centre_reachability& shared_reachability)
        : reachability{&shared_reachability} {}
    // Keeps to the limits in `shared`, which must outlive the pool.
    auto set_rate_limits(upstream_rate_limits const& shared) -> void {
        this->pauses.set_rate_limits(shared);
    }

    // Replaces the engines of the service. Ignores records without a stage.
    auto set_members(std::vector<upstream_record> const& records) -> void;
    // Drops the load and health of an engine that has restarted.
    auto forget(base::upstream_id const& id) -> void {
        this->members.erase(id);
        this->pauses.forget(id);
    }
    // Records that an engine wants nothing from this host until `until`. It is no candidate before.
    auto note_pause(base::upstream_id const& id, base::time_point until, base::time_point now)
        -> void {
        this->pauses.note(id, until, now);
    }
    // Returns whether nothing may be sent to the engine because of a pause or its rate limit.
    [[nodiscard]] auto is_blocked(base::upstream_id const& id, base::time_point now) const -> bool {
        return this->pauses.is_blocked(id, now);
    }
    [[nodiscard]] auto is_paused(base::upstream_id const& id, base::time_point now) const -> bool {
        return this->pauses.is_paused(id, now);
    }
    // Returns how much longer no engine of a stage takes a request of this host, because of pauses
    // and rate limits; zero if each stage has one that does, or none at all.
    [[nodiscard]] auto paused_for(base::time_point now) const -> base::duration;

    // Returns at most `limit` decode engines to ask for a reservation, the best first. `draw` from
    // [0, 1) varies the order of engines with similar load. A stream that has begun may go on only
    // at the software version that began it; if `required` is set, only engines of that version are
    // returned.
    [[nodiscard]] auto decode_candidates(std::size_t limit, double draw, base::time_point now,
                                         std::optional<base::software_version> const& required =
                                             std::nullopt) const -> std::vector<base::upstream_id>;
    // Returns the prefill engine outside of `tried` that is expected to finish a prompt first, or
    // nothing if there is none. Prefers the data centre of `destination`, the decode engine that
    // receives the result, if the expected times are similar.
    [[nodiscard]] auto prefill_candidate(std::set<base::upstream_id> const& tried,
                                         base::upstream_id const& destination, double draw,
                                         base::time_point now) const
        -> std::optional<base::upstream_id>;

    // Returns the expected time until the engine that would finish it first has prefilled a prompt
    // of `prompt` tokens; zero while too little is known. Excludes the engines in `tried`.
    [[nodiscard]] auto expected_prefill_time(std::set<base::upstream_id> const& tried,
                                             base::token_count prompt, base::time_point now) const
        -> base::duration;

    // Returns the time that a prefill of `prompt` tokens takes by itself at the engines' common
    // speed; zero while that isn't known.
    [[nodiscard]] auto prefill_time(base::token_count prompt) const -> base::duration {
        return base::from_seconds(static_cast<double>(prompt.value) * this->seconds_per_token);
    }
    // Returns whether a prompt may be sent to a prefill engine now. Prompts wait at their hosts
    // rather than in a queue that is longer than the engines' reports stay valid, whose length no
    // host knows.
    [[nodiscard]] auto takes_prefill(base::token_count prompt, base::time_point now) const -> bool {
        return this->expected_prefill_time({}, prompt, now) <=
               this->prefill_time(prompt) + load_report_validity;
    }

    // Returns the prefills per second that the usable prefill engines can sustain; 0 if it is not
    // known.
    [[nodiscard]] auto prefill_rate(base::time_point now) const -> double;

    // Records that a prefill of `prompt` tokens at an engine, which began when `ahead` tokens were
    // under way there, took `took`. Call `note_load` first if the answer reported a load.
    auto note_prefill_time(base::upstream_id const& id, base::token_count prompt, double ahead,
                           base::duration took, base::time_point now) -> void;
    // The same for an engine of the common speed at the usual pace.
    auto note_prefill_time(base::token_count prompt, double ahead, base::duration took) -> void;
    // Returns how many times as long as at the engines' common speed a prefill takes at the engine,
    // without the pace of its machine; 1 while it isn't known.
    [[nodiscard]] auto prefill_slowness(base::upstream_id const& id, base::time_point now) const
        -> double;
    // Records that a whole answer took `took` from its first event on.
    auto note_decode_time(generation_size const& size, base::duration took) -> void;
    // Returns the expected time of an answer from its first event on; zero while too little is
    // known.
    [[nodiscard]] auto decode_time(generation_size const& size) const -> base::duration {
        return base::from_seconds(expected_output(size) * this->seconds_per_output_token);
    }
    // Records that an engine did not finish a prefill within `waited`, so its queue is at least as
    // long.
    auto note_prefill_timeout(base::upstream_id const& id, base::duration waited,
                              base::time_point now) -> void;
    // Returns the tokens under way at an engine, from all hosts, as far as known.
    [[nodiscard]] auto tokens_under_way(base::upstream_id const& id, base::time_point now) const
        -> double;

    // Records that an engine had too little free memory for a reservation or refused a prefill.
    auto note_full(base::upstream_id const& id, base::time_point now) -> void;
    // Records that another process, or an engine of another stage, answered at its address.
    auto note_replaced(base::upstream_id const& id, base::time_point now) -> void;
    // Record that work of `tokens` begins or ends at an engine.
    auto begin(base::upstream_id const& id, base::token_count tokens) -> void;
    auto end(base::upstream_id const& id, base::token_count tokens) -> void;
    // Records the outcome of an exchange with an engine.
    auto note_outcome(base::upstream_id const& id, exchange_outcome outcome, base::time_point now)
        -> void;
    // Records the load that an engine reported.
    auto note_load(base::upstream_id const& id, load_report const& load, base::time_point now)
        -> void;

private:
    struct member {
        engine_stage stage = engine_stage::decode;
        base::data_centre_id data_centre;
        base::software_version software;
        bool leaving = false;
        // The tokens and requests of this host that are under way at the engine.
        base::token_count under_way;
        std::size_t requests = 0;
        base::time_point full_until = base::time_point::min();
        other_hosts_load others;
        machine_pace pace;
        prefill_speed speed;
        upstream_health health;
    };

    // Returns whether the engine is to be used only if no healthy one is left.
    [[nodiscard]] auto is_last_resort(member const& one, base::time_point now) const -> bool {
        return !one.health.usable(now) || this->reachability->is_suspect(one.data_centre, now);
    }
    // Returns the tokens of a usual request; 1 before the first request, so that engines are still
    // distinguished by their request counts and the draw.
    [[nodiscard]] auto usual_tokens() const -> double {
        return this->mean_tokens > 0 ? this->mean_tokens : 1;
    }
    // Returns the load of the engine in tokens, from all hosts. An engine without a current report
    // counts as having `usual_others` requests of other hosts.
    [[nodiscard]] auto load_of(member const& one, double usual_others, base::time_point now) const
        -> double;
    // Returns the mean number of requests of other hosts at the engines of `stage` that have a
    // current report; 0 if none has one.
    [[nodiscard]] auto usual_others(engine_stage stage, base::time_point now) const -> double;

    // Returns the mean of the logarithms of the prefill times per token over the engines.
    [[nodiscard]] auto common_speed(base::time_point now) const -> double;
    // Returns how many times as long as usual work takes at the engine just now. `common` is from
    // `common_speed`.
    [[nodiscard]] auto slowdown(member const& one, double common, base::time_point now) const
        -> double;
    // Returns the load of the engine in tokens, as its slowdown makes it count. `usual_work` tokens
    // are to be added to the load.
    [[nodiscard]] auto felt_load(member const& one, double usual_others, double usual_work,
                                 double slowdown, base::time_point now) const -> double;

    data_centre_reachability* reachability;
    std::map<base::upstream_id, member> members;
    upstream_pauses pauses;
    // The moving means of tokens per request and of tokens per prompt. They convert request counts
    // of other hosts into tokens.
    double mean_tokens = 0;
    double mean_prompt = 0;
    // The prefill time per token of an engine of the common speed that isn't slowed down by other
    // work, in seconds; 0 while unknown.
    double seconds_per_token = 0;
    // The time per expected token of an answer, in seconds; 0 while unknown.
    double seconds_per_output_token = 0;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_GENERATION_POOL_H_

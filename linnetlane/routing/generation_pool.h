// Places generations on the engines of a service: which engines to ask for a place to decode, and
// which one reads the prompt.
//
// The engine's own reservation decides whether there is room; this pool only chooses whom to ask,
// from what this host has there and what engines answered lately. So nothing has to be rebuilt
// after a restart, and two hosts can't book the same memory.

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
#include "linnetlane/routing/upstream_health.h"
#include "linnetlane/routing/upstream_set.h"

namespace linnetlane::routing {

// What a caller says of the size of a generation.
struct generation_size {
    base::token_count prompt;
    // The most that may be generated.
    base::token_count max_output;
    // The caller's own estimate of what will be generated.
    std::optional<base::token_count> expected_output;
};

// How long an answer is expected to be. A caller's estimate is right at the median and often far
// off; the usual length of answers is known, too, and the geometric mean of both errs less than
// either.
[[nodiscard]] auto expected_output(generation_size const& size) -> double;

// The memory to reserve for a generation whose answer may be `margin` times as long as expected, up
// to its bound. An answer that outgrows its reservation may be preempted and read again.
[[nodiscard]] auto memory_to_reserve(generation_size const& size, double margin)
    -> base::token_count;

// Belongs to one worker. One for each service with engines.
class generation_pool {
public:
    // The median answer, as a share of its bound.
    static constexpr auto usual_share_of_bound = 0.48;
    // How long an engine that had no room is asked last.
    static constexpr auto full_for = std::chrono::milliseconds{150};
    // How long an engine is asked last whose address another process has, or that has another
    // stage: the registry tells within a heartbeat or two.
    static constexpr auto replaced_for = std::chrono::seconds{2};
    // After this, what an engine said of its load is too old to be of use.
    static constexpr auto load_report_validity = std::chrono::milliseconds{800};

    // `ways` outlives the pool.
    explicit generation_pool(data_centre_reach& ways) : reach{&ways} {}

    auto set_members(std::vector<upstream_record> const& records) -> void;
    auto forget(base::upstream_id const& id) -> void { this->members.erase(id); }

    // Decode engines to ask for a place, the most promising first, at most `most`.
    [[nodiscard]] auto decode_candidates(std::size_t most, double draw, base::time_point now) const
        -> std::vector<base::upstream_id>;
    // The prefill engine outside of `tried` where a prompt is read soonest; one in the data centre
    // of `destination`, to which the result goes, if it is nearly as good.
    [[nodiscard]] auto prefill_candidate(std::set<base::upstream_id> const& tried,
                                         base::upstream_id const& destination, double draw,
                                         base::time_point now) const
        -> std::optional<base::upstream_id>;

    // An engine had no room for a reservation, or refused a prefill.
    auto note_full(base::upstream_id const& id, base::time_point now) -> void;
    // Another process answered at its address, or one of another stage.
    auto note_replaced(base::upstream_id const& id, base::time_point now) -> void;
    // Work of `tokens` begins and ends at an engine.
    auto begin(base::upstream_id const& id, base::token_count tokens) -> void;
    auto end(base::upstream_id const& id, base::token_count tokens) -> void;
    auto note_outcome(base::upstream_id const& id, exchange_outcome outcome, base::time_point now)
        -> void;
    auto note_load(base::upstream_id const& id, load_report const& load, base::time_point now)
        -> void;

private:
    struct member {
        engine_stage stage = engine_stage::decode;
        base::data_centre_id data_centre;
        bool leaving = false;
        base::token_count under_way;
        std::size_t requests = 0;
        base::time_point full_until = base::time_point::min();
        load_of_others others;
        upstream_health health;
    };

    // Whether to ask it only when nothing better is left.
    [[nodiscard]] auto doubtful(member const& one, base::time_point now) const -> bool {
        return !one.health.usable(now) || this->reach->doubted(one.data_centre, now);
    }
    [[nodiscard]] auto load_of(member const& one, base::time_point now) const -> double;

    data_centre_reach* reach;
    std::map<base::upstream_id, member> members;
    // Tokens of a usual request, to weigh requests of other hosts.
    double usual_tokens = 0;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_GENERATION_POOL_H_

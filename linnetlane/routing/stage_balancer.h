// How many of a service's engines read prompts and how many decode, and the order that brings the
// pools closer to it.
//
// A prompt is read in a tenth of a second and its answer is decoded for seconds, so decode memory
// is what runs out. A stage change takes longer than a burst lasts: the split follows the usual
// peak, and changes only for a lack that stays.

#ifndef LINNETLANE_ROUTING_STAGE_BALANCER_H_
#define LINNETLANE_ROUTING_STAGE_BALANCER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/upstream_set.h"

namespace linnetlane::routing {

// A change of one engine's stage.
struct stage_change {
    base::upstream_id engine;
    engine_stage to = engine_stage::decode;

    friend auto operator==(stage_change const&, stage_change const&) -> bool = default;
};

// Belongs to one worker. One for each service with engines; only the host that holds the right to
// give orders asks it.
class stage_split {
public:
    // How long a lack or a surplus of prefill engines has to last: crashed engines are usually back
    // before a change would be complete.
    static constexpr auto patience = std::chrono::seconds{6};

    // Until `start_ends`, before callers come, surplus engines are changed at once.
    stage_split(base::fraction prefill_share, base::time_point start_ends)
        : share(prefill_share), eager_until(start_ends) {}

    // The change to order next, if any. `engines` are all that are registered for the service.
    [[nodiscard]] auto next_change(std::vector<upstream_record> engines, base::time_point now)
        -> std::optional<stage_change>;
    // `change` was ordered; until `settled_by` the engine counts as changed, whatever its record
    // says.
    auto note_ordered(stage_change const& change, base::time_point settled_by) -> void;
    // Prefill engines wanted among `engines`: the share, rounded to the nearest, at least one and
    // leaving one to decode.
    [[nodiscard]] static auto wanted_prefill(std::size_t engines, base::fraction share)
        -> std::size_t;

private:
    struct pending {
        stage_change change;
        base::time_point settled_by;
    };

    auto apply_pending(std::vector<upstream_record>& engines, base::time_point now) -> void;

    // Whether the state that began at `since`, or begins now, has lasted for `patience`.
    [[nodiscard]] static auto lasted(std::optional<base::time_point>& since, base::time_point now)
        -> bool;

    base::fraction share;
    base::time_point eager_until;
    std::vector<pending> ordered;
    std::optional<base::time_point> lacking_since;
    std::optional<base::time_point> surplus_since;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_STAGE_BALANCER_H_

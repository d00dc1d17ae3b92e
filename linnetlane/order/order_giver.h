// Brings the engines of a service to run what its document states.
//
// While it holds the lease, the giver looks at each engine, and where an engine doesn't run what it
// should, drains it, waits until nothing runs there, writes under its lease, and gives one order.
// It looks again until the order is carried out, and then gives the engine work again. An engine
// that doesn't check fencing numbers gets no order until all that an earlier giver may have sent
// has arrived.
//
//   auto orders = giver{service, limits{}, "bne-north-1/1730000000000"};
//   orders.handle(configure{deployment, upstreams}, now);
//   auto const commands = orders.handle(candidate_changed{true}, now);

#ifndef LINNETLANE_ORDER_ORDER_GIVER_H_
#define LINNETLANE_ORDER_ORDER_GIVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/order/lease_holder.h"
#include "linnetlane/order/limits.h"
#include "linnetlane/order/messages.h"
#include "linnetlane/order/order_giver_state.h"
#include "linnetlane/order/pool_sizer.h"
#include "linnetlane/service/document.h"

namespace linnetlane::order {

// Thread-compatible.
class order_giver {
public:
    // `writer` is unique for this host's incarnation.
    order_giver(base::service_id service, limits bounds, std::string writer);

    auto handle(event const& happened, base::time_point now) -> std::vector<command>;
    // When `tick` is due at the latest.
    [[nodiscard]] auto next_deadline() const -> base::time_point;
    [[nodiscard]] auto holds_lease(base::time_point now) const -> bool {
        return this->lease.is_held(now);
    }

private:
    // What the giver waits for with an engine.
    enum class stage {
        // The time of the next look.
        resting,
        // The answer to a look.
        reading,
        // The write that precedes a drain, or an order.
        writing_drain,
        writing_order,
        // The answer to an order.
        ordering,
    };
    struct engine {
        service::upstream described;
        order_giver::stage stage = stage::resting;
        std::optional<engine_setup> known;
        bool drained = false;
        bool drain_in_force = false;
        // Whether the write under way covers the stage.
        bool in_write = false;
        // What the order under way, or being prepared, is for.
        engine_setup ordered;
        order_number pending;
        std::int64_t orders_without_success = 0;
        base::time_point next_look;
        base::time_point order_deadline;
        // No order may be given before.
        base::time_point quiet_until;
    };

    auto on(configure const& notice, base::time_point now) -> void;
    auto on(candidate_changed const& notice, base::time_point now) -> void;
    auto on(pressure_measured const& notice, base::time_point now) -> void;
    auto on(engine_read const& notice, base::time_point now) -> void;
    auto on(order_answered const& notice, base::time_point now) -> void;
    auto on(engine_unreadable const& notice, base::time_point now) -> void;
    auto on(drain_in_force const& notice, base::time_point now) -> void;
    auto on(store_answered const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;

    auto take_over(base::time_point now) -> void;
    auto step_down() -> void;
    [[nodiscard]] auto old_orders_last(engine const& each) const -> base::duration;
    auto run_due(base::time_point now) -> void;
    auto look_at(engine& each) -> void;
    auto decide(engine& each, std::int64_t running, base::time_point now) -> void;
    auto finish(engine& each, base::time_point now) -> void;
    auto begin_drain(engine& each, base::time_point now) -> void;
    auto prepare_order(engine& each, base::time_point now) -> void;
    auto on_written(base::time_point now) -> void;
    auto send_order(engine& each, base::time_point now) -> void;
    auto write_if_needed() -> void;
    auto rest(engine& each, base::time_point until) -> void;
    auto find(base::upstream_id const& upstream, order_number order, stage expected) -> engine*;
    auto next_order() -> order_number;

    [[nodiscard]] auto wanted_setup(engine const& each) const -> engine_setup;
    [[nodiscard]] auto wanted_role(engine const& each) const -> service::upstream_role;
    [[nodiscard]] auto wanted_decode(base::data_centre_id const& data_centre) const -> std::int64_t;
    [[nodiscard]] auto changes_under_way() const -> std::size_t;
    [[nodiscard]] auto most_changes() const -> std::size_t;

    limits bounds;
    lease_holder lease;
    service::deployment deployment;
    std::map<base::upstream_id, engine> engines;
    std::map<base::data_centre_id, pool_sizer> sizers;
    order_giver_state state;
    bool state_changed = false;
    bool holds = false;
    order_number last_order;
    base::time_point next_load;
    std::vector<command> out;
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_ORDER_GIVER_H_

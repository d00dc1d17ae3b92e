// Reconciles the engines of a service with the setup that its document declares.
//
// While it holds the lease, the order giver polls each engine. If an engine doesn't run the desired
// setup, the order giver drains it, waits until no request runs there, writes to the platform under
// its lease, and sends one order. It polls until the order is carried out and then ends the drain.
// An engine that doesn't check fencing numbers gets no order until every order that an earlier
// order giver may have sent has arrived.
//
//   auto orders = order_giver{service, limits{}, "bne-north-1/1730000000000"};
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
    // `writer` identifies this host's incarnation and is unique to it.
    order_giver(base::service_id service, limits bounds, std::string writer);

    auto handle(event const& happened, base::time_point now) -> std::vector<command>;
    // The latest time at which the caller must pass in a `tick`.
    [[nodiscard]] auto next_deadline() const -> base::time_point;
    [[nodiscard]] auto holds_lease(base::time_point now) const -> bool {
        return this->lease.is_held(now);
    }

private:
    // What the order giver waits for before the engine's next step.
    enum class stage {
        // The time of the next poll.
        waiting,
        // The answer to a poll.
        reading,
        // The write to the platform that precedes a drain or an order.
        writing_drain,
        writing_order,
        // The answer to an order.
        ordering,
    };
    struct engine {
        // As the document declares it.
        service::upstream declared;
        order_giver::stage stage = stage::waiting;
        // As the engine last reported it.
        std::optional<engine_setup> reported;
        // Whether the request to drain the engine is recorded; requests may still run.
        bool drain_requested = false;
        // Whether all hosts apply the drain.
        bool drain_in_force = false;
        // Whether the write in progress is the one that `stage` waits for.
        bool awaits_current_write = false;
        // The setup in the order that is being prepared or carried out.
        engine_setup ordered_setup;
        // The number of the last status read or order.
        order_number pending_call;
        std::int64_t orders_without_success = 0;
        base::time_point next_poll;
        base::time_point order_deadline;
        // Orders of an earlier order giver, or an unanswered one, may arrive until then.
        base::time_point no_order_before;
    };

    auto on(configuration_changed const& notice, base::time_point now) -> void;
    auto on(candidate_changed const& notice, base::time_point now) -> void;
    auto on(pressure_measured const& notice, base::time_point now) -> void;
    auto on(engine_read const& notice, base::time_point now) -> void;
    auto on(order_answered const& notice, base::time_point now) -> void;
    auto on(engine_unreadable const& notice, base::time_point now) -> void;
    auto on(drain_in_force const& notice, base::time_point now) -> void;
    auto on(store_answered const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;

    // Starts and stops work as the holder of the lease.
    auto take_over(base::time_point now) -> void;
    auto step_down() -> void;
    [[nodiscard]] auto stale_order_window(engine const& each) const -> base::duration;
    auto run_due(base::time_point now) -> void;
    auto poll_engine(engine& each) -> void;
    auto reconcile(engine& each, std::int64_t running, base::time_point now) -> void;
    auto complete_change(engine& each, base::time_point now) -> void;
    auto begin_drain(engine& each, base::time_point now) -> void;
    auto prepare_order(engine& each, base::time_point now) -> void;
    auto on_written(base::time_point now) -> void;
    auto send_order(engine& each, base::time_point now) -> void;
    auto write_state_if_changed() -> void;
    auto wait_until(engine& each, base::time_point until) -> void;
    // The engine that waits in stage `expected` for the answer to `order`; null if there is none.
    auto find_awaiting(base::upstream_id const& upstream, order_number order, stage expected)
        -> engine*;
    auto next_call_number() -> order_number;

    [[nodiscard]] auto desired_setup(engine const& each) const -> engine_setup;
    [[nodiscard]] auto desired_role(engine const& each) const -> service::upstream_role;
    [[nodiscard]] auto desired_decode(base::data_centre_id const& data_centre) const
        -> std::int64_t;
    [[nodiscard]] auto drains_in_progress() const -> std::size_t;
    [[nodiscard]] auto max_concurrent_drains() const -> std::size_t;

    limits bounds;
    lease_holder lease;
    service::deployment deployment;
    std::map<base::upstream_id, engine> engines;
    std::map<base::data_centre_id, pool_sizer> sizers;
    order_giver_state state;
    bool state_changed = false;
    bool holding_lease = false;
    order_number last_call;
    // When the rate of the weight store admits the next load.
    base::time_point next_weight_load;
    std::vector<command> out;
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_ORDER_GIVER_H_

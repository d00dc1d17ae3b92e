// Takes, keeps and gives up the platform lease of a giver of orders.
//
// The lease counts from the moment a call was sent, not from its answer, so it ends here before it
// ends in the platform, and a giver that was paused finds it ended.

#ifndef LINNETLANE_ORDER_LEASE_HOLDER_H_
#define LINNETLANE_ORDER_LEASE_HOLDER_H_

#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/coordination/store.h"
#include "linnetlane/order/limits.h"
#include "linnetlane/order/messages.h"
#include "linnetlane/order/order_giver_state.h"

namespace linnetlane::order {

// What an answer meant for the lease.
enum class lease_news {
    // It was not an answer to the lease's calls.
    not_ours,
    none,
    // The lease is held now, and the state of the giver before was read.
    taken,
    // What `write` wrote is in the platform.
    written,
    // The lease is not held any more.
    lost,
};

// Thread-compatible.
class lease_holder {
public:
    // `writer` is unique for this host's incarnation.
    lease_holder(base::service_id service, limits bounds, std::string writer);

    auto set_candidate(bool wanted, base::time_point now, std::vector<command>& out) -> void;
    auto handle(coordination::store_answer const& answer, base::time_point now,
                std::vector<command>& out) -> lease_news;
    // Whether the lease is still held; begins what is due.
    auto run_due(base::time_point now, std::vector<command>& out) -> bool;
    // Writes `state` under the lease; one write at a time, and only while the lease is held.
    auto write(order_giver_state const& state, std::vector<command>& out) -> void;
    // Lets the lease go, so that another may take it.
    auto release(base::time_point now, std::vector<command>& out) -> void;

    [[nodiscard]] auto is_held(base::time_point now) const -> bool;
    [[nodiscard]] auto is_writing() const -> bool { return this->writing.has_value(); }
    [[nodiscard]] auto deadline() const -> base::time_point { return this->ends_at; }
    // Of the last write under the lease.
    [[nodiscard]] auto fencing() const -> base::fencing_number;
    // What the giver before left.
    [[nodiscard]] auto inherited() const -> order_giver_state const& { return this->found_state; }
    [[nodiscard]] auto next_deadline() const -> base::time_point;

private:
    enum class stage { idle, granting, reading, swapping, held };

    template <typename Call>
    auto call(Call wanted, std::vector<command>& out) -> coordination::call_number;
    auto begin(base::time_point now, std::vector<command>& out) -> void;
    auto swap_key(coordination::revision expected, std::vector<coordination::extra_write> extra,
                  std::vector<command>& out) -> coordination::call_number;
    auto on_step(coordination::store_answer const& answer, base::time_point now,
                 std::vector<command>& out) -> lease_news;
    auto on_kept(coordination::store_answer const& answer, base::time_point now,
                 std::vector<command>& out) -> lease_news;
    auto on_written(coordination::store_answer const& answer, base::time_point now,
                    std::vector<command>& out) -> lease_news;

    base::service_id service;
    limits bounds;
    std::string writer_name;
    bool candidate = false;
    lease_holder::stage stage = stage::idle;
    coordination::call_number last_call;
    coordination::call_number step;
    std::optional<coordination::call_number> keeping;
    std::optional<coordination::call_number> writing;
    coordination::lease_number lease;
    coordination::revision modified;
    order_giver_state found_state;
    base::time_point asked_at;
    base::time_point kept_at;
    base::time_point ends_at;
    base::time_point next_try;
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_LEASE_HOLDER_H_

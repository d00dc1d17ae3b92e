// Acquires, renews and releases the platform lease of an order giver.
//
// The lease is counted from the time at which a call was sent, not from its answer. It therefore
// expires here before it expires in the platform, and an order giver that resumes after a pause
// sees that its lease has expired.

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

// What an answer changed about the lease.
enum class lease_change {
    // The answer belongs to no call of the lease holder.
    unrelated,
    unchanged,
    // The lease is held now, and the predecessor's state was read.
    acquired,
    // The state passed to `write` is stored in the platform.
    written,
    // The lease is no longer held.
    lost,
};

// Thread-compatible.
class lease_holder {
public:
    // `writer` identifies this host's incarnation and is unique to it.
    lease_holder(base::service_id service, limits bounds, std::string writer);

    // Sets whether to acquire the lease; releases it once it is not wanted any more.
    auto set_candidate(bool wanted, base::time_point now, std::vector<command>& out) -> void;
    auto handle(coordination::store_answer const& answer, base::time_point now,
                std::vector<command>& out) -> lease_change;
    // Starts the calls that are due; returns whether the lease is held.
    auto run_due(base::time_point now, std::vector<command>& out) -> bool;
    // Writes `state` under the lease. Needs the lease to be held and no other write in progress.
    auto write(order_giver_state const& state, std::vector<command>& out) -> void;
    // Releases the lease, so that another host can acquire it.
    auto release(base::time_point now, std::vector<command>& out) -> void;

    [[nodiscard]] auto is_held(base::time_point now) const -> bool;
    [[nodiscard]] auto is_writing() const -> bool { return this->pending_write.has_value(); }
    [[nodiscard]] auto deadline() const -> base::time_point { return this->expires_at; }
    // The fencing number: the revision of the last write under the lease.
    [[nodiscard]] auto fencing() const -> base::fencing_number;
    // The state that the predecessor stored.
    [[nodiscard]] auto inherited() const -> order_giver_state const& {
        return this->inherited_state;
    }
    [[nodiscard]] auto next_deadline() const -> base::time_point;

private:
    // Acquiring takes three calls: the grant of a lease, the swap of the lease key, and the read of
    // the predecessor's state.
    enum class stage { idle, granting, reading, swapping, held };

    template <typename Call>
    auto call(Call wanted, std::vector<command>& out) -> coordination::call_number;
    auto begin_acquiring(base::time_point now, std::vector<command>& out) -> void;
    auto compare_and_swap_key(coordination::revision expected,
                              std::vector<coordination::extra_write> extra,
                              std::vector<command>& out) -> coordination::call_number;
    auto on_acquire_step(coordination::store_answer const& answer, base::time_point now,
                         std::vector<command>& out) -> lease_change;
    auto on_keep_alive(coordination::store_answer const& answer, base::time_point now,
                       std::vector<command>& out) -> lease_change;
    auto on_written(coordination::store_answer const& answer, base::time_point now,
                    std::vector<command>& out) -> lease_change;

    base::service_id service;
    limits bounds;
    std::string writer_name;
    bool candidate = false;
    lease_holder::stage stage = stage::idle;
    coordination::call_number last_call;
    // The call that `stage` waits for.
    coordination::call_number pending_step;
    std::optional<coordination::call_number> pending_keep_alive;
    std::optional<coordination::call_number> pending_write;
    coordination::lease_number lease;
    // Of the lease key, as last written here.
    coordination::revision last_revision;
    order_giver_state inherited_state;
    base::time_point grant_sent_at;
    base::time_point keep_alive_sent_at;
    base::time_point expires_at;
    base::time_point next_call_at;
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_LEASE_HOLDER_H_

// The requests in flight on an entry host, and the retry budget of each service.
//
// Lock order: each class has one mutex, which is never held while other code is called.

#ifndef LINNETLANE_DAEMON_ENTRY_REGISTRY_H_
#define LINNETLANE_DAEMON_ENTRY_REGISTRY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "linnetlane/base/ids.h"
#include "linnetlane/request/retry_budget.h"

namespace linnetlane::daemon {

// Thread-safe.
class request_registry {
public:
    // Ends a request immediately.
    using end_callback = std::function<void()>;

    // Adds a request that begins. Returns false and adds nothing once `close` was called.
    [[nodiscard]] auto add(base::request_id const& request, end_callback end) -> bool;
    // Removes a request that ended and holds nothing at engines or cells.
    auto remove(base::request_id const& request) -> void;
    // Rejects further requests; those in flight continue.
    auto close() -> void;
    // Ends all requests in flight.
    auto end_all() -> void;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    mutable std::mutex mutex;
    // Guarded by `mutex`.
    bool closed = false;
    // Guarded by `mutex`.
    std::unordered_map<base::request_id, end_callback> in_flight;
};

// Thread-safe.
class retry_budgets {
public:
    // Returns the budget of `service`. The reference is valid for the lifetime of this table.
    [[nodiscard]] auto of(base::service_id const& service) -> request::retry_budget&;

private:
    std::mutex mutex;
    // Guarded by `mutex`; the budgets themselves are thread-safe.
    std::unordered_map<base::service_id, std::unique_ptr<request::retry_budget>> budgets;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_REGISTRY_H_

// Runs this host's document store: makes its platform calls, exchanges versions with peers, and
// executes operators' calls.
//
// Lock order: only `membership_service::mutex` may be held when `document_service::mutex` is
// acquired. The hooks are called while it is held and must only queue work.

#ifndef LINNETLANE_DAEMON_DOCUMENT_SERVICE_H_
#define LINNETLANE_DAEMON_DOCUMENT_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/fiber/future.hpp>

#include "linnetlane/base/ids.h"
#include "linnetlane/coordination/etcd_store.h"
#include "linnetlane/daemon/ticker.h"
#include "linnetlane/document/store.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// Called while the service's mutex is held: the hooks must neither block nor call the service.
struct document_hooks {
    // Sends a message to a peer.
    std::function<void(base::host_id const&, document::peer_message const&)> send;
    // A version came into force.
    std::function<void(document::version const&)> in_force;
    // The platform holds a version that is invalid.
    std::function<void(document::invalid_document const&)> invalid;
    // All documents are known, from the platform or from a peer.
    std::function<void()> all_known;
};

// Outcomes of operators' calls.
using change_outcome = std::variant<document::applied, document::conflict, document::refused>;
using history_outcome = std::variant<document::history_read, document::refused>;

// Thread-safe. Must outlive the pool's fibers.
class document_service {
public:
    document_service(coordination::etcd_store& store, document_hooks hooks);

    // Starts the timer for the store's deadlines on `pool`.
    auto start(runtime::worker_pool& pool) -> void;
    auto handle(document::event const& event) -> void;

    // Replaces generation `replaces` of the service by `text`, or removes the service if there is
    // no `text`. Suspends the calling fiber until the outcome is known or can no longer be
    // determined.
    [[nodiscard]] auto apply(base::service_id const& service, base::generation replaces,
                             std::optional<std::string> text) -> change_outcome;
    // Reads the versions of `service` that the platform keeps. Suspends the calling fiber.
    [[nodiscard]] auto history(base::service_id const& service) -> history_outcome;

    // Whether all documents are known, from the platform or from a peer.
    [[nodiscard]] auto all_known() const -> bool;
    // Returns the digest of the versions in force on this host.
    [[nodiscard]] auto digest() const -> std::uint64_t;
    [[nodiscard]] auto versions() const -> std::vector<document::version>;

private:
    using operator_outcome = std::variant<document::applied, document::conflict, document::refused,
                                          document::history_read>;
    using outcome_promise = boost::fibers::promise<operator_outcome>;

    auto run(document::event const& event) -> void;
    auto perform(document::command const& command) -> void;
    auto call(coordination::store_call const& call) -> void;
    auto complete_call(document::apply_number number, operator_outcome const& outcome) -> void;
    // Applies the event that `make` returns for a new call number and waits for its outcome.
    template <typename Make>
    auto run_operator_call(Make make) -> operator_outcome;

    coordination::etcd_store& platform_store;
    document_hooks hooks;
    mutable std::mutex mutex;
    // Guarded by `mutex`, as are all members below.
    document::store store;
    std::map<document::apply_number, outcome_promise> pending_calls;
    document::apply_number last_number;
    std::unique_ptr<ticker> timer;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_DOCUMENT_SERVICE_H_

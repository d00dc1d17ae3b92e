// Runs this host's document store: the platform's calls, the exchange with peers, and operators'
// changes.
//
// Lock order: its mutex is taken with none but the membership's held; its hooks are called under it
// and only queue work.

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

// Called under the service's mutex: they must not block, nor call the service.
struct document_hooks {
    std::function<void(base::host_id const&, document::peer_message const&)> send;
    std::function<void(document::version const&)> in_force;
    std::function<void(document::invalid_document const&)> invalid;
    // All documents are known.
    std::function<void()> known;
};

// How an operator's call ended.
using change_outcome = std::variant<document::applied, document::conflict, document::refused>;
using history_outcome = std::variant<document::history_read, document::refused>;

// Thread-safe. Outlives the pool's fibers.
class document_service {
public:
    document_service(coordination::etcd_store& store, document_hooks hooks);

    auto start(runtime::worker_pool& pool) -> void;
    auto handle(document::event const& event) -> void;

    // Puts `text` in place of generation `replaces`, or removes the service without one. Suspends
    // the calling fiber until the outcome is known or can't be.
    [[nodiscard]] auto apply(base::service_id const& service, base::generation replaces,
                             std::optional<std::string> text) -> change_outcome;
    [[nodiscard]] auto history(base::service_id const& service) -> history_outcome;

    [[nodiscard]] auto all_known() const -> bool;
    [[nodiscard]] auto digest() const -> std::uint64_t;
    [[nodiscard]] auto versions() const -> std::vector<document::version>;

private:
    using operator_outcome = std::variant<document::applied, document::conflict, document::refused,
                                          document::history_read>;
    using waiting = boost::fibers::promise<operator_outcome>;

    auto run(document::event const& event) -> void;
    auto perform(document::command const& command) -> void;
    auto call(coordination::store_call const& call) -> void;
    auto answer(document::apply_number number, operator_outcome const& outcome) -> void;
    // Hands the event that `make` builds for a new number to the store and waits for its outcome.
    template <typename Make>
    auto ask(Make make) -> operator_outcome;

    coordination::etcd_store& platform_store;
    document_hooks hooks;
    mutable std::mutex mutex;
    // Guarded by `mutex`, with all that follows.
    document::store store;
    std::map<document::apply_number, waiting> callers;
    document::apply_number last_number;
    std::unique_ptr<ticker> clock;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_DOCUMENT_SERVICE_H_

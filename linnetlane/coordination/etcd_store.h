// The platform's key-value service over etcd's v3 JSON gateway.
//
//   auto store = etcd_store{pool, {{"10.0.0.5", 2379}}, observer};
//   store.call(read_key{{1}, "services/finding"}, [](store_answer const& answer) { ... });
//
// Callbacks run in a fiber of the pool. A watch is answered with any number of `watch_changes`
// and then `watch_ended`, unless it was stopped; `stop_watch` has no answer. Each other call has
// exactly one answer.

#ifndef LINNETLANE_COORDINATION_ETCD_STORE_H_
#define LINNETLANE_COORDINATION_ETCD_STORE_H_

#include <concepts>
#include <functional>
#include <memory>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/time.h"
#include "linnetlane/coordination/store.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::coordination {

using answer_callback = std::function<void(store_answer const&)>;

// Interface of an adapter to a key-value service; each protocol has its own adapter.
template <typename Store>
concept key_value_store = requires(Store& store, store_call const& call, answer_callback callback) {
    { store.call(call, callback) } -> std::same_as<void>;
};

// Outcome of a call, for metrics.
enum class call_outcome { answered, not_run, may_have_run };

// Called with the outcome and duration of each call that ended, except `stop_watch`. The
// duration of a watch is the time for which it was open. Must not block.
using call_observer = std::function<void(store_call const&, call_outcome, base::duration)>;

// Adapter to etcd. Thread-safe. Must outlive the pool's fibers.
class etcd_store {
public:
    // `gateways` must not be empty; if one can't be reached, the next is tried.
    etcd_store(runtime::worker_pool& pool, std::vector<base::endpoint> gateways,
               call_observer observer);

    // Starts `call` without blocking. Call numbers must be unique within one store.
    auto call(store_call const& call, answer_callback callback) -> void;

private:
    struct state;
    std::shared_ptr<state> shared;
};

static_assert(key_value_store<etcd_store>);

}  // namespace linnetlane::coordination

#endif  // LINNETLANE_COORDINATION_ETCD_STORE_H_

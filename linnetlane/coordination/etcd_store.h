// The platform's key-value service over etcd's published v3 JSON gateway.
//
//   auto store = etcd_store{pool, {{"10.0.0.5", 2379}}, counted};
//   store.call(read_key{{1}, "services/finding"}, [](store_answer const& answer) { ... });
//
// Answers come from a fiber of the pool. Each call ends in exactly one answer; a watch in any
// number of `watch_changes` and then `watch_ended`, unless it was stopped.

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

// What the daemon asks of an adapter, so that another protocol is one more adapter.
template <typename Store>
concept key_value_store = requires(Store& store, store_call const& call, answer_callback sink) {
    { store.call(call, sink) } -> std::same_as<void>;
};

// What became of a call, for metrics.
enum class call_outcome { answered, not_run, may_have_run };

// Told of each call that ended and how long it took; must not block.
using call_observer = std::function<void(store_call const&, call_outcome, base::duration)>;

// Thread-safe. Outlives the pool's fibers.
class etcd_store {
public:
    // `gateways` are tried in turn when one can't be reached; at least one.
    etcd_store(runtime::worker_pool& pool, std::vector<base::endpoint> gateways,
               call_observer counter);

    // Starts `call`; never blocks. Call numbers are unique for one store.
    auto call(store_call const& call, answer_callback sink) -> void;

private:
    struct state;
    std::shared_ptr<state> shared;
};

static_assert(key_value_store<etcd_store>);

}  // namespace linnetlane::coordination

#endif  // LINNETLANE_COORDINATION_ETCD_STORE_H_

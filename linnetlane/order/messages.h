// The events and commands of an order giver, which orders engines to load a model, a version and
// adapters, or to change role. No message of this package goes between hosts.
//
// A service's order giver holds a lease of the platform. Before each order it makes a write under
// that lease; the revision of that write is the order's fencing number.

#ifndef LINNETLANE_ORDER_MESSAGES_H_
#define LINNETLANE_ORDER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/coordination/store.h"
#include "linnetlane/service/document.h"

namespace linnetlane::order {

// Matches an engine's answer with the order or the status read.
using order_number = base::basic_number<struct order_tag>;

// The model, version, adapters and role that an engine runs.
struct engine_setup {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    service::upstream_role role = service::upstream_role::plain;

    friend auto operator==(engine_setup const&, engine_setup const&) -> bool = default;
};

// ---- Events ----

// The active document, or its upstreams, changed.
struct configuration_changed {
    service::deployment deployment;
    std::vector<service::upstream> upstreams;
};

// Membership changed whether this host should hold the lease.
struct candidate_changed {
    bool candidate = false;
};

// The load of a data centre's pools, from 0 (idle) to 1 (full); above 1 if requests are queued.
struct pressure_measured {
    base::data_centre_id data_centre;
    base::fraction prefill;
    base::fraction decode;
};

// An engine reported what it runs.
struct engine_read {
    order_number order;
    base::upstream_id upstream;
    engine_setup setup;
    // Whether it is still carrying out an order, from any order giver.
    bool order_under_way = false;
    // Requests that are running on it.
    std::int64_t running = 0;
};

// An engine's answer to an order.
enum class order_outcome {
    // The order is or will be carried out.
    accepted,
    // Refused: the engine has seen a higher fencing number.
    fenced,
    // Refused: the engine is carrying out another order.
    busy,
    // No answer: the order may or may not be carried out.
    unknown,
};

// An engine answered an order.
struct order_answered {
    order_number order;
    base::upstream_id upstream;
    order_outcome outcome = order_outcome::unknown;
};

// An engine did not answer a status read.
struct engine_unreadable {
    order_number order;
    base::upstream_id upstream;
};

// All hosts apply the drain of an upstream: it gets no new work. Requests may still run there.
struct drain_in_force {
    base::upstream_id upstream;
};

// The platform answered a call of this package.
struct store_answered {
    coordination::store_answer answer;
};

// Time passed; deadlines may be due.
struct tick {};

using event = std::variant<configuration_changed, candidate_changed, pressure_measured, engine_read,
                           order_answered, engine_unreadable, drain_in_force, store_answered, tick>;

// ---- Commands ----

// Reads an engine's status. Answered by `engine_read` or `engine_unreadable`.
struct read_engine {
    order_number order;
    base::upstream_id upstream;
};

// Orders an engine to run `setup`. The sender checks `deadline` immediately before it sends. Once
// `deadline` has passed it answers `unknown`, whether or not it has sent the order.
struct give_order {
    order_number order;
    base::upstream_id upstream;
    base::fencing_number fencing;
    engine_setup setup;
    base::time_point deadline;
};

// Stops new work for an upstream on all hosts until `end_drain`. Running requests end normally.
// Answered by `drain_in_force`.
struct drain {
    base::upstream_id upstream;
};

// Allows new work for an upstream again, in its current role.
struct end_drain {
    base::upstream_id upstream;
    service::upstream_role role = service::upstream_role::plain;
};

// Makes a call on the platform.
struct call_store {
    coordination::store_call call;
};

// An engine still doesn't run the desired setup after several orders.
struct engine_stuck {
    base::upstream_id upstream;
};

using command = std::variant<read_engine, give_order, drain, end_drain, call_store, engine_stuck>;

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_MESSAGES_H_

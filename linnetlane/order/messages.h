// Orders to engines: load a model, a version and adapters, or change role. The events and commands
// of an order giver; no message of this package goes between hosts.
//
// The giver of a service's orders holds a lease of the platform. Each order is preceded by a write
// under that lease, whose revision is the order's fencing number.

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

// Pairs an engine's answer with the order or question.
using order_number = base::basic_number<struct order_tag>;

// What an engine runs.
struct engine_setup {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    service::upstream_role role = service::upstream_role::plain;

    friend auto operator==(engine_setup const&, engine_setup const&) -> bool = default;
};

// ---- Events ----

// The document in force, or its upstreams, changed.
struct configure {
    service::deployment deployment;
    std::vector<service::upstream> upstreams;
};

// Whether this host should hold the lease, as membership sees it.
struct candidate_changed {
    bool candidate = false;
};

// How pressed the pools of a data centre are, from 0 (idle) to 1 (full); over 1 with work waiting.
struct pressure_measured {
    base::data_centre_id data_centre;
    base::fraction prefill;
    base::fraction decode;
};

// The engine's own word on what it runs.
struct engine_read {
    order_number order;
    base::upstream_id upstream;
    engine_setup setup;
    // Whether it still carries out an order, of whatever giver.
    bool order_under_way = false;
    // Requests that run on it.
    std::int64_t running = 0;
};

// How an engine took an order.
enum class order_outcome {
    // It is carried out, or will be.
    accepted,
    // The engine saw a higher fencing number.
    fenced,
    // The engine won't: it is busy with another order.
    busy,
    // No answer: the order may be carried out.
    unknown,
};

// An engine answered an order.
struct order_answered {
    order_number order;
    base::upstream_id upstream;
    order_outcome outcome = order_outcome::unknown;
};

// An engine did not answer a question.
struct engine_unreadable {
    order_number order;
    base::upstream_id upstream;
};

// No host gives an upstream new work any more that is to drain. What runs there may still run.
struct drain_in_force {
    base::upstream_id upstream;
};

// The platform answered a call of this package.
struct store_answered {
    coordination::store_answer answer;
};

// Time passed; deadlines may have come.
struct tick {};

using event = std::variant<configure, candidate_changed, pressure_measured, engine_read,
                           order_answered, engine_unreadable, drain_in_force, store_answered, tick>;

// ---- Commands ----

// Asks an engine what it runs. Answered by `engine_read` or `engine_unreadable`.
struct read_engine {
    order_number order;
    base::upstream_id upstream;
};

// Orders an engine to run `setup`. The adapter checks `deadline` right before it sends and answers
// `unknown` once `deadline` passed, sent or not.
struct give_order {
    order_number order;
    base::upstream_id upstream;
    base::fencing_number fencing;
    engine_setup setup;
    base::time_point deadline;
};

// Gives an upstream no new work, everywhere, until `end_drain`; what it runs ends normally.
// Answered by `drain_in_force`.
struct drain {
    base::upstream_id upstream;
};

// Gives an upstream work again, in the role that it now has.
struct end_drain {
    base::upstream_id upstream;
    service::upstream_role role = service::upstream_role::plain;
};

// Makes a call on the platform.
struct call_store {
    coordination::store_call call;
};

// An engine does not run what it should, and orders don't help.
struct engine_stuck {
    base::upstream_id upstream;
};

using command = std::variant<read_engine, give_order, drain, end_drain, call_store, engine_stuck>;

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_MESSAGES_H_

// The messages that hosts exchange about each other (`peer_message`), and the local events and
// commands of membership.

#ifndef LINNETLANE_MEMBERSHIP_MESSAGES_H_
#define LINNETLANE_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"

namespace linnetlane::membership {

// Counts the changes of a host's own record within one incarnation.
using revision = base::basic_number<struct host_revision_tag>;
// Matches an acknowledgement with its ping.
using probe_number = base::basic_number<struct probe_tag>;

// Whether a host answers its peers. `gone` is final for an incarnation.
enum class liveness { alive, suspected, gone };

// The state of one host. A record with a higher incarnation replaces any with a lower one. Within
// an incarnation, `gone` takes precedence, then the higher revision, then the worse liveness.
struct host_record {
    base::host_id host;
    base::data_centre_id data_centre;
    base::endpoint address;
    base::incarnation incarnation;
    membership::revision revision;
    membership::liveness liveness = liveness::alive;
    // Whether the host is leaving and must not be given new duties.
    bool leaving = false;
    // Whether the host has the active documents and may be given duties.
    bool ready = false;
    // A hash over the generations of all its documents.
    std::uint64_t documents_digest = 0;

    friend auto operator==(host_record const&, host_record const&) -> bool = default;
};

// ---- Messages between hosts ----

// Probes whether the target is alive. Answered by `ack`.
struct ping {
    probe_number probe;
    host_record sender;
    // The probed host. A process of another host that reuses the address must not answer.
    base::host_id target;
    std::vector<host_record> changes;
};

// Answers a `ping`, or reports from the helper of an indirect probe that the target answered.
struct ack {
    probe_number probe;
    host_record sender;
    // The host that answered the ping. Differs from the sender if a helper forwards the `ack`.
    base::host_id subject;
    base::incarnation subject_incarnation;
    std::vector<host_record> changes;
};

// Asks a helper to ping `target` and to forward its `ack`.
struct indirect_ping {
    probe_number probe;
    host_record sender;
    base::host_id target;
};

// Changes that are sent without waiting for a probe.
struct gossip {
    host_record sender;
    std::vector<host_record> changes;
};

// Offers the digest of the sender's view of one data centre. A receiver whose digest differs
// answers with its own `table`.
struct table_offer {
    host_record sender;
    base::data_centre_id data_centre;
    std::uint64_t table_digest = 0;
};

// The sender's records of one data centre. With `wants_answer`, the receiver sends back the records
// that the sender lacks.
struct table {
    host_record sender;
    base::data_centre_id data_centre;
    std::vector<host_record> records;
    bool wants_answer = false;
};

using peer_message = std::variant<ping, ack, indirect_ping, gossip, table_offer, table>;

// ---- Events ----

// A message from another host arrived.
struct received {
    peer_message message;
};

// The connection to a host was closed or could not be opened: the host may be gone.
struct link_lost {
    base::host_id host;
};

// An entry of the platform's host list. The list may be out of date, so an entry only tells which
// host to contact.
struct host_hint {
    base::host_id host;
    base::data_centre_id data_centre;
    base::endpoint address;
    bool leaving = false;

    friend auto operator==(host_hint const&, host_hint const&) -> bool = default;
};

// The platform's host list, or the contacts from the settings.
struct host_list {
    std::vector<host_hint> hosts;
};

// This host's own attributes changed.
struct attributes_changed {
    bool ready = false;
    std::uint64_t documents_digest = 0;
};

// This host begins to leave; final for the incarnation.
struct leave {};

// This host is about to exit.
struct exit_notice {};

// Time passed; deadlines may be due.
struct tick {};

using event =
    std::variant<received, link_lost, host_list, attributes_changed, leave, exit_notice, tick>;

// ---- Commands ----

// Sends a message; it may be lost.
struct send {
    base::host_id to;
    base::endpoint address;
    peer_message message;
};

// The kind of a host's change, for tables that are keyed by host.
enum class change_kind {
    // A host, or a new incarnation of one, became known.
    joined,
    // The incarnation is gone, which is final.
    gone,
    // The host began to leave.
    leaving,
    // The readiness, the digest of documents or the address changed.
    attributes,
};

// The view of a host changed.
struct host_changed {
    change_kind kind = change_kind::joined;
    host_record record;
};

// This host's lease expired during a pause, or it learned that it was declared gone or that an
// earlier incarnation had a higher number. It now runs under `incarnation`. All grants and duties
// taken under the previous incarnation are void.
struct rejoined {
    base::incarnation incarnation;
};

// A later process runs under this host's name: this process must exit.
struct superseded {
    base::incarnation by;
};

using command = std::variant<send, host_changed, rejoined, superseded>;

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_MESSAGES_H_

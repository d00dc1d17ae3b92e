// Messages between hosts: changes of the registry, which one host of a data centre reads for all,
// facts that hosts learn from upstreams, and requests that another host forwards because the sender
// reaches no upstream.
//
// The body of each HTTP request and response is one of these structs in Thrift's compact protocol.
// Durations are in microseconds. Fields are only added, with new numbers, so that hosts of different
// versions can communicate.

namespace cpp linnetlane.router.peer_wire

enum stage {
    none = 0,
    prefill = 1,
    decode = 2,
}

struct upstream {
    1: string id,
    2: string service_name,
    3: string address,
    4: i32 port,
    5: string data_centre,
    6: i64 started,
    7: i64 slots,
    8: bool leaving,
    9: i32 stage,
    10: optional string software_version,
}

struct weighted_service {
    1: string service_name,
    2: double weight,
}

struct route {
    1: string name,
    2: string host,
    3: string prefix,
    4: list<weighted_service> targets,
    5: bool at_most_once,
    6: bool streams,
    7: bool resumable,
    8: bool generates,
    9: i64 timeout,
    10: i64 target_latency,
    11: i32 priority,
    12: i64 most_attempts,
    // Whether requests need no key.
    13: optional bool open_to_all,
    // How long callers of a stream wait for its next event; not set by older hosts.
    14: optional i64 longest_pause,
}

struct engine_shape {
    1: i64 memory,
    2: i64 slots,
    3: i64 longest_reservation,
    4: i64 result_kept,
    5: i64 stage_switch,
}

struct service_terms {
    1: string name,
    2: i64 most_connections,
    3: optional engine_shape engine,
}

struct caller_limits {
    1: i64 header_bytes,
    2: i64 body_bytes,
    3: i64 request_arrival,
    4: i64 idle,
}

// How much work a client account may request.
struct account_quota {
    // Whether amounts are tokens; otherwise they are requests.
    1: bool counts_tokens,
    2: double per_second,
    3: double burst,
    // The tokens of a request that states no size.
    4: i64 unsized_tokens,
}

struct account {
    1: string name,
    // Of the account's keys; keys themselves are never sent.
    2: list<string> key_digests,
    3: optional i32 priority,
    4: optional account_quota quota,
}

struct configuration {
    1: i64 version,
    2: list<route> routes,
    3: list<service_terms> services,
    4: caller_limits limits,
    // Hosts that know no accounts leave it out, so that a configuration without it may lack some.
    5: optional list<account> accounts,
    // Whether requests need the key of an account.
    6: optional bool requires_keys,
}

// A host that can be followed.
struct host {
    1: string name,
    2: string address,
    3: i32 port,
    // In thousandths of a core.
    4: i64 capacity,
}

// An observation of a host that others can't make. The newest one holds.
struct fact {
    // As `routing::fact_kind`; unknown kinds are ignored.
    1: i32 kind,
    2: string subject,
    3: optional string witness,
    4: double amount,
    // The time since the observation.
    5: i64 age,
}

// How many changes of a process's facts are known.
struct fact_mark {
    // Drawn by each process, since it counts its changes from 0.
    1: i64 process,
    2: i64 position,
}

// Facts that one host tells another.
struct fact_report {
    1: list<fact> facts,
}

// Requests the changes after a position in the registry.
struct changes_question {
    1: i64 after,
    // How long the reply may be delayed while there is no change.
    2: i64 wait,
    // Version of the sender's configuration; 0 for none.
    3: i64 configuration_version,
    // Requests all upstreams; the position is ignored.
    4: optional bool complete,
    5: optional host sender,
    // What the sender has learned since its last question.
    6: optional list<fact> facts,
    // The receiver's facts that the sender knows. Requests the later ones.
    7: optional fact_mark known_facts,
}

enum outcome {
    changes = 0,
    // The receiver does not read the registry itself, or has lost its connection to it.
    unavailable = 1,
    // The changes after that position are no longer available.
    history_lost = 2,
    // The receiver follows one of `relays` itself.
    redirected = 3,
}

struct changes_answer {
    1: i32 outcome,
    2: i64 position,
    3: list<upstream> put,
    4: list<string> removed,
    // Present only if newer than the requester's.
    5: optional configuration newer_configuration,
    // `put` holds all upstreams; others are gone.
    6: optional bool complete,
    // The number of hosts of all data centres.
    7: optional i64 hosts,
    // The hosts to follow, in this order, beginning with the sender.
    8: optional list<host> relays,
    // How much longer removed upstreams are kept, since they may register again after an outage of
    // the registry.
    9: optional i64 grace_left,
    // The facts after those that the requester knows, up to `facts_at`.
    10: optional list<fact> facts,
    11: optional fact_mark facts_at,
    // The time since the sender's configuration was known to be the newest one.
    12: optional i64 configuration_age,
    // Some hosts of other data centres that read the registry.
    13: optional list<host> distant_readers,
    // The version of that configuration. Older senders don't state it.
    14: optional i64 configuration_version,
    // The position in the registry up to which none is newer than that version.
    15: optional i64 configuration_position,
    // As in `registry_state`.
    16: optional i64 registry_answered_for,
}

struct header_field {
    1: string name,
    2: string value,
}

// A caller's request that the receiver is to forward to an upstream. The HTTP response to it is the
// answer to the caller.
struct forwarded_request {
    1: string method,
    // Path and query.
    2: string target,
    3: list<header_field> fields,
    4: binary body,
    // The time that the caller still allows.
    5: i64 time_left,
    // The digest of the key that the request carried. Its field isn't sent.
    6: optional string key_digest,
    // The version of the sender's configuration. A receiver with an older one doesn't take the
    // request. Older senders don't state it.
    7: optional i64 configuration_version,
    // The software version that the upstream must have which runs the request.
    8: optional string software_version,
}

// Asks for the software version that began the stream which answers a request.
struct origin_question {
    1: string request,
    2: string service_name,
    // The sender has an answer of the registry, so the receiver doesn't ask it.
    3: optional bool memory_only,
}

struct origin_answer {
    // Left out if the receiver doesn't know it.
    1: optional string software_version,
    // Whether the registry has answered the receiver.
    2: optional bool registry_answered,
    // The only version that the receiver has known for as long as a stream can be resumed.
    3: optional string sole_version,
}

// Asks for the configuration in force at a host. Hosts of earlier versions send no body.
struct configuration_question {
    // The age of a proof that is enough for the sender; for an older one the receiver asks the
    // registry.
    1: optional i64 age,
}

// The configuration in force at a host.
struct configuration_state {
    1: i64 configuration_version,
    // The time since it was known to be the newest one. Left out if it never was.
    2: optional i64 age,
}

struct stream_origin {
    1: string request,
    2: string software_version,
}

// The software versions of streams that the sender couldn't record, for the receiver to keep and to
// record.
struct origin_hand_over {
    1: list<stream_origin> origins,
}

// Whether the registry was available to a host.
struct registry_state {
    // The time for which its answers have come without a gap up to now; 0 if they don't come.
    1: optional i64 answered_for,
}

// Requests a part of a client account's quota from the host that keeps it for the sender, or gives
// back what wasn't used.
struct quota_question {
    1: string account_name,
    // In the account's unit; negative to give back.
    2: double amount,
    // The sender keeps quota for other hosts and asks for a part of the receiver's. What the
    // receiver has is enough or there is no grant, but nobody is asked further.
    3: bool from_keeper,
    // The version of the sender's configuration.
    4: i64 configuration_version,
}

struct quota_answer {
    1: double granted,
    // The time until the amount is expected to be available, if it isn't granted.
    2: i64 wait,
}

// The messages between hosts. A frame on a link is a 4-byte big-endian length and one `envelope` in
// Thrift's compact protocol.
//
// Deadlines are sent as the microseconds left, since the clocks of hosts differ; the receiver
// converts them to its own deadlines. Fields are only added, with new numbers, so that hosts of
// different versions can communicate.

namespace cpp linnetlane.protocol.wire

struct endpoint {
    1: string address,
    2: i32 port,
}

struct request_key {
    1: i64 high,
    2: i64 low,
}

struct attempt {
    1: request_key request,
    2: i64 number,
}

// ---- Membership ----

struct host_record {
    1: string host,
    2: string data_centre,
    3: endpoint address,
    4: i64 incarnation,
    5: i64 revision,
    6: i32 liveness,
    7: bool leaving,
    8: bool ready,
    9: i64 documents_digest,
}

struct ping {
    1: i64 probe,
    2: host_record sender,
    3: string target,
    4: list<host_record> changes,
}

struct ack {
    1: i64 probe,
    2: host_record sender,
    3: string subject,
    4: i64 subject_incarnation,
    5: list<host_record> changes,
}

struct indirect_ping {
    1: i64 probe,
    2: host_record sender,
    3: string target,
}

struct gossip {
    1: host_record sender,
    2: list<host_record> changes,
}

struct table_offer {
    1: host_record sender,
    2: string data_centre,
    3: i64 table_digest,
}

struct table {
    1: host_record sender,
    2: string data_centre,
    3: list<host_record> records,
    4: bool wants_answer,
}

// ---- Service documents ----

struct document_version {
    1: string service_name,
    2: i64 generation,
    3: string write_id,
    4: bool removed,
    5: string text,
}

struct document_mark {
    1: string service_name,
    2: i64 generation,
    3: string write_id,
}

struct document_ask {
}

struct document_offer {
    1: list<document_mark> marks,
    2: bool complete,
    3: bool all_known,
}

struct document_want {
    1: list<string> service_names,
}

struct document_push {
    1: list<document_version> versions,
}

// ---- Claims ----

struct claimant {
    1: string host,
    2: i64 incarnation,
    3: i64 number,
}

struct claim_question {
    1: claimant claimant_key,
    2: string service_name,
    3: string key,
    4: i64 keep_until_unix_ms,
}

struct stored_answer {
    1: i32 status,
    2: string content_type,
    3: string body,
}

struct settle_question {
    1: claimant claimant_key,
    2: string service_name,
    3: string key,
    4: i32 state,
    5: optional stored_answer answer,
}

struct claim_reply {
    1: i64 number,
    2: bool to_settle,
    3: i32 verdict,
    4: i32 state,
    5: optional stored_answer answer,
    6: i64 send_within_us,
    7: i64 retry_after_us,
    8: bool may_be_recorded,
}

// ---- Cells: requests from a holder to the keeper ----

struct acquire {
    1: attempt attempt_key,
    2: string caller,
    3: i32 priority,
    4: i64 prompt,
    5: i64 output_bound,
    6: list<i64> prefixes,
    7: i64 first_token_left_us,
    8: list<string> avoid,
    9: optional string kept_by,
    10: i64 kept_left_us,
}

struct renewal {
    1: attempt attempt_key,
    2: i32 phase,
    3: i64 produced,
}

struct renew {
    1: i64 round,
    2: list<renewal> renewals,
}

struct release {
    1: attempt attempt_key,
    2: i32 ending,
    3: bool engines_clear,
    4: optional i64 prefill_took_us,
    5: optional i64 transfer_took_us,
    6: optional i64 decode_took_us,
    7: i64 prefilled,
    8: i64 produced,
}

struct held_grant {
    1: attempt attempt_key,
    2: i32 phase,
    3: optional string prefill,
    4: string decode,
    5: i64 pieces,
    6: i64 prompt,
    7: i64 output_bound,
    8: i64 produced,
}

struct announce {
    1: list<held_grant> grants,
}

// ---- Cells: replies from the keeper ----

struct grant {
    1: attempt attempt_key,
    2: optional string prefill,
    3: string decode,
    4: i64 pieces,
    5: i64 prefill_start_left_us,
    6: bool ready,
    7: i64 deadline_left_us,
}

struct decode_ready {
    1: attempt attempt_key,
    2: string decode,
}

struct refuse {
    1: attempt attempt_key,
    2: i32 reason,
    3: i64 retry_left_us,
}

// The keeper accepted the renewals of `round`.
struct renewed {
    1: i64 round,
}

// The receiver of a request is not, or not yet, the cell's keeper.
struct not_keeper {
}

// ---- Upstreams ----

struct leaving_marks {
    1: string service_name,
    2: list<string> upstreams,
}

struct cell_key {
    1: string service_name,
    2: i64 number,
    3: string data_centre,
}

// ---- Content of a frame ----

union body {
    1: ping ping_body,
    2: ack ack_body,
    3: indirect_ping indirect_ping_body,
    4: gossip gossip_body,
    5: table_offer table_offer_body,
    6: table table_body,
    10: document_ask document_ask_body,
    11: document_offer document_offer_body,
    12: document_want document_want_body,
    13: document_push document_push_body,
    20: claim_question claim_question_body,
    21: settle_question settle_question_body,
    22: claim_reply claim_reply_body,
    30: acquire acquire_body,
    31: renew renew_body,
    32: release release_body,
    33: announce announce_body,
    40: grant grant_body,
    41: decode_ready decode_ready_body,
    42: refuse refuse_body,
    43: renewed renewed_body,
    44: not_keeper not_keeper_body,
    50: leaving_marks leaving_marks_body,
}

struct envelope {
    // The protocol version, to recognize frames of other versions.
    1: i32 version,
    2: string host,
    3: string data_centre,
    4: i64 incarnation,
    5: body content,
    // Only with the bodies 30 to 44.
    6: optional cell_key cell,
}

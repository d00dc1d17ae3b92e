// The messages between hosts about service documents, and the events and commands of the document
// store.

#ifndef LINNETLANE_DOCUMENT_MESSAGES_H_
#define LINNETLANE_DOCUMENT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/coordination/store.h"

namespace linnetlane::document {

// An accepted version of a service document, as stored in the platform.
struct version {
    base::service_id service;
    base::generation generation;
    // Unique to the write that created this version.
    std::string write_id;
    // A tombstone: the service was removed at this generation.
    bool removed = false;
    // The document's TOML; empty in a tombstone.
    std::string text;

    friend auto operator==(version const&, version const&) -> bool = default;
};

// Identifies a version of a service document.
struct version_id {
    base::service_id service;
    base::generation generation;
    // Distinguishes two versions of the same generation.
    std::string write_id;

    friend auto operator==(version_id const&, version_id const&) -> bool = default;
};

// Matches the answer to an operator's call.
using apply_number = base::basic_number<struct apply_tag>;

// ---- Messages between hosts ----

// Requests an `offer` of all versions that the receiver has. A receiver that doesn't know all
// documents yet sends no answer.
struct offer_request {};

// Ids of versions that the sender has. The receiver requests those that are newer than its own with
// `version_request`. If the offer is complete, it also offers the versions that the sender lacks.
struct offer {
    std::vector<version_id> version_ids;
    // Whether these are all versions that the sender has.
    bool complete = false;
    // Whether the sender knows all documents.
    bool all_known = false;
};

// Requests the versions of these services.
struct version_request {
    std::vector<base::service_id> services;
};

// Carries versions with their text.
struct push {
    std::vector<version> versions;
};

using peer_message = std::variant<offer_request, offer, version_request, push>;

// ---- Events ----

// A message came from another host.
struct received {
    base::host_id from;
    peer_message message;
};

// A host to exchange documents with, and the digest of its version table that it last published.
struct peer {
    base::host_id host;
    std::uint64_t documents_digest = 0;
    // Whether the host was heard from recently enough to rely on the digest.
    bool digest_is_recent = false;

    friend auto operator==(peer const&, peer const&) -> bool = default;
};

// The membership view changed: the peers of this host, and whether it reads the platform for its
// data centre.
struct view_changed {
    std::vector<peer> peers;
    bool reader = false;
};

// The platform answered a call of the document store.
struct store_answered {
    coordination::store_answer answer;
};

// An operator replaces generation `replaces` by `text`; generation 0 creates a new service.
struct apply {
    apply_number number;
    base::service_id service;
    base::generation replaces;
    // The document; `nullopt` removes the service.
    std::optional<std::string> text;
    // Unique to this call, so that it can be recognised when read back after a lost answer.
    std::string write_id;
};

// An operator reads the last versions of a service.
struct history {
    apply_number number;
    base::service_id service;
};

// Deadlines may have passed.
struct tick {};

using event = std::variant<received, view_changed, store_answered, apply, history, tick>;

// ---- Commands ----

// Sends a message to a peer without a delivery guarantee.
struct send {
    base::host_id to;
    peer_message message;
};

// Makes a call on the platform.
struct call_store {
    coordination::store_call call;
};

// A newer version came into force on this host.
struct in_force {
    document::version version;
};

// A version or a stored value is not a valid document; the last valid version stays in force.
struct invalid_document {
    base::service_id service;
    // Why it is invalid, as text for operators.
    std::string error;
};

// All documents are known, from the platform or from a peer, so the host may become ready. Issued
// once.
struct documents_known {};

// The operator's version was accepted.
struct applied {
    apply_number number;
    document::version version;
};

// The version in force is not the one that the operator replaces; nothing was written.
struct conflict {
    apply_number number;
    // The version in force; `nullopt` if the service doesn't exist.
    std::optional<document::version> version;
};

// Why an operator's call was not carried out.
enum class refusal {
    // Not a valid document.
    invalid,
    // The service does not exist, so there is nothing to remove.
    no_such_service,
    // The platform can't be reached; nothing was written.
    platform_unavailable,
    // The write was sent, and whether it took effect could not be read back.
    outcome_unknown,
};

// An operator's call was not carried out.
struct refused {
    apply_number number;
    refusal reason = refusal::platform_unavailable;
    // With `invalid`, why the document is invalid, as text for operators.
    std::string error;
};

// The last versions of a service, the newest first.
struct history_read {
    apply_number number;
    std::vector<version> versions;
};

using command = std::variant<send, call_store, in_force, invalid_document, documents_known, applied,
                             conflict, refused, history_read>;

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_MESSAGES_H_

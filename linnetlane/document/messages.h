// What hosts tell one another about service documents, and the events and commands of the
// document store.

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

// One accepted version of a document, as the platform keeps it.
struct version {
    base::service_id service;
    base::generation generation;
    // Unique for the write that made this version.
    std::string write_id;
    // A tombstone: the service was removed at this generation.
    bool removed = false;
    // The document's TOML; empty in a tombstone.
    std::string text;

    friend auto operator==(version const&, version const&) -> bool = default;
};

// Which version of a service's document a host has.
struct version_id {
    base::service_id service;
    base::generation generation;
    // Tells two versions of one generation apart.
    std::string write_id;

    friend auto operator==(version_id const&, version_id const&) -> bool = default;
};

// Pairs the answer to an operator's call with it.
using apply_number = base::basic_number<struct apply_tag>;

// ---- Messages between hosts ----

// Asks for an `offer` of all that the receiver has. One that doesn't know all documents yet keeps
// silent.
struct offer_request {};

// Versions that the sender has. The receiver asks for those that are newer with `want`; if they are
// all that the sender has, it also offers back what the sender lacks.
struct offer {
    std::vector<version_id> version_ids;
    // Whether these are all that the sender has.
    bool complete = false;
    // Whether the sender knows all documents that there are.
    bool all_known = false;
};

// Asks for the versions of these services.
struct version_request {
    std::vector<base::service_id> services;
};

// Versions with their text.
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

// A host to exchange documents with, and the hash that it gave out.
struct peer {
    base::host_id host;
    std::uint64_t documents_digest = 0;
    // Whether the hash is fresh enough to go by.
    bool heard_lately = false;

    friend auto operator==(peer const&, peer const&) -> bool = default;
};

// The view changed: the peers to talk to, and whether this host is to read the platform.
struct view_changed {
    std::vector<peer> peers;
    bool reader = false;
};

// The platform answered a call of this package.
struct store_answered {
    coordination::store_answer answer;
};

// An operator wants `text` to take the place of generation `base`; 0 for a new service.
struct apply {
    apply_number number;
    base::service_id service;
    base::generation replaces;
    // The document; nothing removes the service.
    std::optional<std::string> text;
    // Unique for this call, so that a lost answer can be settled.
    std::string write_id;
};

// An operator wants the last versions of a service.
struct history {
    apply_number number;
    base::service_id service;
};

// Time passed; deadlines may have come.
struct tick {};

using event = std::variant<received, view_changed, store_answered, apply, history, tick>;

// ---- Commands ----

// Sends a message to a peer; it may be lost.
struct send {
    base::host_id to;
    peer_message message;
};

// Makes a call on the platform.
struct call_store {
    coordination::store_call call;
};

// A newer version is in force on this host.
struct in_force {
    document::version version;
};

// The platform holds something that isn't a valid document; the last good one stays in force.
struct invalid_document {
    base::service_id service;
    // What is wrong, for the operator's eyes.
    std::string error;
};

// All documents are known, from the platform or from a peer: the host may be ready. Comes once.
struct documents_known {};

// The operator's version was accepted.
struct applied {
    apply_number number;
    document::version version;
};

// Another version is in force than the one that was to be replaced; nothing was written.
struct conflict {
    apply_number number;
    // None: the service doesn't exist.
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
    // The write was sent and its fate could not be read back.
    outcome_unknown,
};

// An operator's call was not carried out.
struct refused {
    apply_number number;
    refusal reason = refusal::platform_unavailable;
    // What is wrong with an invalid document, for the operator's eyes.
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

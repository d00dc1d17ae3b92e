// Messages between hosts, independent of their wire format.

#ifndef LINNETLANE_PROTOCOL_MESSAGES_H_
#define LINNETLANE_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/claim/messages.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/membership/messages.h"

namespace linnetlane::protocol {

// Identifies a cell of a service in a data centre.
struct cell_key {
    base::data_centre_id data_centre;
    base::service_id service;
    std::uint64_t number = 0;

    friend auto operator<=>(cell_key const&, cell_key const&) -> std::strong_ordering = default;
};

// Numbers the periodic renewals of a holder.
using renewal_round = base::basic_number<struct renewal_round_tag>;

// A periodic renewal; acknowledged by `renewals_accepted` of the same round.
struct numbered_renew {
    renewal_round round;
    cell::renew renew;
};

// The keeper accepted the renewals of `round`.
struct renewals_accepted {
    renewal_round round;
};

// The receiver of a request is not, or not yet, the cell's keeper.
struct not_keeper {};

// Messages from a holder to a cell's keeper. The holder is the sender of the frame.
using cell_request = std::variant<cell::acquire, numbered_renew, cell::release, cell::announce>;

// Messages from a cell's keeper to a holder. The holder is the receiver of the frame.
using cell_reply =
    std::variant<cell::grant, cell::decode_ready, cell::refuse, renewals_accepted, not_keeper>;

struct request_to_cell {
    cell_key cell;
    cell_request request;
};

struct reply_from_cell {
    cell_key cell;
    cell_reply reply;
};

// Upstreams of a service that announced that they are leaving. Sent repeatedly while that is so; a
// receiver drops marks that are not repeated.
struct leaving_marks {
    base::service_id service;
    std::vector<base::upstream_id> upstreams;
};

using body = std::variant<membership::peer_message, document::peer_message, claim::peer_message,
                          request_to_cell, reply_from_cell, leaving_marks>;

// The content of one frame.
struct envelope {
    base::host_id host;
    base::data_centre_id data_centre;
    base::incarnation incarnation;
    protocol::body body;
};

}  // namespace linnetlane::protocol

#endif  // LINNETLANE_PROTOCOL_MESSAGES_H_

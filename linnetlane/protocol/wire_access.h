// Converts between messages and their Thrift types. Internal to this package; use `codec.h`.

#ifndef LINNETLANE_PROTOCOL_WIRE_ACCESS_H_
#define LINNETLANE_PROTOCOL_WIRE_ACCESS_H_

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/protocol/codec.h"
#include "linnetlane/protocol/generated/peer_types.h"
#include "linnetlane/protocol/messages.h"

namespace linnetlane::protocol {

// Converts `message` to its Thrift type, with deadlines as the time left at `now`.
[[nodiscard]] auto to_wire(envelope const& message, base::time_point now) -> wire::envelope;

// Converts `frame` to a message, with deadlines relative to `now`.
[[nodiscard]] auto from_wire(wire::envelope const& frame, base::time_point now)
    -> base::result<envelope, decode_failure>;

}  // namespace linnetlane::protocol

#endif  // LINNETLANE_PROTOCOL_WIRE_ACCESS_H_

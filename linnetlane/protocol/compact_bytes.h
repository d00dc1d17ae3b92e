// Serializes Thrift structs in the compact protocol, for the codecs of messages between hosts.

#ifndef LINNETLANE_PROTOCOL_COMPACT_BYTES_H_
#define LINNETLANE_PROTOCOL_COMPACT_BYTES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "linnetlane/base/time.h"

namespace linnetlane::protocol {

// Limits on the lengths of strings and containers in a serialized message. A message that exceeds
// them is malformed.
struct compact_bounds {
    // The maximum length of a string, in bytes.
    std::int32_t max_bytes = 0;
    // The maximum number of elements of a container.
    std::int32_t max_items = 0;
};

using compact_buffer = apache::thrift::transport::TMemoryBuffer;
using compact_protocol = apache::thrift::protocol::TCompactProtocolT<compact_buffer>;

template <typename Message>
[[nodiscard]] auto write_compact(Message const& message) -> std::string {
    auto const buffer = std::make_shared<compact_buffer>();
    auto protocol = compact_protocol{buffer};
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// Throws `apache::thrift::TException` if `text` is not a valid `Message`, and `std::bad_alloc` if
// memory runs out.
template <typename Message>
[[nodiscard]] auto read_compact(std::string_view text, compact_bounds bounds) -> Message {
    // The cast is safe: the buffer only reads from `bytes`.
    auto* const bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    auto const buffer =
        std::make_shared<compact_buffer>(bytes, static_cast<std::uint32_t>(text.size()));
    auto protocol = compact_protocol{buffer, bounds.max_bytes, bounds.max_items};
    auto message = Message{};
    message.read(&protocol);
    return message;
}

// Returns `span` in whole microseconds, the unit of durations in messages.
[[nodiscard]] inline auto microseconds_of(base::duration span) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

}  // namespace linnetlane::protocol

#endif  // LINNETLANE_PROTOCOL_COMPACT_BYTES_H_

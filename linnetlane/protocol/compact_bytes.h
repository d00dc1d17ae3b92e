// Thrift structs as bytes of the compact protocol, for the codecs of what hosts send each other.

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

// What a message may announce; one that says more is malformed.
struct compact_bounds {
    std::int32_t most_bytes = 0;
    // Of all strings and lists.
    std::int32_t most_items = 0;
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

// Throws `apache::thrift::TException` if `text` is no `Message`, and `std::bad_alloc`.
template <typename Message>
[[nodiscard]] auto read_compact(std::string_view text, compact_bounds bounds) -> Message {
    // Observed only: Thrift doesn't write to it.
    auto* const bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    auto const buffer =
        std::make_shared<compact_buffer>(bytes, static_cast<std::uint32_t>(text.size()));
    auto protocol = compact_protocol{buffer, bounds.most_bytes, bounds.most_items};
    auto message = Message{};
    message.read(&protocol);
    return message;
}

// Spans go as whole microseconds.
[[nodiscard]] inline auto microseconds_of(base::duration span) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

}  // namespace linnetlane::protocol

#endif  // LINNETLANE_PROTOCOL_COMPACT_BYTES_H_

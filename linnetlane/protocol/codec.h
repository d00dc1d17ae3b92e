// Frames of the inner protocol: `envelope` to bytes and back.
//
//   auto const bytes = encode(envelope, now);
//   auto const decoded = decode(bytes, now);   // on the other host, with its own clock
//
// Deadlines travel as the time left, so the receiver's are later than the sender's by the time
// that the frame took.

#ifndef LINNETLANE_PROTOCOL_CODEC_H_
#define LINNETLANE_PROTOCOL_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/protocol/messages.h"

namespace linnetlane::protocol {

// The version of the protocol that this host speaks.
inline constexpr std::int32_t protocol_version = 1;
// Bytes of the length that goes before each frame, the most significant first.
inline constexpr std::size_t length_bytes = 4;
// The largest frame that is taken. Holds a table of many documents.
inline constexpr std::size_t max_frame_bytes = std::size_t{16} * 1024 * 1024;

// Why bytes are no frame of ours.
enum class decode_failure { malformed, other_version, no_content, out_of_range };

// The frame for `message`, without its length.
[[nodiscard]] auto encode(envelope const& message, base::time_point now) -> std::string;

// Reads one frame, without its length.
[[nodiscard]] auto decode(std::string_view frame, base::time_point now)
    -> base::result<envelope, decode_failure>;

// The length of a frame as it goes before it.
[[nodiscard]] auto encode_length(std::size_t bytes) -> std::string;

// Reads `length_bytes` bytes; nothing if the frame would be too large.
[[nodiscard]] auto decode_length(std::string_view text) -> std::optional<std::size_t>;

}  // namespace linnetlane::protocol

#endif  // LINNETLANE_PROTOCOL_CODEC_H_

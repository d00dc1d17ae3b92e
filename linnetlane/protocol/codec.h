// Encodes and decodes frames of the protocol between hosts.
//
//   auto const bytes = encode(envelope, now);
//   auto const decoded = decode(bytes, now);   // on the other host, with its own clock
//
// A deadline is sent as the remaining time. The receiver's deadline is therefore later than the
// sender's by the transit time of the frame.

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
// Size in bytes of the big-endian length that precedes each frame.
inline constexpr std::size_t length_bytes = 4;
// The largest frame that is accepted; large enough for a table of many documents.
inline constexpr std::size_t max_frame_bytes = std::size_t{16} * 1024 * 1024;

// Why a frame was rejected.
enum class decode_failure { malformed, other_version, no_content, out_of_range };

// Encodes `message` as a frame, without the length prefix.
[[nodiscard]] auto encode(envelope const& message, base::time_point now) -> std::string;

// Decodes one frame, without the length prefix.
[[nodiscard]] auto decode(std::string_view frame, base::time_point now)
    -> base::result<envelope, decode_failure>;

// Encodes the length prefix of a frame of `bytes` bytes.
[[nodiscard]] auto encode_length(std::size_t bytes) -> std::string;

// Decodes a length prefix of `length_bytes` bytes. Returns nullopt if it exceeds `max_frame_bytes`.
[[nodiscard]] auto decode_length(std::string_view text) -> std::optional<std::size_t>;

}  // namespace linnetlane::protocol

#endif  // LINNETLANE_PROTOCOL_CODEC_H_

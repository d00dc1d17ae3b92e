#include "linnetlane/protocol/codec.h"

#include <new>

#include <thrift/Thrift.h>

#include "linnetlane/protocol/compact_bytes.h"
#include "linnetlane/protocol/wire_access.h"

namespace linnetlane::protocol {

namespace {

constexpr auto bits_per_byte = 8U;
constexpr auto byte_mask = std::size_t{0xFF};
// Limit on the sizes that strings and lists of a frame declare; an accepted frame can't hold more.
constexpr auto max_items = std::int32_t{1'000'000};
constexpr auto frame_bounds = compact_bounds{static_cast<std::int32_t>(max_frame_bytes), max_items};

}  // namespace

auto encode(envelope const& message, base::time_point now) -> std::string {
    return write_compact(to_wire(message, now));
}

auto decode(std::string_view frame, base::time_point now)
    -> base::result<envelope, decode_failure> {
    try {
        return from_wire(read_compact<wire::envelope>(frame, frame_bounds), now);
    } catch (apache::thrift::TException const&) {
        return decode_failure::malformed;
    } catch (std::bad_alloc const&) {
        return decode_failure::malformed;
    }
}

auto encode_length(std::size_t bytes) -> std::string {
    auto text = std::string(length_bytes, '\0');
    for (auto index = length_bytes; index-- > 0;) {
        text[index] = static_cast<char>(bytes & byte_mask);
        bytes >>= bits_per_byte;
    }
    return text;
}

auto decode_length(std::string_view text) -> std::optional<std::size_t> {
    auto bytes = std::size_t{0};
    for (auto const digit : text) {
        bytes = (bytes << bits_per_byte) | static_cast<std::uint8_t>(digit);
    }
    if (bytes > max_frame_bytes) {
        return std::nullopt;
    }
    return bytes;
}

}  // namespace linnetlane::protocol

#include "linnetlane/base/ids.h"

#include <charconv>

#include <fmt/format.h>

namespace linnetlane::base {

namespace {

constexpr auto digits_per_half = std::size_t{16};
constexpr auto hexadecimal = 16;

auto parse_half(std::string_view text) -> std::optional<std::uint64_t> {
    auto number = std::uint64_t{0};
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number, hexadecimal);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

}  // namespace

auto to_string(request_id const& id) -> std::string {
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

auto parse_request_id(std::string_view text) -> std::optional<request_id> {
    if (text.size() != 2 * digits_per_half) {
        return std::nullopt;
    }
    auto const high = parse_half(text.substr(0, digits_per_half));
    auto const low = parse_half(text.substr(digits_per_half));
    if (!high || !low) {
        return std::nullopt;
    }
    return request_id{*high, *low};
}

auto operator<<(std::ostream& out, request_id const& id) -> std::ostream& {
    return out << to_string(id);
}

}  // namespace linnetlane::base

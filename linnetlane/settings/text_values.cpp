#include "linnetlane/settings/text_values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <limits>
#include <system_error>

#include <fmt/format.h>

namespace linnetlane::settings {

namespace {

struct time_unit {
    std::string_view suffix;
    std::int64_t nanoseconds = 0;
};

// Largest first, so that the first exact one is the shortest text.
constexpr auto time_units = std::array{
    time_unit{"h", 3'600'000'000'000},
    time_unit{"m", 60'000'000'000},
    time_unit{"s", 1'000'000'000},
    time_unit{"ms", 1'000'000},
    time_unit{"us", 1'000},
    time_unit{"ns", 1},
};

constexpr auto decimal = 10;
constexpr auto max_name_characters = std::size_t{64};

auto is_digit(char character) -> bool {
    return character >= '0' && character <= '9';
}

auto is_letter(char character) -> bool {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

auto find_unit(std::string_view suffix) -> time_unit const* {
    auto const* const found =
        std::find_if(time_units.begin(), time_units.end(),
                     [suffix](time_unit const& unit) { return unit.suffix == suffix; });
    return found == time_units.end() ? nullptr : found;
}

// Parses digits only: no sign, no space.
template <typename Number>
auto parse_digits(std::string_view text) -> std::optional<Number> {
    if (text.empty() || !std::all_of(text.begin(), text.end(), is_digit)) {
        return std::nullopt;
    }
    auto number = Number{0};
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return number;
}

// Converts the digits after the decimal point, in units of `unit` nanoseconds. Returns nullopt if
// the result is not a whole number of nanoseconds.
auto parse_fraction(std::string_view digits, std::int64_t unit) -> std::optional<std::int64_t> {
    auto total = std::int64_t{0};
    auto place = unit;
    for (auto const digit : digits) {
        if (!is_digit(digit) || (place % decimal != 0 && digit != '0')) {
            return std::nullopt;
        }
        place /= decimal;
        total += place * (digit - '0');
    }
    return total;
}

auto parse_address(std::string const& text) -> bool {
    // `inet_pton` would read only what precedes a zero byte.
    if (text.find('\0') != std::string::npos) {
        return false;
    }
    auto buffer = std::array<unsigned char, sizeof(in6_addr)>{};
    auto const family = text.find(':') == std::string::npos ? AF_INET : AF_INET6;
    return inet_pton(family, text.c_str(), buffer.data()) == 1;
}

}  // namespace

auto parse_duration(std::string_view text) -> std::optional<base::duration> {
    auto const* const suffix = std::find_if(text.begin(), text.end(), is_letter);
    auto const number = text.substr(0, static_cast<std::size_t>(suffix - text.begin()));
    auto const* const unit = find_unit(text.substr(number.size()));
    if (unit == nullptr) {
        return std::nullopt;
    }
    auto const point = number.find('.');
    auto const whole = parse_digits<std::int64_t>(number.substr(0, point));
    if (!whole || *whole >= std::numeric_limits<std::int64_t>::max() / unit->nanoseconds) {
        return std::nullopt;
    }
    if (point == std::string_view::npos) {
        return std::chrono::nanoseconds{*whole * unit->nanoseconds};
    }
    auto const digits = number.substr(point + 1);
    auto const rest = parse_fraction(digits, unit->nanoseconds);
    if (digits.empty() || !rest) {
        return std::nullopt;
    }
    return std::chrono::nanoseconds{*whole * unit->nanoseconds + *rest};
}

auto format_duration(base::duration span) -> std::string {
    auto const count = std::chrono::duration_cast<std::chrono::nanoseconds>(span).count();
    if (count == 0) {
        return "0s";
    }
    auto const* const unit = std::find_if(
        time_units.begin(), time_units.end(),
        [count](time_unit const& candidate) { return count % candidate.nanoseconds == 0; });
    return fmt::format("{}{}", count / unit->nanoseconds, unit->suffix);
}

auto parse_endpoint(std::string_view text) -> std::optional<base::endpoint> {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto address = text.substr(0, colon);
    auto const bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    auto const is_version_6 = address.find(':') != std::string_view::npos;
    auto const port = parse_digits<std::uint16_t>(text.substr(colon + 1));
    auto result = base::endpoint{std::string{address}, port.value_or(0)};
    if (!port || bracketed != is_version_6 || !parse_address(result.address)) {
        return std::nullopt;
    }
    return result;
}

auto format_endpoint(base::endpoint const& endpoint) -> std::string {
    auto const is_version_6 = endpoint.address.find(':') != std::string::npos;
    return is_version_6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
                        : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

auto is_name(std::string_view text) -> bool {
    auto const is_character = [](char character) {
        return is_letter(character) || is_digit(character) || character == '.' ||
               character == '_' || character == '-';
    };
    return !text.empty() && text.size() <= max_name_characters &&
           (is_letter(text.front()) || is_digit(text.front())) &&
           std::all_of(text.begin(), text.end(), is_character);
}

}  // namespace linnetlane::settings

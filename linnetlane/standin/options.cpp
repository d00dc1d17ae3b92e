#include "linnetlane/standin/options.h"

#include <charconv>
#include <string_view>

namespace linnetlane::standin {

namespace {

auto parse_port(std::string_view text) -> std::optional<std::uint16_t> {
    auto port = std::uint16_t{0};
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return port;
}

auto parse_role(std::string_view text) -> std::optional<engine_role> {
    if (text == "prefill") {
        return engine_role::prefill;
    }
    return text == "decode" ? std::optional{engine_role::decode} : std::nullopt;
}

}  // namespace

auto parse_engine_option(std::string const& text) -> std::optional<engine_option> {
    auto const last = text.rfind(':');
    if (last == std::string::npos || last == 0) {
        return std::nullopt;
    }
    auto const middle = text.rfind(':', last - 1);
    if (middle == std::string::npos || middle == 0) {
        return std::nullopt;
    }
    auto const role = parse_role(std::string_view{text}.substr(middle + 1, last - middle - 1));
    auto const port = parse_port(std::string_view{text}.substr(last + 1));
    if (!role || !port) {
        return std::nullopt;
    }
    return engine_option{text.substr(0, middle), *role, *port};
}

auto parse_endpoint(std::string const& text) -> std::optional<base::endpoint> {
    auto const colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto const port = parse_port(std::string_view{text}.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    return base::endpoint{text.substr(0, colon), *port};
}

auto parse_relay_option(std::string const& text) -> std::optional<relay_option> {
    auto const equals = text.find('=');
    if (equals == std::string::npos) {
        return std::nullopt;
    }
    auto const port = parse_port(std::string_view{text}.substr(0, equals));
    auto const target = parse_endpoint(text.substr(equals + 1));
    if (!port || !target) {
        return std::nullopt;
    }
    return relay_option{*port, *target};
}

}  // namespace linnetlane::standin

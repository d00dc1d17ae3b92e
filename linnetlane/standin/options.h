// Parsers for the option values of `linnetlane_standin`.

#ifndef LINNETLANE_STANDIN_OPTIONS_H_
#define LINNETLANE_STANDIN_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/result.h"
#include "linnetlane/standin/engine_model.h"

namespace linnetlane::standin {

// An engine to serve: `id:role:port`, with role prefill or decode; port 0 takes a free port.
struct engine_option {
    std::string id;
    engine_role role = engine_role::decode;
    std::uint16_t port = 0;
};

// Returns nothing if `text` is malformed.
[[nodiscard]] auto parse_engine_option(std::string const& text) -> std::optional<engine_option>;

// Parses `ip:port`. Returns nothing if it has no port; the IP address is not checked.
[[nodiscard]] auto parse_endpoint(std::string const& text) -> std::optional<base::endpoint>;

// A link of the relay: `port=ip:port`, the port to listen on and the target.
struct relay_option {
    std::uint16_t port = 0;
    base::endpoint target;
};

// Returns nothing if `text` is malformed.
[[nodiscard]] auto parse_relay_option(std::string const& text) -> std::optional<relay_option>;

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_OPTIONS_H_

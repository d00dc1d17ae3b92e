// Encodes and decodes the messages between hosts. The Thrift types are not exposed.

#ifndef LINNETLANE_ROUTER_PEER_CODEC_H_
#define LINNETLANE_ROUTER_PEER_CODEC_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

// A request to a host that reads the registry, for the changes after a position.
struct changes_question {
    registry_position after;
    // How long the host may wait for a change before it answers.
    base::duration wait{};
    // The version of the configuration in force at the requesting host.
    routing::configuration_version configuration;
};

// The changes since the position in a request.
struct registry_update {
    upstream_changes upstreams;
    // Null unless it is newer than that of the requesting host.
    std::shared_ptr<routing::configuration const> configuration;
};

using changes_answer = base::result<registry_update, registry_failure>;

[[nodiscard]] auto encode(changes_question const& question) -> std::string;
[[nodiscard]] auto encode(changes_answer const& answer) -> std::string;

// Returns nothing if `text` is malformed or holds values that are out of bounds.
[[nodiscard]] auto decode_question(std::string_view text) -> std::optional<changes_question>;
// Returns `registry_failure::malformed` if `text` is malformed.
[[nodiscard]] auto decode_answer(std::string_view text) -> changes_answer;

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PEER_CODEC_H_

// Writes and reads what hosts ask each other. The Thrift types stay behind this header.

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

// Asks a host that reads the registry for the changes after a position.
struct changes_question {
    registry_position after;
    // How long the answer may take when there is no change.
    base::duration wait{};
    // Of the configuration in force at the asking host.
    routing::configuration_version configuration;
};

struct registry_news {
    upstream_changes upstreams;
    // Null unless it is newer than the asker's.
    std::shared_ptr<routing::configuration const> configuration;
};

using changes_answer = base::result<registry_news, registry_failure>;

[[nodiscard]] auto encode(changes_question const& question) -> std::string;
[[nodiscard]] auto encode(changes_answer const& answer) -> std::string;

// Nothing if `text` is none, or holds values that are out of bounds.
[[nodiscard]] auto decode_question(std::string_view text) -> std::optional<changes_question>;
// `malformed` if `text` is none.
[[nodiscard]] auto decode_answer(std::string_view text) -> changes_answer;

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PEER_CODEC_H_

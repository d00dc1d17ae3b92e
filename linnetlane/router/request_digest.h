// Knows a request again when its caller repeats it.

#ifndef LINNETLANE_ROUTER_REQUEST_DIGEST_H_
#define LINNETLANE_ROUTER_REQUEST_DIGEST_H_

#include <cstddef>
#include <utility>

#include <fmt/format.h>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/sha256.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

// Returns what requests with the same method, target, caller and body have in common, at all hosts.
// Nobody can make a request with the digest of another caller's.
[[nodiscard]] inline auto digest_of(caller_request const& request) -> base::request_digest {
    constexpr auto digest_digits = std::size_t{32};
    auto const& forwarded = request.forwarded;
    auto digest = base::sha256_hex(fmt::format("{}\n{}\n{}\n{}", forwarded.method, forwarded.target,
                                               request.caller, base::sha256_hex(forwarded.body)));
    digest.resize(digest_digits);
    return base::request_digest{std::move(digest)};
}

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REQUEST_DIGEST_H_

// etcd's published v3 JSON gateway as text: request bodies and answers. Pure functions.
//
// Keys and values are base64, 64-bit numbers are strings.

#ifndef LINNETLANE_COORDINATION_ETCD_JSON_H_
#define LINNETLANE_COORDINATION_ETCD_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/coordination/store.h"

namespace linnetlane::coordination {

// A POST to the gateway.
struct gateway_request {
    std::string target;
    std::string body;
};

// An answer that isn't what the protocol says.
enum class gateway_failure { not_json, missing_field, bad_field, error_answer };

[[nodiscard]] auto to_gateway(read_key const& call) -> gateway_request;
[[nodiscard]] auto to_gateway(read_prefix const& call) -> gateway_request;
[[nodiscard]] auto to_gateway(compare_and_swap const& call) -> gateway_request;
[[nodiscard]] auto to_gateway(watch_prefix const& call) -> gateway_request;
[[nodiscard]] auto to_gateway(grant_lease const& call) -> gateway_request;
[[nodiscard]] auto to_gateway(keep_alive const& call) -> gateway_request;
[[nodiscard]] auto to_gateway(revoke_lease const& call) -> gateway_request;

using gateway_answer = base::result<store_answer, gateway_failure>;

[[nodiscard]] auto parse_entries(call_number call, std::string_view text) -> gateway_answer;
[[nodiscard]] auto parse_swap(call_number call, std::string_view text) -> gateway_answer;
[[nodiscard]] auto parse_granted(call_number call, std::string_view text) -> gateway_answer;
[[nodiscard]] auto parse_kept(call_number call, std::string_view text) -> gateway_answer;
// One line of a watch. `watch_ended` if the gateway cancelled it; no changes for other notices.
[[nodiscard]] auto parse_watch_line(call_number call, std::string_view text) -> gateway_answer;

}  // namespace linnetlane::coordination

#endif  // LINNETLANE_COORDINATION_ETCD_JSON_H_

// Encodes requests to etcd's v3 JSON gateway and parses its answers. Pure functions.
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

// Target and body of a POST request to the gateway.
struct gateway_request {
    std::string target;
    std::string body;
};

// Why an answer could not be parsed.
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
// Parses one line of a watch: `watch_ended` if the gateway cancelled the watch, otherwise its
// changes, which may be none.
[[nodiscard]] auto parse_watch_line(call_number call, std::string_view text) -> gateway_answer;

}  // namespace linnetlane::coordination

#endif  // LINNETLANE_COORDINATION_ETCD_JSON_H_

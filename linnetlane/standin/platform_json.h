// JSON encoding of the platform's calls, as in the published etcd v3 gateway: keys and values are
// base64, 64-bit integers are strings, and fields with default values are omitted.

#ifndef LINNETLANE_STANDIN_PLATFORM_JSON_H_
#define LINNETLANE_STANDIN_PLATFORM_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "linnetlane/standin/platform_model.h"

namespace linnetlane::standin {

[[nodiscard]] auto read_range(nlohmann::json const& body) -> range_request;
[[nodiscard]] auto read_put(nlohmann::json const& body) -> put_request;
[[nodiscard]] auto read_delete(nlohmann::json const& body) -> delete_request;
[[nodiscard]] auto read_transaction(nlohmann::json const& body) -> transaction_request;
[[nodiscard]] auto read_watch(nlohmann::json const& body) -> watch_request;

// Whether either branch holds a put or a deletion.
[[nodiscard]] auto has_writes(transaction_request const& request) -> bool;

// `{"header":{...}}` of a response at `revision`.
[[nodiscard]] auto write_header(std::int64_t revision) -> nlohmann::json;
[[nodiscard]] auto write_range(range_answer const& answer, std::int64_t revision) -> nlohmann::json;
[[nodiscard]] auto write_delete(delete_answer const& answer, std::int64_t revision)
    -> nlohmann::json;
[[nodiscard]] auto write_transaction(transaction_answer const& answer, std::int64_t revision)
    -> nlohmann::json;
[[nodiscard]] auto write_lease(lease_answer const& answer, std::int64_t revision) -> nlohmann::json;
[[nodiscard]] auto write_changes(watch_delivery const& delivery) -> nlohmann::json;

// A failure's body and its HTTP status.
struct failure_text {
    int status = 500;
    nlohmann::json body;
};
[[nodiscard]] auto write_failure(platform_failure failure) -> failure_text;
// A failure with HTTP status `status` and gRPC code `code`.
[[nodiscard]] auto write_failure(int status, int code, char const* message) -> failure_text;

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_PLATFORM_JSON_H_

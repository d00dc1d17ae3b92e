// Client of a host's operator interface, for threads outside of the runtime's worker pool.
//
//   auto client = operator_client{http_transport(address)};
//   auto const listed = client.call<service_list>(list_services{});

#ifndef LINNETLANE_CTL_OPERATOR_CLIENT_H_
#define LINNETLANE_CTL_OPERATOR_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/result.h"
#include "linnetlane/ctl/operator_api.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::ctl {

// Sends a request to a host and returns the response. Blocks the calling thread.
using transport = std::function<base::result<runtime::http_response, runtime::http_failure>(
    runtime::http_request const&)>;

// Returns a transport over HTTP to `host` that opens a new connection for each request.
[[nodiscard]] auto http_transport(base::endpoint const& host) -> transport;

// Why a call failed: no response, an error from the host, or a response that could not be parsed.
using call_failure = std::variant<runtime::http_failure, api_error, message_failure>;

// Thread-compatible.
class operator_client {
public:
    explicit operator_client(transport exchange_function)
        : exchange{std::move(exchange_function)} {}

    // Performs `operation` and parses its answer.
    template <has_json_fields Message>
    [[nodiscard]] auto call(operator_call const& operation, std::string body = {}) const
        -> base::result<Message, call_failure> {
        auto result = this->call_text(operation, std::move(body));
        if (auto const* failure = base::failure_of(result)) {
            return *failure;
        }
        auto read = parse_message<Message>(base::value_of(result));
        if (auto const* failure = base::failure_of(read)) {
            return call_failure{*failure};
        }
        return base::take_value(std::move(read));
    }

    // Performs `operation` and returns the text of its answer.
    [[nodiscard]] auto call_text(operator_call const& operation, std::string body = {}) const
        -> base::result<std::string, call_failure>;

private:
    transport exchange;
};

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_OPERATOR_CLIENT_H_

#include "linnetlane/ctl/operator_client.h"

#include <chrono>
#include <future>

#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::ctl {

namespace {

constexpr auto call_timeout = std::chrono::seconds{20};
constexpr auto min_error_status = 400;

using exchange_result = base::result<runtime::http_response, runtime::http_failure>;

auto exchange_on_worker(base::endpoint const& host, runtime::http_request const& request)
    -> exchange_result {
    auto pool = runtime::worker_pool{runtime::worker_count{1}};
    auto answer = std::promise<exchange_result>{};
    pool.spawn([&] {
        auto const deadline = base::monotonic_clock::now() + call_timeout;
        answer.set_value(runtime::fetch(host, request, runtime::connection_use::fresh, deadline));
    });
    auto result = answer.get_future().get();
    pool.stop();
    pool.join();
    return result;
}

}  // namespace

auto http_transport(base::endpoint const& host) -> transport {
    return
        [host](runtime::http_request const& request) { return exchange_on_worker(host, request); };
}

auto operator_client::call_text(operator_call const& operation, std::string body) const
    -> base::result<std::string, call_failure> {
    auto line = format_call(operation);
    auto request = runtime::http_request{};
    request.method = std::string{line.method};
    request.target = std::move(line.target);
    request.body = std::move(body);
    auto const result = this->exchange(request);
    if (auto const* failure = base::failure_of(result)) {
        return call_failure{*failure};
    }
    auto const& response = base::value_of(result);
    if (response.status < min_error_status) {
        return response.body;
    }
    auto const error = parse_error(response.body);
    if (auto const* failure = base::failure_of(error)) {
        return call_failure{*failure};
    }
    return call_failure{base::value_of(error)};
}

}  // namespace linnetlane::ctl

#include "linnetlane/standin/relay_control.h"

#include <map>
#include <optional>
#include <string>

#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

constexpr auto status_ok = 200;
constexpr auto status_bad_request = 400;

auto read_mode(std::string const& text) -> std::optional<link_mode> {
    static auto const modes = std::map<std::string, link_mode>{
        {"open", link_mode::open},
        {"unstall", link_mode::open},
        {"cut", link_mode::cut},
        {"cut_to_target", link_mode::cut_to_target},
        {"cut_to_client", link_mode::cut_to_client},
        {"stall", link_mode::stalled},
    };
    auto const found = modes.find(text);
    return found == modes.end() ? std::nullopt : std::optional{found->second};
}

auto handle(relay& links, runtime::http_request const& request) -> int {
    auto const body = parse_object(request.body);
    auto const mode = body ? read_mode(text_field(*body, "mode")) : std::nullopt;
    if (!mode) {
        return status_bad_request;
    }
    auto port = std::optional<std::uint16_t>{};
    if (has_field(*body, "port")) {
        port = static_cast<std::uint16_t>(integer_field(*body, "port"));
    }
    auto const delay = std::chrono::milliseconds{integer_field(*body, "delay_ms")};
    links.set(port, link_state{*mode, delay});
    return status_ok;
}

}  // namespace

auto serve_relay_control(runtime::worker_pool& pool, base::endpoint const& address, relay& links)
    -> std::unique_ptr<runtime::http_server> {
    return std::make_unique<runtime::http_server>(
        pool, address, runtime::http_limits{},
        [&links](runtime::http_request const& request, runtime::http_responder& responder) {
            auto answer = runtime::http_response{};
            answer.status = handle(links, request);
            answer.body = "{}";
            responder.send(answer);
        });
}

}  // namespace linnetlane::standin

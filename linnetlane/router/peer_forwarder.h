// Forwards a request through another host while this one reaches no upstream. The other host treats
// it like a request of its own callers, but doesn't pass it on to a third one.

#ifndef LINNETLANE_ROUTER_PEER_FORWARDER_H_
#define LINNETLANE_ROUTER_PEER_FORWARDER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/peer_directory.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Handles one request. `run` is called once, in a fiber.
template <router_wire Wire>
class peer_forwarder {
public:
    // The number of hosts that are asked before the request is refused.
    static constexpr auto max_peers = std::size_t{4};
    static constexpr auto max_answer_bytes = std::size_t{8} * 1024 * 1024;

    explicit peer_forwarder(request_context const& own_context) : context{own_context} {}

    // Returns after the caller has been answered or has left. Returns nothing if no host took the
    // request, so that it has not run; the caller has not been answered then.
    auto run() -> std::optional<request_result> {
        auto& directory = this->context.host.view.peers;
        this->bound = this->bind_version();
        while (this->tried.size() < max_peers) {
            auto const now = base::monotonic_clock::now();
            auto const peer = directory.pick(this->tried, this->context.host.view.draw(), now);
            auto const may_begin =
                this->may_have_run || this->context.host.shutdown.admits_work(now);
            if (!peer || !may_begin || now >= this->context.answer_by()) {
                break;
            }
            this->tried.insert(peer->host);
            if (auto const end = this->attempt(*peer)) {
                return end;
            }
            directory.note_unusable(peer->host, base::monotonic_clock::now());
        }
        return this->may_have_run
                   ? std::optional{refuse<Wire>(
                         this->context, refusal{refusal_reason::outcome_unknown, std::nullopt})}
                   : std::nullopt;
    }

private:
    // Binds the request here, so that this host and all that it is sent to agree on the version. If
    // this host knows no upstream, the other host binds it.
    auto bind_version() -> std::optional<base::software_version> {
        if (this->context.required) {
            return this->context.bind_version(*this->context.required);
        }
        auto& view = this->context.host.view;
        auto const software =
            view.draw_version(this->context.service, this->context.caller.size.has_value() &&
                                                         this->context.route.generates);
        return software ? this->context.bind_version(*software) : std::nullopt;
    }

    // Returns the result, or nothing if another host may be asked.
    auto attempt(host_entry const& peer) -> std::optional<request_result> {
        auto const time_left = this->context.answer_by() - base::monotonic_clock::now();
        auto result =
            exchange<Wire>(this->context, *peer.peers,
                           make_forward_request(
                               {this->context.caller.forwarded, time_left, this->context.caller.key,
                                this->context.configuration->version, this->bound}),
                           connection_use_for(this->context.route), this->context.answer_by());
        if (auto const* const failure = std::get_if<exchange_failure_kind>(&result)) {
            return this->after_failure(peer, *failure);
        }
        auto& opened = std::get<opened_answer>(result);
        if (is_forward_refusal(opened.head, opened.stream.fields())) {
            this->log(peer, "host didn't take the request", opened.head.status);
            return arrives_whole(this->context, opened) ? std::nullopt : this->retry_or_give_up();
        }
        this->log(peer, "forwarded", opened.head.status);
        auto const success = opened.head.status >= 200 && opened.head.status < 300;
        return success && this->context.route.streams ? this->relay_stream(opened)
                                                      : this->forward_whole(peer, opened);
    }

    auto after_failure(host_entry const& peer, exchange_failure_kind failure)
        -> std::optional<request_result> {
        switch (failure) {
            case exchange_failure_kind::not_sent:
                this->log(peer, "not sent", 0);
                return std::nullopt;
            case exchange_failure_kind::caller_left:
                return request_result{request_outcome::caller_left};
            case exchange_failure_kind::timed_out:
                return refuse<Wire>(this->context,
                                    refusal{refusal_reason::timed_out, std::nullopt});
            case exchange_failure_kind::unknown:
            case exchange_failure_kind::unusable_answer:
                break;
        }
        this->log(peer, "no answer", 0);
        return this->retry_or_give_up();
    }

    auto retry_or_give_up() -> std::optional<request_result> {
        this->may_have_run = true;
        auto& view = this->context.host.view;
        auto const may_repeat =
            this->context.route.semantics == routing::execution_semantics::idempotent &&
            view.try_retry(this->context.service, base::monotonic_clock::now());
        if (may_repeat) {
            return std::nullopt;
        }
        return refuse<Wire>(this->context, refusal{refusal_reason::outcome_unknown, std::nullopt});
    }

    auto forward_whole(host_entry const& peer, opened_answer& opened)
        -> std::optional<request_result> {
        auto body = opened.stream.read_all(max_answer_bytes, this->context.answer_by());
        if (auto const* const failed = base::failure_of(body)) {
            if (this->context.cancelled.cancelled()) {
                return request_result{request_outcome::caller_left};
            }
            this->log(peer, "answer is incomplete", opened.head.status);
            log_broken_answer(this->context, opened.from, *failed);
            if (this->context.has_timed_out(*failed)) {
                return refuse<Wire>(this->context,
                                    refusal{refusal_reason::timed_out, std::nullopt});
            }
            return this->retry_or_give_up();
        }
        auto const sent = this->context.responder.send({opened.head.status,
                                                        Wire::answer_fields(opened.stream.fields()),
                                                        base::take_value(std::move(body))});
        return request_result{sent ? request_outcome::answered : request_outcome::caller_left,
                              opened.head.status};
    }

    auto relay_stream(opened_answer& opened) -> request_result {
        auto const status = opened.head.status;
        auto& responder = this->context.responder;
        auto sent = responder.start(status, Wire::answer_fields(opened.stream.fields()));
        while (sent) {
            auto const piece = opened.stream.read_some(this->context.answer_by());
            if (auto const* const failed = base::failure_of(piece)) {
                log_broken_answer(this->context, opened.from, *failed);
                responder.abort();
                return request_result{request_outcome::cut_off, status};
            }
            auto const& bytes = base::value_of(piece);
            if (bytes.empty()) {
                sent = responder.finish();
                break;
            }
            sent = responder.write(bytes);
        }
        return request_result{sent ? request_outcome::answered : request_outcome::caller_left,
                              status};
    }

    // `status` is the status of the host's answer, or 0 if there was none.
    auto log(host_entry const& peer, telemetry::literal what, int status) const -> void {
        this->context.host.log.write(telemetry::log_level::info, "request sent to another host",
                                     {this->context.caller.id,
                                      telemetry::field::peer(peer.host),
                                      {"what", what},
                                      {"status", static_cast<std::int64_t>(status)}});
    }

    request_context const& context;
    // The software version of the upstreams that may run the request; nothing if it may be any.
    std::optional<base::software_version> bound;
    std::set<base::host_id> tried;
    bool may_have_run = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PEER_FORWARDER_H_

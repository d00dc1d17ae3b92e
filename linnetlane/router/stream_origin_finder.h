// Finds the software version of a stream that a caller resumes.
//
// The host that received the request which began the stream has bound it to a version and recorded
// that in the registry, so that the version doesn't follow from what the other hosts were told. The
// sources, in this order:
//
// 1. this host's memory;
// 2. the record in the registry;
// 3. without a record, the only version that there was for as long as a stream can be resumed, if
//    the registry shows that this host knows all changes. A host that has just started has to be
//    told by another one: the version that began the stream may have left just before, and the
//    registry may have taken no record of it;
// 4. other hosts, which have the same sources;
// 5. if most of these have no answer of the registry either, and know the same version only, that
//    one. Otherwise this host may be cut off while others know a newer version.

#ifndef LINNETLANE_ROUTER_STREAM_ORIGIN_FINDER_H_
#define LINNETLANE_ROUTER_STREAM_ORIGIN_FINDER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/request_context.h"
#include "linnetlane/router/stream_origins.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
template <router_registry Registry>
class stream_origin_finder {
public:
    // A caller waits for the answer to a lookup.
    static constexpr auto lookup_timeout = std::chrono::milliseconds{400};
    // The time for other hosts to answer. They may ask the registry themselves.
    static constexpr auto peer_timeout = std::chrono::milliseconds{500};
    static constexpr auto peer_check_interval = std::chrono::milliseconds{5};
    // The number of hosts of this data centre, and of others, that are asked.
    static constexpr auto max_asked = std::size_t{4};

    stream_origin_finder(Registry& own_registry, host_context const& own_host)
        : registry{own_registry}, host{own_host} {}

    // Returns the software version that began the stream which `request` resumes, or nothing if it
    // is not known. Suspends the calling fiber.
    auto find(caller_request const& request, base::service_id const& service)
        -> std::optional<base::software_version> {
        auto const question =
            origin_question{request.resumed_request.value_or(base::caller_request_id{}), service};
        auto found = this->find_here(question);
        if (!found.software) {
            found = this->find_elsewhere(question, found);
        }
        this->host.metrics.count_origin(found.source, found.software.has_value());
        this->host.log.write(
            telemetry::log_level::info, "origin of a resumed stream",
            {request.id,
             service,
             telemetry::field::named("resumes", question.request),
             telemetry::field::named("software", found.software.value_or(base::software_version{})),
             {"known", found.software.has_value()},
             {"source", describe(found.source)}});
        return found.software;
    }

    // Answers another host.
    auto find_for_host(origin_question const& question) -> origin_answer {
        auto answer = origin_answer{};
        answer.sole_version = this->view_version(question.service);
        if (question.memory_only) {
            answer.software = this->host.view.origins.find(question.request);
            return answer;
        }
        auto const found = this->find_here(question);
        answer.software = found.software;
        answer.registry_answered = found.source != origin_source::registry_unavailable;
        return answer;
    }

private:
    struct finding {
        std::optional<base::software_version> software;
        origin_source source;
    };

    // Uses this host's memory and the registry.
    auto find_here(origin_question const& question) -> finding {
        if (auto known = this->host.view.origins.find(question.request)) {
            return {known, origin_source::memory};
        }
        if (stream_origins::is_recordable(question.request)) {
            auto const found = this->registry.find_stream(
                question.request, base::monotonic_clock::now() + lookup_timeout);
            if (base::failure_of(found) != nullptr) {
                return {std::nullopt, origin_source::registry_unavailable};
            }
            if (auto const& recorded = base::value_of(found)) {
                return {recorded, origin_source::record};
            }
        }
        return this->infer(question.service);
    }

    // Returns the only version that this host has known for as long as a stream can be resumed.
    [[nodiscard]] auto view_version(base::service_id const& service) const
        -> std::optional<base::software_version> {
        return this->host.view.service(service).versions.certain_version(
            base::monotonic_clock::now());
    }

    // Returns the only version of the service's upstreams, if changes that this host has not read
    // yet can't bring another one.
    auto infer(base::service_id const& service) -> finding {
        auto& view = this->host.view;
        auto const changes = this->registry.read_changes(
            view.feed.position(), base::monotonic_clock::now() + lookup_timeout);
        auto const* const failure = base::failure_of(changes);
        if (failure != nullptr) {
            // Lost changes may have brought any version.
            return {std::nullopt, *failure == registry_failure::history_lost
                                      ? origin_source::no_record
                                      : origin_source::registry_unavailable};
        }
        auto inferred =
            view.service(service).versions.certain_version(base::monotonic_clock::now());
        auto const& unread = base::value_of(changes);
        auto const is_other = [&](routing::upstream_record const& record) {
            return record.service == service && record.software != inferred;
        };
        auto const came_and_left = [&](base::upstream_id const& id) {
            return view.upstreams.find(id) == nullptr;
        };
        if (std::ranges::any_of(unread.put, is_other) ||
            std::ranges::any_of(unread.removed, came_and_left)) {
            inferred.reset();
        }
        return {inferred, origin_source::no_record};
    }

    // Asks other hosts, at the same time, after `own` gave no version.
    auto find_elsewhere(origin_question question, finding const& own) -> finding {
        struct answers {
            std::vector<origin_answer> received;
            std::size_t ended = 0;
        };
        auto const registry_answered = own.source != origin_source::registry_unavailable;
        if (registry_answered && !stream_origins::is_recordable(question.request)) {
            return own;
        }
        question.memory_only = registry_answered;
        auto const asked = this->host.view.hosts_to_ask(max_asked, base::monotonic_clock::now());
        auto const deadline = base::monotonic_clock::now() + peer_timeout;
        auto const results = std::make_shared<answers>();
        for (auto const& each : asked) {
            this->host.pool.spawn([each, question, deadline, results] {
                auto const fetched =
                    runtime::fetch(*each.peers, make_origin_request(question),
                                   runtime::connection_use::pooled, deadline, max_peer_answer);
                auto const* const response = std::get_if<runtime::http_response>(&fetched);
                auto answer = response != nullptr && response->status == 200
                                  ? decode_origin_answer(response->body)
                                  : std::nullopt;
                if (answer) {
                    results->received.push_back(*std::move(answer));
                }
                ++results->ended;
            });
        }
        auto const is_known = [&] {
            return std::ranges::any_of(results->received,
                                       [](auto const& each) { return each.software.has_value(); });
        };
        while (!is_known() && results->ended < asked.size() &&
               base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(base::monotonic_clock::now() + peer_check_interval);
        }
        for (auto const& each : results->received) {
            if (each.software) {
                return {each.software, origin_source::other_host};
            }
        }
        return registry_answered
                   ? own
                   : this->conclude(question.service, asked.size(), results->received);
    }

    // Returns the only version that this host knows, if most of the hosts that were asked have no
    // answer of the registry either and know no other version. Fewer may be cut off together with
    // this host.
    auto conclude(base::service_id const& service, std::size_t asked,
                  std::vector<origin_answer> const& received) -> finding {
        auto const known = this->view_version(service);
        auto const agrees = [&](origin_answer const& each) {
            return !each.registry_answered && each.sole_version == known;
        };
        auto const is_only_host = asked == 0 && this->host.view.known_hosts() == 1;
        // Few hosts are asked; where most of the asked are fewer than half of all hosts, a group
        // that is cut off together could confirm itself.
        auto const hosts = std::max(this->host.view.known_hosts(), std::size_t{1});
        auto const counted = std::min(hosts, 2 * max_asked + 1);
        auto const most_answered =
            2 * received.size() > asked && 2 * (received.size() + 1) > counted;
        auto const may_conclude =
            is_only_host || (most_answered && std::ranges::all_of(received, agrees));
        return {may_conclude ? known : std::nullopt, origin_source::registry_unavailable};
    }

    static auto describe(origin_source source) -> telemetry::literal {
        switch (source) {
            case origin_source::memory:
                return "this host";
            case origin_source::record:
                return "record";
            case origin_source::other_host:
                return "another host";
            case origin_source::no_record:
                return "no record";
            case origin_source::registry_unavailable:
                break;
        }
        return "no answer from the registry";
    }

    Registry& registry;
    host_context const& host;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_STREAM_ORIGIN_FINDER_H_

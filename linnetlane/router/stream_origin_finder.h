// Finds the software version of a stream that a caller resumes.
//
// The host that received the request which began the stream has bound it to a version and recorded
// that in the registry, so that the version doesn't follow from what the other hosts were told. The
// sources, in this order:
//
// 1. this host's memory;
// 2. the record in the registry;
// 3. without a record, the only version that there was for as long as a stream can be resumed, if
// the
//    registry shows that this host knows all changes;
// 4. if the registry gives no answer, other hosts, which have the same sources;
// 5. if they have no answer of the registry either, the only version that this host has known for
// so
//    long. A host that reaches neither the registry nor another host concludes nothing: the others
//    may know a newer version.

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
    // The time for other hosts to answer, which look the record up themselves.
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
        if (!found.software && found.source == origin_source::registry_unavailable) {
            found = this->find_elsewhere(question);
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

    // Answers another host, which has no answer of the registry.
    auto find_for_host(origin_question const& question) -> std::optional<base::software_version> {
        return this->find_here(question).software;
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

    // Returns the only version of the service's upstreams, if changes that this host may not have
    // read yet bring no other one.
    auto infer(base::service_id const& service) -> finding {
        auto const changes = this->read_changes();
        auto const* const failure = base::failure_of(changes);
        if (failure != nullptr && *failure != registry_failure::history_lost) {
            return {std::nullopt, origin_source::registry_unavailable};
        }
        auto inferred = this->host.view.service(service).versions.version_without_record(
            base::monotonic_clock::now());
        auto const contradicts = [&](routing::upstream_record const& record) {
            return record.service == service && record.software != inferred;
        };
        if (failure != nullptr || std::ranges::any_of(base::value_of(changes), contradicts)) {
            inferred.reset();
        }
        return {inferred, origin_source::no_record};
    }

    // Returns the records that changed after the newest change that this host has read.
    auto read_changes() -> base::result<std::vector<routing::upstream_record>, registry_failure> {
        auto const deadline = base::monotonic_clock::now() + lookup_timeout;
        auto changes = this->registry.read_changes(this->host.view.feed.position(), deadline);
        if (base::succeeded(changes)) {
            return base::take_value(std::move(changes)).put;
        }
        if (*base::failure_of(changes) != registry_failure::history_lost) {
            return *base::failure_of(changes);
        }
        auto listing = this->registry.list_upstreams(deadline);
        if (auto const* const failure = base::failure_of(listing)) {
            return *failure;
        }
        return base::take_value(std::move(listing)).records;
    }

    // Asks other hosts at the same time.
    auto find_elsewhere(origin_question const& question) -> finding {
        struct answers {
            std::optional<base::software_version> software;
            std::size_t answered = 0;
            std::size_t ended = 0;
        };
        auto const asked = this->hosts_to_ask();
        auto const deadline = base::monotonic_clock::now() + peer_timeout;
        auto const results = std::make_shared<answers>();
        for (auto const& each : asked) {
            this->host.pool.spawn([each, question, deadline, results] {
                auto const fetched = runtime::fetch(*each.peers, make_origin_request(question),
                                                    runtime::connection_use::pooled, deadline);
                auto const* const response = std::get_if<runtime::http_response>(&fetched);
                ++results->ended;
                if (response != nullptr && response->status == 200) {
                    ++results->answered;
                    auto software = decode_origin(response->body);
                    results->software = software ? software : results->software;
                }
            });
        }
        while (!results->software && results->ended < asked.size() &&
               base::monotonic_clock::now() < deadline) {
            runtime::sleep_until(base::monotonic_clock::now() + peer_check_interval);
        }
        if (results->software) {
            return {results->software, origin_source::other_host};
        }
        auto& view = this->host.view;
        auto const alone = results->answered == 0 && view.known_hosts() != 1;
        return {alone ? std::nullopt
                      : view.service(question.service)
                            .versions.certain_version(base::monotonic_clock::now()),
                origin_source::registry_unavailable};
    }

    // Returns hosts of this data centre that may be followed, and hosts of others.
    auto hosts_to_ask() -> std::vector<host_entry> {
        auto& view = this->host.view;
        auto asked = std::vector<host_entry>{};
        for (auto const& each : view.relays.known_hosts()) {
            auto const other = each.host != view.relays.own_entry().host;
            if (each.peers && other && asked.size() < max_asked) {
                asked.push_back(each);
            }
        }
        for (auto const& each : view.some_distant_readers(max_asked)) {
            asked.push_back(each);
        }
        return asked;
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

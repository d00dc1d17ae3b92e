// Tells the other hosts that read the registry what this host has learned, unless it follows one of
// them. Each of them passes it on to its followers.
//
// Sends what changed since the last report, and from time to time everything, for hosts that
// started since or missed a report. Sends nothing while there are no facts.

#ifndef LINNETLANE_ROUTER_FACT_PUBLISHER_H_
#define LINNETLANE_ROUTER_FACT_PUBLISHER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <utility>

#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only. `run` occupies one fiber.
class fact_publisher {
public:
    static constexpr auto interval = std::chrono::milliseconds{200};
    static constexpr auto full_interval = std::chrono::seconds{2};
    static constexpr auto report_timeout = std::chrono::milliseconds{500};
    // How long a host that didn't accept a report, such as one of an older version, is left alone.
    static constexpr auto declined_pause = std::chrono::seconds{20};

    explicit fact_publisher(host_context const& own_host) : host{own_host} {}

    // Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            runtime::sleep_until(base::monotonic_clock::now() + interval);
            auto const now = base::monotonic_clock::now();
            this->log_quarantines(now);
            // A followed host passes on what it is told with each question.
            if (!this->host.view.source && !this->host.view.facts.empty()) {
                this->publish(now);
            }
        }
    }

private:
    auto publish(base::time_point now) -> void {
        auto const& board = this->host.view.facts;
        auto const full = now >= this->next_full;
        if (full) {
            this->next_full = now + full_interval;
        }
        auto const facts =
            board.changed_since(full ? routing::fact_position{} : this->published, now);
        this->published = board.position();
        if (facts.empty()) {
            return;
        }
        std::erase_if(this->declined_until, [&](auto const& each) { return each.second <= now; });
        auto const report = make_fact_report(with_ages(facts, now));
        for (auto const& reader : this->host.view.other_readers) {
            if (!this->declined_until.contains(reader.host)) {
                this->host.pool.spawn([this, report, reader] { this->send(report, reader); });
            }
        }
    }

    auto send(runtime::http_request const& report, host_entry const& reader) -> void {
        auto const sent =
            runtime::fetch(*reader.peers, report, runtime::connection_use::pooled,
                           base::monotonic_clock::now() + report_timeout, max_peer_answer);
        auto const* const response = std::get_if<runtime::http_response>(&sent);
        // A host that can't be reached gets the facts with a later report.
        if (response != nullptr && response->status != 200) {
            this->declined_until[reader.host] = base::monotonic_clock::now() + declined_pause;
            this->host.log.write(telemetry::log_level::info, "host didn't accept facts",
                                 {telemetry::field::peer(reader.host),
                                  {"status", static_cast<std::int64_t>(response->status)}});
        }
    }

    // Logs the subjects whose quarantine began or ended.
    auto log_quarantines(base::time_point now) -> void {
        auto current = this->host.view.quarantine.quarantined(now);
        for (auto const& [subject, since] : current) {
            if (!this->quarantined.contains(subject)) {
                this->host.log.write(
                    telemetry::log_level::warning,
                    routing::is_whole_request(subject)
                        ? telemetry::literal{"request quarantined: upstreams end under it"}
                        : telemetry::literal{"prompt part quarantined: upstreams end under it"},
                    {field_for(subject), {"decided_ago", now - since}});
            }
        }
        for (auto const& [subject, since] : this->quarantined) {
            if (!current.contains(subject)) {
                this->host.log.write(telemetry::log_level::warning,
                                     routing::is_whole_request(subject)
                                         ? telemetry::literal{"quarantine of a request ended"}
                                         : telemetry::literal{"quarantine of a prompt part ended"},
                                     {field_for(subject), {"lasted", now - since}});
            }
        }
        if (current.size() != this->quarantined.size()) {
            auto const requests = static_cast<std::size_t>(std::ranges::count_if(
                current, [](auto const& each) { return routing::is_whole_request(each.first); }));
            this->host.metrics.set_quarantined(current.size() - requests, requests);
        }
        this->quarantined = std::move(current);
    }

    [[nodiscard]] static auto field_for(routing::quarantine_subject const& subject)
        -> telemetry::field {
        return routing::is_whole_request(subject) ? telemetry::field::named("subject", subject)
                                                  : telemetry::field::named("part", subject);
    }

    host_context const& host;
    routing::fact_position published;
    base::time_point next_full = base::time_point::min();
    std::map<base::host_id, base::time_point> declined_until;
    std::map<routing::quarantine_subject, base::time_point> quarantined;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_FACT_PUBLISHER_H_

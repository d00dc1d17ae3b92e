// Serves the operator API; see `ctl/operator_api.h` for its calls and messages.

#ifndef LINNETLANE_DAEMON_OPERATOR_SERVICE_H_
#define LINNETLANE_DAEMON_OPERATOR_SERVICE_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "linnetlane/ctl/operator_api.h"
#include "linnetlane/daemon/cell_directory.h"
#include "linnetlane/daemon/document_service.h"
#include "linnetlane/daemon/document_table.h"
#include "linnetlane/daemon/keeper_table.h"
#include "linnetlane/daemon/membership_service.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::daemon {

// Tracks how long versions take to come into force on other hosts, as observed by this host.
//
// Hosts publish a hash over the generations that they have. A host with the same hash as this host
// has the same versions in force. Thread-safe.
class generation_tracker {
public:
    // Records that a version of `service` came into force on this host.
    auto record_in_force(base::service_id const& service) -> void;
    // Records the hashes that the hosts publish now; `own` is this host's.
    auto record_digests(std::map<base::host_id, std::uint64_t> const& digests, std::uint64_t own)
        -> void;
    // Returns the seconds until `host` had the newest version of `service`; nothing if it doesn't
    // have it yet or that is unknown.
    [[nodiscard]] auto delay(base::service_id const& service, base::host_id const& host) const
        -> std::optional<double>;

private:
    // When the newest version came into force here and on the other hosts.
    struct version_age {
        base::time_point in_force_at;
        std::map<base::host_id, base::time_point> reached;
    };

    mutable std::mutex mutex;
    // Guarded by `mutex`.
    std::map<base::service_id, version_age> services;
};

// What the service reads and changes. All of it must outlive the worker pool.
struct operator_parts {
    membership_service& membership;
    document_service& documents;
    document_table& parsed_documents;
    keeper_table& keepers;
    generation_tracker& generations;
    std::function<directory_pointer()> directory;
    // Returns the conditions that are not yet met for callers to be sent here; empty when ready.
    std::function<std::vector<std::string>()> unmet_conditions;
    std::function<std::string()> scrape;
    std::function<std::vector<ctl::request_row>()> requests;
};

// Thread-safe.
class operator_service {
public:
    explicit operator_service(operator_parts const& own_parts) : parts(own_parts) {}

    // Serves one call; may suspend the calling fiber.
    auto handle(runtime::http_request const& request, runtime::http_responder& responder) -> void;

private:
    [[nodiscard]] auto answer(ctl::list_services const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::get_service const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::apply_service const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::remove_service const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::get_history const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::get_status const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::list_hosts const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::list_upstreams const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::list_requests const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::check_health const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::check_readiness const& call, std::string const& body)
        -> runtime::http_response;
    [[nodiscard]] auto answer(ctl::get_metrics const& call, std::string const& body)
        -> runtime::http_response;

    [[nodiscard]] auto find_version(base::service_id const& service) const
        -> std::optional<document::version>;
    [[nodiscard]] static auto to_answer(base::service_id const& service,
                                        change_outcome const& outcome) -> runtime::http_response;

    operator_parts parts;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_OPERATOR_SERVICE_H_

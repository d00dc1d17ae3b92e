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
// Each host publishes a digest of the versions that it has in force. A host whose digest equals
// this host's has the same versions in force. Thread-safe.
class generation_tracker {
public:
    // Records that a version of `service` came into force on this host.
    auto record_in_force(base::service_id const& service) -> void;
    // Records the digests that the hosts publish now; `own` is this host's.
    auto record_digests(std::map<base::host_id, std::uint64_t> const& digests, std::uint64_t own)
        -> void;
    // Returns the seconds from when the newest version of `service` came into force on this host
    // until `host` was first seen to have it; nothing if it hasn't been seen to have it.
    [[nodiscard]] auto delay(base::service_id const& service, base::host_id const& host) const
        -> std::optional<double>;

private:
    // When the newest version came into force here and on the other hosts.
    struct version_times {
        base::time_point in_force_at;
        std::map<base::host_id, base::time_point> reached;
    };

    mutable std::mutex mutex;
    // Guarded by `mutex`.
    std::map<base::service_id, version_times> services;
};

// The services and tables that `operator_service` uses. All must outlive the worker pool.
struct operator_dependencies {
    membership_service& membership;
    document_service& documents;
    document_table& parsed_documents;
    keeper_table& keepers;
    generation_tracker& generations;
    std::function<directory_pointer()> directory;
    // Returns the readiness conditions that are not yet met; empty if the host is ready for
    // callers.
    std::function<std::vector<std::string>()> unmet_conditions;
    std::function<std::string()> scrape;
    std::function<std::vector<ctl::request_row>()> requests;
};

// Thread-safe.
class operator_service {
public:
    explicit operator_service(operator_dependencies const& own_dependencies)
        : dependencies(own_dependencies) {}

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
    [[nodiscard]] auto answer(ctl::list_accounts const& call, std::string const& body)
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

    operator_dependencies dependencies;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_OPERATOR_SERVICE_H_

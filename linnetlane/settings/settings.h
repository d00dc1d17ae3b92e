// The settings of one host: its name, addresses and limits. Configuration that all hosts must agree
// on is in the service documents instead.

#ifndef LINNETLANE_SETTINGS_SETTINGS_H_
#define LINNETLANE_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::settings {

// The addresses that the host listens on. Port 0 selects a free port.
struct listen_addresses {
    // HTTP from callers.
    base::endpoint callers;
    // TCP from other hosts.
    base::endpoint peers;
    // HTTP from operators: metrics, health and the operator interface.
    base::endpoint operators;
};

// A host contacted at startup to discover the others.
struct seed_peer {
    base::host_id host;
    base::data_centre_id data_centre;
    base::endpoint address;

    friend auto operator==(seed_peer const&, seed_peer const&) -> bool = default;
};

enum class log_level { debug, info, warning, error };
enum class log_format { text, json };

struct log_settings {
    log_level level = log_level::info;
    log_format format = log_format::text;
};

// Where finished spans go.
enum class trace_output { off, standard_error, file };

struct trace_settings {
    trace_output output = trace_output::off;
    // Only for `trace_output::file`.
    std::string file;
};

// PEM files for one kind of connection; reloaded when they change.
struct tls_files {
    std::string certificate;
    std::string key;
    // CA certificates that verify the other side; if empty, no certificate is requested.
    std::string authority;
};

// Limits that keep one caller from exhausting the host.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t connections = 10'000;
    // From the first byte of a request to its last.
    base::duration request_arrival = std::chrono::seconds{10};
    // Between requests on a keep-alive connection.
    base::duration idle = std::chrono::seconds{60};
};

struct settings {
    base::host_id host;
    base::data_centre_id data_centre;
    // Worker threads, at least 1.
    std::size_t workers = 2;
    listen_addresses listen;
    // The platform's key-value service; tried in order.
    std::vector<base::endpoint> platform;
    std::vector<seed_peer> seeds;
    log_settings log;
    trace_settings trace;
    std::optional<tls_files> caller_tls;
    std::optional<tls_files> peer_tls;
    http_limits limits;
};

}  // namespace linnetlane::settings

#endif  // LINNETLANE_SETTINGS_SETTINGS_H_

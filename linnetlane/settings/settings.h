// The settings of one host: its name, its addresses and its bounds. What all hosts must agree on
// is in the service documents instead.

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

// Where the host listens. Port 0 takes a free port.
struct listen_addresses {
    // HTTP from callers.
    base::endpoint callers;
    // TCP from other hosts.
    base::endpoint peers;
    // HTTP from operators: metrics, health and the operator interface.
    base::endpoint operators;
};

// A host that is asked for the others at the start.
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

// PEM files of one side; read again when they change.
struct tls_files {
    std::string certificate;
    std::string key;
    // Signs the certificates that are accepted from the other side; empty asks for none.
    std::string authority;
};

// Bounds that keep one caller from using up the host.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t connections = 10'000;
    // From the first byte of a request to its last.
    base::duration request_arrival = std::chrono::seconds{10};
    // Between requests on a kept connection.
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

// A small deployment of real processes on loopback, for tests of the whole system.
//
// Each test process uses its own loopback addresses, so that tests can run in parallel.
//
//   auto cluster = system::cluster{};
//   cluster.start_platform();
//   cluster.start_engines({{"p1", "prefill"}, {"d1", "decode"}});
//   cluster.start_hosts({{"north-1", "bne-north"}, {"north-2", "bne-north"}});
//   cluster.apply(cluster.model_document("finding"));
//   auto const answer = cluster.complete("north-1", {"prompt", 20});

#ifndef LINNETLANE_SYSTEM_CLUSTER_H_
#define LINNETLANE_SYSTEM_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/system/process.h"

namespace linnetlane::system {

// Timeout of calls and of waits for a condition. It only bounds a test that would otherwise hang;
// no check depends on how long a condition takes.
inline constexpr auto wait_timeout = std::chrono::seconds{60};

struct engine_spec {
    std::string id;
    // `prefill` or `decode`.
    std::string role;
    std::string data_centre = "bne-north";
};

struct host_spec {
    std::string name;
    std::string data_centre;
};

// A completions request to a model service.
struct prompt_spec {
    std::string prompt;
    int max_tokens = 20;
    std::vector<std::pair<std::string, std::string>> headers;
};

// The result of a completions request.
struct completion {
    // HTTP status; 0 if there was no response.
    int status = 0;
    // The text received.
    std::string text;
    // Offsets of the chunks with text, in order of arrival.
    std::vector<std::int64_t> offsets;
    // Whether the end mark was received.
    bool complete = false;
    // The error object of the response; null if there was none.
    nlohmann::json error;
    std::optional<std::string> retry_after;
};

// Thread-compatible. Its calls block the calling thread, except those that run in the background.
// `start_hosts`, `apply`, `control` and the `await_` functions throw `std::runtime_error` on
// failure.
class cluster {
public:
    cluster();
    cluster(cluster const&) = delete;
    auto operator=(cluster const&) -> cluster& = delete;
    cluster(cluster&&) = delete;
    auto operator=(cluster&&) -> cluster& = delete;
    ~cluster();

    // ---- Processes ----

    // Starts the platform stand-in. `options` are further arguments of its command line.
    auto start_platform(std::vector<std::string> const& options = {}) -> void;
    // Starts each engine in a separate process.
    auto start_engines(std::vector<engine_spec> const& engines,
                       std::vector<std::string> const& options = {}) -> void;
    // Starts an instance of a plain service.
    auto start_plain(std::string const& id, std::string const& data_centre = "bne-north") -> void;
    // Starts the hosts, each with all of them as seeds, and waits until all are ready and list each
    // other.
    auto start_hosts(std::vector<host_spec> const& hosts) -> void;
    // Starts an additional host, or restarts one, without waiting until it is ready.
    auto start_host(host_spec const& host) -> void;
    // Waits until `host` reports that it is ready.
    auto await_ready(std::string const& host) -> void;
    // The process of a host, an engine or a plain instance, or of the platform under `platform`.
    [[nodiscard]] auto at(std::string const& name) -> process&;
    // The address at which the process serves calls.
    [[nodiscard]] auto address(std::string const& name) -> base::endpoint;
    // The address of a host's interface for operators.
    [[nodiscard]] auto operators(std::string const& host) -> base::endpoint;

    // ---- Documents ----

    // A document of a model service with all engines started so far. `extra` is TOML text that is
    // inserted before the list of upstreams.
    [[nodiscard]] auto model_document(std::string const& service,
                                      std::string const& extra = "") const -> std::string;
    // A document of a plain service with all plain instances started so far.
    [[nodiscard]] auto plain_document(std::string const& service,
                                      std::string const& extra = "") const -> std::string;
    // Applies `text` at `host` as the successor of generation `replaces`. Returns a response with
    // status 0 if there was none.
    auto apply_at(std::string const& host, std::string const& service, std::string const& text,
                  std::uint64_t replaces) -> runtime::http_response;
    // Does the same in the background.
    auto begin_apply(std::string const& host, std::string const& service, std::string const& text,
                     std::uint64_t replaces) -> std::future<runtime::http_response>;
    // Applies the first generation of a document and waits until it is in force on all hosts.
    auto apply(std::string const& service, std::string const& text) -> void;
    // The generation of `service` in force on `host`; 0 if none.
    [[nodiscard]] auto generation_at(std::string const& host, std::string const& service)
        -> std::uint64_t;
    // Waits until `host` completes a request for the model service, so that the keeper is known and
    // no longer starting.
    auto await_serving(std::string const& host) -> void;

    // ---- Calls ----

    // Sends a completions request to `host` and waits for its end.
    auto complete(std::string const& host, prompt_spec const& spec) -> completion;
    // Does the same in the background.
    auto begin_complete(std::string const& host, prompt_spec const& spec)
        -> std::future<completion>;
    // Starts a completion and closes the connection after receiving at least `chunks` chunks with
    // text.
    auto abandon(std::string const& host, prompt_spec const& spec, std::size_t chunks) -> void;
    // Sends one request and waits for the response.
    auto call(base::endpoint const& to, runtime::http_request const& request)
        -> base::result<runtime::http_response, runtime::http_failure>;
    // The JSON response to a GET of `target` at `to`; null if the call fails.
    auto get(base::endpoint const& to, std::string const& target) -> nlohmann::json;
    // Sets the faults that a stand-in injects.
    auto control(std::string const& name, nlohmann::json const& faults) -> void;
    // The statistics of a stand-in.
    [[nodiscard]] auto stats(std::string const& name) -> nlohmann::json;
    // The pieces of decode memory that requests hold at the engine.
    [[nodiscard]] auto pieces_held(std::string const& engine) -> std::int64_t;
    // Runs `body` in a fiber and waits until it returns.
    auto in_fiber(std::function<void()> const& body) -> void;

    // Waits until `condition` holds. Returns false if it does not hold before the timeout.
    [[nodiscard]] static auto eventually(std::function<bool()> const& condition) -> bool;

private:
    [[nodiscard]] auto next_address() -> std::string;
    auto write_settings(host_spec const& host) -> std::string;

    runtime::worker_pool pool{runtime::worker_count{2}};
    std::string directory;
    int last_address = 0;
    std::map<std::string, process> processes;
    std::map<std::string, std::string> host_addresses;
    std::vector<host_spec> known_hosts;
    std::vector<engine_spec> engines;
    std::vector<engine_spec> instances;
};

}  // namespace linnetlane::system

#endif  // LINNETLANE_SYSTEM_CLUSTER_H_

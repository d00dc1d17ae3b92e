// A small deployment for the cases of review/REPORT-3.md: the platform's store, runners and clients
// as threads of one program, and hosts of the router as separate processes. Only loopback addresses
// are used.
//
// The parts follow PROTOCOL.md. Where a case needs a runner that behaves in another way, it passes
// its own handler to `http_listener`.

#ifndef REVIEW_HARNESS_3_SITE_H_
#define REVIEW_HARNESS_3_SITE_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using moment = steady::time_point;
using std::chrono::milliseconds;

// What a script returns.
inline constexpr auto exit_held = 0;
inline constexpr auto exit_broken = 1;
inline constexpr auto exit_not_run = 2;

inline auto sleep_for(milliseconds span) -> void {
    std::this_thread::sleep_for(span);
}

// Returns whether `done` holds within `limit`.
auto wait_until(std::function<bool()> const& done, milliseconds limit) -> bool;

// Returns whether the disruption of the case is played: TROUBLE isn't 0.
auto plays_trouble() -> bool;

// Lets this process open so many descriptors. Returns false if the system doesn't allow that.
auto allow_descriptors(std::uint64_t wanted) -> bool;

// Writes lines with the time since the start. Thread-safe.
class recorder {
public:
    explicit recorder(std::string const& file);
    auto note(std::string const& line) -> void;

private:
    std::mutex mutex;
    moment began = steady::now();
    std::shared_ptr<std::FILE> out;
};

struct header_list {
    std::vector<std::pair<std::string, std::string>> entries;

    [[nodiscard]] auto find(std::string_view name) const -> std::string;
};

struct request {
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
};

// One TCP connection. Not thread-safe, but for `reset`.
class connection {
public:
    explicit connection(int own_descriptor) : descriptor{own_descriptor} {}
    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;
    connection(connection&&) = delete;
    auto operator=(connection&&) -> connection& = delete;
    ~connection();

    // Returns nothing if the other side is not there within `limit`.
    static auto open(std::uint16_t port, milliseconds limit, bool small_window = false)
        -> std::unique_ptr<connection>;

    auto write(std::string_view bytes) -> bool;
    // Reads one request; nothing if the connection ends.
    auto read_request() -> std::optional<request>;
    // Reads at least one more byte into the buffer by `until`. Returns false at the end, and sets
    // `timed_out` if there was none.
    auto fill(moment until, bool& timed_out) -> bool;
    // Returns whether the other side has closed or reset the connection.
    [[nodiscard]] auto is_closed() const -> bool;
    auto close() -> void;
    // Ends all reads and writes of another thread.
    auto reset() -> void;

    std::string buffer;

private:
    std::atomic<int> descriptor;
};

// An answer as a client sees it.
struct answer {
    // 0 if there was none.
    int status = 0;
    header_list headers;
    std::string body;
    // The whole body arrived.
    bool complete = false;
    bool timed_out = false;
};

// Writes a request with its length.
auto send_request(connection& to, request const& sent) -> bool;
// Reads an answer. `on_body` is called as the body arrives.
auto read_answer(connection& from, moment until,
                 std::function<void(std::string const&)> const& on_body = {}) -> answer;
auto format_answer(int status, header_list const& headers, std::string const& body) -> std::string;

// Returns a chunk of a body.
auto chunk_of(std::string const& bytes) -> std::string;

// Serves each connection in a thread of its own. The handler writes the answer and returns whether
// the connection stays open.
class http_listener {
public:
    using handler = std::function<bool(connection&, request const&)>;

    // Port 0 selects a free one.
    explicit http_listener(handler own_handler, std::uint16_t port = 0);
    http_listener(http_listener const&) = delete;
    auto operator=(http_listener const&) -> http_listener& = delete;
    http_listener(http_listener&&) = delete;
    auto operator=(http_listener&&) -> http_listener& = delete;
    ~http_listener() { this->stop(); }

    [[nodiscard]] auto port() const -> std::uint16_t { return this->bound; }
    [[nodiscard]] auto address() const -> std::string {
        return "127.0.0.1:" + std::to_string(this->bound);
    }
    // Returns the number of open connections.
    [[nodiscard]] auto connections() -> std::size_t;
    // Closes the port and all connections, like the end of a process.
    auto stop() -> void;

private:
    auto accept_all() -> void;
    auto serve(std::shared_ptr<connection> const& one) -> void;

    handler handle;
    int descriptor = -1;
    std::uint16_t bound = 0;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::condition_variable ended;
    std::set<std::shared_ptr<connection>> open;
    std::size_t under_way = 0;
    std::thread acceptor;
};

// The platform's store: keys with leases, watches and transactions. Thread-safe.
class store {
public:
    store();

    [[nodiscard]] auto address() const -> std::string { return this->listener->address(); }
    auto put(std::string const& key, std::string const& value) -> void;
    auto remove(std::string const& key) -> void;
    [[nodiscard]] auto find(std::string const& key) -> std::optional<std::string>;
    // From now on, calls get no answer, or are answered again. Calls that got none never get one.
    auto set_silent(bool wanted) -> void;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        item state;
        bool deleted = false;
    };
    struct lease_state {
        milliseconds ttl{};
        moment ends;
    };
    using query_map = std::map<std::string, std::string>;

    auto serve(connection& to, request const& asked) -> bool;
    auto answer_call(request const& asked) -> std::pair<int, json>;
    auto watch(query_map const& query) -> std::pair<int, json>;
    // The functions below require that `mutex` is held.
    auto read_range(query_map const& query) -> std::pair<int, json>;
    auto transact(json const& body) -> std::pair<int, json>;
    auto lease_call(request const& asked) -> std::pair<int, json>;
    auto write(std::string const& key, std::string const& value, std::uint64_t lease) -> void;
    auto erase(std::string const& key) -> void;
    auto expire() -> void;

    std::atomic<bool> silent = false;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease_state> leases;
    std::deque<change> history;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    std::unique_ptr<http_listener> listener;
};

// What the settings of a host state; the rest is as in deploy/settings.template.toml.
struct host_options {
    std::string name;
    std::string zone = "bne-north";
    bool first_start = false;
    int memory_mb = 110;
    // The limit on its descriptors; 0 leaves it as it is.
    std::uint64_t descriptors = 0;
    int config_apply_ms = 2000;
};

// One process of the router, started with the command of the deploy file.
class host {
public:
    host(host_options own_options, store const& platform, std::string own_folder);
    host(host const&) = delete;
    auto operator=(host const&) -> host& = delete;
    host(host&&) = delete;
    auto operator=(host&&) -> host& = delete;
    ~host();

    auto start() -> bool;
    auto signal(int number) const -> void;
    // Returns whether the process has ended by itself or by a signal.
    auto has_ended() -> bool;
    // Ends the process, at once.
    auto kill() -> void;
    // Returns whether the host says that it is ready.
    [[nodiscard]] auto is_ready() const -> bool;
    [[nodiscard]] auto port() const -> std::uint16_t { return this->callers; }
    [[nodiscard]] auto operators_port() const -> std::uint16_t { return this->operators; }
    [[nodiscard]] auto pid() const -> pid_t { return this->process; }
    [[nodiscard]] auto name() const -> std::string const& { return this->options.name; }
    // Peak of the resident memory in bytes; 0 if the process is gone.
    [[nodiscard]] auto peak_memory() const -> std::uint64_t;
    // Number of its open descriptors.
    [[nodiscard]] auto open_descriptors() const -> std::size_t;

private:
    host_options options;
    std::string store_address;
    std::string folder;
    std::uint16_t callers = 0;
    std::uint16_t operators = 0;
    std::uint16_t peers = 0;
    pid_t process = -1;
};

// A temporary folder that is removed at the end.
class temporary_folder {
public:
    temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    auto operator=(temporary_folder const&) -> temporary_folder& = delete;
    temporary_folder(temporary_folder&&) = delete;
    auto operator=(temporary_folder&&) -> temporary_folder& = delete;
    ~temporary_folder();

    [[nodiscard]] auto path() const -> std::string const& { return this->name; }

private:
    std::string name;
};

// Documents of the operator and of runners.
auto route(std::string const& prefix, std::string const& kind, std::string const& service,
           int timeout_ms, int attempts) -> json;
auto service(std::string const& name, int max_connections) -> json;
// Both are arrays.
auto configuration(json const& routes, json const& services) -> std::string;
struct runner_entry {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "bne-north";
    std::string state = "ready";
    int slots = 6;
    std::int64_t born = 1;
    // Empty for a plain runner.
    std::string stage = {};
};
auto to_text(runner_entry const& entry) -> std::string;

}  // namespace review

#endif  // REVIEW_HARNESS_3_SITE_H_

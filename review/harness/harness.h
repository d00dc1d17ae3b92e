// Stand-ins for the platform's store, runners and clients, and a driver for hosts, for the scripts
// of the review. They follow PROTOCOL.md and use loopback addresses only.

#ifndef REVIEW_HARNESS_HARNESS_H_
#define REVIEW_HARNESS_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// Milliseconds since the start of the program.
inline auto now_ms() -> double {
    static auto const start = steady::now();
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

inline auto sleep_ms(double span) -> void {
    if (span > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(span));
    }
}

inline auto sleep_until_ms(double at) -> void {
    sleep_ms(at - now_ms());
}

// Returns whether the disruption is to be injected.
inline auto has_trouble() -> bool {
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

// Writes what was sent, answered and run to `record.txt`. Thread-safe.
class recorder {
public:
    explicit recorder(std::string const& path) : out{path} {}
    auto write(std::string const& line) -> void { this->write_at(now_ms(), line); }
    auto write_at(double at, std::string const& line) -> void {
        auto const lock = std::lock_guard{this->mutex};
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%10.1f ms  ", at);
        this->out << stamp << line << '\n';
        this->out.flush();
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

// ---- HTTP ----

struct message {
    // The request line or the status line.
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // The connection ended before the message was complete.
    bool cut = false;

    [[nodiscard]] auto field(std::string const& name) const -> std::string {
        for (auto const& [key, value] : this->fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] auto method() const -> std::string {
        return this->first.substr(0, this->first.find(' '));
    }
    [[nodiscard]] auto target() const -> std::string {
        auto const begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
    [[nodiscard]] auto status() const -> int {
        return this->first.size() < 12 ? 0 : std::atoi(this->first.c_str() + 9);
    }
};

// A connected socket with a read buffer.
class connection {
public:
    explicit connection(int own) : socket{own} {
        auto const one = 1;
        ::setsockopt(own, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;
    ~connection() {
        if (this->socket >= 0) {
            ::close(this->socket);
        }
    }

    // Appends received bytes to the buffer. Returns false at the end of the stream, after an error,
    // or at `deadline`.
    auto fill(double deadline) -> bool {
        auto watched = pollfd{this->socket, POLLIN, 0};
        auto const left = static_cast<int>(std::max(0.0, deadline - now_ms()));
        if (::poll(&watched, 1, left) <= 0) {
            return false;
        }
        char bytes[16384];
        auto const count = ::recv(this->socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    auto send(std::string const& bytes) const -> bool {
        auto sent = std::size_t{0};
        while (sent < bytes.size()) {
            auto const count =
                ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Returns whether the peer has closed the connection.
    [[nodiscard]] auto peer_closed() const -> bool {
        auto watched = pollfd{this->socket, POLLRDHUP, 0};
        return ::poll(&watched, 1, 0) > 0;
    }
    // Reads the head of a message. Returns nothing if none arrives.
    auto read_head(double deadline) -> std::optional<message> {
        auto end = std::size_t{0};
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadline)) {
                return std::nullopt;
            }
        }
        auto read = message{};
        auto lines = std::istringstream{this->buffer.substr(0, end)};
        this->buffer.erase(0, end + 4);
        auto line = std::string{};
        for (auto is_first = true; std::getline(lines, line); is_first = false) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (is_first) {
                read.first = line;
                continue;
            }
            auto const colon = line.find(':');
            auto const value = line.find_first_not_of(' ', colon + 1);
            read.fields.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
        }
        return read;
    }
    auto take(std::size_t count, double deadline) -> std::optional<std::string> {
        while (this->buffer.size() < count) {
            if (!this->fill(deadline)) {
                return std::nullopt;
            }
        }
        auto taken = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return taken;
    }
    auto take_line(double deadline) -> std::optional<std::string> {
        auto end = std::size_t{0};
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(deadline)) {
                return std::nullopt;
            }
        }
        auto line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return line;
    }
    // Reads the body that `head` announces.
    auto read_body(message& head, double deadline) -> void {
        if (head.field("Transfer-Encoding") == "chunked") {
            for (;;) {
                auto const size = this->take_line(deadline);
                auto const bytes = size ? std::strtoul(size->c_str(), nullptr, 16) : 0;
                auto const part = size ? this->take(bytes + 2, deadline) : std::nullopt;
                if (!part) {
                    head.cut = true;
                    return;
                }
                if (bytes == 0) {
                    return;
                }
                head.body += part->substr(0, bytes);
            }
        }
        auto const length = std::strtoul(head.field("Content-Length").c_str(), nullptr, 10);
        auto const body = this->take(length, deadline);
        head.cut = !body;
        head.body = body.value_or("");
    }

private:
    int socket;
    std::string buffer;
};

inline auto to_address(std::string const& ip, int port) -> sockaddr_in {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline auto connect_to(std::string const& ip, int port) -> std::unique_ptr<connection> {
    auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = to_address(ip, port);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

// Returns a port that is free on all loopback addresses of the test.
inline auto free_port(std::string const& ip) -> int {
    auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    static auto next = 20'000 + static_cast<int>(::getpid() * 37 % 9'000);
    for (;;) {
        auto const address = to_address(ip, ++next);
        if (::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0) {
            ::close(socket);
            return next;
        }
    }
}

// Serves each connection in a thread of its own. `serve` handles one request and returns whether
// the connection stays open.
class server {
public:
    using handler = std::function<bool(message const&, connection&)>;

    server(std::string const& ip, int port, handler serve) : serve{std::move(serve)} {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const one = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        auto const address = to_address(ip, port);
        if (::bind(this->listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) !=
                0 ||
            ::listen(this->listener, 256) != 0) {
            std::perror("a stand-in can't listen");
            std::_Exit(2);
        }
        std::thread{[this] { this->accept_all(); }}.detach();
    }
    // Closes the port, so that new connections are refused.
    auto stop_listening() -> void {
        this->stopped = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
    }

private:
    auto accept_all() -> void {
        while (!this->stopped) {
            auto const accepted = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                sleep_ms(5);
                continue;
            }
            std::thread{[this, accepted] {
                auto open = connection{accepted};
                constexpr auto idle_ms = 60'000.0;
                for (;;) {
                    auto request = open.read_head(now_ms() + idle_ms);
                    if (!request) {
                        return;
                    }
                    open.read_body(*request, now_ms() + idle_ms);
                    if (request->cut || !this->serve(*request, open)) {
                        return;
                    }
                }
            }}.detach();
        }
    }

    handler serve;
    int listener = -1;
    std::atomic<bool> stopped = false;
};

using field_list = std::vector<std::pair<std::string, std::string>>;

inline auto format_answer(int status, field_list const& fields, std::string const& body)
    -> std::string {
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (auto const& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store ----

inline auto encode_base64(std::string const& bytes) -> std::string {
    static auto const* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto text = std::string{};
    for (auto at = std::size_t{0}; at < bytes.size(); at += 3) {
        auto group = std::uint32_t{0};
        auto const count = std::min<std::size_t>(3, bytes.size() - at);
        for (auto index = std::size_t{0}; index < 3; ++index) {
            group =
                group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (auto index = std::size_t{0}; index < 4; ++index) {
            text += index <= count ? digits[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

inline auto decode_base64(std::string const& text) -> std::string {
    auto bytes = std::string{};
    auto group = std::uint32_t{0};
    auto bits = 0;
    for (auto const character : text) {
        auto const* const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        auto const* const found = std::strchr(digits, character);
        if (found == nullptr || character == '\0') {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

// Linearizable, without loss. A write is acknowledged when the call returns.
class store {
public:
    store(std::string const& ip, int port)
        : http{ip, port, [this](message const& request, connection& open) {
                   return this->serve(request, open);
               }} {}

    // What one host is told: it reaches each runner through a link of its own, so that only that
    // host's path can be cut.
    struct view {
        // Links by the runners' own addresses.
        std::map<std::string, std::string> links;
        // The store turns the host away with status 503.
        std::atomic<bool> refuses = false;
        // The answers to waits for changes are lost. A connection on which one is lost stays open
        // and returns nothing further.
        std::atomic<bool> loses_answers = false;
        std::atomic<int> lost = 0;
        std::unique_ptr<server> http;
    };
    // Serves the same items on a further port, for one host.
    auto add_view(std::string const& ip, int port, std::map<std::string, std::string> links)
        -> view& {
        this->views.push_back(std::make_unique<view>());
        auto& one = *this->views.back();
        one.links = std::move(links);
        one.http = std::make_unique<server>(ip, port,
                                            [this, &one](message const& request, connection& open) {
                                                return this->serve(request, open, &one);
                                            });
        return one;
    }

    // Writes as the operator or a runner. Returns the time of the acknowledgement.
    auto put(std::string const& key, std::string const& value) -> double {
        auto const lock = std::lock_guard{this->mutex};
        this->write(key, value, 0);
        return now_ms();
    }
    auto remove(std::string const& key) -> double {
        auto const lock = std::lock_guard{this->mutex};
        this->erase(key);
        return now_ms();
    }
    [[nodiscard]] auto keys(std::string const& prefix) -> std::vector<std::string> {
        auto const lock = std::lock_guard{this->mutex};
        this->expire();
        auto found = std::vector<std::string>{};
        for (auto const& [key, one] : this->items) {
            if (key.starts_with(prefix)) {
                found.push_back(key);
            }
        }
        return found;
    }

    // Keeps a copy of the items, leases and revisions.
    auto take_copy() -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->copy = {this->items, this->leases, this->revision, this->last_lease};
    }
    // Turns all callers away from now on.
    auto go_down() -> void {
        this->is_down = true;
        this->changed.notify_all();
    }
    // Comes back from the copy, as a new era. Watches from revisions that it lacks get 410.
    auto come_back_from_copy() -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->items = this->copy.items;
        this->leases = this->copy.leases;
        for (auto& [id, one] : this->leases) {
            one.until = now_ms() + one.ttl;
        }
        this->revision = this->copy.revision;
        this->last_lease = this->copy.last_lease;
        this->history.clear();
        this->history_begins_after = this->revision;
        ++this->era;
        this->is_down = false;
    }

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
        double ttl = 0;
        double until = 0;
    };

    [[nodiscard]] auto era_text() const -> std::string { return std::to_string(this->era); }

    auto serve(message const& request, connection& open, view* shown = nullptr) -> bool {
        if (this->is_down) {
            return open.send(format_answer(503, {{"Store-Era", this->era_text()}}, "{}"));
        }
        if (shown != nullptr && shown->refuses) {
            return open.send(format_answer(503, {{"Store-Era", this->era_text()}}, "{}"));
        }
        auto const target = request.target();
        auto const path = target.substr(0, target.find('?'));
        auto query = parse_query(target);
        auto status = 200;
        auto body = json::object();
        if (path == "/-/kv-watch") {
            body = this->watch(query, status, open, shown);
            if (shown != nullptr && shown->loses_answers && body.contains("events") &&
                !body["events"].empty()) {
                ++shown->lost;
                while (!open.peer_closed()) {
                    sleep_ms(20);
                }
                return false;
            }
            if (shown != nullptr && shown->refuses) {
                return open.send(format_answer(503, {{"Store-Era", this->era_text()}}, "{}"));
            }
        } else {
            auto const lock = std::lock_guard{this->mutex};
            this->expire();
            if (path == "/-/kv-key") {
                auto const found = this->items.find(query["key"]);
                status = found == this->items.end() ? 404 : 200;
                body = status == 200 ? to_json(found->first, found->second) : json::object();
                body["at"] = this->revision;
            } else if (path == "/-/kv-range") {
                body = this->range(query);
            } else if (path == "/-/kv-txn") {
                body = this->transact(json::parse(request.body), status);
            } else {
                body = this->lease_call(request, path, status);
            }
        }
        if (shown != nullptr) {
            for (auto const* const list : {"items", "events"}) {
                if (body.contains(list)) {
                    for (auto& each : body[list]) {
                        show_links(each, *shown);
                    }
                }
            }
        }
        return open.send(format_answer(
            status, {{"Content-Type", "application/json"}, {"Store-Era", this->era_text()}},
            body.dump()));
    }

    static auto show_links(json& each, view const& shown) -> void {
        if (!each.contains("value") || !each["key"].get<std::string>().starts_with("servers/")) {
            return;
        }
        auto entry = json::parse(decode_base64(each["value"].get<std::string>()));
        auto const found = shown.links.find(entry["address"].get<std::string>());
        if (found != shown.links.end()) {
            entry["address"] = found->second;
            each["value"] = encode_base64(entry.dump());
        }
    }

    static auto parse_query(std::string const& target) -> std::map<std::string, std::string> {
        auto query = std::map<std::string, std::string>{};
        auto const start = target.find('?');
        auto parts = std::istringstream{start == std::string::npos ? "" : target.substr(start + 1)};
        auto part = std::string{};
        while (std::getline(parts, part, '&')) {
            auto const equals = part.find('=');
            auto value = std::string{};
            for (auto at = equals + 1; at < part.size(); ++at) {
                if (part[at] == '%') {
                    value += static_cast<char>(std::stoi(part.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                } else {
                    value += part[at];
                }
            }
            query[part.substr(0, equals)] = value;
        }
        return query;
    }

    static auto to_json(std::string const& key, item const& one) -> json {
        return json{{"key", key},
                    {"value", encode_base64(one.value)},
                    {"revision", one.revision},
                    {"created", one.created},
                    {"lease", one.lease}};
    }

    auto range(std::map<std::string, std::string>& query) -> json {
        auto rows = json::array();
        for (auto const& [key, one] : this->items) {
            if (key.starts_with(query["prefix"]) && key > query["after"]) {
                rows.push_back(to_json(key, one));
            }
        }
        return json{{"items", rows}, {"has_more", false}, {"at", this->revision}};
    }

    auto watch(std::map<std::string, std::string>& query, int& status, connection& open,
               view const* shown) -> json {
        auto const prefix = query["prefix"];
        auto const after = std::stoull(query["after"]);
        auto const deadline = now_ms() + std::stod(query["wait_ms"]);
        auto lock = std::unique_lock{this->mutex};
        for (;;) {
            this->expire();
            if (this->is_down) {
                status = 503;
                return json::object();
            }
            if (after < this->history_begins_after || after > this->revision) {
                status = 410;
                return json::object();
            }
            auto events = json::array();
            for (auto const& one : this->history) {
                if (one.state.revision > after && one.key.starts_with(prefix)) {
                    events.push_back(one.deleted ? json{{"key", one.key},
                                                        {"revision", one.state.revision},
                                                        {"deleted", true}}
                                                 : to_json(one.key, one.state));
                }
            }
            auto const refused = shown != nullptr && shown->refuses;
            if (!events.empty() || refused || now_ms() >= deadline || open.peer_closed()) {
                status = 200;
                return json{{"events", events}, {"at", this->revision}};
            }
            this->changed.wait_for(lock, milliseconds{20});
        }
    }

    auto transact(json const& body, int& status) -> json {
        auto rows = json::array();
        for (auto const& condition : body["expect"]) {
            auto const key = condition["key"].get<std::string>();
            auto const found = this->items.find(key);
            auto const current = found == this->items.end() ? 0 : found->second.revision;
            if (current != condition["revision"].get<std::uint64_t>()) {
                status = 412;
            }
            if (found != this->items.end()) {
                rows.push_back(to_json(key, found->second));
            }
        }
        if (status == 412) {
            return json{{"items", rows}};
        }
        for (auto const& wanted : body["writes"]) {
            auto const lease = wanted["lease"].get<std::uint64_t>();
            if (lease != 0 && !this->leases.contains(lease)) {
                status = 404;
                return json::object();
            }
        }
        for (auto const& wanted : body["writes"]) {
            this->write(wanted["key"].get<std::string>(),
                        decode_base64(wanted["value"].get<std::string>()),
                        wanted["lease"].get<std::uint64_t>());
        }
        for (auto const& key : body["deletes"]) {
            this->erase(key.get<std::string>());
        }
        return json{{"revision", this->revision}};
    }

    auto lease_call(message const& request, std::string const& path, int& status) -> json {
        if (path == "/-/kv-lease") {
            auto const ttl = json::parse(request.body)["ttl_ms"].get<double>();
            this->leases[++this->last_lease] = lease_state{ttl, now_ms() + ttl};
            return json{{"lease", this->last_lease}, {"ttl_ms", static_cast<std::uint64_t>(ttl)}};
        }
        auto const found = this->leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
        if (found == this->leases.end()) {
            status = 404;
            return json::object();
        }
        if (request.method() == "DELETE") {
            found->second.until = 0;
            this->expire();
            return json::object();
        }
        found->second.until = now_ms() + found->second.ttl;
        return json{{"lease", found->first},
                    {"ttl_ms", static_cast<std::uint64_t>(found->second.ttl)}};
    }

    auto write(std::string const& key, std::string const& value, std::uint64_t lease) -> void {
        auto& one = this->items[key];
        one.value = value;
        one.revision = ++this->revision;
        one.created = one.created == 0 ? one.revision : one.created;
        one.lease = lease;
        this->history.push_back(change{key, one, false});
        this->changed.notify_all();
    }

    auto erase(std::string const& key) -> void {
        if (this->items.erase(key) > 0) {
            this->history.push_back(change{key, item{"", ++this->revision, 0, 0}, true});
            this->changed.notify_all();
        }
    }

    auto expire() -> void {
        auto const now = now_ms();
        for (auto each = this->leases.begin(); each != this->leases.end();) {
            if (each->second.until > now) {
                ++each;
                continue;
            }
            auto ended = std::vector<std::string>{};
            for (auto const& [key, one] : this->items) {
                if (one.lease == each->first) {
                    ended.push_back(key);
                }
            }
            for (auto const& key : ended) {
                this->erase(key);
            }
            each = this->leases.erase(each);
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease_state> leases;
    std::deque<change> history;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    std::uint64_t history_begins_after = 0;
    struct stored_copy {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease_state> leases;
        std::uint64_t revision = 1;
        std::uint64_t last_lease = 0;
    };
    stored_copy copy;
    std::atomic<std::uint64_t> era = 1;
    std::atomic<bool> is_down = false;
    std::vector<std::unique_ptr<view>> views;
    server http;
};

// Passes connections on to a runner until it is cut. Then existing connections are closed and new
// ones refused.
class link {
public:
    link(std::string const& ip, std::string const& target) {
        auto const port = free_port(ip);
        this->own_address = ip + ":" + std::to_string(port);
        auto const colon = target.find(':');
        auto const target_ip = target.substr(0, colon);
        auto const target_port = std::stoi(target.substr(colon + 1));
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const address = to_address(ip, port);
        if (::bind(this->listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) !=
                0 ||
            ::listen(this->listener, 64) != 0) {
            std::perror("a link can't listen");
            std::_Exit(2);
        }
        std::thread{[this, target_ip, target_port] {
            while (!this->is_cut) {
                auto const from = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (from < 0) {
                    sleep_ms(5);
                    continue;
                }
                auto const to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                auto const goal = to_address(target_ip, target_port);
                if (::connect(to, reinterpret_cast<sockaddr const*>(&goal), sizeof(goal)) != 0) {
                    ::close(from);
                    ::close(to);
                    continue;
                }
                std::thread{[this, from, to] { this->pass(from, to); }}.detach();
            }
        }}.detach();
    }
    [[nodiscard]] auto address() const -> std::string const& { return this->own_address; }
    auto cut() -> void {
        this->is_cut = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
    }

private:
    auto pass(int from, int to) -> void {
        pollfd watched[] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
        auto open = true;
        while (open && !this->is_cut) {
            constexpr auto check_ms = 10;
            ::poll(watched, 2, check_ms);
            for (auto side = 0; side < 2; ++side) {
                if (watched[side].revents == 0) {
                    continue;
                }
                char bytes[16384];
                auto const count = ::recv(watched[side].fd, bytes, sizeof(bytes), 0);
                if (count <= 0) {
                    open = false;
                    break;
                }
                auto sent = ssize_t{0};
                while (sent < count) {
                    auto const more = ::send(watched[1 - side].fd, bytes + sent,
                                             static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
                    if (more <= 0) {
                        open = false;
                        break;
                    }
                    sent += more;
                }
            }
        }
        ::close(from);
        ::close(to);
    }

    std::string own_address;
    int listener = -1;
    std::atomic<bool> is_cut = false;
};

// ---- Hosts ----

// A running `linnetlaned`. Started as in deploy/system.toml, with settings as rendered from
// deploy/settings.template.toml.
struct host {
    std::string name;
    std::string zone;
    std::string ip;
    int callers = 0;
    int operators = 0;
    int peers = 0;
    pid_t process = 0;
};

class fleet {
public:
    fleet() {
        char pattern[] = "/tmp/review-XXXXXX";
        this->folder = ::mkdtemp(pattern);
    }
    ~fleet() { this->stop(); }

    // Starts a host. `store_port` is on `store_ip`.
    auto start(std::string const& name, std::string const& zone, std::string const& ip,
               std::string const& store_ip, int store_port) -> host& {
        auto one = host{name, zone, ip};
        one.callers = free_port(ip);
        one.operators = free_port(ip);
        one.peers = free_port(ip);
        auto const path = this->folder + "/" + name + ".toml";
        std::ofstream{path} << "host = \"" << name << "\"\n"
                            << "data_centre = \"" << zone << "\"\n"
                            << "processor_share = 0.25\n\n[listen]\n"
                            << "callers = \"" << ip << ":" << one.callers << "\"\n"
                            << "operators = \"" << ip << ":" << one.operators << "\"\n"
                            << "peers = \"" << ip << ":" << one.peers << "\"\n\n"
                            << "[coordination]\naddress = \"" << store_ip << ":" << store_port
                            << "\"\norder_lease = \"3000ms\"\nfirst_start = true\n\n"
                            << "[retries]\nratio = 0.2\nwindow = \"10s\"\nslack = 54\n\n"
                            << "[leaving]\ngrace = \"8s\"\n";
        auto const log = this->folder + "/" + name + ".log";
        one.process = ::fork();
        if (one.process == 0) {
            // The host ends with the script.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            auto const out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execl("target/bin/linnetlaned", "linnetlaned", "--router", path.c_str(), nullptr);
            ::_exit(2);
        }
        this->hosts.push_back(std::make_unique<host>(one));
        return *this->hosts.back();
    }
    // Ends all hosts and removes their files. The logs are kept in the folder KEEP_LOGS, if it is
    // set.
    auto stop() -> void {
        for (auto const& one : this->hosts) {
            if (one->process > 0) {
                ::kill(one->process, SIGKILL);
                ::waitpid(one->process, nullptr, 0);
                one->process = 0;
            }
            auto const base = this->folder + "/" + one->name;
            if (auto const* const kept = std::getenv("KEEP_LOGS")) {
                std::rename((base + ".log").c_str(),
                            (std::string{kept} + "/" + one->name + ".log").c_str());
            }
            ::unlink((base + ".toml").c_str());
            ::unlink((base + ".log").c_str());
        }
        ::rmdir(this->folder.c_str());
    }

    std::vector<std::unique_ptr<host>> hosts;

private:
    std::string folder;
};

// ---- Clients ----

struct client_request {
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string body = "{}";
    int deadline_ms = 1500;
    field_list more = {};
};

inline auto format_request(client_request const& sent) -> std::string {
    auto text = sent.method + " " + sent.path +
                " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + sent.id +
                "\r\nDeadline-Ms: " + std::to_string(sent.deadline_ms) + "\r\n";
    for (auto const& [name, value] : sent.more) {
        text += name + ": " + value + "\r\n";
    }
    if (sent.method == "GET") {
        return text + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
}

// The answer to one request; status 0 if there was none.
struct client_answer {
    int status = 0;
    std::string body;
    std::string stamp;
    bool complete = false;
};

// Sends a request on a new connection and waits for the answer, at most until its deadline.
inline auto call(std::string const& ip, int port, client_request const& sent) -> client_answer {
    auto const until = now_ms() + sent.deadline_ms + 500;
    auto open = connect_to(ip, port);
    if (!open || !open->send(format_request(sent))) {
        return {};
    }
    auto head = open->read_head(until);
    if (!head) {
        return {};
    }
    open->read_body(*head, until);
    return client_answer{head->status(), head->body, head->field("Response-Stamp"), !head->cut};
}

inline auto is_ready(host const& one) -> bool {
    auto const answer = call(one.ip, one.operators, {"GET", "/-/readiness", "ready", ""});
    return answer.status == 200;
}

// Waits until all hosts are ready. Returns false after ten seconds.
inline auto await_ready(fleet const& all) -> bool {
    auto const until = now_ms() + 10'000;
    for (auto const& one : all.hosts) {
        while (!is_ready(*one)) {
            if (now_ms() > until) {
                return false;
            }
            sleep_ms(50);
        }
    }
    return true;
}

// ---- Documents ----

inline auto route(std::string const& prefix, std::string const& kind, std::string const& service,
                  int attempts, bool generates = false) -> json {
    return json{{"name", prefix},
                {"hostname", "a.example"},
                {"prefix", prefix},
                {"kind", kind},
                {"timeout_ms", generates ? 14000 : 1200},
                {"target_latency_ms", generates ? 900 : 150},
                {"priority", 1},
                {"service", service},
                {"max_attempts", attempts},
                {"session_affinity", generates}};
}

inline auto configuration(std::uint64_t version, std::vector<json> const& routes) -> std::string {
    auto const engine = json{{"slots", 32},
                             {"kv_cache_tokens", 75851},
                             {"hold_ms", 2000},
                             {"handle_ttl_s", 0.5},
                             {"stage_switch_s", 6.0}};
    return json{{"version", version},
                {"routes", routes},
                {"services",
                 {json{{"name", "app"}, {"max_connections", 100}},
                  json{{"name", "app-two"}, {"max_connections", 100}},
                  json{{"name", "llm"}, {"max_connections", 230}, {"engine", engine}}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}}}
        .dump();
}

inline auto runner_entry(std::string const& service, std::string const& address,
                         std::string const& zone, std::string const& state, int slots,
                         std::string const& stage = "") -> std::string {
    static auto sequence = std::atomic<int>{0};
    static auto const born = std::chrono::duration_cast<milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    auto entry = json{{"service", service}, {"address", address},     {"zone", zone},
                      {"version", "v1"},    {"slots", slots},         {"state", state},
                      {"born", born},       {"cold_remaining_ms", 0}, {"sequence", ++sequence}};
    if (!stage.empty()) {
        entry["stage"] = stage;
    }
    return entry.dump();
}

}  // namespace review

#endif  // REVIEW_HARNESS_HARNESS_H_

#include "review/harness-3/site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace review {

namespace {

constexpr auto line_end = std::string_view{"\r\n"};

auto lower(std::string text) -> std::string {
    std::ranges::transform(text, text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

auto loopback(std::uint16_t port) -> sockaddr_in {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Returns a free port outside of the range from which connections get theirs.
auto free_port() -> std::uint16_t {
    static auto random = std::mt19937{std::random_device{}()};
    auto drawn = std::uniform_int_distribution<int>{11'000, 31'000};
    for (;;) {
        auto const port = static_cast<std::uint16_t>(drawn(random));
        auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const address = loopback(port);
        auto const bound =
            ::bind(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (bound) {
            return port;
        }
    }
}

auto encode_base64(std::string const& bytes) -> std::string {
    constexpr auto digits =
        std::string_view{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    auto text = std::string{};
    for (auto at = std::size_t{0}; at < bytes.size(); at += 3) {
        auto group = std::uint32_t{0};
        for (auto index = std::size_t{0}; index < 3; ++index) {
            auto const byte = at + index < bytes.size() ? bytes[at + index] : '\0';
            group = group << 8U | static_cast<unsigned char>(byte);
        }
        for (auto index = std::size_t{0}; index < 4; ++index) {
            auto const used = at + index <= bytes.size();
            text += used ? digits[group >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return text;
}

auto decode_base64(std::string const& text) -> std::string {
    auto const digit = [](char each) -> int {
        if (each >= 'A' && each <= 'Z') {
            return each - 'A';
        }
        if (each >= 'a' && each <= 'z') {
            return each - 'a' + 26;
        }
        if (each >= '0' && each <= '9') {
            return each - '0' + 52;
        }
        return each == '+' ? 62 : each == '/' ? 63 : -1;
    };
    auto bytes = std::string{};
    auto group = std::uint32_t{0};
    auto bits = 0U;
    for (auto const each : text) {
        if (auto const value = digit(each); value >= 0) {
            group = group << 6U | static_cast<std::uint32_t>(value);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(group >> bits & 255U);
            }
        }
    }
    return bytes;
}

auto decode_query(std::string const& text) -> std::string {
    auto decoded = std::string{};
    for (auto at = std::size_t{0}; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

auto read_query(std::string const& target) -> std::map<std::string, std::string> {
    auto query = std::map<std::string, std::string>{};
    auto rest =
        target.find('?') == std::string::npos ? std::string{} : target.substr(target.find('?') + 1);
    auto parts = std::istringstream{rest};
    for (auto part = std::string{}; std::getline(parts, part, '&');) {
        auto const equals = part.find('=');
        if (equals != std::string::npos) {
            query[part.substr(0, equals)] = decode_query(part.substr(equals + 1));
        }
    }
    return query;
}

auto number(std::string const& text) -> std::uint64_t {
    return std::strtoull(text.c_str(), nullptr, 10);
}

// Takes a head from the buffer. Returns its lines without the blank one; nothing if it isn't whole.
auto take_head(std::string& buffer) -> std::optional<std::vector<std::string>> {
    auto const end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto lines = std::vector<std::string>{};
    for (auto at = std::size_t{0}; at < end;) {
        auto const next = std::min(buffer.find(line_end, at), end);
        lines.push_back(buffer.substr(at, next - at));
        at = next + line_end.size();
    }
    buffer.erase(0, end + 2 * line_end.size());
    return lines;
}

auto read_headers(std::vector<std::string> const& lines) -> header_list {
    auto headers = header_list{};
    for (auto index = std::size_t{1}; index < lines.size(); ++index) {
        auto const colon = lines[index].find(':');
        if (colon != std::string::npos) {
            auto value = lines[index].substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            headers.entries.emplace_back(lines[index].substr(0, colon), value);
        }
    }
    return headers;
}

// Takes what has arrived of a chunked body. Returns whether the last chunk has.
auto take_chunks(std::string& buffer, std::string& body) -> bool {
    for (;;) {
        auto const end = buffer.find(line_end);
        if (end == std::string::npos) {
            return false;
        }
        auto const size = std::strtoull(buffer.c_str(), nullptr, 16);
        auto const whole = end + line_end.size() + size + line_end.size();
        if (buffer.size() < whole) {
            return false;
        }
        body.append(buffer, end + line_end.size(), size);
        buffer.erase(0, whole);
        if (size == 0) {
            return true;
        }
    }
}

}  // namespace

auto wait_until(std::function<bool()> const& done, milliseconds limit) -> bool {
    auto const until = steady::now() + limit;
    while (!done()) {
        if (steady::now() >= until) {
            return false;
        }
        sleep_for(milliseconds{5});
    }
    return true;
}

auto plays_trouble() -> bool {
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

auto allow_descriptors(std::uint64_t wanted) -> bool {
    auto limit = rlimit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return false;
    }
    if (limit.rlim_cur >= wanted) {
        return true;
    }
    limit.rlim_cur = wanted;
    return limit.rlim_max >= wanted && ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

recorder::recorder(std::string const& file)
    : out{std::fopen(file.c_str(), "w"), [](std::FILE* opened) {
              if (opened != nullptr) {
                  std::fclose(opened);
              }
          }} {}

auto recorder::note(std::string const& line) -> void {
    auto const lock = std::lock_guard{this->mutex};
    auto const since = std::chrono::duration<double>(steady::now() - this->began).count();
    if (this->out) {
        std::fprintf(this->out.get(), "%8.3f %s\n", since, line.c_str());
        std::fflush(this->out.get());
    }
}

auto header_list::find(std::string_view name) const -> std::string {
    auto const wanted = lower(std::string{name});
    auto const found = std::ranges::find_if(
        this->entries, [&](auto const& entry) { return lower(entry.first) == wanted; });
    return found == this->entries.end() ? std::string{} : found->second;
}

// ---- Connections ----

connection::~connection() {
    this->close();
}

auto connection::open(std::uint16_t port, milliseconds limit, bool small_window)
    -> std::unique_ptr<connection> {
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    if (small_window) {
        // As on an Ethernet link; loopback segments are much larger.
        auto const segment = 1400;
        auto const window = 8 * 1024;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    }
    auto const address = loopback(port);
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    ::connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    auto watched = pollfd{descriptor, POLLOUT, 0};
    auto error = 0;
    auto length = socklen_t{sizeof(error)};
    auto const ready = ::poll(&watched, 1, static_cast<int>(limit.count())) > 0;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (!ready || error != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    auto const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<connection>(descriptor);
}

auto connection::write(std::string_view bytes) -> bool {
    while (!bytes.empty()) {
        auto const sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

auto connection::fill(moment until, bool& timed_out) -> bool {
    auto const left = std::chrono::ceil<milliseconds>(until - steady::now()).count();
    auto watched = pollfd{this->descriptor, POLLIN, 0};
    auto const ready =
        ::poll(&watched, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, 3'600'000)));
    if (ready <= 0) {
        timed_out = true;
        return false;
    }
    auto bytes = std::string(64 * 1024, '\0');
    auto const read = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (read <= 0) {
        return false;
    }
    this->buffer.append(bytes, 0, static_cast<std::size_t>(read));
    return true;
}

auto connection::read_request() -> std::optional<request> {
    constexpr auto longest = std::chrono::hours{1};
    auto timed_out = false;
    auto lines = take_head(this->buffer);
    while (!lines) {
        if (!this->fill(steady::now() + longest, timed_out)) {
            return std::nullopt;
        }
        lines = take_head(this->buffer);
    }
    auto read = request{};
    auto first = std::istringstream{lines->front()};
    first >> read.method >> read.target;
    read.headers = read_headers(*lines);
    auto const chunked = lower(read.headers.find("Transfer-Encoding")) == "chunked";
    auto const length = number(read.headers.find("Content-Length"));
    while (chunked ? !take_chunks(this->buffer, read.body) : this->buffer.size() < length) {
        if (!this->fill(steady::now() + longest, timed_out)) {
            return std::nullopt;
        }
    }
    if (!chunked) {
        read.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
    }
    return read;
}

auto connection::is_closed() const -> bool {
    auto watched = pollfd{this->descriptor, POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) != 0;
}

auto connection::close() -> void {
    auto const closed = this->descriptor.exchange(-1);
    if (closed >= 0) {
        ::close(closed);
    }
}

auto connection::reset() -> void {
    ::shutdown(this->descriptor, SHUT_RDWR);
}

// ---- Messages ----

auto send_request(connection& to, request const& sent) -> bool {
    auto text = sent.method + " " + sent.target + " HTTP/1.1\r\n";
    for (auto const& [name, value] : sent.headers.entries) {
        text += name + ": " + value + "\r\n";
    }
    if (!sent.body.empty() || sent.method != "GET") {
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    }
    return to.write(text + "\r\n" + sent.body);
}

auto read_answer(connection& from, moment until,
                 std::function<void(std::string const&)> const& on_body) -> answer {
    auto read = answer{};
    auto lines = take_head(from.buffer);
    while (!lines) {
        if (!from.fill(until, read.timed_out)) {
            return read;
        }
        lines = take_head(from.buffer);
    }
    auto first = std::istringstream{lines->front()};
    auto protocol = std::string{};
    first >> protocol >> read.status;
    read.headers = read_headers(*lines);
    auto const chunked = lower(read.headers.find("Transfer-Encoding")) == "chunked";
    auto const stated = read.headers.find("Content-Length");
    for (;;) {
        if (chunked) {
            read.complete = take_chunks(from.buffer, read.body);
        } else {
            read.body += std::exchange(from.buffer, {});
            read.complete = !stated.empty() && read.body.size() >= number(stated);
        }
        if (on_body) {
            on_body(read.body);
        }
        if (read.complete || !from.fill(until, read.timed_out)) {
            return read;
        }
    }
}

auto format_answer(int status, header_list const& headers, std::string const& body) -> std::string {
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (auto const& [name, value] : headers.entries) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto chunk_of(std::string const& bytes) -> std::string {
    auto size = std::array<char, 20>{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

// ---- Listeners ----

http_listener::http_listener(handler own_handler, std::uint16_t port)
    : handle{std::move(own_handler)} {
    constexpr auto backlog = 1024;
    this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const on = 1;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = loopback(port);
    auto length = socklen_t{sizeof(address)};
    ::bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), length);
    ::listen(this->descriptor, backlog);
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    this->bound = ntohs(address.sin_port);
    this->acceptor = std::thread{[this] { this->accept_all(); }};
}

auto http_listener::accept_all() -> void {
    while (!this->stopping) {
        auto watched = pollfd{this->descriptor, POLLIN, 0};
        if (::poll(&watched, 1, 20) <= 0) {
            continue;
        }
        auto const accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        auto const on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto one = std::make_shared<connection>(accepted);
        auto const lock = std::lock_guard{this->mutex};
        this->open.insert(one);
        ++this->under_way;
        std::thread{[this, one] { this->serve(one); }}.detach();
    }
}

auto http_listener::serve(std::shared_ptr<connection> const& one) -> void {
    while (auto const asked = one->read_request()) {
        if (!this->handle(*one, *asked)) {
            break;
        }
    }
    one->close();
    auto const lock = std::lock_guard{this->mutex};
    this->open.erase(one);
    --this->under_way;
    this->ended.notify_all();
}

auto http_listener::connections() -> std::size_t {
    auto const lock = std::lock_guard{this->mutex};
    return this->open.size();
}

auto http_listener::stop() -> void {
    if (this->stopping.exchange(true)) {
        return;
    }
    this->acceptor.join();
    ::close(this->descriptor);
    auto lock = std::unique_lock{this->mutex};
    for (auto const& one : this->open) {
        one->reset();
    }
    this->ended.wait(lock, [this] { return this->under_way == 0; });
}

// ---- The store ----

store::store()
    : listener{std::make_unique<http_listener>(
          [this](auto& to, auto const& asked) { return this->serve(to, asked); })} {}

auto store::put(std::string const& key, std::string const& value) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->write(key, value, 0);
}

auto store::remove(std::string const& key) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->erase(key);
}

auto store::find(std::string const& key) -> std::optional<std::string> {
    auto const lock = std::lock_guard{this->mutex};
    this->expire();
    auto const found = this->items.find(key);
    return found == this->items.end() ? std::nullopt : std::optional{found->second.value};
}

auto store::set_silent(bool wanted) -> void {
    this->silent = wanted;
}

auto store::serve(connection& to, request const& asked) -> bool {
    auto const [status, body] =
        this->silent ? std::pair<int, json>{503, json::object()} : this->answer_call(asked);
    if (this->silent) {
        while (this->silent && !to.is_closed()) {
            sleep_for(milliseconds{20});
        }
        return false;
    }
    return to.write(format_answer(
        status, {{{"Content-Type", "application/json"}, {"Store-Era", "1"}}}, body.dump()));
}

auto store::answer_call(request const& asked) -> std::pair<int, json> {
    auto const path = asked.target.substr(0, asked.target.find('?'));
    auto query = read_query(asked.target);
    if (path == "/-/kv-watch") {
        return this->watch(query);
    }
    auto const lock = std::lock_guard{this->mutex};
    this->expire();
    if (path == "/-/kv-key") {
        auto const found = this->items.find(query["key"]);
        if (found == this->items.end()) {
            return {404, json{{"at", this->revision}}};
        }
        auto const& one = found->second;
        return {200, json{{"key", found->first},
                          {"value", encode_base64(one.value)},
                          {"revision", one.revision},
                          {"created", one.created},
                          {"lease", one.lease},
                          {"at", this->revision}}};
    }
    if (path == "/-/kv-range") {
        return this->read_range(query);
    }
    return path == "/-/kv-txn" ? this->transact(json::parse(asked.body, nullptr, false))
                               : this->lease_call(asked);
}

auto store::read_range(query_map const& query) -> std::pair<int, json> {
    auto const prefix = query.contains("prefix") ? query.at("prefix") : std::string{};
    auto const after = query.contains("after") ? query.at("after") : std::string{};
    auto page = json::array();
    for (auto const& [key, one] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            page.push_back({{"key", key},
                            {"value", encode_base64(one.value)},
                            {"revision", one.revision},
                            {"created", one.created},
                            {"lease", one.lease}});
        }
    }
    return {200, json{{"items", page}, {"has_more", false}, {"at", this->revision}}};
}

auto store::watch(query_map const& query) -> std::pair<int, json> {
    auto const prefix = query.at("prefix");
    auto const after = number(query.at("after"));
    auto const until =
        steady::now() + milliseconds{static_cast<std::int64_t>(number(query.at("wait_ms")))};
    auto lock = std::unique_lock{this->mutex};
    for (;;) {
        this->expire();
        if (after > this->revision) {
            return {410, json::object()};
        }
        auto events = json::array();
        for (auto const& each : this->history) {
            if (each.state.revision <= after || !each.key.starts_with(prefix)) {
                continue;
            }
            auto event = json{{"key", each.key}, {"revision", each.state.revision}};
            if (each.deleted) {
                event["deleted"] = true;
            } else {
                event["value"] = encode_base64(each.state.value);
                event["created"] = each.state.created;
                event["lease"] = each.state.lease;
            }
            events.push_back(std::move(event));
        }
        auto const now = steady::now();
        if (!events.empty() || now >= until) {
            return {200, json{{"events", events}, {"at", this->revision}}};
        }
        // Leases end without a call.
        this->changed.wait_until(lock, std::min(until, now + milliseconds{20}));
    }
}

auto store::transact(json const& body) -> std::pair<int, json> {
    for (auto const& condition : body["expect"]) {
        auto const found = this->items.find(condition["key"].get<std::string>());
        auto const current = found == this->items.end() ? 0 : found->second.revision;
        if (current != condition["revision"].get<std::uint64_t>()) {
            return {412, json{{"items", json::array()}}};
        }
    }
    for (auto const& wanted : body["writes"]) {
        auto const lease = wanted["lease"].get<std::uint64_t>();
        if (lease != 0 && !this->leases.contains(lease)) {
            return {404, json::object()};
        }
    }
    for (auto const& key : body["deletes"]) {
        this->erase(key.get<std::string>());
    }
    for (auto const& wanted : body["writes"]) {
        this->write(wanted["key"].get<std::string>(),
                    decode_base64(wanted["value"].get<std::string>()),
                    wanted["lease"].get<std::uint64_t>());
    }
    return {200, json{{"revision", this->revision}}};
}

auto store::lease_call(request const& asked) -> std::pair<int, json> {
    auto const now = steady::now();
    if (asked.target == "/-/kv-lease") {
        auto const body = json::parse(asked.body, nullptr, false);
        auto const ttl = milliseconds{body["ttl_ms"].get<std::int64_t>()};
        this->leases[++this->last_lease] = lease_state{ttl, now + ttl};
        return {200, json{{"lease", this->last_lease}, {"ttl_ms", ttl.count()}}};
    }
    auto const lease = number(asked.target.substr(asked.target.rfind('/') + 1));
    auto const found = this->leases.find(lease);
    if (found == this->leases.end()) {
        return {404, json::object()};
    }
    if (asked.method == "DELETE") {
        found->second.ends = now;
        this->expire();
        return {200, json::object()};
    }
    found->second.ends = now + found->second.ttl;
    return {200, json{{"ttl_ms", found->second.ttl.count()}}};
}

auto store::write(std::string const& key, std::string const& value, std::uint64_t lease) -> void {
    auto& one = this->items[key];
    one.value = value;
    one.revision = ++this->revision;
    one.created = one.created == 0 ? one.revision : one.created;
    one.lease = lease;
    this->history.push_back({key, one, false});
    this->changed.notify_all();
}

auto store::erase(std::string const& key) -> void {
    if (this->items.erase(key) > 0) {
        this->history.push_back({key, item{"", ++this->revision, 0, 0}, true});
        this->changed.notify_all();
    }
}

auto store::expire() -> void {
    auto const now = steady::now();
    auto over = std::set<std::uint64_t>{};
    std::erase_if(this->leases, [&](auto const& each) {
        if (each.second.ends > now) {
            return false;
        }
        over.insert(each.first);
        return true;
    });
    if (over.empty()) {
        return;
    }
    auto keys = std::vector<std::string>{};
    for (auto const& [key, one] : this->items) {
        if (over.contains(one.lease)) {
            keys.push_back(key);
        }
    }
    for (auto const& key : keys) {
        this->erase(key);
    }
}

// ---- Hosts ----

host::host(host_options own_options, store const& platform, std::string own_folder)
    : options{std::move(own_options)},
      store_address{platform.address()},
      folder{std::move(own_folder)},
      callers{free_port()},
      operators{free_port()},
      peers{free_port()} {}

host::~host() {
    this->kill();
}

auto host::start() -> bool {
    auto const file = this->folder + "/" + this->options.name + ".toml";
    auto const local = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::ofstream{file} << "host = \"" << this->options.name << "\"\ndata_centre = \""
                        << this->options.zone
                        << "\"\nprocessor_share = 0.25\n\n[listen]\ncallers = "
                        << local(this->callers) << "\noperators = " << local(this->operators)
                        << "\npeers = " << local(this->peers) << "\n\n[coordination]\naddress = \""
                        << this->store_address << "\"\norder_lease = \"3000ms\"\nfirst_start = "
                        << (this->options.first_start ? "true" : "false")
                        << "\n\n[retries]\nratio = 0.2\nwindow = \"10s\"\nslack = 54\n\n"
                           "[changes]\napplied_within = \""
                        << this->options.config_apply_ms
                        << "ms\"\n\n[leaving]\ngrace = \"8s\"\n\n[memory]\nprocess_megabytes = "
                        << this->options.memory_mb << "\n";
    auto const log = this->folder + "/" + this->options.name + ".log";
    auto const started = ::fork();
    if (started < 0) {
        return false;
    }
    if (started == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (this->options.descriptors > 0) {
            auto const limit = rlimit{this->options.descriptors, this->options.descriptors};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::execl("target/bin/linnetlaned", "target/bin/linnetlaned", "--router", file.c_str(),
                nullptr);
        ::_exit(127);
    }
    this->process = started;
    return true;
}

auto host::signal(int number_of_signal) const -> void {
    if (this->process > 0) {
        ::kill(this->process, number_of_signal);
    }
}

auto host::has_ended() -> bool {
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process < 0;
}

auto host::kill() -> void {
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

auto host::is_ready() const -> bool {
    constexpr auto limit = milliseconds{500};
    auto const checked = connection::open(this->operators, limit);
    if (!checked ||
        !send_request(*checked, {"GET", "/-/readiness", {{{"Host", "platform"}}}, {}})) {
        return false;
    }
    return read_answer(*checked, steady::now() + limit).status == 200;
}

auto host::peak_memory() const -> std::uint64_t {
    auto status = std::ifstream{"/proc/" + std::to_string(this->process) + "/status"};
    for (auto line = std::string{}; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return number(line.substr(line.find_first_of("0123456789"))) * 1024;
        }
    }
    return 0;
}

auto host::open_descriptors() const -> std::size_t {
    auto ignored = std::error_code{};
    auto count = std::size_t{0};
    for (auto const& each : std::filesystem::directory_iterator{
             "/proc/" + std::to_string(this->process) + "/fd", ignored}) {
        static_cast<void>(each);
        ++count;
    }
    return count;
}

// ---- Folders and documents ----

temporary_folder::temporary_folder() {
    auto const* const base = std::getenv("TMPDIR");
    auto pattern = std::string{base == nullptr ? "/tmp" : base} + "/review-XXXXXX";
    if (::mkdtemp(pattern.data()) != nullptr) {
        this->name = pattern;
    }
}

temporary_folder::~temporary_folder() {
    if (!this->name.empty() && std::getenv("KEEP_FOLDER") == nullptr) {
        auto ignored = std::error_code{};
        std::filesystem::remove_all(this->name, ignored);
    }
}

auto route(std::string const& prefix, std::string const& kind, std::string const& service,
           int timeout_ms, int attempts) -> json {
    return {{"name", "r" + prefix},
            {"hostname", "a.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeout_ms", timeout_ms},
            {"target_latency_ms", 150},
            {"priority", 1},
            {"service", service},
            {"max_attempts", attempts},
            {"session_affinity", false},
            {"resumable", false}};
}

auto service(std::string const& name, int max_connections) -> json {
    return {{"name", name},
            {"health_check_path", "/health"},
            {"max_connections", max_connections},
            {"protocol", "h1"},
            {"tls", false}};
}

auto configuration(json const& routes, json const& services) -> std::string {
    auto document = json{{"version", 3},
                         {"routes", routes},
                         {"services", services},
                         {"limits",
                          {{"max_header_bytes", 16384},
                           {"max_body_bytes", 4194304},
                           {"header_timeout_ms", 3000},
                           {"idle_timeout_ms", 15000}}}};
    return document.dump();
}

auto to_text(runner_entry const& entry) -> std::string {
    auto document = json{{"service", entry.service}, {"address", entry.address},
                         {"zone", entry.zone},       {"version", "v1"},
                         {"slots", entry.slots},     {"state", entry.state},
                         {"cold_remaining_ms", 0},   {"sequence", 1},
                         {"born", entry.born}};
    if (!entry.stage.empty()) {
        document["stage"] = entry.stage;
    }
    return document.dump();
}

}  // namespace review

#include "linnetlane/system/cluster.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "linnetlane/upstream/sse.h"

namespace linnetlane::system {

using nlohmann::json;

namespace {

constexpr auto peer_port = 7000;
constexpr auto poll_interval = std::chrono::milliseconds{20};
constexpr auto status_ok = 200;
constexpr auto max_body_bytes = std::size_t{16} * 1024 * 1024;

auto call_deadline() -> base::time_point {
    return base::monotonic_clock::now() + wait_timeout;
}

auto format(base::endpoint const& address) -> std::string {
    return address.address + ":" + std::to_string(address.port);
}

auto toml_line(std::string const& key, std::string const& value) -> std::string {
    return key + " = \"" + value + "\"\n";
}

auto parse_json(std::string const& text) -> json {
    return json::parse(text, nullptr, false);
}

auto completion_request(prompt_spec const& spec) -> runtime::http_request {
    auto request = runtime::http_request{"POST", "/v1/completions", {}, {}};
    request.fields.add("x-caller", "inspectors");
    for (auto const& [name, value] : spec.headers) {
        request.fields.add(name, value);
    }
    request.body = json{
        {"model", "finding"},
        {"prompt", spec.prompt},
        {"max_tokens", spec.max_tokens},
        {"x_output_tokens", spec.max_tokens},
        {"stream",
         true}}.dump();
    return request;
}

// Adds one event of the stream to `into`. Returns true if the event has text.
auto add_event(std::string const& data, completion& into) -> bool {
    if (data == "[DONE]") {
        into.complete = true;
        return false;
    }
    auto const chunk = parse_json(data);
    if (chunk.contains("error")) {
        into.error = chunk["error"];
        return false;
    }
    if (!chunk.contains("choices")) {
        return false;
    }
    auto const text = chunk["choices"][0].value("text", "");
    if (text.empty()) {
        return false;
    }
    into.text += text;
    into.offsets.push_back(chunk.value("x_offset", std::int64_t{-1}));
    return true;
}

// Reads a streamed answer until its end, or until it has at least `max_chunks` chunks with text.
auto read_stream(runtime::http_stream& stream, completion& into, std::size_t max_chunks) -> void {
    auto parser = upstream::sse_parser{};
    while (into.offsets.size() < max_chunks) {
        auto const bytes = stream.read_some(call_deadline());
        if (!base::succeeded(bytes) || base::value_of(bytes).empty()) {
            return;
        }
        auto const events = parser.feed(base::value_of(bytes));
        if (!base::succeeded(events)) {
            return;
        }
        for (auto const& event : base::value_of(events)) {
            add_event(event.data, into);
        }
    }
}

auto request_completion(base::endpoint const& to, prompt_spec const& spec, std::size_t max_chunks)
    -> completion {
    auto result = completion{};
    auto opened = runtime::open_stream(to, completion_request(spec), runtime::connection_use::fresh,
                                       call_deadline());
    if (!base::succeeded(opened)) {
        return result;
    }
    auto stream = base::take_value(std::move(opened));
    result.status = stream.status();
    if (auto const retry = stream.fields().find("retry-after")) {
        result.retry_after = std::string(*retry);
    }
    if (result.status == status_ok) {
        read_stream(stream, result, max_chunks);
    } else {
        auto const body = stream.read_all(max_body_bytes, call_deadline());
        auto const answer = base::succeeded(body) ? parse_json(base::value_of(body)) : json{};
        result.error = answer.is_object() ? answer.value("error", json{}) : json{};
    }
    stream.close();
    return result;
}

}  // namespace

cluster::cluster() {
    auto pattern = (std::filesystem::temp_directory_path() / "linnetlane-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a directory for settings");
    }
    this->directory = pattern;
}

cluster::~cluster() {
    this->processes.clear();
    this->pool.stop();
    this->pool.join();
    std::filesystem::remove_all(this->directory);
}

auto cluster::next_address() -> std::string {
    constexpr auto block = 256;
    auto const process_id = static_cast<int>(::getpid());
    ++this->last_address;
    return "127." + std::to_string(1 + process_id / block % 250) + "." +
           std::to_string(process_id % block) + "." + std::to_string(this->last_address);
}

// ---- Processes ----

auto cluster::start_platform(std::vector<std::string> const& options) -> void {
    auto command =
        std::vector<std::string>{LINNETLANE_STANDIN, "platform", "--address", this->next_address()};
    command.insert(command.end(), options.begin(), options.end());
    this->processes.emplace("platform", process::start(command));
}

auto cluster::start_engines(std::vector<engine_spec> const& specs,
                            std::vector<std::string> const& options) -> void {
    for (auto const& spec : specs) {
        auto command = std::vector<std::string>{
            LINNETLANE_STANDIN,   "engine",   "--address",
            this->next_address(), "--engine", spec.id + ":" + spec.role + ":0"};
        command.insert(command.end(), options.begin(), options.end());
        this->processes.emplace(spec.id, process::start(command));
        this->engines.push_back(spec);
    }
}

auto cluster::start_plain(std::string const& id, std::string const& data_centre) -> void {
    this->processes.emplace(
        id, process::start({LINNETLANE_STANDIN, "plain", "--address", this->next_address()}));
    this->instances.push_back({id, "plain", data_centre});
}

auto cluster::write_settings(host_spec const& host) -> std::string {
    auto path = this->directory + "/" + host.name + ".toml";
    auto const& address = this->host_addresses.at(host.name);
    auto out = std::ofstream(path);
    out << toml_line("host", host.name) << toml_line("data_centre", host.data_centre)
        << "workers = 2\n"
        << "[listen]\n"
        << toml_line("callers", address + ":0")
        << toml_line("peers", address + ":" + std::to_string(peer_port))
        << toml_line("operators", address + ":0") << "[platform]\nendpoints = [\""
        << format(this->address("platform")) << "\"]\n";
    for (auto const& other : this->known_hosts) {
        out << "[[seeds]]\n"
            << toml_line("host", other.name) << toml_line("data_centre", other.data_centre)
            << toml_line("address",
                         this->host_addresses.at(other.name) + ":" + std::to_string(peer_port));
    }
    return path;
}

auto cluster::start_host(host_spec const& host) -> void {
    if (!this->host_addresses.contains(host.name)) {
        this->host_addresses[host.name] = this->next_address();
        this->known_hosts.push_back(host);
    }
    auto const path = this->write_settings(host);
    this->processes.insert_or_assign(host.name,
                                     process::start({LINNETLANE_DAEMON, "--settings", path}));
}

auto cluster::start_hosts(std::vector<host_spec> const& hosts) -> void {
    for (auto const& host : hosts) {
        this->host_addresses[host.name] = this->next_address();
        this->known_hosts.push_back(host);
    }
    for (auto const& host : hosts) {
        this->start_host(host);
    }
    for (auto const& host : hosts) {
        this->await_ready(host.name);
    }
    auto const all_seen = [&] {
        return std::all_of(hosts.begin(), hosts.end(), [&](host_spec const& host) {
            auto const list = this->get(this->operators(host.name), "/v1/hosts");
            return list.is_object() && list["hosts"].size() == hosts.size();
        });
    };
    if (!eventually(all_seen)) {
        throw std::runtime_error("timed out waiting for the hosts to list each other");
    }
}

auto cluster::await_ready(std::string const& host) -> void {
    auto const ready = [&] {
        auto const answer = this->call(this->operators(host), {"GET", "/readyz", {}, {}});
        return base::succeeded(answer) && base::value_of(answer).status == status_ok;
    };
    if (!eventually(ready)) {
        throw std::runtime_error("timed out waiting for host " + host + " to become ready");
    }
}

auto cluster::at(std::string const& name) -> process& {
    return this->processes.at(name);
}

auto cluster::address(std::string const& name) -> base::endpoint {
    return this->at(name).listen_address(0);
}

auto cluster::operators(std::string const& host) -> base::endpoint {
    constexpr auto operators_line = 2;
    return this->at(host).listen_address(operators_line);
}

// ---- Documents ----

namespace {

auto upstream_text(engine_spec const& spec, base::endpoint const& address) -> std::string {
    return "[[upstreams]]\n" + toml_line("id", spec.id) +
           toml_line("data_centre", spec.data_centre) + toml_line("role", spec.role) +
           toml_line("address", format(address));
}

}  // namespace

auto cluster::model_document(std::string const& service, std::string const& extra) const
    -> std::string {
    auto text = toml_line("id", service) + toml_line("kind", "model") + extra;
    for (auto const& spec : this->engines) {
        text += upstream_text(spec, const_cast<cluster*>(this)->address(spec.id));
    }
    return text;
}

auto cluster::plain_document(std::string const& service, std::string const& extra) const
    -> std::string {
    auto text = toml_line("id", service) + toml_line("kind", "plain") +
                toml_line("route", "/" + service + "/") + extra;
    for (auto const& spec : this->instances) {
        text += upstream_text(spec, const_cast<cluster*>(this)->address(spec.id));
    }
    return text;
}

auto cluster::apply_at(std::string const& host, std::string const& service, std::string const& text,
                       std::uint64_t replaces) -> runtime::http_response {
    auto const target = "/v1/services/" + service + "?base=" + std::to_string(replaces);
    auto const answer = this->call(this->operators(host), {"PUT", target, {}, text});
    return base::succeeded(answer) ? base::value_of(answer) : runtime::http_response{0, {}, {}};
}

auto cluster::begin_apply(std::string const& host, std::string const& service,
                          std::string const& text, std::uint64_t replaces)
    -> std::future<runtime::http_response> {
    return std::async(std::launch::async, [this, host, service, text, replaces] {
        return this->apply_at(host, service, text, replaces);
    });
}

auto cluster::apply(std::string const& service, std::string const& text) -> void {
    auto const answer = this->apply_at(this->known_hosts.front().name, service, text, 0);
    if (answer.status != status_ok) {
        throw std::runtime_error("the document was not applied: " + answer.body);
    }
    auto const is_in_force = [&] {
        return std::all_of(
            this->known_hosts.begin(), this->known_hosts.end(),
            [&](host_spec const& host) { return this->generation_at(host.name, service) == 1; });
    };
    if (!eventually(is_in_force)) {
        throw std::runtime_error(
            "timed out waiting for the document to come into force on all hosts");
    }
}

auto cluster::generation_at(std::string const& host, std::string const& service) -> std::uint64_t {
    auto const answer = this->get(this->operators(host), "/v1/services/" + service);
    return answer.is_object() ? answer.value("generation", std::uint64_t{0}) : 0;
}

auto cluster::await_serving(std::string const& host) -> void {
    auto const serves = [&] { return this->complete(host, {"warm", 1, {}}).complete; };
    if (!eventually(serves)) {
        throw std::runtime_error("timed out waiting for host " + host + " to complete a request");
    }
}

// ---- Calls ----

auto cluster::in_fiber(std::function<void()> const& body) -> void {
    auto done = std::promise<void>{};
    this->pool.spawn([&] {
        body();
        done.set_value();
    });
    done.get_future().wait();
}

auto cluster::complete(std::string const& host, prompt_spec const& spec) -> completion {
    return this->begin_complete(host, spec).get();
}

auto cluster::begin_complete(std::string const& host, prompt_spec const& spec)
    -> std::future<completion> {
    auto const to = this->address(host);
    auto done = std::make_shared<std::promise<completion>>();
    auto future = done->get_future();
    this->pool.spawn(
        [to, spec, done] { done->set_value(request_completion(to, spec, std::string::npos)); });
    return future;
}

auto cluster::abandon(std::string const& host, prompt_spec const& spec, std::size_t chunks)
    -> void {
    auto const to = this->address(host);
    this->in_fiber([&] { static_cast<void>(request_completion(to, spec, chunks)); });
}

auto cluster::call(base::endpoint const& to, runtime::http_request const& request)
    -> base::result<runtime::http_response, runtime::http_failure> {
    auto answer = base::result<runtime::http_response, runtime::http_failure>{};
    this->in_fiber([&] {
        answer = runtime::fetch(to, request, runtime::connection_use::fresh, call_deadline());
    });
    return answer;
}

auto cluster::get(base::endpoint const& to, std::string const& target) -> json {
    auto const answer = this->call(to, {"GET", target, {}, {}});
    if (!base::succeeded(answer) || base::value_of(answer).status != status_ok) {
        return json{};
    }
    return parse_json(base::value_of(answer).body);
}

auto cluster::control(std::string const& name, json const& faults) -> void {
    auto const answer = this->call(this->address(name), {"POST", "/control", {}, faults.dump()});
    if (!base::succeeded(answer) || base::value_of(answer).status != status_ok) {
        throw std::runtime_error("cannot configure fault injection of stand-in " + name);
    }
}

auto cluster::stats(std::string const& name) -> json {
    return this->get(this->address(name), name == "platform" ? "/control/stats" : "/stats");
}

auto cluster::pieces_held(std::string const& engine) -> std::int64_t {
    auto pieces = std::int64_t{0};
    auto const stats = this->stats(engine);
    for (auto const& held : stats.value("held", json::object())) {
        pieces += held.is_number() ? held.get<std::int64_t>() : std::int64_t{1};
    }
    return pieces;
}

auto cluster::eventually(std::function<bool()> const& condition) -> bool {
    auto const deadline = call_deadline();
    while (base::monotonic_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

}  // namespace linnetlane::system

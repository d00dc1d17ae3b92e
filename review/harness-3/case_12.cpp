// Case 12: engines are restarted in place with another version of their software, and streams that
// the earlier version began go on at the new one.
//
//   case_12 FOLDER

#include <algorithm>
#include <csignal>

#include "review/harness-3/site.h"

namespace review {
namespace {

constexpr auto restarts = 9;
constexpr auto streams_per_restart = 6;
constexpr auto events = 60;
constexpr auto event_interval = milliseconds{50};
// 5,000 tokens.
constexpr auto prefill_time = milliseconds{90};
constexpr auto down_time = milliseconds{700};
constexpr auto deadline = milliseconds{14'000};
constexpr auto heartbeat = milliseconds{1200};
// The rule's limit on streams with events of two versions.
constexpr auto tolerated = 2;

// A sound engine. It begins to serve after its entry is in the store.
class engine {
public:
    engine(std::string own_id, std::string own_stage, store& own_platform, recorder& own_record)
        : id{std::move(own_id)},
          stage{std::move(own_stage)},
          platform{own_platform},
          record{own_record} {
        this->listener.emplace(
            [this](auto& to, auto const& asked) { return this->serve(to, asked); }, 0);
        this->register_entry();
    }

    // Whether it has room for no request.
    auto set_full(bool wanted) -> void { this->full = wanted; }
    // The process ends without a word, and another one starts under its id and address.
    auto restart(std::string const& with) -> void {
        auto const port = this->listener->port();
        this->listener.reset();
        this->record.note("engine " + this->id + " has crashed");
        sleep_for(down_time);
        this->version = with;
        ++this->born;
        this->register_entry();
        this->listener.emplace(
            [this](auto& to, auto const& asked) { return this->serve(to, asked); }, port);
        this->record.note("engine " + this->id + " has started with version " + with);
    }
    [[nodiscard]] auto streams() const -> int { return this->running; }

private:
    auto register_entry() -> void {
        auto entry = json::parse(to_text({this->id, "finding-llm", this->listener_address(),
                                          "bne-north", "ready", 32, this->born, this->stage}));
        entry["version"] = this->version;
        this->platform.put("servers/" + this->id, entry.dump());
    }
    [[nodiscard]] auto listener_address() -> std::string {
        if (this->listener) {
            this->address = this->listener->address();
        }
        return this->address;
    }

    auto serve(connection& to, request const& asked) -> bool {
        auto const name = asked.headers.find("Request-Id");
        auto const expected = asked.headers.find("Expect-Instance");
        auto const refused = header_list{{{"Request-Id", name}, {"Not-Executed", "1"}}};
        if (!expected.empty() && expected != this->id) {
            return to.write(format_answer(421, refused, ""));
        }
        if (asked.target == "/-/hold-take") {
            auto const hold = json{{"hold", this->id + "-" + std::to_string(++this->last)}};
            return to.write(this->full ? format_answer(503, {{{"Not-Executed", "1"}}}, "")
                                       : format_answer(200, {}, hold.dump()));
        }
        if (asked.target.starts_with("/-/")) {
            return to.write(format_answer(200, {}, "{}"));
        }
        if (asked.headers.find("Serving-Stage") == "prefill") {
            sleep_for(prefill_time);
            auto const made = json{
                {"handle", "k" + std::to_string(++this->last)}, {"tokens", 5000}, {"version", 1}};
            return to.write(format_answer(200, {{{"Request-Id", name}}}, made.dump()));
        }
        return this->stream(to, asked, name);
    }

    auto stream(connection& to, request const& asked, std::string const& name) -> bool {
        auto const after = asked.headers.find("Last-Event-Id");
        auto const first = after.empty() ? 1 : std::stoi(after) + 1;
        auto const own_version = this->version;
        this->record.note("engine " + this->id + ", version " + own_version + ", runs " + name +
                          " from event " + std::to_string(first));
        ++this->running;
        auto open = to.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + name +
            "\r\nResponse-Stamp: stamp." + name + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (auto number = first; open && number <= events; ++number) {
            auto const event = "id: " + std::to_string(number) + "\ndata: token " +
                               std::to_string(number) + " of " + own_version + "\n\n";
            open = to.write(chunk_of(event));
            sleep_for(event_interval);
            open = open && !to.is_closed();
        }
        --this->running;
        return open && to.write("0\r\n\r\n");
    }

    std::string id;
    std::string stage;
    store& platform;
    recorder& record;
    std::string version = "v1";
    std::string address;
    std::int64_t born = 1;
    std::atomic<bool> full = false;
    std::atomic<int> running = 0;
    std::atomic<int> last = 0;
    std::optional<http_listener> listener;
};

struct tally {
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> mixed = 0;
};

auto ask_audit(std::uint16_t port, std::string const& name, tally& counts, recorder& record)
    -> void {
    auto const opened = connection::open(port, milliseconds{1000});
    if (!opened) {
        record.note("client " + name + " got no connection");
        return;
    }
    send_request(*opened, {"POST",
                           "/audit/" + name,
                           {{{"Host", "a.example"},
                             {"Request-Id", name},
                             {"Model", "m"},
                             {"Token-Counts", "5000,70"},
                             {"Prompt-Prefix", "5c1e07a2:200," + name + ":4800"},
                             {"Deadline-Ms", std::to_string(deadline.count())}}},
                           std::string(5000, 'p')});
    auto const read = read_answer(*opened, steady::now() + deadline);
    auto versions = std::set<std::string>{};
    for (auto const* const each : {"v1", "v2"}) {
        if (read.body.find(std::string{" of "} + each + "\n") != std::string::npos) {
            versions.insert(each);
        }
    }
    counts.whole += read.complete ? 1 : 0;
    counts.cut += read.complete ? 0 : 1;
    counts.mixed += versions.size() > 1 ? 1 : 0;
    record.note("client " + name + " got status " + std::to_string(read.status) +
                (read.complete ? ", a whole stream" : ", no whole stream") +
                (versions.empty() ? std::string{} : " of " + *versions.begin()) +
                (versions.size() > 1 ? " and " + *versions.rbegin() : std::string{}));
}

// Application runners that are cold after a restart, and whose entries change with each heartbeat.
class cold_runners {
public:
    explicit cold_runners(store& own_platform) : platform{own_platform} {
        this->writer = std::thread{[this] { this->write(); }};
    }
    auto stop() -> void {
        this->stopping = true;
        this->writer.join();
    }

private:
    static constexpr auto count = 4;

    auto write() -> void {
        for (auto number = 0; !this->stopping; ++number) {
            auto entry = json::parse(to_text({"j-" + std::to_string(number % count), "jobs-app",
                                              this->idle.address(), "bne-south"}));
            entry["cold_remaining_ms"] = 60'000 - 300 * number;
            entry["sequence"] = number / count;
            this->platform.put("servers/j-" + std::to_string(number % count), entry.dump());
            sleep_for(heartbeat / count);
        }
    }

    store& platform;
    http_listener idle{
        [](auto& to, auto const&) { return to.write(format_answer(200, {}, "{}")); }};
    std::atomic<bool> stopping = false;
    std::thread writer;
};

auto run(std::string const& folder) -> int {
    auto record = recorder{folder + "/record.txt"};
    auto counts = tally{};
    auto platform = store{};
    auto spec = service("finding-llm", 230);
    spec["engine"] = {{"slots", 32},       {"kv_cache_tokens", 75'851}, {"kv_token_bytes", 131'072},
                      {"handle_ttl_s", 1}, {"stage_switch_s", 6.0},     {"hold_ms", 2000}};
    auto audit = route("/audit/", "streaming", "finding-llm", 14'000, 2);
    audit["session_affinity"] = true;
    audit["resumable"] = true;
    audit["gap_aim_ms"] = 300;
    audit["target_latency_ms"] = 900;
    platform.put("op/config", configuration(json::array({audit}),
                                            json::array({spec, service("jobs-app", 100)})));
    auto prefill = engine{"i-100", "prefill", platform, record};
    auto decoders = std::vector<std::unique_ptr<engine>>{};
    for (auto index = 1; index <= restarts + 1; ++index) {
        decoders.push_back(std::make_unique<engine>("i-" + std::to_string(100 + index), "decode",
                                                    platform, record));
    }
    auto cold = cold_runners{platform};
    auto const files = temporary_folder{};
    auto router = host{{"frontend-bne-north-1"}, platform, files.path()};
    auto const ready =
        router.start() && wait_until([&] { return router.is_ready(); }, milliseconds{15'000});
    // Until the host knows how many others there are, its share of the retry budget is small.
    sleep_for(milliseconds{4000});
    for (auto index = 0; ready && index < restarts; ++index) {
        // The others are full of the requests of other hosts.
        for (auto const& each : decoders) {
            each->set_full(each != decoders[static_cast<std::size_t>(index)]);
        }
        auto& chosen = *decoders[static_cast<std::size_t>(index)];
        auto callers = std::vector<std::thread>{};
        for (auto number = 0; number < streams_per_restart; ++number) {
            callers.emplace_back([&, number] {
                ask_audit(router.port(), std::to_string(index) + "a" + std::to_string(number),
                          counts, record);
            });
        }
        wait_until([&] { return chosen.streams() == streams_per_restart; }, milliseconds{3000});
        sleep_for(milliseconds{300});
        chosen.restart(plays_trouble() ? "v2" : "v1");
        sleep_for(milliseconds{1000});
        for (auto const& each : decoders) {
            each->set_full(false);
        }
        for (auto& each : callers) {
            each.join();
        }
    }
    cold.stop();
    record.note("streams: " + std::to_string(counts.whole) + " whole, " +
                std::to_string(counts.cut) + " not whole, " + std::to_string(counts.mixed) +
                " with events of two versions");
    if (!ready || router.has_ended()) {
        record.note("the case could not be played");
        return exit_not_run;
    }
    auto const broken = counts.mixed > tolerated;
    record.note(broken ? "ORDER is broken" : "ORDER held");
    return broken ? exit_broken : exit_held;
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
    return count == 2 ? review::run(arguments[1]) : review::exit_not_run;
}

// Case 13: a few callers that upload at the same time take a host over its memory, and the platform
// kills it with the requests that it has accepted.
//
//   case_13 FOLDER

#include <csignal>

#include "review/harness-3/site.h"

namespace review {
namespace {

constexpr auto memory_mb = 110;
constexpr auto bursts = 4;
constexpr auto uploads_per_host = 8;
// Below `max_body_bytes`.
constexpr auto upload_bytes = std::size_t{4'000'000};
// The uploads to one host share a link of 1,000 Mbit/s.
constexpr auto piece_bytes = std::size_t{64} * 1024;
constexpr auto piece_interval = milliseconds{4};
constexpr auto deadline = milliseconds{2500};
constexpr auto restart_delay = milliseconds{500};
// The rule's number of ends by itself, at each of two machines.
constexpr auto ends_of_rule = 3;

// The platform's side of one machine: ends the process when it exceeds its memory, and starts it
// again.
class machine {
public:
    machine(host_options const& options, store const& platform, std::string const& folder,
            recorder& own_record)
        : process{options, platform, folder}, record{own_record} {}

    auto start() -> bool {
        auto const started = this->process.start();
        this->watcher = std::thread{[this] { this->watch(); }};
        return started;
    }
    auto stop() -> void {
        this->stopping = true;
        this->watcher.join();
    }
    [[nodiscard]] auto is_ready() const -> bool {
        return this->running && this->process.is_ready();
    }
    [[nodiscard]] auto port() const -> std::uint16_t { return this->process.port(); }
    [[nodiscard]] auto name() const -> std::string const& { return this->process.name(); }
    [[nodiscard]] auto ends() const -> int { return this->ended; }
    [[nodiscard]] auto highest() const -> std::uint64_t { return this->peak; }

private:
    auto watch() -> void {
        constexpr auto limit = std::uint64_t{memory_mb} * 1024 * 1024;
        while (!this->stopping) {
            auto const used = this->process.peak_memory();
            this->peak = std::max(this->peak.load(), used);
            auto const exceeds = used > limit;
            if (exceeds || this->process.has_ended()) {
                this->running = false;
                this->record.note("platform: " + this->name() + " used " +
                                  std::to_string(used / 1024 / 1024) + " MB of " +
                                  std::to_string(memory_mb) + " and is " +
                                  (exceeds ? "killed" : "gone"));
                this->process.kill();
                ++this->ended;
                sleep_for(restart_delay);
                this->process.start();
                this->running = true;
            }
            sleep_for(milliseconds{2});
        }
    }

    host process;
    recorder& record;
    std::thread watcher;
    std::atomic<bool> stopping = false;
    std::atomic<bool> running = true;
    std::atomic<int> ended = 0;
    std::atomic<std::uint64_t> peak = 0;
};

struct tally {
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> without_answer = 0;
    std::atomic<int> runs = 0;
};

auto serve_runner(connection& to, request const& asked, std::string const& id, tally& counts,
                  recorder& record) -> bool {
    auto const name = asked.headers.find("Request-Id");
    auto const expected = asked.headers.find("Expect-Instance");
    if (!expected.empty() && expected != id) {
        return to.write(format_answer(421, {{{"Not-Executed", "1"}}}, ""));
    }
    if (!asked.target.starts_with("/lodge/")) {
        return to.write(format_answer(200, {}, "{}"));
    }
    record.note("runner " + id + " runs " + name + ", " + std::to_string(asked.body.size()) +
                " bytes");
    ++counts.runs;
    sleep_for(milliseconds{30});
    return to.write(format_answer(200,
                                  {{{"Request-Id", name},
                                    {"Response-Stamp", "stamp." + name},
                                    {"Server-Load", "1,0,6"},
                                    {"Keep-Alive", "timeout=10"}}},
                                  std::string(800, 'a')));
}

auto lodge(std::uint16_t port, std::string const& name, tally& counts, recorder& record) -> void {
    auto const until = steady::now() + deadline;
    auto const opened = connection::open(port, milliseconds{1000});
    auto const head = "POST /lodge/" + name +
                      " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + name +
                      "\r\nDeadline-Ms: " + std::to_string(deadline.count()) +
                      "\r\nContent-Length: " + std::to_string(upload_bytes) + "\r\n\r\n";
    auto sent = opened != nullptr && opened->write(head);
    for (auto left = upload_bytes; sent && left > 0;) {
        auto const piece = std::min(left, piece_bytes);
        sent = opened->write(std::string(piece, 'p'));
        left -= piece;
        sleep_for(piece_interval);
    }
    auto const read = opened ? read_answer(*opened, until) : answer{};
    if (read.status >= 200 && read.status < 300 && read.complete) {
        ++counts.answered;
    } else if (read.status != 0) {
        ++counts.refused;
    } else {
        ++counts.without_answer;
    }
    record.note("client " + name + (sent ? " sent its request" : " could not send its request") +
                " and got " +
                (read.status == 0 ? "no answer" : "status " + std::to_string(read.status)));
}

auto play_burst(int burst, std::vector<std::unique_ptr<machine>> const& machines, tally& counts,
                recorder& record) -> void {
    auto const together = plays_trouble();
    auto callers = std::vector<std::thread>{};
    for (auto const& each : machines) {
        for (auto index = 0; index < uploads_per_host; ++index) {
            auto const name = each->name().substr(each->name().size() - 1) + "-" +
                              std::to_string(burst) + "-" + std::to_string(index);
            callers.emplace_back(
                [&, name, port = each->port()] { lodge(port, name, counts, record); });
            if (!together) {
                callers.back().join();
                callers.pop_back();
            }
        }
    }
    for (auto& each : callers) {
        each.join();
    }
}

auto run(std::string const& folder) -> int {
    auto record = recorder{folder + "/record.txt"};
    auto counts = tally{};
    auto platform = store{};
    platform.put(
        "op/config",
        configuration(json::array({route("/lodge/", "non_idempotent", "jobs-app", 2500, 1)}),
                      json::array({service("jobs-app", 100)})));
    auto runners = std::vector<std::unique_ptr<http_listener>>{};
    for (auto index = 1; index <= 4; ++index) {
        auto const id = "i-" + std::to_string(index);
        runners.push_back(std::make_unique<http_listener>([&, id](auto& to, auto const& asked) {
            return serve_runner(to, asked, id, counts, record);
        }));
        platform.put("servers/" + id, to_text({id, "jobs-app", runners.back()->address()}));
    }
    auto const files = temporary_folder{};
    auto machines = std::vector<std::unique_ptr<machine>>{};
    for (auto const* const name : {"frontend-bne-north-1", "frontend-bne-north-2"}) {
        auto options = host_options{name};
        options.memory_mb = memory_mb;
        machines.push_back(std::make_unique<machine>(options, platform, files.path(), record));
    }
    auto const all_ready = [&] {
        return std::ranges::all_of(machines, [](auto const& each) { return each->is_ready(); });
    };
    auto played = std::ranges::all_of(machines, [](auto const& each) { return each->start(); });
    for (auto burst = 1; played && burst <= bursts; ++burst) {
        played = wait_until(all_ready, milliseconds{15'000});
        sleep_for(milliseconds{1000});
        record.note("burst " + std::to_string(burst));
        play_burst(burst, machines, counts, record);
        sleep_for(milliseconds{500});
    }
    auto broken = played;
    for (auto const& each : machines) {
        each->stop();
        record.note("platform: " + each->name() + " ended by itself " +
                    std::to_string(each->ends()) + " times; peak " +
                    std::to_string(each->highest() / 1024 / 1024) + " MB");
        broken = broken && each->ends() >= ends_of_rule;
    }
    record.note("clients: " + std::to_string(counts.answered) + " answered, " +
                std::to_string(counts.refused) + " refused, " +
                std::to_string(counts.without_answer) + " without an answer; " +
                std::to_string(counts.runs) + " runs");
    if (!played) {
        record.note("the case could not be played");
        return exit_not_run;
    }
    record.note(broken ? "Fault is broken" : "Fault held");
    return broken ? exit_broken : exit_held;
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
    return count == 2 ? review::run(arguments[1]) : review::exit_not_run;
}

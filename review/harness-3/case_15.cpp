// Case 15: a host is stopped as planned while the store is away, and the streams that it had begun
// and recorded can't be taken up at any other host.
//
//   case_15 FOLDER

#include <algorithm>
#include <csignal>

#include "review/harness-3/site.h"

namespace review {
namespace {

constexpr auto stream_count = 20;
constexpr auto new_count = 20;
constexpr auto events = 100;
constexpr auto event_interval = milliseconds{120};
constexpr auto prefill_time = milliseconds{90};
constexpr auto deadline = milliseconds{14'000};
// The host is stopped this long after the streams began, and cuts off what is left 7.2 s later.
constexpr auto stop_after = milliseconds{1000};
// The store falls silent this long after that, for as long as in the site's days.
constexpr auto silent_after = milliseconds{6000};
constexpr auto silent_for = milliseconds{8000};
// The rule's least number of streams.
constexpr auto least_resumed = 12;

// A sound engine of one software version.
class engine {
public:
    engine(runner_entry own_entry, std::string own_version, store& platform, recorder& own_record)
        : entry{std::move(own_entry)},
          version{std::move(own_version)},
          record{own_record},
          listener{[this](auto& to, auto const& asked) { return this->serve(to, asked); }} {
        this->entry.address = this->listener.address();
        auto document = json::parse(to_text(this->entry));
        document["version"] = this->version;
        platform.put("servers/" + this->entry.id, document.dump());
    }

private:
    auto serve(connection& to, request const& asked) -> bool {
        auto const name = asked.headers.find("Request-Id");
        auto const expected = asked.headers.find("Expect-Instance");
        if (!expected.empty() && expected != this->entry.id) {
            return to.write(
                format_answer(421, {{{"Request-Id", name}, {"Not-Executed", "1"}}}, ""));
        }
        if (asked.target == "/-/hold-take") {
            auto const hold = json{{"hold", this->entry.id + "-" + std::to_string(++this->last)}};
            return to.write(format_answer(200, {}, hold.dump()));
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
        this->record.note("engine " + this->entry.id + ", version " + this->version + ", runs " +
                          name + " from event " + std::to_string(first));
        auto open = to.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + name +
            "\r\nResponse-Stamp: stamp." + name + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (auto number = first; open && number <= events; ++number) {
            open = to.write(chunk_of("id: " + std::to_string(number) + "\ndata: token of " +
                                     this->version + "\n\n"));
            sleep_for(event_interval);
            open = open && !to.is_closed();
        }
        return open && to.write("0\r\n\r\n");
    }

    runner_entry entry;
    std::string version;
    recorder& record;
    std::atomic<int> last = 0;
    http_listener listener;
};

// Returns the number of the last whole event, or 0.
auto last_event(std::string const& body) -> int {
    auto const end = body.rfind("\n\n");
    auto const begin = end == std::string::npos ? end : body.rfind("id: ", end);
    return begin == std::string::npos ? 0 : std::stoi(body.substr(begin + 4));
}

struct tally {
    std::atomic<int> resumed = 0;
    std::atomic<int> went_on = 0;
    std::atomic<int> whole_at_once = 0;
    std::atomic<int> asked_anew = 0;
    std::atomic<int> began = 0;
};

auto ask(std::uint16_t port, std::string const& name, std::string const& first, int received,
         milliseconds limit) -> answer {
    auto const opened = connection::open(port, milliseconds{1000});
    if (!opened) {
        return {};
    }
    auto asked = request{"POST",
                         "/audit/" + first,
                         {{{"Host", "a.example"},
                           {"Request-Id", name},
                           {"Model", "m"},
                           {"Token-Counts", "5000,100"},
                           {"Prompt-Prefix", "5c1e07a2:200," + first + ":4800"},
                           {"Deadline-Ms", std::to_string(limit.count())}}},
                         std::string(5000, 'p')};
    if (received > 0) {
        asked.headers.entries.emplace_back("Last-Event-Id", std::to_string(received));
        asked.headers.entries.emplace_back("Resumes", first);
    }
    send_request(*opened, asked);
    return read_answer(*opened, steady::now() + limit);
}

// Asks for a stream at one host and, when it is cut off, takes it up at the others: three times at
// most, and after the time that a refusal states.
auto follow_stream(host const& first_host, std::vector<host const*> const& others,
                   std::string const& name, tally& counts, recorder& record) -> void {
    auto const until = steady::now() + deadline;
    auto const left = [&] {
        return std::chrono::duration_cast<milliseconds>(until - steady::now());
    };
    auto got = ask(first_host.port(), name, name, 0, left());
    auto received = last_event(got.body);
    record.note("client " + name + " got status " + std::to_string(got.status) + " and event " +
                std::to_string(received) + (got.complete ? ", the whole stream" : ", no end"));
    if (got.complete || received == 0) {
        counts.whole_at_once += got.complete ? 1 : 0;
        return;
    }
    ++counts.resumed;
    for (auto number = 1; number <= 3 && left() > milliseconds{500}; ++number) {
        auto const& at = *others[static_cast<std::size_t>(number) % others.size()];
        auto const id = name + "r" + std::to_string(number);
        got = ask(at.port(), id, name, received, left());
        record.note("client " + id + " takes it up at " + at.name() + ": status " +
                    std::to_string(got.status) + ", event " + std::to_string(last_event(got.body)));
        if (got.status == 200 && last_event(got.body) > received) {
            ++counts.went_on;
            return;
        }
        auto const pause = got.headers.find("Retry-After");
        sleep_for(milliseconds{pause.empty() ? 300 : static_cast<int>(1000 * std::stod(pause))});
    }
}

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
    platform.put("op/config", configuration(json::array({audit}), json::array({spec})));
    auto engines = std::vector<std::unique_ptr<engine>>{};
    for (auto index = 0; index < 12; ++index) {
        auto const id = "i-" + std::to_string(100 + index);
        engines.push_back(
            std::make_unique<engine>(runner_entry{id, "finding-llm", "", "bne-north", "ready", 32,
                                                  1, index < 4 ? "prefill" : "decode"},
                                     index % 2 == 0 ? "v1" : "v2", platform, record));
    }
    auto const files = temporary_folder{};
    auto hosts = std::vector<std::unique_ptr<host>>{};
    for (auto const* const name :
         {"frontend-bne-north-1", "frontend-bne-north-2", "frontend-bne-north-3"}) {
        hosts.push_back(std::make_unique<host>(host_options{name}, platform, files.path()));
        if (!hosts.back()->start()) {
            return exit_not_run;
        }
    }
    auto const all_ready = [&] {
        return std::ranges::all_of(hosts, [](auto const& each) { return each->is_ready(); });
    };
    if (!wait_until(all_ready, milliseconds{15'000})) {
        record.note("the hosts did not become ready");
        return exit_not_run;
    }
    sleep_for(milliseconds{3000});
    auto& stopped = *hosts.front();
    auto const others = std::vector<host const*>{hosts[1].get(), hosts[2].get()};
    auto callers = std::vector<std::thread>{};
    for (auto index = 0; index < stream_count; ++index) {
        callers.emplace_back([&, index] {
            follow_stream(stopped, others, "a" + std::to_string(index), counts, record);
        });
        sleep_for(milliseconds{20});
    }
    sleep_for(stop_after);
    record.note("SIGTERM to " + stopped.name());
    stopped.signal(SIGTERM);
    sleep_for(silent_after);
    if (plays_trouble()) {
        record.note("the store is silent");
        platform.set_silent(true);
    }
    auto const silent_until = steady::now() + silent_for;
    sleep_for(milliseconds{1000});
    for (auto index = 0; index < new_count; ++index) {
        callers.emplace_back([&, index] {
            auto const name = "n" + std::to_string(index);
            ++counts.asked_anew;
            auto const got = ask(others[static_cast<std::size_t>(index) % others.size()]->port(),
                                 name, name, 0, milliseconds{4000});
            counts.began += last_event(got.body) > 0 ? 1 : 0;
            record.note("client " + name + " asks anew: status " + std::to_string(got.status) +
                        ", event " + std::to_string(last_event(got.body)));
        });
        sleep_for(milliseconds{100});
    }
    std::this_thread::sleep_until(silent_until);
    platform.set_silent(false);
    record.note("the store answers");
    for (auto& each : callers) {
        each.join();
    }
    record.note("streams: " + std::to_string(counts.resumed) + " taken up again, " +
                std::to_string(counts.went_on) +
                " went on; new ones: " + std::to_string(counts.asked_anew) + " asked for, " +
                std::to_string(counts.began) + " began");
    if (counts.resumed < least_resumed || counts.began == 0) {
        record.note("the case could not be played");
        return exit_not_run;
    }
    auto const broken = 2 * counts.went_on * counts.asked_anew < counts.resumed * counts.began;
    record.note(broken ? "LOST is broken" : "LOST held");
    return broken ? exit_broken : exit_held;
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
    return count == 2 ? review::run(arguments[1]) : review::exit_not_run;
}

// Case 11: a caller that reads its answer slowly leaves at its deadline, and the router closes a
// runner's connection that by then carries the request of another caller.
//
//   case_11 FOLDER

#include <csignal>

#include "review/harness-3/site.h"

namespace review {
namespace {

constexpr auto rounds = 6;
constexpr auto runner_count = 2;
constexpr auto events = 30;
constexpr auto event_interval = milliseconds{100};
// A tally sheet. Sent over an Ethernet link to a caller that doesn't read, it doesn't fit
// into the buffers of the connection.
constexpr auto sheet_bytes = std::size_t{2} * 1024 * 1024;
constexpr auto sheet_deadline = milliseconds{1000};
// The rule's limit on closed connections at any time.
constexpr auto tolerated = 3;

struct tally {
    std::atomic<int> complete = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> failed = 0;
    // Streams whose connection the router closed while the runner was sending.
    std::atomic<int> closed_at_runner = 0;
    std::atomic<int> sheets_sent = 0;
    // Of the ordinary load: requests that aren't idempotent, by their end.
    std::atomic<int> corrected = 0;
    std::atomic<int> unknown = 0;
    std::atomic<int> other = 0;
    std::atomic<int> corrections_broken_off = 0;
};

auto stamped(request const& asked) -> header_list {
    return {{{"Request-Id", asked.headers.find("Request-Id")},
             {"Response-Stamp", "stamp." + asked.headers.find("Request-Id")},
             {"Keep-Alive", "timeout=10"}}};
}

// A sound runner: it streams all events, or answers with the whole sheet.
auto serve_runner(connection& to, request const& asked, std::string const& id, tally& counts,
                  recorder& record) -> bool {
    auto const name = asked.headers.find("Request-Id");
    auto const expected = asked.headers.find("Expect-Instance");
    if (!expected.empty() && expected != id) {
        return to.write(format_answer(421, {{{"Not-Executed", "1"}}}, ""));
    }
    if (asked.target.starts_with("/sheet/short-")) {
        return to.write(format_answer(200, stamped(asked), std::string(800, 's')));
    }
    if (asked.target.starts_with("/sheet/")) {
        record.note("runner " + id + " runs " + name);
        auto const sent =
            to.write(format_answer(200, stamped(asked), std::string(sheet_bytes, 'r')));
        record.note("runner " + id + (sent ? " sent the whole answer to " : " lost ") + name);
        ++counts.sheets_sent;
        return sent;
    }
    if (asked.target.starts_with("/lookup/")) {
        sleep_for(milliseconds{20});
        return to.write(format_answer(200, stamped(asked), std::string(800, 'l')));
    }
    if (asked.target.starts_with("/correct/")) {
        for (auto step = 0; step < 5; ++step) {
            sleep_for(milliseconds{10});
            if (to.is_closed()) {
                ++counts.corrections_broken_off;
                return false;
            }
        }
        return to.write(format_answer(200, stamped(asked), std::string(800, 'c')));
    }
    if (!asked.target.starts_with("/feed/")) {
        return to.write(format_answer(200, {}, "{}"));
    }
    record.note("runner " + id + " runs " + name);
    auto head = std::string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"};
    for (auto const& [field, value] : stamped(asked).entries) {
        head += field + ": " + value + "\r\n";
    }
    auto open = to.write(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (auto number = 1; open && number <= events; ++number) {
        open = to.write(chunk_of("id: " + std::to_string(number) + "\ndata: " + name + "\n\n"));
        sleep_for(event_interval);
        if (to.is_closed()) {
            record.note("runner " + id + " finds the connection of " + name +
                        " closed after event " + std::to_string(number));
            ++counts.closed_at_runner;
            return false;
        }
    }
    return to.write("0\r\n\r\n");
}

// Asks for a sheet and leaves at its deadline. A slow one reads now and then.
auto ask_sheet(std::uint16_t port, std::string const& name, bool slow, recorder& record) -> void {
    auto const until = steady::now() + sheet_deadline;
    auto const opened = connection::open(port, milliseconds{1000}, slow);
    if (!opened) {
        record.note("client " + name + " got no connection");
        return;
    }
    send_request(*opened, {"GET",
                           "/sheet/" + name,
                           {{{"Host", "a.example"},
                             {"Request-Id", name},
                             {"Deadline-Ms", std::to_string(sheet_deadline.count())}}},
                           {}});
    record.note("client " + name + " sent its request");
    auto const read = read_answer(*opened, until, [&](std::string const&) {
        if (slow && steady::now() < until) {
            sleep_for(milliseconds{100});
        }
    });
    record.note("client " + name + " got status " + std::to_string(read.status) + ", " +
                std::to_string(read.body.size()) + " bytes" +
                (read.complete ? ", the whole answer" : ", and leaves at its deadline"));
}

// Returns a connection on which a request has been answered.
auto open_kept(std::uint16_t port, std::string const& name) -> std::unique_ptr<connection> {
    auto opened = connection::open(port, milliseconds{1000});
    auto const asked =
        opened &&
        send_request(
            *opened,
            {"GET",
             "/sheet/short-" + name,
             {{{"Host", "a.example"}, {"Request-Id", "short-" + name}, {"Deadline-Ms", "1000"}}},
             {}});
    auto const got = asked && read_answer(*opened, steady::now() + milliseconds{1000}).complete;
    return got ? std::move(opened) : nullptr;
}

auto ask_feed(connection& through, std::string const& name, tally& counts, recorder& record)
    -> void {
    send_request(through,
                 {"GET",
                  "/feed/" + name,
                  {{{"Host", "a.example"}, {"Request-Id", name}, {"Deadline-Ms", "14000"}}},
                  {}});
    record.note("client " + name + " sent its request");
    auto const read = read_answer(through, steady::now() + milliseconds{14'000});
    auto const last = "id: " + std::to_string(events) + "\n";
    auto const whole = read.complete && read.body.find(last) != std::string::npos;
    if (whole) {
        ++counts.complete;
    } else if (read.status == 200 && !read.timed_out) {
        ++counts.cut;
    } else {
        ++counts.failed;
    }
    auto seen = 0;
    for (auto at = read.body.find("id: "); at != std::string::npos;
         at = read.body.find("id: ", at + 1)) {
        ++seen;
    }
    record.note("client " + name + " got status " + std::to_string(read.status) + ", " +
                std::to_string(seen) + " events" +
                (whole ? ", the whole stream" : ", and the connection ended"));
}

auto play_round(int round, host const& router, tally& counts, recorder& record) -> void {
    auto const slow = plays_trouble();
    auto kept = std::vector<std::unique_ptr<connection>>{};
    for (auto index = 0; index < runner_count; ++index) {
        kept.push_back(
            open_kept(router.port(), std::to_string(round) + "-" + std::to_string(index)));
        if (!kept.back()) {
            record.note("a client got no connection");
            return;
        }
    }
    auto const sent_before = counts.sheets_sent.load();
    auto reader = std::thread{
        [&] { ask_sheet(router.port(), "sheet-" + std::to_string(round), slow, record); }};
    // The router has the whole answer of the runner by then.
    wait_until([&] { return counts.sheets_sent > sent_before; }, milliseconds{1000});
    sleep_for(milliseconds{200});
    record.note("SIGHUP to the router");
    router.signal(SIGHUP);
    auto callers = std::vector<std::thread>{};
    for (auto index = 0; index < runner_count; ++index) {
        callers.emplace_back([&, index] {
            ask_feed(*kept[static_cast<std::size_t>(index)],
                     "feed-" + std::to_string(round) + "-" + std::to_string(index), counts, record);
        });
        sleep_for(milliseconds{50});
    }
    for (auto& each : callers) {
        each.join();
    }
    reader.join();
}

// Sends requests one after the other until `stopping`, each on a new connection or all on one.
auto keep_asking(std::uint16_t port, request const& asked, std::string const& name, bool anew,
                 std::atomic<bool> const& stopping, std::function<void(answer const&)> const& note)
    -> void {
    auto through = std::unique_ptr<connection>{};
    for (auto number = 0; !stopping; ++number) {
        if (!through) {
            through = connection::open(port, milliseconds{1000});
        }
        if (!through) {
            continue;
        }
        auto sent = asked;
        auto const id = name + "-" + std::to_string(number);
        sent.target += id;
        sent.headers = {{{"Host", "a.example"}, {"Request-Id", id}, {"Deadline-Ms", "1000"}}};
        send_request(*through, sent);
        auto const got = read_answer(*through, steady::now() + milliseconds{1000});
        note(got);
        if (anew || !got.complete) {
            through.reset();
        }
    }
}

// An ordinary load, for the record only: clients of short requests that open a connection for each
// or, without trouble, keep theirs, beside others whose requests aren't idempotent.
auto play_load(host const& router, tally& counts, recorder& record) -> void {
    constexpr auto lookups = 48;
    constexpr auto corrections = 16;
    auto stopping = std::atomic<bool>{false};
    auto callers = std::vector<std::thread>{};
    for (auto index = 0; index < lookups; ++index) {
        callers.emplace_back([&, index] {
            keep_asking(router.port(), {"GET", "/lookup/", {}, {}}, "l" + std::to_string(index),
                        plays_trouble(), stopping, [](answer const&) {});
        });
    }
    for (auto index = 0; index < corrections; ++index) {
        callers.emplace_back([&, index] {
            keep_asking(router.port(), {"POST", "/correct/", {}, "total"},
                        "c" + std::to_string(index), false, stopping, [&](answer const& got) {
                            auto const whole = got.status == 200 && got.complete;
                            counts.corrected += whole ? 1 : 0;
                            counts.unknown += got.status == 502 ? 1 : 0;
                            counts.other += !whole && got.status != 502 ? 1 : 0;
                        });
        });
    }
    sleep_for(milliseconds{5000});
    stopping = true;
    for (auto& each : callers) {
        each.join();
    }
    record.note(
        "load: of the requests that aren't idempotent, " + std::to_string(counts.corrected) +
        " were answered, " + std::to_string(counts.unknown) + " got 502, " +
        std::to_string(counts.other) +
        " ended in another way; the router closed the connection to the runner at work on " +
        std::to_string(counts.corrections_broken_off));
}

auto run(std::string const& folder) -> int {
    auto record = recorder{folder + "/record.txt"};
    auto counts = tally{};
    auto platform = store{};
    platform.put(
        "op/config",
        configuration(json::array({route("/feed/", "streaming", "yorumcu", 14'000, 1),
                                   route("/sheet/", "idempotent", "yorumcu", 1000, 2),
                                   route("/lookup/", "idempotent", "yorumcu", 1000, 2),
                                   route("/correct/", "non_idempotent", "yorumcu", 1000, 1)}),
                      json::array({service("yorumcu", 586)})));
    auto runners = std::vector<std::unique_ptr<http_listener>>{};
    for (auto index = 1; index <= runner_count; ++index) {
        auto const id = "i-" + std::to_string(index);
        runners.push_back(std::make_unique<http_listener>([&, id](auto& to, auto const& asked) {
            return serve_runner(to, asked, id, counts, record);
        }));
        platform.put("servers/" + id,
                     to_text({id, "yorumcu", runners.back()->address(), "orta-a", "ready", 12}));
    }
    auto const files = temporary_folder{};
    auto router =
        host{{"frontend-orta-a-1", "orta-a", false, 96, 3075, 3000}, platform, files.path()};
    if (!router.start() || !wait_until([&] { return router.is_ready(); }, milliseconds{15'000})) {
        record.note("the router did not become ready");
        return exit_not_run;
    }
    sleep_for(milliseconds{1000});
    play_load(router, counts, record);
    for (auto round = 1; round <= rounds; ++round) {
        play_round(round, router, counts, record);
    }
    record.note("streams: " + std::to_string(counts.complete) + " whole, " +
                std::to_string(counts.cut) + " cut by the router, " +
                std::to_string(counts.failed) + " failed in another way; " +
                std::to_string(counts.closed_at_runner) + " closed while the runner was sending");
    auto const streams = counts.complete + counts.cut + counts.failed;
    if (router.has_ended() || streams != rounds * runner_count || counts.failed > tolerated) {
        record.note("the case could not be played");
        return exit_not_run;
    }
    auto const broken = counts.cut > tolerated && counts.closed_at_runner > tolerated;
    record.note(broken ? "LOST is broken" : "LOST held");
    return broken ? exit_broken : exit_held;
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
    return count == 2 ? review::run(arguments[1]) : review::exit_not_run;
}

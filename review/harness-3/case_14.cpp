// Case 14: connections to runners that have left are never closed, until the router has no
// descriptor for anything else.
//
//   case_14 FOLDER

#include <algorithm>

#include "review/harness-3/site.h"

namespace review {
namespace {

constexpr auto releases = 8;
constexpr auto runner_count = 44;
constexpr auto slots = 12;
// The limit on descriptors of the smallest machines, of which 200 are reserved for files.
constexpr auto descriptors = std::uint64_t{3075 - 200};
constexpr auto drain_time = milliseconds{3000};
constexpr auto contact_time = milliseconds{4000};
constexpr auto client_time = milliseconds{2500};
constexpr auto work_time = milliseconds{150};
// Clients that keep their connection, and that open a new one in the end.
constexpr auto kept_clients = std::size_t{396};
constexpr auto new_clients = std::size_t{8};
// The least number of clients that the rule names.
constexpr auto clients_of_rule = 7;

struct runner {
    std::string id;
    std::unique_ptr<http_listener> listener;
};

struct tally {
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> without_answer = 0;
};

auto serve_runner(connection& to, request const& asked, std::string const& id) -> bool {
    auto const name = asked.headers.find("Request-Id");
    auto const expected = asked.headers.find("Expect-Instance");
    if (!expected.empty() && expected != id) {
        return to.write(format_answer(421, {{{"Not-Executed", "1"}}}, ""));
    }
    if (!asked.target.starts_with("/sheet/")) {
        return to.write(format_answer(200, {}, "{}"));
    }
    sleep_for(work_time);
    return to.write(format_answer(
        200,
        {{{"Request-Id", name}, {"Response-Stamp", "stamp." + name}, {"Keep-Alive", "timeout=5"}}},
        std::string(800, 'a')));
}

class fleet {
public:
    fleet(store& own_platform, recorder& own_record) : platform{own_platform}, record{own_record} {}

    // Starts `runner_count` runners, which register.
    auto start_release() -> void {
        ++this->release;
        for (auto index = 0; index < runner_count; ++index) {
            auto const id = "i-" + std::to_string(this->release) + "-" + std::to_string(index);
            this->current.push_back(
                {id, std::make_unique<http_listener>([id](auto& to, auto const& asked) {
                     return serve_runner(to, asked, id);
                 })});
            this->put(this->current.back(), "ready");
        }
        this->record.note("release " + std::to_string(this->release) + ": " +
                          std::to_string(runner_count) + " runners started");
    }
    // Replaces the runners: the new ones start first, the old ones drain and leave.
    auto replace() -> void {
        auto old = std::exchange(this->current, {});
        this->start_release();
        sleep_for(milliseconds{1000});
        for (auto const& each : old) {
            this->put(each, "draining");
        }
        sleep_for(drain_time + milliseconds{500});
        for (auto const& each : old) {
            this->platform.remove("servers/" + each.id);
            each.listener->stop();
        }
        this->record.note("the " + std::to_string(old.size()) + " earlier runners have left");
    }
    [[nodiscard]] auto connections() const -> std::size_t {
        auto count = std::size_t{0};
        for (auto const& each : this->current) {
            count += each.listener->connections();
        }
        return count;
    }

private:
    auto put(runner const& one, std::string const& state) -> void {
        this->platform.put("servers/" + one.id, to_text({one.id, "yorumcu", one.listener->address(),
                                                         "orta-a", state, slots, this->release}));
    }

    store& platform;
    recorder& record;
    std::vector<runner> current;
    int release = 0;
};

auto ask(connection& through, std::string const& name, milliseconds limit) -> answer {
    send_request(through, {"GET",
                           "/sheet/" + name,
                           {{{"Host", "a.example"},
                             {"Request-Id", name},
                             {"Deadline-Ms", std::to_string(limit.count())}}},
                           {}});
    return read_answer(through, steady::now() + limit);
}

auto note(answer const& got, tally& counts) -> void {
    if (got.status >= 200 && got.status < 300 && got.complete) {
        ++counts.answered;
    } else if (got.status != 0) {
        ++counts.refused;
    } else {
        ++counts.without_answer;
    }
}

// Clients that keep one connection each, as long as they get answers on it, and send their requests
// at the same time.
class kept_connections {
public:
    kept_connections(std::uint16_t port, recorder& own_record) : record{own_record} {
        for (auto index = std::size_t{0}; index < kept_clients; ++index) {
            this->opened.push_back(connection::open(port, milliseconds{1000}));
        }
    }
    auto play_peak(std::string const& name) -> void {
        auto counts = tally{};
        auto callers = std::vector<std::thread>{};
        for (auto index = std::size_t{0}; index < this->opened.size(); ++index) {
            callers.emplace_back([&, index] {
                auto& one = this->opened[index];
                auto const got =
                    one ? ask(*one, name + "-" + std::to_string(index), client_time) : answer{};
                note(got, counts);
                if (!got.complete) {
                    one.reset();
                }
            });
        }
        for (auto& each : callers) {
            each.join();
        }
        this->record.note("peak " + name + ": " + std::to_string(counts.answered) + " answered, " +
                          std::to_string(counts.refused) + " refused, " +
                          std::to_string(counts.without_answer) + " without an answer");
    }

private:
    recorder& record;
    std::vector<std::unique_ptr<connection>> opened;
};

// The platform's check of a host's readiness, each second on one connection.
class readiness_check {
public:
    explicit readiness_check(host const& checked)
        : opened{connection::open(checked.operators_port(), milliseconds{1000})}, checker{[this] {
              this->check();
          }} {}
    auto stop() -> void {
        this->stopping = true;
        this->checker.join();
    }
    // Returns whether the last answer was 200.
    [[nodiscard]] auto is_ready() const -> bool { return this->ready; }

private:
    auto check() -> void {
        while (!this->stopping) {
            this->ready =
                this->opened &&
                send_request(*this->opened,
                             {"GET", "/-/readiness", {{{"Host", "platform"}}}, {}}) &&
                read_answer(*this->opened, steady::now() + milliseconds{1000}).status == 200;
            sleep_for(milliseconds{1000});
        }
    }

    std::unique_ptr<connection> opened;
    std::atomic<bool> stopping = false;
    std::atomic<bool> ready = false;
    std::thread checker;
};

// Returns the number of new connections on which the host answers within `contact_time`.
auto try_new_connections(std::uint16_t port, recorder& record) -> int {
    auto taken = std::atomic<int>{0};
    auto callers = std::vector<std::thread>{};
    for (auto index = std::size_t{0}; index < new_clients; ++index) {
        callers.emplace_back([&, index] {
            auto const name = "new-" + std::to_string(index);
            auto const opened = connection::open(port, milliseconds{1000});
            auto const got =
                opened ? ask(*opened, name, contact_time + milliseconds{500}) : answer{};
            taken += got.status != 0 ? 1 : 0;
            record.note("client " + name + (opened ? "" : " got no connection and") + " got " +
                        (got.status == 0 ? "no answer" : "status " + std::to_string(got.status)));
        });
    }
    for (auto& each : callers) {
        each.join();
    }
    return taken;
}

auto run(std::string const& folder) -> int {
    auto record = recorder{folder + "/record.txt"};
    if (!allow_descriptors(2 * descriptors)) {
        record.note("this process may not open enough descriptors");
        return exit_not_run;
    }
    auto platform = store{};
    platform.put("op/config",
                 configuration(json::array({route("/sheet/", "idempotent", "yorumcu", 2500, 2)}),
                               json::array({service("yorumcu", 586)})));
    auto runners = fleet{platform, record};
    runners.start_release();
    auto const files = temporary_folder{};
    auto const options = host_options{"frontend-orta-a-1", "orta-a", false, 96, descriptors, 3000};
    auto router = host{options, platform, files.path()};
    if (!router.start() || !wait_until([&] { return router.is_ready(); }, milliseconds{15'000})) {
        record.note("the router did not become ready");
        return exit_not_run;
    }
    sleep_for(milliseconds{1000});
    auto checked = readiness_check{router};
    auto clients = kept_connections{router.port(), record};
    for (auto index = 1; index <= releases; ++index) {
        clients.play_peak(std::to_string(index));
        record.note("the router has " + std::to_string(router.open_descriptors()) +
                    " descriptors, " + std::to_string(runners.connections()) +
                    " of them to the runners that there are");
        if (plays_trouble()) {
            runners.replace();
        } else {
            sleep_for(milliseconds{1000} + drain_time + milliseconds{500});
        }
    }
    clients.play_peak("last");
    auto const ready_before = checked.is_ready();
    auto const taken = try_new_connections(router.port(), record);
    auto const ready_after = checked.is_ready();
    record.note("the router has " + std::to_string(router.open_descriptors()) + " descriptors, " +
                std::to_string(runners.connections()) + " of them to the runners that there are");
    record.note(std::string{"readiness before and after: "} + (ready_before ? "200" : "no 200") +
                ", " + (ready_after ? "200" : "no 200") +
                "; new connections answered: " + std::to_string(taken));
    checked.stop();
    if (router.has_ended()) {
        record.note("the router has ended");
        return exit_not_run;
    }
    auto const broken = ready_before && ready_after && taken == 0 && new_clients >= clients_of_rule;
    record.note(broken ? "RECOVER is broken" : "RECOVER held");
    return broken ? exit_broken : exit_held;
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
    return count == 2 ? review::run(arguments[1]) : review::exit_not_run;
}

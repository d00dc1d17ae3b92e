// Two of a data centre's three hosts freeze: the one that reads the store for the others, and the
// next one in the order. The operator then adds a route and moves another one to another service.
// Only the third host gets requests.

#include "review/harness/harness.h"

namespace review {
namespace {

constexpr auto config_apply_ms = 2'000.0;
constexpr auto frozen_ms = 5'000.0;
constexpr auto request_interval_ms = 20.0;
constexpr auto work_ms = 15.0;

auto run() -> int {
    auto record = recorder{"review/3/record.txt"};
    auto const ip_of = [](int number) { return "127.41.1." + std::to_string(number); };
    auto const store_ip = ip_of(1);
    auto const store_port = free_port(store_ip);
    auto platform = store{store_ip, store_port};
    auto mutex = std::mutex{};
    auto run_by = std::map<std::string, std::string>{};
    auto runners = std::vector<std::unique_ptr<server>>{};
    auto addresses = std::map<std::string, std::string>{};
    auto const add_runner = [&](std::string const& id, std::string const& service, int number) {
        auto const ip = ip_of(number);
        auto const port = free_port(ip);
        runners.push_back(
            std::make_unique<server>(ip, port, [&, id](message const& request, connection& open) {
                auto const request_id = request.field("Request-Id");
                if (request.target().starts_with("/-/")) {
                    return open.send(format_answer(404, {}, ""));
                }
                auto const expected = request.field("Expect-Instance");
                if (!expected.empty() && expected != id) {
                    return open.send(format_answer(421, {{"Not-Executed", "1"}}, ""));
                }
                {
                    auto const lock = std::lock_guard{mutex};
                    run_by[request_id] = id;
                }
                record.write("runner " + id + " runs " + request_id);
                sleep_ms(work_ms);
                return open.send(format_answer(200,
                                               {{"Request-Id", request_id},
                                                {"Response-Stamp", id + "." + request_id},
                                                {"Server-Load", "1,0,6"}},
                                               id));
            }));
        addresses[id] = ip + ":" + std::to_string(port);
        platform.put("servers/" + id, runner_entry(service, addresses[id], "zone-a", "ready", 6));
    };
    add_runner("i-a1", "app", 21);
    add_runner("i-a2", "app", 22);
    add_runner("i-b1", "app-two", 23);
    add_runner("i-b2", "app-two", 24);
    platform.put("op/config", configuration(3, {route("/update/", "non_idempotent", "app", 1),
                                                route("/moved/", "non_idempotent", "app", 1)}));
    auto all = fleet{};
    for (auto number = 1; number <= 3; ++number) {
        all.start("host-" + std::to_string(number), "zone-a", ip_of(10 + number), store_ip,
                  store_port);
    }
    if (!await_ready(all)) {
        std::cerr << "the hosts don't become ready\n";
        return 2;
    }
    // Hosts choose anew whom to follow when a wait for changes ends, after 15 s at most, and then
    // no longer wait for a configuration themselves, after 15 s more.
    sleep_ms(38'000);
    // Registered hosts come first in the order, then the others, each by name if they have the same
    // capacity. The first host of the order reads the store for the others.
    auto order = std::vector<host*>{};
    for (auto const& key : platform.keys("linnetlane/hosts/")) {
        for (auto const& one : all.hosts) {
            if (key.starts_with("linnetlane/hosts/" + one->name + "/")) {
                order.push_back(one.get());
            }
        }
    }
    for (auto const& one : all.hosts) {
        if (std::find(order.begin(), order.end(), one.get()) == order.end()) {
            order.push_back(one.get());
        }
    }
    host* const first = order[0];
    host* const second = order[1];
    host* const third = order[2];
    record.write("the reader is " + first->name + ", the next one is " + second->name +
                 "; requests go to " + third->name);

    struct sent {
        double at = 0;
        std::string id;
        client_answer answer;
    };
    auto requests = std::vector<sent>{};
    auto senders = std::vector<std::thread>{};
    auto const send_one = [&](std::string const& id, std::string const& path) {
        senders.emplace_back([&, id, path] {
            auto const at = now_ms();
            auto const answer = call(third->ip, third->callers, {"POST", path, id});
            record.write_at(at, "client sends " + id + " to " + third->name);
            record.write("client gets " + std::to_string(answer.status) + " for " + id + " " +
                         answer.body);
            auto const lock = std::lock_guard{mutex};
            requests.push_back({at, id, answer});
        });
    };
    auto count = 0;
    auto const send_round = [&] {
        auto const number = std::to_string(++count);
        send_one("u" + number, "/update/x");
        send_one("m" + number, "/moved/x");
        send_one("n" + number, "/new/x");
        sleep_ms(request_interval_ms);
    };
    for (auto const until = now_ms() + 500; now_ms() < until;) {
        send_round();
    }
    if (has_trouble()) {
        ::kill(first->process, SIGSTOP);
        ::kill(second->process, SIGSTOP);
        record.write("FREEZE of " + first->name + " and " + second->name);
        // The signals take effect.
        sleep_ms(30);
    }
    auto const configured = platform.put(
        "op/config", configuration(7, {route("/update/", "non_idempotent", "app", 1),
                                       route("/moved/", "non_idempotent", "app-two", 1),
                                       route("/new/", "non_idempotent", "app", 1)}));
    record.write_at(configured, "ACKNOWLEDGED configuration 7");
    auto const thaw_at = now_ms() + frozen_ms;
    while (now_ms() < thaw_at) {
        send_round();
    }
    if (has_trouble()) {
        ::kill(first->process, SIGCONT);
        ::kill(second->process, SIGCONT);
        record.write("THAW");
    }
    for (auto& one : senders) {
        one.join();
    }
    auto missing = 0;
    auto by_old_service = 0;
    auto unserved_before = 0;
    for (auto const& one : requests) {
        if (one.at < configured) {
            unserved_before += one.id[0] != 'n' && one.answer.status != 200 ? 1 : 0;
        } else if (one.at > configured + config_apply_ms) {
            missing += one.id[0] == 'n' && one.answer.status == 404 ? 1 : 0;
            by_old_service += one.id[0] == 'm' && run_by[one.id].starts_with("i-a") ? 1 : 0;
        }
    }
    auto const summary = "sent over " + std::to_string(static_cast<int>(config_apply_ms)) +
                         " ms after the acknowledgement: " + std::to_string(missing) +
                         " refused with 404, " + std::to_string(by_old_service) +
                         " run by the old service";
    record.write("RESULT " + summary);
    std::cout << summary << '\n';
    all.stop();
    if (unserved_before > 0) {
        std::cerr << unserved_before << " requests weren't served before the disruption\n";
        std::cout.flush();
        std::_Exit(2);
    }
    std::cout.flush();
    // The threads of the stand-ins still run.
    std::_Exit(missing + by_old_service > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

auto main() -> int {
    auto result = 2;
    try {
        result = review::run();
    } catch (std::exception const& error) {
        std::cerr << error.what() << '\n';
    }
    std::cout.flush();
    std::_Exit(result);
}

// The store turns one host away, which keeps its configuration. The operator moves a route to
// another service. Later another host, which has the new configuration, loses its path to the
// runners and sends its callers' requests through the others.

#include "review/harness/harness.h"

namespace review {
namespace {

constexpr auto config_apply_ms = 2'000.0;
constexpr auto rollback_slack_ms = 250.0;
constexpr auto requests = 40;

auto run() -> int {
    auto record = recorder{"review/4/record.txt"};
    auto const ip_of = [](int number) { return "127.43.1." + std::to_string(number); };
    auto const store_ip = ip_of(1);
    auto platform = store{store_ip, free_port(store_ip)};
    auto mutex = std::mutex{};
    auto run_by = std::map<std::string, std::string>{};
    auto runners = std::vector<std::unique_ptr<server>>{};
    auto links = std::vector<std::unique_ptr<link>>{};
    auto linked = std::map<std::string, std::string>{};
    for (auto number = 1; number <= 4; ++number) {
        auto const service = std::string{number <= 2 ? "app" : "app-two"};
        auto const id = "i-" + service + "-" + std::to_string(number);
        auto const ip = ip_of(20 + number);
        auto const port = free_port(ip);
        runners.push_back(std::make_unique<server>(
            ip, port, [&, id, service](message const& request, connection& open) {
                if (request.target().starts_with("/-/")) {
                    return open.send(format_answer(404, {}, ""));
                }
                auto const expected = request.field("Expect-Instance");
                if (!expected.empty() && expected != id) {
                    return open.send(format_answer(421, {{"Not-Executed", "1"}}, ""));
                }
                auto const request_id = request.field("Request-Id");
                {
                    auto const lock = std::lock_guard{mutex};
                    run_by[request_id] = service;
                }
                record.write("runner " + id + " runs " + request_id);
                sleep_ms(15);
                return open.send(format_answer(200,
                                               {{"Request-Id", request_id},
                                                {"Response-Stamp", id + "." + request_id},
                                                {"Server-Load", "1,0,6"}},
                                               id));
            }));
        auto const address = ip + ":" + std::to_string(port);
        links.push_back(std::make_unique<link>(ip_of(40 + number), address));
        linked[address] = links.back()->address();
        platform.put("servers/" + id, runner_entry(service, address, "zone-1", "ready", 6));
    }
    platform.put("op/config", configuration(3, {route("/lodge/", "non_idempotent", "app", 1)}));
    auto all = fleet{};
    auto views = std::vector<store::view*>{};
    for (auto number = 1; number <= 4; ++number) {
        auto const port = free_port(store_ip);
        views.push_back(&platform.add_view(
            store_ip, port, number == 1 ? linked : std::map<std::string, std::string>{}));
        all.start("host-" + std::to_string(number), "zone-" + std::to_string(number),
                  ip_of(10 + number), store_ip, port);
    }
    if (!await_ready(all)) {
        std::cerr << "the hosts don't become ready\n";
        std::_Exit(2);
    }
    sleep_ms(5'000);
    auto const& entry = *all.hosts.front();
    auto const send_one = [&](std::string const& id) {
        record.write("client sends " + id + " to " + entry.name);
        auto const answer = call(entry.ip, entry.callers, {"POST", "/lodge/x", id, "{}", 2500});
        record.write("client gets " + std::to_string(answer.status) + " for " + id + " from " +
                     answer.body);
        auto const lock = std::lock_guard{mutex};
        return std::pair{answer.status, run_by[id]};
    };
    auto const fail = [&](char const* text) {
        std::cerr << text << std::endl;
        all.stop();
        std::_Exit(2);
    };
    if (send_one("before") != std::pair{200, std::string{"app"}}) {
        fail("a request isn't served before the disruption");
    }
    if (has_trouble()) {
        views[1]->refuses = true;
        record.write("REFUSED host-2 at the store");
    }
    sleep_ms(300);
    auto const acknowledged = platform.put(
        "op/config", configuration(7, {route("/lodge/", "non_idempotent", "app-two", 1)}));
    record.write_at(acknowledged, "ACKNOWLEDGED configuration 7");
    sleep_until_ms(acknowledged + config_apply_ms + 200);
    // A runner sees the effect of the new version from the host.
    if (send_one("effect") != std::pair{200, std::string{"app-two"}}) {
        fail("the new configuration isn't in force");
    }
    sleep_ms(rollback_slack_ms + 50);
    if (has_trouble()) {
        for (auto const& each : links) {
            each->cut();
        }
        record.write("CUT of " + entry.name + " from the runners");
    }
    auto by_old_service = 0;
    auto served = 0;
    for (auto number = 1; number <= requests; ++number) {
        auto const [status, service] = send_one("after-" + std::to_string(number));
        served += status == 200 ? 1 : 0;
        by_old_service += service == "app" ? 1 : 0;
        sleep_ms(60);
    }
    all.stop();
    auto const summary = "of " + std::to_string(requests) + " requests to " + entry.name + ", " +
                         std::to_string(served) + " were served, " +
                         std::to_string(by_old_service) +
                         " of them by the service of the older configuration";
    record.write("RESULT " + summary);
    std::cout << summary << std::endl;
    // The threads of the stand-ins still run.
    std::_Exit(by_old_service > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

auto main() -> int {
    try {
        return review::run();
    } catch (std::exception const& error) {
        std::cerr << error.what() << std::endl;
    }
    std::_Exit(2);
}

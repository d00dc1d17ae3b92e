// The store loses its answer to a host's wait for a newer configuration. Later, when the store has
// been well for longer than `contact_ms`, the operator adds a route and moves another one.

#include "review/harness/harness.h"

namespace review {
namespace {

constexpr auto config_apply_ms = 2'000.0;
constexpr auto contact_ms = 3'000.0;
// How long the store loses answers.
constexpr auto losing_ms = 4'500.0;
constexpr auto observed_ms = 10'000.0;
constexpr auto request_interval_ms = 50.0;

auto run() -> int {
    auto record = recorder{"review/2/record.txt"};
    auto const ip_of = [](int number) { return "127.44.1." + std::to_string(number); };
    auto const store_ip = ip_of(1);
    auto platform = store{store_ip, free_port(store_ip)};
    auto mutex = std::mutex{};
    auto run_by = std::map<std::string, std::string>{};
    auto runners = std::vector<std::unique_ptr<server>>{};
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
        platform.put("servers/" + id,
                     runner_entry(service, ip + ":" + std::to_string(port), "zone-1", "ready", 6));
    }
    auto const first = [](std::uint64_t version, int attempts) {
        return configuration(version, {route("/lodge/", "non_idempotent", "app", 1),
                                       route("/look/", "idempotent", "app", attempts)});
    };
    platform.put("op/config", first(3, 2));
    auto all = fleet{};
    auto views = std::vector<store::view*>{};
    for (auto number = 1; number <= 2; ++number) {
        auto const port = free_port(store_ip);
        views.push_back(&platform.add_view(store_ip, port, {}));
        all.start("host-" + std::to_string(number), "zone-" + std::to_string(number),
                  ip_of(10 + number), store_ip, port);
    }
    auto const fail = [&](char const* text) {
        std::cerr << text << std::endl;
        all.stop();
        std::_Exit(2);
    };
    if (!await_ready(all)) {
        fail("the hosts don't become ready");
    }
    sleep_ms(5'000);
    auto const& entry = *all.hosts.front();
    struct sent {
        double at = 0;
        std::string id;
        int status = 0;
        std::string service;
    };
    auto const send_one = [&](std::string const& id, std::string const& path) {
        auto one = sent{now_ms(), id, 0, {}};
        record.write("client sends " + id + " to " + entry.name);
        one.status = call(entry.ip, entry.callers, {"POST", path, id, "{}", 2500}).status;
        auto const lock = std::lock_guard{mutex};
        one.service = run_by[id];
        record.write("client gets " + std::to_string(one.status) + " for " + id);
        return one;
    };
    platform.put("op/config", first(4, 3));
    sleep_ms(500);
    if (send_one("before", "/lodge/x").service != "app") {
        fail("a request isn't served before the disruption");
    }
    if (has_trouble()) {
        views.front()->loses_answers = true;
        record.write("LOSES answers from now on");
    }
    sleep_ms(1'000);
    record.write_at(platform.put("op/config", first(5, 2)), "ACKNOWLEDGED configuration 5");
    sleep_ms(losing_ms - 1'000);
    views.front()->loses_answers = false;
    record.write("WELL again; answers lost: " + std::to_string(views.front()->lost));
    sleep_ms(contact_ms + 200);
    auto const acknowledged = platform.put(
        "op/config", configuration(7, {route("/lodge/", "non_idempotent", "app-two", 1),
                                       route("/look/", "idempotent", "app", 2),
                                       route("/new/", "idempotent", "app", 2)}));
    record.write_at(acknowledged, "ACKNOWLEDGED configuration 7");
    auto by_old_service = 0;
    auto missing = 0;
    auto last = 0.0;
    for (auto number = 1; now_ms() < acknowledged + observed_ms; ++number) {
        auto const moved = send_one("moved-" + std::to_string(number), "/lodge/x");
        auto const added = send_one("added-" + std::to_string(number), "/new/x");
        if (moved.at > acknowledged + config_apply_ms) {
            by_old_service += moved.service == "app" ? 1 : 0;
            missing += added.status == 404 ? 1 : 0;
            last = moved.service == "app" ? moved.at - acknowledged : last;
        }
        sleep_ms(request_interval_ms);
    }
    all.stop();
    auto const summary = "sent over " + std::to_string(static_cast<int>(config_apply_ms)) +
                         " ms after the acknowledgement: " + std::to_string(missing) +
                         " refused with 404, " + std::to_string(by_old_service) +
                         " run by the old service, the last one sent " +
                         std::to_string(static_cast<int>(last)) + " ms after it";
    record.write("RESULT " + summary);
    std::cout << summary << std::endl;
    // The threads of the stand-ins still run.
    std::_Exit(missing + by_old_service > 0 ? 1 : 0);
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

// Case 15: the order giver is stopped soon after the first start of the fleet, and the next one
// orders the same engine at once.
//
//   case_15 FOLDER

#include <algorithm>
#include <csignal>

#include "review/harness-3/site.h"

namespace review {
namespace {

constexpr auto engine_count = 14;
constexpr auto lease = milliseconds{3000};
// Reports show the state of some hundred ms ago.
constexpr auto report_lag = milliseconds{600};
constexpr auto stage_switch = milliseconds{6000};
constexpr auto observed_for = milliseconds{14'000};

// An order that a runner received.
struct order {
    std::string engine;
    std::string holder;
    std::uint64_t fence = 0;
    moment at;
};

class order_book {
public:
    auto add(order const& received) -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->orders.push_back(received);
    }
    [[nodiscard]] auto all() -> std::vector<order> {
        auto const lock = std::lock_guard{this->mutex};
        return this->orders;
    }

private:
    std::mutex mutex;
    std::vector<order> orders;
};

// A sound engine without requests: it carries out one order at a time.
class engine {
public:
    engine(std::string own_id, order_book& own_book, recorder& own_record)
        : id{std::move(own_id)},
          book{own_book},
          record{own_record},
          listener{[this](auto& to, auto const& asked) { return this->serve(to, asked); }} {}

    [[nodiscard]] auto address() const -> std::string { return this->listener.address(); }

private:
    struct state {
        moment since;
        std::string stage;
        std::uint64_t sequence = 0;
        std::optional<moment> busy_until;
    };

    auto serve(connection& to, request const& asked) -> bool {
        auto const expected = asked.headers.find("Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            return to.write(format_answer(421, {{{"Not-Executed", "1"}}}, ""));
        }
        auto const lock = std::lock_guard{this->mutex};
        if (asked.target == "/-/report") {
            return to.write(format_answer(200, {}, this->report().dump()));
        }
        if (asked.target == "/-/order") {
            return to.write(format_answer(this->take(json::parse(asked.body)), {}, "{}"));
        }
        return to.write(format_answer(404, {}, ""));
    }

    [[nodiscard]] auto report() const -> json {
        auto const shown = steady::now() - report_lag;
        auto const* seen = &this->states.front();
        for (auto const& each : this->states) {
            seen = each.since <= shown ? &each : seen;
        }
        return {{"stage", seen->stage},
                {"models", json::array()},
                {"busy", seen->busy_until && shown < *seen->busy_until},
                {"sequence", seen->sequence},
                {"queued", 0},
                {"active", 0},
                {"kv_used", 0},
                {"kv_total", 75'851},
                {"kv_handles", 0}};
    }

    auto take(json const& body) -> int {
        auto const now = steady::now();
        auto const received = order{this->id, body.value("holder", ""),
                                    body.value("fencing_token", std::uint64_t{0}), now};
        this->book.add(received);
        auto const& last = this->states.back();
        auto const busy = last.busy_until && now < *last.busy_until;
        auto const other = body.value("expect", last.sequence) != last.sequence;
        auto const status = busy || other ? 409 : 202;
        this->record.note("engine " + this->id + " gets an order of " + received.holder +
                          " with the fencing token " + std::to_string(received.fence) + ": " +
                          std::to_string(status));
        if (status == 202) {
            this->states.push_back(
                {now, body.value("stage", last.stage), last.sequence + 1, now + stage_switch});
        }
        return status;
    }

    std::string id;
    order_book& book;
    recorder& record;
    std::mutex mutex;
    std::vector<state> states{{moment::min(), "decode", 0, std::nullopt}};
    http_listener listener;
};

// Returns whether two holders took turns at one engine within the lease.
auto took_turns(std::vector<order> const& orders, recorder& record) -> bool {
    auto found = false;
    for (auto later = orders.begin(); later != orders.end(); ++later) {
        for (auto earlier = orders.begin(); earlier != later; ++earlier) {
            auto const apart = later->at - earlier->at;
            if (earlier->engine == later->engine && earlier->holder != later->holder &&
                apart < lease) {
                auto const shown = std::chrono::duration_cast<milliseconds>(apart).count();
                record.note("engine " + later->engine + ": an order of " + later->holder + " " +
                            std::to_string(shown) + " ms after one of " + earlier->holder);
                found = true;
            }
        }
    }
    return found;
}

auto run(std::string const& folder) -> int {
    auto record = recorder{folder + "/record.txt"};
    auto book = order_book{};
    auto platform = store{};
    auto spec = service("finding-llm", 230);
    spec["engine"] = {{"slots", 32},       {"kv_cache_tokens", 75'851}, {"kv_token_bytes", 131'072},
                      {"handle_ttl_s", 1}, {"stage_switch_s", 6.0},     {"hold_ms", 2000}};
    auto audit = route("/audit/", "streaming", "finding-llm", 14'000, 1);
    audit["session_affinity"] = true;
    platform.put("op/config", configuration(json::array({audit}), json::array({spec})));
    auto engines = std::vector<std::unique_ptr<engine>>{};
    for (auto index = 1; index <= engine_count; ++index) {
        auto const id = "i-" + std::to_string(100 + index);
        engines.push_back(std::make_unique<engine>(id, book, record));
        platform.put("servers/" + id, to_text({id, "finding-llm", engines.back()->address(),
                                               index % 2 == 0 ? "bne-north" : "bne-south", "ready",
                                               32, 1, "decode"}));
    }
    auto const files = temporary_folder{};
    auto hosts = std::vector<std::unique_ptr<host>>{};
    for (auto const& [name, zone] : {std::pair{"frontend-bne-north-1", "bne-north"},
                                     std::pair{"frontend-bne-south-1", "bne-south"}}) {
        auto options = host_options{name, zone};
        options.first_start = true;
        hosts.push_back(std::make_unique<host>(options, platform, files.path()));
    }
    for (auto const& each : hosts) {
        if (!each->start()) {
            return exit_not_run;
        }
        record.note(each->name() + " is started");
    }
    auto const has_ordered = [&] { return !book.all().empty(); };
    if (!wait_until(has_ordered, milliseconds{10'000})) {
        record.note("no order came");
        return exit_not_run;
    }
    if (plays_trouble()) {
        auto const giver = book.all().front().holder;
        auto const found =
            std::ranges::find_if(hosts, [&](auto const& each) { return each->name() == giver; });
        if (found == hosts.end()) {
            record.note("no host has the name " + giver);
            return exit_not_run;
        }
        sleep_for(milliseconds{50});
        record.note("SIGTERM to " + giver);
        (*found)->signal(SIGTERM);
    }
    sleep_for(observed_for);
    auto const broken = took_turns(book.all(), record);
    record.note(broken ? "ONE is broken" : "ONE held");
    return broken ? exit_broken : exit_held;
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
    return count == 2 ? review::run(arguments[1]) : review::exit_not_run;
}

#include "linnetlane/daemon/plain_entry.h"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

auto const loopback = base::endpoint{"127.0.0.1", 0};

auto test_deadline() -> base::time_point {
    return base::monotonic_clock::now() + 60s;
}

// A plain service instance that counts its calls, with faults on demand.
class fake_service {
public:
    explicit fake_service(runtime::worker_pool& pool)
        : server(pool, loopback, {}, [this](auto const& request, auto& responder) {
              ++this->calls;
              while (this->hanging) {
                  runtime::sleep_until(base::monotonic_clock::now() + 1ms);
              }
              if (this->failing) {
                  responder.abort();
                  return;
              }
              auto answer = runtime::http_response{201, {}, "did " + request.body};
              answer.fields.add("content-type", "text/plain");
              answer.fields.add("x-saw-caller",
                                std::string{request.fields.find("x-caller").value_or("")});
              responder.send(answer);
          }) {}

    std::atomic<int> calls = 0;
    std::atomic<bool> failing = false;
    std::atomic<bool> hanging = false;
    runtime::http_server server;
};

// Keeps claims in memory; refuses all while `unavailable` is set.
class fake_claims {
public:
    auto claim(base::service_id const& /*service*/, base::idempotency_key const& key,
               base::request_id request, base::time_point /*deadline*/) -> request::claim_answer {
        auto const lock = std::scoped_lock{this->mutex};
        if (this->unavailable) {
            return request::claim_refused{request::claim_refusal::platform_unavailable,
                                          base::monotonic_clock::now() + 1s};
        }
        auto const found = this->claimed.find(key);
        if (found != this->claimed.end() && found->second.state != request::claim_state::not_run) {
            return found->second;
        }
        this->claimed[key] = request::claim_exists{};
        this->holder[key] = request;
        return request::claim_granted{};
    }

    auto settle(base::service_id const& /*service*/, base::idempotency_key const& key,
                base::request_id request, request::claim_state state,
                std::optional<request::stored_answer> answer) -> void {
        auto const lock = std::scoped_lock{this->mutex};
        if (this->holder[key] == request) {
            this->claimed[key] = request::claim_exists{state, std::move(answer)};
        }
    }

    std::atomic<bool> unavailable = false;

private:
    std::mutex mutex;
    std::map<base::idempotency_key, request::claim_exists> claimed;
    std::map<base::idempotency_key, base::request_id> holder;
};

static_assert(request::claims<fake_claims>);

struct fake_documents {
    std::shared_ptr<service::document const> document;

    [[nodiscard]] auto find(base::service_id const& /*service*/) const
        -> std::shared_ptr<service::document const> {
        return this->document;
    }
    [[nodiscard]] auto find_route(std::string_view path) const
        -> std::shared_ptr<service::document const> {
        return path.starts_with("/jobs/") ? this->document : nullptr;
    }
};

struct observed_answer {
    int status = 0;
    std::string body;
    std::string saw_caller;
    std::string replayed;

    [[nodiscard]] auto error(char const* name) const -> std::string {
        return json::parse(this->body).at("error").at(name);
    }
};

struct fixture {
    using dependencies = plain_entry_dependencies<fake_documents, fake_claims>;

    fixture() {
        auto document = std::make_shared<service::document>();
        document->id = base::service_id{"jobs"};
        document->route = "/jobs/";
        document->upstreams = {this->upstream("a", this->first), this->upstream("b", this->second)};
        this->documents.document = document;
    }
    ~fixture() {
        this->pool.stop();
        this->pool.join();
    }
    fixture(fixture const&) = delete;
    auto operator=(fixture const&) -> fixture& = delete;
    fixture(fixture&&) = delete;
    auto operator=(fixture&&) -> fixture& = delete;

    static auto upstream(std::string name, fake_service const& instance) -> service::upstream {
        auto made = service::upstream{};
        made.id = base::upstream_id{std::move(name)};
        made.data_centre = base::data_centre_id{"here"};
        made.address = instance.server.address();
        return made;
    }

    auto call(std::string const& method, std::string const& key = "",
              std::string const& repeatable = "") -> observed_answer {
        auto done = std::promise<observed_answer>{};
        this->pool.spawn([&] {
            auto request = runtime::http_request{method, "/jobs/lodge?x=1", {}, "notice"};
            request.fields.add("x-caller", "field");
            if (!key.empty()) {
                request.fields.add("idempotency-key", key);
            }
            if (!repeatable.empty()) {
                request.fields.add("x-repeatable", repeatable);
            }
            auto const fetched = runtime::fetch(this->server.address(), request,
                                                runtime::connection_use::pooled, test_deadline());
            auto const& answer = base::value_of(fetched);
            auto const field = [&](char const* name) {
                return std::string{answer.fields.find(name).value_or("")};
            };
            done.set_value(
                {answer.status, answer.body, field("x-saw-caller"), field("idempotency-replayed")});
        });
        return done.get_future().get();
    }

    [[nodiscard]] auto calls() const -> int { return this->first.calls + this->second.calls; }

    auto wait_until_drained() -> void {
        while (this->registry.size() > 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    runtime::worker_pool pool{runtime::worker_count{3}};
    fake_service first{pool};
    fake_service second{pool};
    fake_documents documents;
    fake_claims claims;
    plain_upstreams upstreams;
    request_registry registry;
    retry_budgets budgets;
    telemetry::tracer traces{{}, telemetry::origin{}};
    telemetry::metrics metrics;
    plain_entry<fake_documents, fake_claims> entry{
        dependencies{documents, claims, upstreams, registry, budgets,
                     telemetry_sinks{traces, metrics}, base::data_centre_id{"here"}}};
    runtime::http_server server{pool, loopback, {}, [this](auto const& request, auto& responder) {
                                    this->entry.handle(request, responder);
                                }};
};

BOOST_FIXTURE_TEST_CASE(a_call_is_passed_to_an_upstream_and_its_answer_back, fixture) {
    auto const seen = this->call("POST");
    BOOST_TEST(seen.status == 201);
    BOOST_TEST(seen.body == "did notice");
    BOOST_TEST(seen.saw_caller == "field");
    BOOST_TEST(this->calls() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_repeatable_call_goes_to_another_upstream_when_one_fails, fixture) {
    this->first.failing = true;
    for (auto round = 0; round < 8; ++round) {
        BOOST_TEST(this->call("GET").status == 201);
        BOOST_TEST(this->call("POST", "", "true").status == 201);
    }
}

BOOST_FIXTURE_TEST_CASE(a_call_that_may_not_be_repeated_is_sent_once, fixture) {
    this->first.failing = true;
    this->second.failing = true;
    auto const seen = this->call("POST");
    BOOST_TEST(seen.status == 502);
    BOOST_TEST(seen.error("type") == "upstream_failed");
    BOOST_TEST(seen.error("outcome") == "unknown");
    BOOST_TEST(this->calls() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_second_call_with_a_key_gets_the_first_ones_answer, fixture) {
    BOOST_TEST(this->call("POST", "k").status == 201);
    this->wait_until_drained();
    auto const again = this->call("POST", "k");
    BOOST_TEST(again.status == 201);
    BOOST_TEST(again.body == "did notice");
    BOOST_TEST(again.replayed == "true");
    BOOST_TEST(this->calls() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_key_whose_call_failed_has_an_unknown_outcome, fixture) {
    this->first.failing = true;
    this->second.failing = true;
    BOOST_TEST(this->call("POST", "k").error("outcome") == "unknown");
    this->wait_until_drained();
    auto const again = this->call("POST", "k");
    BOOST_TEST(again.error("type") == "outcome_unknown");
    BOOST_TEST(this->calls() == 1);
}

BOOST_FIXTURE_TEST_CASE(two_calls_with_a_key_at_once_run_once, fixture) {
    this->first.hanging = true;
    this->second.hanging = true;
    auto first_call = std::async(std::launch::async, [&] { return this->call("POST", "k"); });
    while (this->calls() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    auto const crossing = this->call("POST", "k");
    BOOST_TEST(crossing.status == 409);
    BOOST_TEST(crossing.error("type") == "duplicate_under_way");
    BOOST_TEST(json::parse(crossing.body).at("error").at("retry_after_ms").get<int>() > 0);
    this->first.hanging = false;
    this->second.hanging = false;
    BOOST_TEST(first_call.get().status == 201);
    BOOST_TEST(this->calls() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_key_that_cannot_be_claimed_is_not_run, fixture) {
    this->claims.unavailable = true;
    auto const seen = this->call("POST", "k");
    BOOST_TEST(seen.status == 503);
    BOOST_TEST(seen.error("type") == "claim_unavailable");
    BOOST_TEST(seen.error("outcome") == "not_run");
    BOOST_TEST(this->calls() == 0);
}

BOOST_FIXTURE_TEST_CASE(with_all_upstreams_leaving_nothing_is_run, fixture) {
    auto emptied = *this->documents.document;
    for (auto& one : emptied.upstreams) {
        one.leaving = true;
    }
    this->documents.document = std::make_shared<service::document>(emptied);
    auto const seen = this->call("POST");
    BOOST_TEST(seen.status == 503);
    BOOST_TEST(seen.error("type") == "no_upstream");
    BOOST_TEST(seen.error("outcome") == "not_run");
    BOOST_TEST(this->calls() == 0);
}

BOOST_AUTO_TEST_CASE(the_less_loaded_upstream_that_did_not_fail_is_chosen) {
    auto document = service::document{};
    for (auto const* const name : {"a", "b"}) {
        auto one = service::upstream{};
        one.id = base::upstream_id{name};
        document.upstreams.push_back(one);
    }
    auto const now = base::time_point{} + 1h;
    auto table = plain_upstreams{};
    auto const chosen = [&](std::uint64_t random, base::time_point when) {
        return table.choose(document, {}, {}, random, when)->id.value;
    };
    table.record_start(base::upstream_id{"a"});
    for (auto random = std::uint64_t{0}; random < 16; ++random) {
        BOOST_TEST(chosen(random << 32U | random, now) == "b");
    }
    table.record_start(base::upstream_id{"b"});
    table.record_end(base::upstream_id{"b"}, call_result::failed, now);
    BOOST_TEST(chosen(0, now) == "a");
    BOOST_TEST(chosen(0, now + failure_cooldown) == "b");
}

}  // namespace
}  // namespace linnetlane::daemon

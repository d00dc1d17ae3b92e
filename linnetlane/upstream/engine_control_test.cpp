#include "linnetlane/upstream/engine_control.h"

#include <future>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/standin/engine_server.h"

namespace linnetlane::upstream {
namespace {

using namespace std::chrono_literals;

auto any_assignment() -> rc::Gen<engine_assignment> {
    auto const names = rc::gen::map(
        rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("a", "b", "c")),
        [](std::vector<std::string> const& some) {
            return std::set<std::string>(some.begin(), some.end());
        });
    return rc::gen::build<engine_assignment>(
        rc::gen::set(&engine_assignment::model, rc::gen::element<std::string>("m", "n")),
        rc::gen::set(&engine_assignment::version, rc::gen::element<std::string>("1", "2")),
        rc::gen::set(&engine_assignment::adapters, names),
        rc::gen::set(&engine_assignment::role, rc::gen::element(service::upstream_role::prefill,
                                                                service::upstream_role::decode)));
}

// Applies an order to an engine's assignment: a reference model.
auto apply(engine_assignment assignment, engine_order const& order) -> engine_assignment {
    std::visit(
        base::overloaded{[&](load_model const& load) {
                             assignment = {load.model, load.version, {}, assignment.role};
                         },
                         [&](load_adapter const& load) { assignment.adapters.insert(load.name); },
                         [&](unload_adapter const& out) { assignment.adapters.erase(out.name); },
                         [&](set_role const& change) { assignment.role = change.role; }},
        order);
    return assignment;
}

RC_BOOST_PROP(orders_lead_from_any_assignment_to_any_other, ()) {
    auto const current = *any_assignment();
    auto const wanted = *any_assignment();
    auto reached = current;
    for (auto const& step : plan_orders(current, wanted)) {
        reached = apply(reached, step);
    }
    RC_ASSERT(reached == wanted);
    RC_ASSERT(plan_orders(wanted, wanted).empty());
}

RC_BOOST_PROP(any_bytes_give_a_status_or_a_typed_failure, (std::string const& bytes)) {
    (void)parse_status(bytes);
}

BOOST_AUTO_TEST_CASE(an_engine_accepts_orders_and_refuses_an_old_fencing_number) {
    auto pool = runtime::worker_pool{runtime::worker_count{2}};
    auto settings = standin::engine_settings{};
    settings.checks_fencing = true;
    auto engine = standin::engine_server{pool, {"127.0.0.1", 0}, settings};
    auto done = std::promise<void>{};
    pool.spawn([&] {
        auto const control = http_engine_control{};
        auto const until = base::monotonic_clock::now() + 60s;
        auto const at = engine.address();
        auto const newer = base::fencing_number{7};
        auto const older = base::fencing_number{6};
        BOOST_TEST(
            (control.order(at, newer, load_model{"m", "2"}, until) == order_answer::accepted));
        BOOST_TEST((control.order(at, newer, load_adapter{"a"}, until) == order_answer::accepted));
        BOOST_TEST((control.order(at, older, load_model{"m", "1"}, until) == order_answer::fenced));
        BOOST_TEST((control.order(at, newer, set_role{}, {}) == order_answer::not_sent));
        auto const status = control.status(at, until);
        BOOST_TEST(base::succeeded(status));
        BOOST_TEST(base::value_of(status).assignment.version == "2");
        BOOST_TEST(base::value_of(status).assignment.adapters.contains("a"));
        BOOST_TEST(base::value_of(status).fencing == newer);
        done.set_value();
    });
    done.get_future().get();
    pool.stop();
    pool.join();
}

}  // namespace
}  // namespace linnetlane::upstream

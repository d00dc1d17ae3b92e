#include "linnetlane/ctl/fleet_commands.h"

#include <optional>
#include <string>

#include <fmt/format.h>

#include "linnetlane/ctl/table.h"

namespace linnetlane::ctl {

namespace {

auto number_text(std::optional<std::int64_t> number) -> std::string {
    return number ? std::to_string(*number) : "-";
}

template <typename Id>
auto id_text(std::optional<Id> const& id) -> std::string {
    return id ? id->value : "-";
}

// Makes `call` and prints the answer, as JSON or as the table that `to_table` returns.
template <typename Message, typename ToTable>
auto call_and_print(invocation const& run, operator_call const& call, ToTable to_table)
    -> exit_code {
    auto const result = run.client().template call<Message>(call);
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto const& message = base::value_of(result);
    if (run.wants_json()) {
        run.out() << nlohmann::json(message).dump(2) << '\n';
    } else {
        run.out() << format_table(to_table(message));
    }
    return exit_code::done;
}

auto host_state(host_row const& host) -> std::string {
    auto state = host.liveness;
    if (host.leaving) {
        state += ", leaving";
    }
    if (!host.ready) {
        state += ", not ready";
    }
    return state;
}

auto host_table(host_list const& list) -> text_table {
    auto table = text_table{{"HOST", "DATA CENTRE", "ADDRESS", "INCARNATION", "STATE"}, {}};
    for (auto const& host : list.hosts) {
        table.rows.push_back({host.host.value, host.data_centre.value, host.address,
                              std::to_string(host.incarnation.value), host_state(host)});
    }
    return table;
}

auto upstream_state(upstream_row const& upstream) -> std::string {
    auto const reachable = !upstream.reachable || *upstream.reachable;
    auto const* const state = reachable ? "reachable" : "not reachable";
    return upstream.leaving ? fmt::format("{}, leaving", state) : state;
}

auto upstream_table(upstream_list const& list) -> text_table {
    auto table = text_table{{"SERVICE", "UPSTREAM", "DATA CENTRE", "ROLE", "ADDRESS", "KEEPER",
                             "PIECES", "OF", "RUNNING", "STATE"},
                            {}};
    for (auto const& row : list.upstreams) {
        table.rows.push_back({row.service.value, row.upstream.value, row.data_centre.value,
                              row.role, row.address, row.keeper.value, number_text(row.pieces_used),
                              number_text(row.pieces), number_text(row.running),
                              upstream_state(row)});
    }
    return table;
}

auto request_table(request_list const& list) -> text_table {
    auto table = text_table{{"REQUEST", "SERVICE", "CALLER", "PRIORITY", "PHASE", "ATTEMPT", "AGE",
                             "PROMPT", "PRODUCED", "PREFILL", "DECODE"},
                            {}};
    for (auto const& row : list.requests) {
        table.rows.push_back({row.request, row.service.value, row.caller.value, row.priority,
                              row.phase, std::to_string(row.attempt.value),
                              fmt::format("{:.1f}s", row.age), std::to_string(row.prompt_tokens),
                              std::to_string(row.produced_tokens), id_text(row.prefill),
                              id_text(row.decode)});
    }
    return table;
}

auto decimal_text(std::optional<double> number) -> std::string {
    return number ? fmt::format("{:.1f}", *number) : "-";
}

auto account_table(account_list const& list) -> text_table {
    auto table = text_table{{"ACCOUNT", "KEYS", "PRIORITY", "UNIT", "PER SECOND", "BURST", "LEVEL",
                             "REQUESTS", "REFUSED"},
                            {}};
    for (auto const& row : list.accounts) {
        auto refused = std::string{};
        for (auto const& [cause, count] : row.refusals) {
            refused += fmt::format("{}{} {}", refused.empty() ? "" : ", ", count, cause);
        }
        auto const& quota = row.quota;
        table.rows.push_back({row.account.value, std::to_string(row.keys),
                              number_text(row.priority), quota ? quota->unit : "-",
                              decimal_text(quota ? std::optional{quota->per_second} : std::nullopt),
                              decimal_text(quota ? std::optional{quota->burst} : std::nullopt),
                              decimal_text(row.level), std::to_string(row.requests),
                              refused.empty() ? "-" : refused});
    }
    return table;
}

// Returns one line about the host, in front of the table.
auto account_heading(account_list const& list) -> std::string {
    auto const version =
        list.version ? fmt::format("configuration {}", *list.version) : "no configuration";
    auto const age =
        list.age ? fmt::format("the newest {:.1f}s ago", *list.age) : "not known to be the newest";
    auto const keeper = list.keeps_quotas ? std::string{"this host"} : id_text(list.keeper);
    return fmt::format("{}: {}, {}; quotas kept by {}, share {:.4f}\n", list.seen_by.value, version,
                       age, keeper, list.share);
}

auto run_accounts(invocation const& run) -> exit_code {
    auto const result = run.client().call<account_list>(list_accounts{});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto const& list = base::value_of(result);
    if (run.wants_json()) {
        run.out() << nlohmann::json(list).dump(2) << '\n';
    } else {
        run.out() << account_heading(list) << format_table(account_table(list));
    }
    return exit_code::done;
}

auto run_hosts(invocation const& run) -> exit_code {
    return call_and_print<host_list>(run, list_hosts{}, host_table);
}

auto run_upstreams(invocation const& run) -> exit_code {
    return call_and_print<upstream_list>(run, list_upstreams{}, upstream_table);
}

auto run_requests(invocation const& run) -> exit_code {
    return call_and_print<request_list>(run, list_requests{}, request_table);
}

}  // namespace

auto fleet_commands() -> std::vector<command> {
    return {
        {"hosts",
         "",
         {},
         "List the hosts, as seen by the called host.",
         "",
         true,
         nullptr,
         run_hosts},
        {"upstreams",
         "",
         {},
         "List the upstreams and their load.",
         "A host knows the load of the cells that it keeps; the load of others is shown as `-`.\n",
         true,
         nullptr,
         run_upstreams},
        {"requests",
         "",
         {},
         "List the requests in progress on the called host.",
         "Ids, phases and counts only: prompts and answers are never shown.\n",
         true,
         nullptr,
         run_requests},
        {"accounts",
         "",
         {},
         "List the client accounts, as seen by the called host.",
         "Of hosts in router mode. Levels, requests and refusals are those of the called host; "
         "keys\n"
         "are counted and never shown.\n",
         true,
         nullptr,
         run_accounts},
    };
}

}  // namespace linnetlane::ctl

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "linnetlane/ctl/all_commands.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/service/parse.h"
#include "linnetlane/settings/text_values.h"

namespace linnetlane::ctl {
namespace {

auto jobs_document() -> service::document {
    auto document = service::document{};
    document.id.value = "jobs";
    document.generation = base::generation{3};
    document.route = "/jobs/";
    document.upstreams.push_back(
        {{"j1"}, {"north"}, service::upstream_role::plain, {"10.0.0.1", 80}});
    return document;
}

// Reads `VERSION ROUTE TIMEOUT`, with the timeout in seconds.
auto read_draft(std::string_view text) -> std::optional<routing::configuration_draft> {
    auto words = std::istringstream{std::string{text}};
    auto draft = routing::configuration_draft{};
    auto timeout = 0.0;
    draft.read.routes.emplace_back();
    auto& route = draft.read.routes.front();
    if (!(words >> draft.read.version.value >> route.name.value >> timeout)) {
        return std::nullopt;
    }
    route.host = "api.example";
    route.prefix = "/a/";
    route.timeout = base::from_seconds(timeout);
    route.target_latency = base::from_seconds(1);
    route.targets.push_back({{"app"}, 1});
    draft.read.services[{"app"}] = routing::service{};
    return draft;
}

auto write_text(char const* path, char const* text) -> std::string {
    std::ofstream{path} << text;
    return path;
}

// A host with canned answers, by `METHOD TARGET`. Any other request fails to connect.
struct fake_host {
    std::map<std::string, runtime::http_response> answers;
    std::vector<runtime::http_request> requests;
    std::ostringstream out;
    std::ostringstream err;

    auto answer(std::string const& line, int status, std::string body) -> void {
        this->answers[line] = runtime::http_response{status, {}, std::move(body)};
    }

    auto run(std::vector<std::string> words, bool names_host = true) -> exit_code {
        if (names_host) {
            words.insert(words.end(), {"--host", "127.0.0.1:9000"});
        }
        auto const connect = [this](base::endpoint const&) -> transport {
            return [this](runtime::http_request const& request) { return this->serve(request); };
        };
        return run_command_line(all_commands(), words,
                                {&this->out, &this->err, connect, read_draft});
    }

    auto serve(runtime::http_request const& request)
        -> base::result<runtime::http_response, runtime::http_failure> {
        this->requests.push_back(request);
        auto const found = this->answers.find(request.method + " " + request.target);
        if (found == this->answers.end()) {
            return runtime::http_failure{runtime::http_failure_kind::connect_failed,
                                         runtime::send_state::not_sent};
        }
        return found->second;
    }
};

auto write_document(service::document const& written) -> std::string {
    auto path = std::string{"ctl_commands_test.toml"};
    std::ofstream{path} << service::format_document(written);
    return path;
}

auto error_text(api_error const& error) -> std::string {
    return to_json_text(error);
}

BOOST_AUTO_TEST_CASE(applying_a_file_replaces_the_generation_it_names) {
    auto host = fake_host{};
    host.answer("PUT /v1/services/jobs?base=3", 200,
                to_json_text(apply_answer{{"jobs"}, base::generation{4}}));
    BOOST_TEST(
        (host.run({"service", "apply", write_document(jobs_document())}) == exit_code::done));
    BOOST_TEST(host.out.str() == "jobs: generation 4\n");
    BOOST_TEST(host.requests.front().body == service::format_document(jobs_document()));
}

BOOST_AUTO_TEST_CASE(the_output_of_get_can_be_applied) {
    auto host = fake_host{};
    auto const text = service::format_document(jobs_document());
    host.answer("GET /v1/services/jobs", 200,
                to_json_text(service_text{{"jobs"}, base::generation{4}, false, text}));
    BOOST_TEST((host.run({"service", "get", "jobs"}) == exit_code::done));
    auto const printed = service::parse_document(host.out.str());
    BOOST_REQUIRE(base::succeeded(printed));
    BOOST_TEST(base::value_of(printed).generation == base::generation{4});
}

BOOST_AUTO_TEST_CASE(a_conflict_prints_the_differences_and_the_next_step) {
    auto host = fake_host{};
    auto other = jobs_document();
    other.generation = base::generation{5};
    other.upstreams[0].leaving = true;
    auto conflict = api_error{};
    conflict.type = api_failure::conflict;
    conflict.message = "generation 5 is in force";
    conflict.in_force =
        service_text{{"jobs"}, other.generation, false, service::format_document(other)};
    host.answer("PUT /v1/services/jobs?base=3", 409, error_text(conflict));
    BOOST_TEST(
        (host.run({"service", "apply", write_document(jobs_document())}) == exit_code::conflict));
    BOOST_TEST(
        host.err.str() ==
        "Generation 5 is in force; differences from it to the file:\n"
        "- upstreams[j1].leaving = true\n"
        "linnetctl: conflict: generation 5 is in force\n"
        "Fetch it with `linnetctl service get`, make the change again, and apply the result.\n");
}

BOOST_AUTO_TEST_CASE(accounts_are_listed_as_the_host_sees_them) {
    auto host = fake_host{};
    auto list = account_list{{"h1"}, 7, 0.25, true, true, std::nullopt, 0.5, {}};
    list.accounts.push_back(
        {{"one"}, 2, 3, account_quota_row{"tokens", 500, 90}, 45.5, 12, {{"quota_exceeded", 4}}});
    list.accounts.push_back({{"two"}, 1, std::nullopt, std::nullopt, std::nullopt, 0, {}});
    host.answer("GET /accounts", 200, to_json_text(list));
    BOOST_TEST((host.run({"accounts"}) == exit_code::done));
    BOOST_TEST(host.out.str() ==
               "h1: configuration 7, the newest 0.2s ago; quotas kept by this host, share 0.5000\n"
               "ACCOUNT  KEYS  PRIORITY  UNIT    PER SECOND  BURST  LEVEL  REQUESTS  REFUSED\n"
               "one      2     3         tokens  500.0       90.0   45.5   12        4 "
               "quota_exceeded\n"
               "two      1     -         -       -           -      -      0         -\n");
    host.out.str("");
    BOOST_TEST((host.run({"accounts", "--output", "json"}) == exit_code::done));
    BOOST_TEST((nlohmann::json::parse(host.out.str()) == nlohmann::json(list)));
}

BOOST_AUTO_TEST_CASE(a_check_tells_fine_files_from_warnings_and_errors) {
    auto host = fake_host{};
    auto const fine = write_text("ctl_fine.txt", "5 r 2");
    BOOST_TEST((host.run({"check", fine}, false) == exit_code::done));
    BOOST_TEST(host.out.str().empty());
    auto const doubtful = write_text("ctl_doubtful.txt", "5 r 0.5");
    BOOST_TEST((host.run({"check", doubtful}, false) == exit_code::warnings));
    BOOST_TEST(host.out.str() ==
               "warning: route r: its target latency of 1000 ms is above its timeout of 500 ms\n");
    auto const wrong = write_text("ctl_wrong.txt", "5 r 0");
    BOOST_TEST((host.run({"check", wrong}, false) == exit_code::usage));
    BOOST_TEST((host.run({"check", write_text("ctl_none.txt", "{")}, false) == exit_code::usage));
    BOOST_TEST((host.run({"check", "ctl_absent.txt"}, false) == exit_code::usage));
    BOOST_TEST((host.run({"check", fine, "--engines", "app"}, false) == exit_code::usage));
    BOOST_TEST((host.run({"check", fine, "--engines", "app=3"}, false) == exit_code::done));
    BOOST_TEST(host.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_check_shows_what_differs_from_the_configuration_in_force) {
    auto host = fake_host{};
    auto const offered = write_text("ctl_offered.txt", "5 r 2");
    auto const in_force = write_text("ctl_in_force.txt", "4 r 3");
    BOOST_TEST((host.run({"check", offered, "--in-force", in_force}, false) == exit_code::done));
    BOOST_TEST(host.out.str() == "~ route r: timeout\n");
    host.out.str("");
    BOOST_TEST((host.run({"check", in_force, "--in-force", offered, "-o", "json"}, false) ==
                exit_code::usage));
    auto const report = nlohmann::json::parse(host.out.str());
    BOOST_TEST(report["findings"][0]["where"] == "version");
    BOOST_TEST(report["changes"][0]["kind"] == "changed");
    BOOST_TEST(report["changes"][0]["fields"][0] == "timeout");
}

BOOST_AUTO_TEST_CASE(an_invalid_file_is_not_sent) {
    auto host = fake_host{};
    auto invalid = jobs_document();
    invalid.upstreams.clear();
    BOOST_TEST((host.run({"service", "apply", write_document(invalid)}) == exit_code::usage));
    BOOST_TEST(host.requests.empty());
    BOOST_TEST(host.err.str().find("too few upstreams") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(each_api_failure_maps_to_its_exit_code) {
    auto const code_for = [](api_failure failure) {
        auto host = fake_host{};
        auto error = api_error{};
        error.type = failure;
        host.answer("GET /v1/services/jobs", status_of(failure), error_text(error));
        return host.run({"service", "get", "jobs"});
    };
    BOOST_TEST((code_for(api_failure::not_found) == exit_code::not_found));
    BOOST_TEST((code_for(api_failure::not_applied) == exit_code::refused));
    BOOST_TEST((code_for(api_failure::outcome_unknown) == exit_code::outcome_unknown));
    BOOST_TEST((code_for(api_failure::invalid_document) == exit_code::usage));
}

BOOST_AUTO_TEST_CASE(an_unreachable_host_and_an_unparsable_answer_have_different_exit_codes) {
    auto host = fake_host{};
    BOOST_TEST((host.run({"hosts"}) == exit_code::unreachable));
    host.answer("GET /v1/hosts", 200, "<html>");
    BOOST_TEST((host.run({"hosts"}) == exit_code::refused));
    host.answer("GET /v1/hosts", 500, "oops");
    BOOST_TEST((host.run({"hosts"}) == exit_code::refused));
}

BOOST_AUTO_TEST_CASE(diff_reports_differences_by_its_exit_code) {
    auto host = fake_host{};
    auto const text = service::format_document(jobs_document());
    host.answer("GET /v1/services/jobs", 200,
                to_json_text(service_text{{"jobs"}, base::generation{3}, false, text}));
    auto wanted = jobs_document();
    BOOST_TEST((host.run({"service", "diff", write_document(wanted)}) == exit_code::done));
    wanted.route = "/job/";
    BOOST_TEST((host.run({"service", "diff", write_document(wanted)}) == exit_code::differs));
    BOOST_TEST(host.out.str() == "~ route: \"/jobs/\" -> \"/job/\"\n");
}

BOOST_AUTO_TEST_CASE(waiting_ends_when_every_host_has_the_generation) {
    auto host = fake_host{};
    host.answer("PUT /v1/services/jobs?base=3", 200,
                to_json_text(apply_answer{{"jobs"}, base::generation{4}}));
    auto status = service_status{{"jobs"}, base::generation{4}, {}};
    status.hosts.push_back({{"h1"}, {"north"}, base::generation{4}, 0.1});
    status.hosts.push_back({{"h2"}, {"north"}, base::generation{3}, std::nullopt});
    host.answer("GET /v1/services/jobs/status", 200, to_json_text(status));
    auto const file = write_document(jobs_document());
    BOOST_TEST((host.run({"service", "apply", file, "--wait", "1ms"}) == exit_code::differs));
    status.hosts[1].generation = base::generation{4};
    host.answer("GET /v1/services/jobs/status", 200, to_json_text(status));
    BOOST_TEST((host.run({"service", "apply", file, "--wait", "1h"}) == exit_code::done));
}

BOOST_AUTO_TEST_CASE(lists_are_printed_as_tables_or_json) {
    auto host = fake_host{};
    auto const list = host_list{
        {"h1"}, {{{"h1"}, {"north"}, "10.0.0.1:7000", base::incarnation{2}, "alive", false, true}}};
    host.answer("GET /v1/hosts", 200, to_json_text(list));
    BOOST_TEST((host.run({"hosts"}) == exit_code::done));
    BOOST_TEST(host.out.str() ==
               "HOST  DATA CENTRE  ADDRESS        INCARNATION  STATE\n"
               "h1    north        10.0.0.1:7000  2            alive\n");
    host.out.str("");
    BOOST_TEST((host.run({"hosts", "--output", "json"}) == exit_code::done));
    auto const read = parse_message<host_list>(host.out.str());
    BOOST_REQUIRE(base::succeeded(read));
    BOOST_TEST(base::value_of(read).hosts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_invalid_command_line_is_a_usage_error_with_a_hint) {
    auto host = fake_host{};
    BOOST_TEST((host.run({"servise"}) == exit_code::usage));
    BOOST_TEST((host.run({"service", "apply"}) == exit_code::usage));
    BOOST_TEST((host.run({"hosts", "--colour"}) == exit_code::usage));
    BOOST_TEST((host.run({"hosts", "--output", "xml"}) == exit_code::usage));
    BOOST_TEST((host.run({"hosts"}, false) == exit_code::usage));
    BOOST_TEST((host.run({"hosts", "--host", "localhost:1"}, false) == exit_code::usage));
    BOOST_TEST(host.requests.empty());
    BOOST_TEST(host.err.str().find("Try `linnetctl service apply --help`.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_subcommand_has_help) {
    for (auto const& entry : all_commands()) {
        auto host = fake_host{};
        auto words = std::vector<std::string>{};
        auto in = std::istringstream{std::string{entry.name}};
        for (auto word = std::string{}; in >> word;) {
            words.push_back(word);
        }
        words.emplace_back("--help");
        BOOST_TEST_CONTEXT(entry.name) {
            BOOST_TEST((host.run(words, false) == exit_code::done));
            BOOST_TEST(host.out.str().find("Exit codes") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(completion_lists_subcommands_and_options) {
    auto host = fake_host{};
    BOOST_TEST((host.run({"completion", "bash"}, false) == exit_code::done));
    BOOST_TEST(host.out.str().find("apply check diff get history list remove status") !=
               std::string::npos);
    BOOST_TEST(host.out.str().find("--wait") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_transport_reaches_a_host_over_http) {
    auto pool = runtime::worker_pool{runtime::worker_count{1}};
    auto host = fake_host{};
    {
        auto server = runtime::http_server{
            pool,
            {"127.0.0.1", 0},
            {},
            [](runtime::http_request const& request, runtime::http_responder& responder) {
                auto const list = host_list{{request.target}, {}};
                responder.send({200, {}, to_json_text(list)});
            }};
        auto const address = settings::format_endpoint(server.address());
        auto const words = std::vector<std::string>{"hosts", "-o", "json", "--host", address};
        auto const context = command_context{&host.out, &host.err, http_transport};
        BOOST_TEST((run_command_line(all_commands(), words, context) == exit_code::done));
    }
    pool.stop();
    pool.join();
    BOOST_TEST(host.out.str().find("/v1/hosts") != std::string::npos);
}

}  // namespace
}  // namespace linnetlane::ctl

#include "linnetlane/standin/platform_json.h"

#include <algorithm>
#include <vector>

#include "linnetlane/base/base64.h"
#include "linnetlane/standin/json_fields.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;
using base::decode_base64;
using base::encode_base64;

// gRPC status codes in the gateway's error bodies.
constexpr auto code_invalid_argument = 3;
constexpr auto code_not_found = 5;
constexpr auto code_failed_precondition = 9;

auto read_keys(json const& body) -> key_range {
    return key_range{decode_base64(text_field(body, "key")),
                     decode_base64(text_field(body, "range_end"))};
}

auto read_target(std::string const& text) -> compare_target {
    if (text == "CREATE") {
        return compare_target::create_revision;
    }
    if (text == "MOD") {
        return compare_target::mod_revision;
    }
    return text == "VALUE" ? compare_target::value : compare_target::version;
}

auto read_relation(std::string const& text) -> compare_relation {
    if (text == "GREATER") {
        return compare_relation::greater;
    }
    if (text == "LESS") {
        return compare_relation::less;
    }
    return text == "NOT_EQUAL" ? compare_relation::not_equal : compare_relation::equal;
}

auto number_field_name(compare_target target) -> char const* {
    switch (target) {
        case compare_target::create_revision:
            return "create_revision";
        case compare_target::mod_revision:
            return "mod_revision";
        default:
            return "version";
    }
}

auto read_comparison(json const& body) -> comparison {
    auto read = comparison{};
    read.key = decode_base64(text_field(body, "key"));
    read.target = read_target(text_field(body, "target"));
    read.relation = read_relation(text_field(body, "result"));
    read.number = integer_field(body, number_field_name(read.target));
    read.value = decode_base64(text_field(body, "value"));
    return read;
}

// The value of an operation's field. The gateway accepts both spellings of the name.
auto operation_field(json const& item, char const* camel_case, char const* snake_case) -> json {
    auto const part = nested_field(item, camel_case);
    return part.is_null() ? nested_field(item, snake_case) : part;
}

auto read_operations(json const& list) -> std::vector<operation> {
    auto read = std::vector<operation>{};
    if (!list.is_array()) {
        return read;
    }
    for (auto const& item : list) {
        auto const put = operation_field(item, "requestPut", "request_put");
        auto const removal = operation_field(item, "requestDeleteRange", "request_delete_range");
        auto const range = operation_field(item, "requestRange", "request_range");
        if (!put.is_null()) {
            read.emplace_back(read_put(put));
        } else if (!removal.is_null()) {
            read.emplace_back(read_delete(removal));
        } else if (!range.is_null()) {
            read.emplace_back(read_range(range));
        }
    }
    return read;
}

auto put_number(json& object, char const* name, std::int64_t number) -> void {
    if (number != 0) {
        object[name] = std::to_string(number);
    }
}

auto write_entry(key_value const& entry) -> json {
    auto written = json{{"key", encode_base64(entry.key)}};
    put_number(written, "create_revision", entry.create_revision);
    put_number(written, "mod_revision", entry.mod_revision);
    put_number(written, "version", entry.version);
    put_number(written, "lease", entry.lease);
    if (!entry.value.empty()) {
        written["value"] = encode_base64(entry.value);
    }
    return written;
}

auto write_answer(operation_answer const& answer, std::int64_t revision) -> json {
    return std::visit(
        base::overloaded{
            [&](range_answer const& range) {
                return json{{"response_range", write_range(range, revision)}};
            },
            [&](put_answer const&) {
                return json{{"response_put", write_header(revision)}};
            },
            [&](delete_answer const& erased) {
                return json{{"response_delete_range", write_delete(erased, revision)}};
            },
        },
        answer);
}

}  // namespace

auto read_range(json const& body) -> range_request {
    auto read = range_request{};
    read.keys = read_keys(body);
    read.limit = integer_field(body, "limit");
    read.keys_only = flag_field(body, "keys_only");
    read.count_only = flag_field(body, "count_only");
    return read;
}

auto read_put(json const& body) -> put_request {
    return put_request{decode_base64(text_field(body, "key")),
                       decode_base64(text_field(body, "value")), integer_field(body, "lease")};
}

auto read_delete(json const& body) -> delete_request {
    return delete_request{read_keys(body)};
}

auto read_transaction(json const& body) -> transaction_request {
    auto read = transaction_request{};
    for (auto const& condition : nested_field(body, "compare")) {
        read.compare.push_back(read_comparison(condition));
    }
    read.success = read_operations(nested_field(body, "success"));
    read.failure = read_operations(nested_field(body, "failure"));
    return read;
}

auto read_watch(json const& body) -> watch_request {
    auto const create = nested_field(body, "create_request");
    return watch_request{read_keys(create), integer_field(create, "start_revision")};
}

auto has_writes(transaction_request const& request) -> bool {
    auto const writes = [](operation const& one) {
        return !std::holds_alternative<range_request>(one);
    };
    return std::ranges::any_of(request.success, writes) ||
           std::ranges::any_of(request.failure, writes);
}

auto write_header(std::int64_t revision) -> json {
    auto const header = json{{"cluster_id", "1"},
                             {"member_id", "1"},
                             {"revision", std::to_string(revision)},
                             {"raft_term", "1"}};
    return json{{"header", header}};
}

auto write_range(range_answer const& answer, std::int64_t revision) -> json {
    auto written = write_header(revision);
    for (auto const& entry : answer.entries) {
        written["kvs"].push_back(write_entry(entry));
    }
    put_number(written, "count", answer.count);
    if (!answer.entries.empty() && std::ssize(answer.entries) < answer.count) {
        written["more"] = true;
    }
    return written;
}

auto write_delete(delete_answer const& answer, std::int64_t revision) -> json {
    auto written = write_header(revision);
    put_number(written, "deleted", answer.deleted);
    return written;
}

auto write_transaction(transaction_answer const& answer, std::int64_t revision) -> json {
    auto written = write_header(revision);
    if (answer.succeeded) {
        written["succeeded"] = true;
    }
    for (auto const& one : answer.answers) {
        written["responses"].push_back(write_answer(one, revision));
    }
    return written;
}

auto write_lease(lease_answer const& answer, std::int64_t revision) -> json {
    auto written = write_header(revision);
    written["ID"] = std::to_string(answer.id);
    put_number(written, "TTL", answer.seconds);
    return written;
}

auto write_changes(watch_delivery const& delivery) -> json {
    auto revision = std::int64_t{0};
    auto events = json::array();
    for (auto const& one : delivery.changes) {
        revision = std::max(revision, one->entry.mod_revision);
        auto event = json{{"kv", write_entry(one->entry)}};
        if (one->deleted) {
            event["type"] = "DELETE";
        }
        events.push_back(std::move(event));
    }
    auto written = write_header(revision);
    written["events"] = std::move(events);
    return json{{"result", std::move(written)}};
}

auto write_failure(platform_failure failure) -> failure_text {
    switch (failure) {
        case platform_failure::value_too_large:
            return write_failure(400, code_invalid_argument, "etcdserver: request is too large");
        case platform_failure::lease_not_found:
            return write_failure(404, code_not_found, "etcdserver: requested lease not found");
        case platform_failure::lease_exists:
            return write_failure(400, code_failed_precondition, "etcdserver: lease already exists");
        case platform_failure::duplicate_key:
            return write_failure(400, code_invalid_argument,
                                 "etcdserver: duplicate key given in txn request");
    }
    return write_failure(500, 2, "unknown failure");
}

auto write_failure(int status, int code, char const* message) -> failure_text {
    return failure_text{status, json{{"error", message}, {"code", code}, {"message", message}}};
}

}  // namespace linnetlane::standin

#include "linnetlane/coordination/etcd_json.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "linnetlane/base/base64.h"

namespace linnetlane::coordination {

namespace {

using base::decode_base64;
using base::encode_base64;
using nlohmann::json;

// The end of the range of all keys that begin with `prefix`: the prefix with its last byte
// incremented. Prefixes must end with a printable character, so that the byte can't overflow.
auto end_of_prefix(std::string prefix) -> std::string {
    if (!prefix.empty()) {
        ++prefix.back();
    }
    return prefix;
}

auto put_operation(std::string const& key, std::string const& value,
                   std::optional<lease_number> lease) -> json {
    auto put = json{{"key", encode_base64(key)}, {"value", encode_base64(value)}};
    if (lease) {
        put["lease"] = std::to_string(lease->value);
    }
    return json{{"requestPut", put}};
}

auto extra_operation(extra_write const& extra) -> json {
    if (extra.value) {
        return put_operation(extra.key, *extra.value, std::nullopt);
    }
    return json{{"requestDeleteRange", {{"key", encode_base64(extra.key)}}}};
}

// Thrown within this file only; `parse` converts it to a `gateway_failure`.
struct parse_error {
    gateway_failure failure;
};

auto number_of(json const& object, char const* name) -> std::uint64_t {
    auto const found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number_unsigned()) {
        return found->get<std::uint64_t>();
    }
    if (!found->is_string()) {
        throw parse_error{gateway_failure::bad_field};
    }
    auto const& text = found->get_ref<std::string const&>();
    auto number = std::uint64_t{0};
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        throw parse_error{gateway_failure::bad_field};
    }
    return number;
}

auto text_of(json const& object, char const* name) -> std::string {
    auto const found = object.find(name);
    if (found == object.end()) {
        return {};
    }
    if (!found->is_string()) {
        throw parse_error{gateway_failure::bad_field};
    }
    return decode_base64(found->get<std::string>());
}

auto entry_of(json const& pair) -> entry {
    if (!pair.is_object()) {
        throw parse_error{gateway_failure::bad_field};
    }
    return entry{text_of(pair, "key"), text_of(pair, "value"),
                 revision{number_of(pair, "mod_revision")}};
}

auto entries_of(json const& answer) -> std::vector<entry> {
    auto entries = std::vector<entry>{};
    auto const pairs = answer.find("kvs");
    if (pairs == answer.end()) {
        return entries;
    }
    for (auto const& pair : *pairs) {
        entries.push_back(entry_of(pair));
    }
    return entries;
}

auto object_in(json const& object, char const* name) -> json const& {
    auto const found = object.find(name);
    if (found == object.end() || !found->is_object()) {
        throw parse_error{gateway_failure::missing_field};
    }
    return *found;
}

auto revision_of(json const& answer) -> revision {
    return revision{number_of(object_in(answer, "header"), "revision")};
}

// The current entry of the key of a failed swap.
auto current_of(json const& answer) -> std::optional<entry> {
    for (auto const& response : answer.value("responses", json::array())) {
        auto const range = response.find("response_range");
        if (range == response.end()) {
            continue;
        }
        auto entries = entries_of(*range);
        if (!entries.empty()) {
            return std::move(entries.front());
        }
    }
    return std::nullopt;
}

template <typename Read>
auto parse(std::string_view text, Read read) -> gateway_answer {
    try {
        auto const answer = json::parse(text);
        if (!answer.is_object()) {
            return gateway_failure::missing_field;
        }
        if (answer.contains("error")) {
            return gateway_failure::error_answer;
        }
        return store_answer{read(answer)};
    } catch (parse_error const& error) {
        return error.failure;
    } catch (json::parse_error const&) {
        return gateway_failure::not_json;
    } catch (json::exception const&) {
        return gateway_failure::bad_field;
    }
}

auto changed_entry(json const& event) -> entry {
    auto changed = entry_of(object_in(event, "kv"));
    if (event.value("type", std::string{}) == "DELETE") {
        changed.value.clear();
    }
    return changed;
}

}  // namespace

auto to_gateway(read_key const& call) -> gateway_request {
    return {"/v3/kv/range", json{{"key", encode_base64(call.key)}}.dump()};
}

auto to_gateway(read_prefix const& call) -> gateway_request {
    auto const body = json{{"key", encode_base64(call.prefix)},
                           {"range_end", encode_base64(end_of_prefix(call.prefix))}};
    return {"/v3/kv/range", body.dump()};
}

auto to_gateway(compare_and_swap const& call) -> gateway_request {
    auto const compare = json{{"key", encode_base64(call.key)},
                              {"result", "EQUAL"},
                              {"target", "MOD"},
                              {"mod_revision", std::to_string(call.expected.value)}};
    auto writes = json::array({put_operation(call.key, call.value, call.lease)});
    for (auto const& extra : call.extra) {
        writes.push_back(extra_operation(extra));
    }
    auto const read = json{{"requestRange", {{"key", encode_base64(call.key)}}}};
    auto const body = json{
        {"compare", json::array({compare})}, {"success", writes}, {"failure", json::array({read})}};
    return {"/v3/kv/txn", body.dump()};
}

auto to_gateway(watch_prefix const& call) -> gateway_request {
    auto const create = json{{"key", encode_base64(call.prefix)},
                             {"range_end", encode_base64(end_of_prefix(call.prefix))},
                             {"start_revision", std::to_string(call.first.value)}};
    return {"/v3/watch", json{{"create_request", create}}.dump()};
}

auto to_gateway(grant_lease const& call) -> gateway_request {
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(call.span).count();
    return {"/v3/lease/grant", json{{"TTL", std::to_string(seconds)}}.dump()};
}

auto to_gateway(keep_alive const& call) -> gateway_request {
    return {"/v3/lease/keepalive", json{{"ID", std::to_string(call.lease.value)}}.dump()};
}

auto to_gateway(revoke_lease const& call) -> gateway_request {
    return {"/v3/lease/revoke", json{{"ID", std::to_string(call.lease.value)}}.dump()};
}

auto parse_entries(call_number call, std::string_view text) -> gateway_answer {
    return parse(text, [&](json const& answer) {
        return entries_read{call, entries_of(answer), revision_of(answer)};
    });
}

auto parse_swap(call_number call, std::string_view text) -> gateway_answer {
    return parse(text, [&](json const& answer) {
        auto const swapped = answer.value("succeeded", false);
        auto const current = swapped ? std::nullopt : current_of(answer);
        return swap_answer{call, swapped, revision_of(answer), current};
    });
}

auto parse_granted(call_number call, std::string_view text) -> gateway_answer {
    return parse(text, [&](json const& answer) {
        auto const lease = lease_number{number_of(answer, "ID")};
        if (lease.value == 0) {
            throw parse_error{gateway_failure::missing_field};
        }
        auto const seconds = std::chrono::seconds(number_of(answer, "TTL"));
        return lease_granted{call, lease, seconds};
    });
}

auto parse_kept(call_number call, std::string_view text) -> gateway_answer {
    return parse(text, [&](json const& answer) {
        return lease_kept{call, number_of(object_in(answer, "result"), "TTL") > 0};
    });
}

auto parse_watch_line(call_number call, std::string_view text) -> gateway_answer {
    return parse(text, [&](json const& line) -> store_answer {
        auto const& notice = object_in(line, "result");
        if (notice.value("canceled", false)) {
            return watch_ended{call};
        }
        auto changes = watch_changes{call, {}};
        for (auto const& event : notice.value("events", json::array())) {
            changes.changed.push_back(changed_entry(event));
        }
        return changes;
    });
}

}  // namespace linnetlane::coordination

#include "linnetlane/routing/configuration_check.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

namespace linnetlane::routing {

namespace {

using findings = std::vector<configuration_finding>;

// Names that show which fields of two parts differ.
class field_comparison {
public:
    template <typename Value>
    auto compare(char const* name, Value const& before, Value const& after) -> void {
        if (!(before == after)) {
            this->names.emplace_back(name);
        }
    }
    [[nodiscard]] auto differing() && -> std::vector<std::string> { return std::move(this->names); }

private:
    std::vector<std::string> names;
};

auto name_of(route const& one) -> std::string {
    return one.name.value.empty() ? one.host + one.prefix : one.name.value;
}

auto where_of(route const& one) -> std::string {
    return "route " + name_of(one);
}

auto where_of(client_account const& one) -> std::string {
    return "account " + one.id.value;
}

auto milliseconds(base::duration span) -> double {
    constexpr auto per_second = 1000.0;
    return per_second * base::to_seconds(span);
}

auto warn(findings& found, std::string where, std::string what) -> void {
    found.push_back({finding_severity::warning, std::move(where), std::move(what)});
}

auto fail(findings& found, std::string where, std::string what) -> void {
    found.push_back({finding_severity::error, std::move(where), std::move(what)});
}

// ---- Routes ----

auto check_targets(findings& found, configuration const& checked, route const& one) -> void {
    if (one.targets.empty()) {
        fail(found, where_of(one), "has no target, so all its requests are refused");
    }
    for (auto const& target : one.targets) {
        if (!checked.services.contains(target.service)) {
            fail(found, where_of(one),
                 fmt::format("its target {} is no service", target.service.value));
        }
        if (target.weight <= 0) {
            warn(found, where_of(one),
                 fmt::format("its target {} has weight 0 and gets nothing", target.service.value));
        }
    }
}

auto check_route_limits(findings& found, route const& one) -> void {
    if (one.timeout <= base::duration::zero()) {
        fail(found, where_of(one), "its timeout is 0, so no request is answered in time");
    } else if (one.target_latency > one.timeout) {
        warn(found, where_of(one),
             fmt::format("its target latency of {:g} ms is above its timeout of {:g} ms",
                         milliseconds(one.target_latency), milliseconds(one.timeout)));
    }
    if (one.max_attempts == 0) {
        fail(found, where_of(one), "allows no attempt, so no request runs");
    }
}

// `first` holds the routes before `one`, by host and prefix.
auto check_match(findings& found, std::map<std::pair<std::string, std::string>, std::string>& first,
                 route const& one) -> void {
    if (!one.prefix.starts_with('/')) {
        warn(found, where_of(one), "never matches: its prefix doesn't begin with a slash");
        return;
    }
    auto const [same, is_first] =
        first.try_emplace({normalized_host(one.host), one.prefix}, name_of(one));
    if (!is_first) {
        warn(found, where_of(one),
             fmt::format("never matches: route {} before it has the same host and prefix",
                         same->second));
    }
}

auto check_routes(findings& found, configuration const& checked) -> void {
    auto first = std::map<std::pair<std::string, std::string>, std::string>{};
    for (auto const& one : checked.routes) {
        check_match(found, first, one);
        check_targets(found, checked, one);
        check_route_limits(found, one);
    }
}

// ---- Accounts ----

auto check_key_holders(findings& found, configuration const& checked) -> void {
    auto holders = std::unordered_map<base::key_digest, client_account const*>{};
    for (auto const& one : checked.accounts.all()) {
        for (auto const& key : one.keys) {
            auto const [holder, is_first] = holders.try_emplace(key, &one);
            if (is_first) {
                continue;
            }
            if (holder->second == &one) {
                warn(found, where_of(one), "lists a key twice");
            } else {
                fail(found, where_of(one),
                     fmt::format("has a key of account {} too, which opens neither",
                                 holder->second->id.value));
            }
        }
    }
}

auto has_usable_key(configuration const& checked) -> bool {
    auto const& accounts = checked.accounts;
    return std::ranges::any_of(accounts.all(), [&](client_account const& one) {
        return std::ranges::any_of(
            one.keys, [&](base::key_digest const& key) { return accounts.find(key) != nullptr; });
    });
}

// A route that needs a key, while no account has one.
auto check_key_need(findings& found, configuration const& checked) -> void {
    auto const in_need = std::ranges::find(checked.routes, false, &route::open_to_all);
    if (checked.requires_keys && in_need != checked.routes.end() && !has_usable_key(checked)) {
        fail(found, where_of(*in_need),
             "needs a key, as do all routes that aren't open to all, and no key opens it");
    }
}

// Returns the most tokens that one engine holds, or nothing if no engine is known.
auto largest_memory(configuration const& checked) -> std::optional<double> {
    auto largest = std::optional<double>{};
    for (auto const& [id, one] : checked.services) {
        if (one.engine) {
            largest = std::max(largest.value_or(0), static_cast<double>(one.engine->memory.value));
        }
    }
    return largest;
}

// Returns the tokens that all engines hold together, or nothing unless the number of the engines of
// each service is known.
auto memory_of_all(configuration const& checked, expected_use const& use) -> std::optional<double> {
    auto sum = std::optional<double>{};
    for (auto const& [id, one] : checked.services) {
        if (!one.engine) {
            continue;
        }
        auto const count = use.engines.find(id);
        if (count == use.engines.end()) {
            return std::nullopt;
        }
        sum = sum.value_or(0) +
              static_cast<double>(count->second) * static_cast<double>(one.engine->memory.value);
    }
    return sum;
}

auto check_token_quota(findings& found, configuration const& checked, expected_use const& use,
                       client_account const& one) -> void {
    auto const& quota = *one.quota;
    auto const largest = std::max(quota.unsized_tokens, use.largest_request.value_or(0));
    if (quota.burst < largest) {
        warn(found, where_of(one),
             fmt::format("its burst of {:g} tokens is below its largest request of {:g}",
                         quota.burst, largest));
    }
    auto const memory = largest_memory(checked);
    if (memory && quota.unsized_tokens > *memory) {
        warn(found, where_of(one),
             fmt::format("a request without a size counts {:g} tokens; no engine holds more than "
                         "{:g}",
                         quota.unsized_tokens, *memory));
    }
    auto const all = memory_of_all(checked, use);
    if (all && quota.burst > *all) {
        warn(found, where_of(one),
             fmt::format("its burst of {:g} tokens is more than all engines hold, {:g}",
                         quota.burst, *all));
    }
}

auto check_quota(findings& found, configuration const& checked, expected_use const& use,
                 client_account const& one) -> void {
    if (one.quota->unit == quota_unit::tokens) {
        check_token_quota(found, checked, use, one);
    } else if (one.quota->burst < 1) {
        warn(found, where_of(one),
             fmt::format("its burst of {:g} requests is below one request", one.quota->burst));
    }
}

auto check_accounts(findings& found, configuration const& checked, expected_use const& use)
    -> void {
    check_key_need(found, checked);
    check_key_holders(found, checked);
    for (auto const& one : checked.accounts.all()) {
        if (checked.accounts.find(one.id) != &one) {
            fail(found, where_of(one), "another account has the same name");
        }
        if (one.keys.empty()) {
            warn(found, where_of(one), "has no key");
        }
        if (one.quota) {
            check_quota(found, checked, use, one);
        }
    }
}

// ---- Differences ----

auto differing_fields(route const& before, route const& after) -> std::vector<std::string> {
    auto fields = field_comparison{};
    fields.compare("host", before.host, after.host);
    fields.compare("prefix", before.prefix, after.prefix);
    fields.compare("targets", before.targets, after.targets);
    fields.compare("semantics", before.semantics, after.semantics);
    fields.compare("streams", before.streams, after.streams);
    fields.compare("resumable", before.resumable, after.resumable);
    fields.compare("generates", before.generates, after.generates);
    fields.compare("timeout", before.timeout, after.timeout);
    fields.compare("target latency", before.target_latency, after.target_latency);
    fields.compare("longest pause", before.longest_pause, after.longest_pause);
    fields.compare("priority", before.priority, after.priority);
    fields.compare("attempts", before.max_attempts, after.max_attempts);
    fields.compare("open to all", before.open_to_all, after.open_to_all);
    return std::move(fields).differing();
}

auto differing_fields(service const& before, service const& after) -> std::vector<std::string> {
    auto fields = field_comparison{};
    fields.compare("connections", before.max_connections, after.max_connections);
    fields.compare("engine", before.engine, after.engine);
    return std::move(fields).differing();
}

auto differing_fields(client_account const& before, client_account const& after)
    -> std::vector<std::string> {
    auto fields = field_comparison{};
    fields.compare("keys", before.keys, after.keys);
    fields.compare("priority", before.priority, after.priority);
    fields.compare("quota", before.quota, after.quota);
    return std::move(fields).differing();
}

auto differing_fields(caller_limits const& before, caller_limits const& after)
    -> std::vector<std::string> {
    auto fields = field_comparison{};
    fields.compare("header bytes", before.header_bytes, after.header_bytes);
    fields.compare("body bytes", before.body_bytes, after.body_bytes);
    fields.compare("arrival of a request", before.request_arrival, after.request_arrival);
    fields.compare("idle connections", before.idle, after.idle);
    return std::move(fields).differing();
}

template <typename Part>
using parts_by_name = std::map<std::string, Part const*>;

auto routes_of(configuration const& source) -> parts_by_name<route> {
    auto parts = parts_by_name<route>{};
    for (auto const& one : source.routes) {
        if (!parts.try_emplace(where_of(one), &one).second) {
            // The names of routes need not differ.
            parts.try_emplace(fmt::format("{} ({}{})", where_of(one), one.host, one.prefix), &one);
        }
    }
    return parts;
}

auto services_of(configuration const& source) -> parts_by_name<service> {
    auto parts = parts_by_name<service>{};
    for (auto const& [id, one] : source.services) {
        parts.try_emplace("service " + id.value, &one);
    }
    return parts;
}

auto accounts_of(configuration const& source) -> parts_by_name<client_account> {
    auto parts = parts_by_name<client_account>{};
    for (auto const& one : source.accounts.all()) {
        parts.try_emplace(where_of(one), &one);
    }
    return parts;
}

template <typename Part>
auto compare_parts(std::vector<configuration_change>& changes, parts_by_name<Part> const& before,
                   parts_by_name<Part> const& after) -> void {
    auto own = std::vector<configuration_change>{};
    for (auto const& [where, part] : before) {
        auto const found = after.find(where);
        if (found == after.end()) {
            own.push_back({configuration_change_kind::removed, where, {}});
        } else if (auto fields = differing_fields(*part, *found->second); !fields.empty()) {
            own.push_back({configuration_change_kind::changed, where, std::move(fields)});
        }
    }
    for (auto const& [where, part] : after) {
        if (!before.contains(where)) {
            own.push_back({configuration_change_kind::added, where, {}});
        }
    }
    std::ranges::sort(own, {}, &configuration_change::where);
    std::ranges::move(own, std::back_inserter(changes));
}

}  // namespace

auto check_configuration(configuration_draft const& draft, expected_use const& use)
    -> std::vector<configuration_finding> {
    auto found = findings{};
    for (auto const& path : draft.unreadable) {
        fail(found, path, "can't be read and is left out");
    }
    for (auto const& path : draft.without_effect) {
        warn(found, path, "has no effect");
    }
    check_routes(found, draft.read);
    check_accounts(found, draft.read, use);
    return found;
}

auto check_succession(configuration const& in_force, configuration const& offered)
    -> std::optional<configuration_finding> {
    if (offered.version > in_force.version || offered == in_force) {
        return std::nullopt;
    }
    return configuration_finding{
        finding_severity::error, "version",
        fmt::format("{} isn't newer than {}, which is in force, so hosts ignore it",
                    offered.version.value, in_force.version.value)};
}

auto compare_configurations(configuration const& in_force, configuration const& offered)
    -> std::vector<configuration_change> {
    auto changes = std::vector<configuration_change>{};
    compare_parts(changes, routes_of(in_force), routes_of(offered));
    compare_parts(changes, services_of(in_force), services_of(offered));
    if (auto fields = differing_fields(in_force.limits, offered.limits); !fields.empty()) {
        changes.push_back({configuration_change_kind::changed, "limits", std::move(fields)});
    }
    if (in_force.requires_keys != offered.requires_keys) {
        changes.push_back({offered.requires_keys ? configuration_change_kind::added
                                                 : configuration_change_kind::removed,
                           "need of keys",
                           {}});
    }
    compare_parts(changes, accounts_of(in_force), accounts_of(offered));
    return changes;
}

}  // namespace linnetlane::routing

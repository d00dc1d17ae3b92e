#include "linnetlane/standin/platform_model.h"

#include <algorithm>
#include <utility>

namespace linnetlane::standin {

namespace {

auto is_host_key(std::string_view key) -> bool {
    return key.starts_with(host_list_prefix);
}

template <typename Value>
auto compare_values(Value const& left, compare_relation relation, Value const& right) -> bool {
    switch (relation) {
        case compare_relation::equal:
            return left == right;
        case compare_relation::greater:
            return left > right;
        case compare_relation::less:
            return left < right;
        case compare_relation::not_equal:
            return left != right;
    }
    return false;
}

auto is_write(call_kind kind, bool writes) -> bool {
    switch (kind) {
        case call_kind::range:
        case call_kind::watch:
            return false;
        case call_kind::transaction:
            return writes;
        default:
            return true;
    }
}

// Calls `use` for each entry of `entries` whose key is in `keys`.
template <typename Use>
auto for_each_in(std::map<std::string, key_value> const& entries, key_range const& keys, Use use)
    -> void {
    for (auto at = entries.lower_bound(keys.key); at != entries.end(); ++at) {
        if (!contains(keys, at->first)) {
            return;
        }
        use(at->second);
    }
}

}  // namespace

auto contains(key_range const& range, std::string_view key) -> bool {
    if (range.end.empty()) {
        return key == range.key;
    }
    auto const unbounded = range.end == std::string_view{"\0", 1};
    return key >= range.key && (unbounded || key < range.end);
}

platform_model::platform_model(platform_limits wanted)
    : limits(wanted), writes(wanted.writes_per_second), reads(wanted.reads_per_second) {}

auto platform_model::admit(call_kind kind, bool has_writes, base::time_point now) -> bool {
    auto& bucket = is_write(kind, has_writes) ? this->writes : this->reads;
    auto& count = this->calls[kind];
    if (!bucket.take(now)) {
        ++count.over_rate;
        return false;
    }
    ++count.admitted;
    return true;
}

auto platform_model::range(range_request const& request, base::time_point now) -> range_answer {
    this->advance(now);
    return this->range_in(request, this->visible_hosts);
}

auto platform_model::range_in(range_request const& request, store_map const& hosts) const
    -> range_answer {
    auto found = std::vector<key_value const*>{};
    for_each_in(this->store, request.keys, [&](key_value const& entry) {
        if (!is_host_key(entry.key)) {
            found.push_back(&entry);
        }
    });
    for_each_in(hosts, request.keys, [&](key_value const& entry) {
        if (is_host_key(entry.key)) {
            found.push_back(&entry);
        }
    });
    std::ranges::sort(found, {}, &key_value::key);
    auto answer = range_answer{.count = static_cast<std::int64_t>(found.size())};
    if (request.count_only) {
        return answer;
    }
    for (auto const* entry : found) {
        if (request.limit > 0 && std::ssize(answer.entries) >= request.limit) {
            break;
        }
        answer.entries.push_back(*entry);
        if (request.keys_only) {
            answer.entries.back().value.clear();
        }
    }
    return answer;
}

auto platform_model::validate(operation const& wanted) const -> std::optional<platform_failure> {
    auto const* put = std::get_if<put_request>(&wanted);
    if (put == nullptr) {
        return std::nullopt;
    }
    if (put->value.size() > this->limits.value_bytes) {
        return platform_failure::value_too_large;
    }
    if (put->lease != 0 && !this->leases.contains(put->lease)) {
        return platform_failure::lease_not_found;
    }
    return std::nullopt;
}

auto platform_model::validate_all(std::vector<operation> const& wanted) const
    -> std::optional<platform_failure> {
    auto keys = std::set<std::string>{};
    for (auto const& one : wanted) {
        if (auto const failure = this->validate(one)) {
            return failure;
        }
        auto const* put = std::get_if<put_request>(&one);
        if (put != nullptr && !keys.insert(put->key).second) {
            return platform_failure::duplicate_key;
        }
    }
    return std::nullopt;
}

auto platform_model::put(put_request const& request, base::time_point now)
    -> base::result<put_answer, platform_failure> {
    this->advance(now);
    if (auto const failure = this->validate(request)) {
        return *failure;
    }
    this->apply_put(request, ++this->current_revision, now);
    return put_answer{};
}

auto platform_model::erase(delete_request const& request, base::time_point now) -> delete_answer {
    this->advance(now);
    auto const deleted = this->apply_delete(request, this->current_revision + 1, now);
    if (deleted > 0) {
        ++this->current_revision;
    }
    return delete_answer{deleted};
}

auto platform_model::holds(comparison const& condition) const -> bool {
    auto const found = this->store.find(condition.key);
    auto const entry = found == this->store.end() ? key_value{} : found->second;
    switch (condition.target) {
        case compare_target::version:
            return compare_values(entry.version, condition.relation, condition.number);
        case compare_target::create_revision:
            return compare_values(entry.create_revision, condition.relation, condition.number);
        case compare_target::mod_revision:
            return compare_values(entry.mod_revision, condition.relation, condition.number);
        case compare_target::value:
            return found != this->store.end() &&
                   compare_values(entry.value, condition.relation, condition.value);
    }
    return false;
}

auto platform_model::transact(transaction_request const& request, base::time_point now)
    -> base::result<transaction_answer, platform_failure> {
    this->advance(now);
    auto answer = transaction_answer{};
    answer.succeeded = std::ranges::all_of(
        request.compare, [&](comparison const& condition) { return this->holds(condition); });
    auto const& branch = answer.succeeded ? request.success : request.failure;
    if (auto const failure = this->validate_all(branch)) {
        return *failure;
    }
    auto changed = false;
    for (auto const& wanted : branch) {
        answer.answers.push_back(this->apply(wanted, this->current_revision + 1, now));
        auto const* erased = std::get_if<delete_answer>(&answer.answers.back());
        changed |= std::holds_alternative<put_request>(wanted) ||
                   (erased != nullptr && erased->deleted > 0);
    }
    if (changed) {
        ++this->current_revision;
    }
    return answer;
}

auto platform_model::apply(operation const& wanted, std::int64_t at, base::time_point now)
    -> operation_answer {
    return std::visit(base::overloaded{
                          [&](range_request const& request) -> operation_answer {
                              return this->range_in(request, this->store);
                          },
                          [&](put_request const& request) -> operation_answer {
                              this->apply_put(request, at, now);
                              return put_answer{};
                          },
                          [&](delete_request const& request) -> operation_answer {
                              return delete_answer{this->apply_delete(request, at, now)};
                          },
                      },
                      wanted);
}

auto platform_model::apply_put(put_request const& request, std::int64_t at, base::time_point now)
    -> void {
    auto& entry = this->store[request.key];
    this->detach_from_lease(entry);
    entry.key = request.key;
    entry.value = request.value;
    entry.create_revision = entry.version == 0 ? at : entry.create_revision;
    entry.mod_revision = at;
    entry.version += 1;
    entry.lease = request.lease;
    if (request.lease != 0) {
        this->leases[request.lease].keys.insert(request.key);
    }
    this->record_change(change{.deleted = false, .entry = entry}, now);
}

auto platform_model::apply_delete(delete_request const& request, std::int64_t at,
                                  base::time_point now) -> std::int64_t {
    auto keys = std::vector<std::string>{};
    for_each_in(this->store, request.keys,
                [&](key_value const& entry) { keys.push_back(entry.key); });
    for (auto const& key : keys) {
        this->remove_key(key, at, now);
    }
    return std::ssize(keys);
}

auto platform_model::remove_key(std::string const& key, std::int64_t at, base::time_point now)
    -> void {
    auto const found = this->store.find(key);
    if (found == this->store.end()) {
        return;
    }
    this->detach_from_lease(found->second);
    this->store.erase(found);
    auto deletion = change{.deleted = true, .entry = {}};
    deletion.entry.key = key;
    deletion.entry.mod_revision = at;
    this->record_change(std::move(deletion), now);
}

// Removes a key from its lease, if it has one.
auto platform_model::detach_from_lease(key_value const& entry) -> void {
    auto const found = this->leases.find(entry.lease);
    if (found != this->leases.end()) {
        found->second.keys.erase(entry.key);
    }
}

auto platform_model::record_change(change what, base::time_point now) -> void {
    auto const item = timed_change{now, std::make_shared<change const>(std::move(what))};
    if (is_host_key(item.what->entry.key)) {
        this->unpublished_hosts.push_back(item);
        this->publish_hosts(now);
    }
    for (auto& [number, one] : this->watches) {
        if (contains(one.keys, item.what->entry.key)) {
            this->schedule_delivery(one, item);
        }
    }
    this->history.push_back(item);
    if (this->history.size() > this->limits.history) {
        this->compact(this->history.front().what->entry.mod_revision);
    }
}

// Schedules a change for delivery to a watch, subject to the active faults.
auto platform_model::schedule_delivery(watch& to, timed_change const& item) -> void {
    auto const& fault = this->active_faults.watch;
    ++to.matched_changes;
    if (fault.drop_each > 0 && to.matched_changes % fault.drop_each == 0) {
        return;
    }
    auto at = item.at + fault.delay;
    if (is_host_key(item.what->entry.key)) {
        at += this->active_faults.host_list_lag;
    }
    if (fault.reorder_each > 0 && to.matched_changes % fault.reorder_each == 0) {
        to.pending.emplace(at + fault.reorder_hold, item.what);
        return;
    }
    to.last_delivery_at = std::max(to.last_delivery_at, at);
    to.pending.emplace(to.last_delivery_at, item.what);
}

auto platform_model::publish_hosts(base::time_point now) -> void {
    while (!this->unpublished_hosts.empty() &&
           this->unpublished_hosts.front().at + this->active_faults.host_list_lag <= now) {
        auto const& what = *this->unpublished_hosts.front().what;
        if (what.deleted) {
            this->visible_hosts.erase(what.entry.key);
        } else {
            this->visible_hosts[what.entry.key] = what.entry;
        }
        this->unpublished_hosts.pop_front();
    }
}

auto platform_model::grant_lease(std::int64_t id, std::int64_t seconds, base::time_point now)
    -> base::result<lease_answer, platform_failure> {
    this->advance(now);
    if (this->leases.contains(id)) {
        return platform_failure::lease_exists;
    }
    while (id == 0 || this->leases.contains(id)) {
        id = this->next_lease++;
    }
    this->leases[id] = lease{seconds, now + std::chrono::seconds{seconds}, {}};
    return lease_answer{id, seconds};
}

auto platform_model::keep_alive(std::int64_t id, base::time_point now) -> lease_answer {
    this->advance(now);
    auto const found = this->leases.find(id);
    if (found == this->leases.end()) {
        return lease_answer{id, 0};
    }
    found->second.deadline = now + std::chrono::seconds{found->second.seconds};
    return lease_answer{id, found->second.seconds};
}

auto platform_model::revoke_lease(std::int64_t id, base::time_point now)
    -> base::result<base::nothing, platform_failure> {
    this->advance(now);
    if (!this->leases.contains(id)) {
        return platform_failure::lease_not_found;
    }
    this->end_lease(id, now);
    return base::nothing{};
}

auto platform_model::end_lease(std::int64_t id, base::time_point now) -> void {
    auto const keys = this->leases[id].keys;
    this->leases.erase(id);
    if (keys.empty()) {
        return;
    }
    auto const at = ++this->current_revision;
    for (auto const& key : keys) {
        this->remove_key(key, at, now);
    }
}

auto platform_model::advance(base::time_point now) -> void {
    auto ended = std::vector<std::int64_t>{};
    for (auto const& [id, one] : this->leases) {
        if (one.deadline <= now) {
            ended.push_back(id);
        }
    }
    for (auto const id : ended) {
        this->end_lease(id, now);
    }
    this->publish_hosts(now);
}

auto platform_model::open_watch(watch_request const& request, base::time_point now)
    -> std::int64_t {
    this->advance(now);
    auto const number = this->next_watch++;
    auto& opened = this->watches[number];
    opened.keys = request.keys;
    if (request.start_revision == 0) {
        return number;
    }
    if (request.start_revision <= this->compacted) {
        opened.compact_revision = this->compacted + 1;
        return number;
    }
    for (auto const& item : this->history) {
        auto const& entry = item.what->entry;
        if (entry.mod_revision >= request.start_revision && contains(request.keys, entry.key)) {
            this->schedule_delivery(opened, item);
        }
    }
    return number;
}

auto platform_model::poll_watch(std::int64_t number, base::time_point now) -> watch_delivery {
    this->advance(now);
    auto const found = this->watches.find(number);
    if (found == this->watches.end()) {
        return watch_delivery{.ended = true};
    }
    auto& one = found->second;
    auto delivery = watch_delivery{{}, one.compact_revision, one.ended};
    auto const due = one.pending.upper_bound(now);
    for (auto at = one.pending.begin(); at != due; ++at) {
        delivery.changes.push_back(at->second);
    }
    one.pending.erase(one.pending.begin(), due);
    return delivery;
}

auto platform_model::close_watch(std::int64_t number) -> void {
    this->watches.erase(number);
}

auto platform_model::compact(std::int64_t up_to) -> void {
    this->compacted = std::max(this->compacted, up_to);
    while (!this->history.empty() &&
           this->history.front().what->entry.mod_revision <= this->compacted) {
        this->history.pop_front();
    }
}

auto platform_model::keep_copy(std::string const& name) -> void {
    this->copies[name] = store_copy{this->store, this->leases, this->current_revision};
}

auto platform_model::restore_copy(std::string const& name, base::time_point now) -> bool {
    auto const found = this->copies.find(name);
    if (found == this->copies.end()) {
        return false;
    }
    this->store = found->second.store;
    this->leases = found->second.leases;
    this->current_revision = found->second.revision;
    for (auto& [id, one] : this->leases) {
        one.deadline = now + std::chrono::seconds{one.seconds};
    }
    std::erase_if(this->history, [&](timed_change const& item) {
        return item.what->entry.mod_revision > this->current_revision;
    });
    this->compacted = std::min(this->compacted, this->current_revision);
    this->unpublished_hosts.clear();
    this->visible_hosts.clear();
    for (auto const& [key, entry] : this->store) {
        if (is_host_key(key)) {
            this->visible_hosts[key] = entry;
        }
    }
    for (auto& [number, one] : this->watches) {
        one.ended = true;
    }
    return true;
}

auto platform_model::revision() const -> std::int64_t {
    return this->current_revision;
}

auto platform_model::stats() const -> std::map<call_kind, call_stats> const& {
    return this->calls;
}

auto platform_model::waiting_watches() const -> std::size_t {
    return this->watches.size();
}

auto platform_model::lease_count() const -> std::size_t {
    return this->leases.size();
}

auto platform_model::set_faults(platform_faults const& wanted) -> void {
    this->active_faults = wanted;
}

auto platform_model::faults() const -> platform_faults const& {
    return this->active_faults;
}

auto platform_model::set_rates(double writes_per_second, double reads_per_second) -> void {
    this->writes = rate_limit{writes_per_second};
    this->reads = rate_limit{reads_per_second};
}

}  // namespace linnetlane::standin

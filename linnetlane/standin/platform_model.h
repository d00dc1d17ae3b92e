// A simulation of the platform's key-value service: revisions, transactions, leases, watches, rate
// limits and the faults that tests inject. It does no I/O and reads no clock.
//
//   auto model = platform_model{platform_limits{}};
//   auto const outcome = model.put(put_request{"documents/a", "text"}, now);
//   auto const watch = model.open_watch(watch_request{{"documents/", "documents0"}, 1}, now);
//   for (auto const& change : model.poll_watch(watch, now).changes) { ... }

#ifndef LINNETLANE_STANDIN_PLATFORM_MODEL_H_
#define LINNETLANE_STANDIN_PLATFORM_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/standin/rate_limit.h"

namespace linnetlane::standin {

// ---- Requests and answers ----

// A key with its value and revisions.
struct key_value {
    std::string key{};
    std::string value{};
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;

    friend auto operator==(key_value const&, key_value const&) -> bool = default;
};

// One key if `end` is empty, all keys from `key` on if `end` is one zero byte, else [key, end).
struct key_range {
    std::string key{};
    std::string end{};
};

[[nodiscard]] auto contains(key_range const& range, std::string_view key) -> bool;

struct range_request {
    key_range keys{};
    // 0: no limit.
    std::int64_t limit = 0;
    bool keys_only = false;
    bool count_only = false;
};

struct range_answer {
    std::vector<key_value> entries{};
    // Keys in the range, also those beyond the limit.
    std::int64_t count = 0;
};

struct put_request {
    std::string key{};
    std::string value{};
    std::int64_t lease = 0;
};

struct put_answer {};

struct delete_request {
    key_range keys{};
};

struct delete_answer {
    std::int64_t deleted = 0;
};

enum class compare_target { version, create_revision, mod_revision, value };
enum class compare_relation { equal, greater, less, not_equal };

// One condition of a transaction; an absent key compares as zeros and an empty value.
struct comparison {
    std::string key{};
    compare_target target = compare_target::version;
    compare_relation relation = compare_relation::equal;
    std::int64_t number = 0;
    std::string value{};
};

using operation = std::variant<range_request, put_request, delete_request>;
using operation_answer = std::variant<range_answer, put_answer, delete_answer>;

struct transaction_request {
    std::vector<comparison> compare{};
    std::vector<operation> success{};
    std::vector<operation> failure{};
};

struct transaction_answer {
    bool succeeded = false;
    std::vector<operation_answer> answers{};
};

struct lease_answer {
    std::int64_t id = 0;
    std::int64_t seconds = 0;
};

struct watch_request {
    key_range keys{};
    // 0: from now on.
    std::int64_t start_revision = 0;
};

// A put, or a deletion if `deleted`; the key's `mod_revision` is the revision of the change.
struct change {
    bool deleted = false;
    key_value entry{};
};

// The changes that a watch delivers in one poll.
struct watch_delivery {
    std::vector<std::shared_ptr<change const>> changes{};
    // Set if the watch requested compacted revisions; the watch has then ended.
    std::optional<std::int64_t> compact_revision{};
    // Whether the watch has ended, for example because of a restore.
    bool ended = false;
};

enum class platform_failure { value_too_large, lease_not_found, lease_exists, duplicate_key };

// ---- Limits, faults, statistics ----

// Kinds of call, as distinguished by the rate limits and the statistics.
enum class call_kind {
    range,
    put,
    delete_range,
    transaction,
    lease_grant,
    lease_keep_alive,
    lease_revoke,
    watch
};

struct platform_limits {
    std::size_t value_bytes = 1'000'000;
    double writes_per_second = 500;
    double reads_per_second = 2000;
    // Changes kept for watches; older ones are compacted away.
    std::size_t history = 20'000;
};

// Faults injected into watches.
struct watch_faults {
    // Delay of each change.
    base::duration delay{};
    // Every n-th change of a watch is dropped; 0: none.
    std::int64_t drop_each = 0;
    // Every n-th change of a watch is delayed so that later ones are delivered first; 0: none.
    std::int64_t reorder_each = 0;
    // The delay of a reordered change.
    base::duration reorder_hold = std::chrono::milliseconds{50};
};

struct platform_faults {
    watch_faults watch;
    // Delay after which changes of the host list become visible.
    base::duration host_list_lag{};
};

struct call_stats {
    std::int64_t admitted = 0;
    std::int64_t over_rate = 0;
};

// Keys under this prefix are the host list.
inline constexpr auto host_list_prefix = std::string_view{"hosts/"};

// Thread-compatible. Times passed in must not decrease.
class platform_model {
public:
    explicit platform_model(platform_limits limits);

    // Counts a call. Returns false if it exceeds its rate limit. Ranges, watches and transactions
    // without writes count as reads; all other calls, lease calls included, count as writes.
    auto admit(call_kind kind, bool writes, base::time_point now) -> bool;

    [[nodiscard]] auto range(range_request const& request, base::time_point now) -> range_answer;
    auto put(put_request const& request, base::time_point now)
        -> base::result<put_answer, platform_failure>;
    auto erase(delete_request const& request, base::time_point now) -> delete_answer;
    auto transact(transaction_request const& request, base::time_point now)
        -> base::result<transaction_answer, platform_failure>;

    // Grants a lease with the given id; id 0 lets the model assign one.
    auto grant_lease(std::int64_t id, std::int64_t seconds, base::time_point now)
        -> base::result<lease_answer, platform_failure>;
    // Renews a lease. Returns a duration of 0 seconds if it does not exist.
    auto keep_alive(std::int64_t id, base::time_point now) -> lease_answer;
    auto revoke_lease(std::int64_t id, base::time_point now)
        -> base::result<base::nothing, platform_failure>;

    // Opens a watch and returns its number.
    auto open_watch(watch_request const& request, base::time_point now) -> std::int64_t;
    auto poll_watch(std::int64_t watch, base::time_point now) -> watch_delivery;
    auto close_watch(std::int64_t watch) -> void;

    // Discards the history up to and including `revision`.
    auto compact(std::int64_t revision) -> void;
    // Saves a copy of the store, its leases and its revision under `name`.
    auto keep_copy(std::string const& name) -> void;
    // Restores a saved copy, its revision included, and ends all watches. Returns false if there is
    // no such copy.
    auto restore_copy(std::string const& name, base::time_point now) -> bool;

    // Expires leases whose deadline has passed and publishes due changes of the host list.
    auto advance(base::time_point now) -> void;

    [[nodiscard]] auto revision() const -> std::int64_t;
    [[nodiscard]] auto stats() const -> std::map<call_kind, call_stats> const&;
    [[nodiscard]] auto waiting_watches() const -> std::size_t;
    [[nodiscard]] auto lease_count() const -> std::size_t;
    auto set_faults(platform_faults const& wanted) -> void;
    [[nodiscard]] auto faults() const -> platform_faults const&;
    auto set_rates(double writes_per_second, double reads_per_second) -> void;

private:
    struct lease {
        std::int64_t seconds = 0;
        base::time_point deadline;
        std::set<std::string> keys;
    };
    struct timed_change {
        base::time_point at;
        std::shared_ptr<change const> what;
    };
    struct watch {
        key_range keys;
        // Ordered by delivery time; changes with equal times keep their order.
        std::multimap<base::time_point, std::shared_ptr<change const>> pending;
        base::time_point last_delivery_at;
        std::int64_t matched_changes = 0;
        std::optional<std::int64_t> compact_revision;
        bool ended = false;
    };
    struct store_copy {
        std::map<std::string, key_value> store;
        std::map<std::int64_t, lease> leases;
        std::int64_t revision = 1;
    };

    using store_map = std::map<std::string, key_value>;

    [[nodiscard]] auto validate(operation const& wanted) const -> std::optional<platform_failure>;
    [[nodiscard]] auto validate_all(std::vector<operation> const& wanted) const
        -> std::optional<platform_failure>;
    [[nodiscard]] auto holds(comparison const& condition) const -> bool;
    auto apply_put(put_request const& request, std::int64_t at, base::time_point now) -> void;
    auto apply_delete(delete_request const& request, std::int64_t at, base::time_point now)
        -> std::int64_t;
    auto apply(operation const& wanted, std::int64_t at, base::time_point now) -> operation_answer;
    auto remove_key(std::string const& key, std::int64_t at, base::time_point now) -> void;
    auto detach_from_lease(key_value const& entry) -> void;
    auto record_change(change what, base::time_point now) -> void;
    auto schedule_delivery(watch& to, timed_change const& item) -> void;
    auto end_lease(std::int64_t id, base::time_point now) -> void;
    auto publish_hosts(base::time_point now) -> void;
    auto range_in(range_request const& request, store_map const& hosts) const -> range_answer;

    platform_limits limits;
    platform_faults active_faults;
    rate_limit writes;
    rate_limit reads;
    store_map store;
    // The host list as visible to callers, and the changes that are not visible yet.
    store_map visible_hosts;
    std::deque<timed_change> unpublished_hosts;
    std::map<std::int64_t, lease> leases;
    std::deque<timed_change> history;
    std::int64_t compacted = 0;
    std::int64_t current_revision = 1;
    std::int64_t next_lease = 1;
    std::int64_t next_watch = 1;
    std::map<std::int64_t, watch> watches;
    std::map<std::string, store_copy> copies;
    std::map<call_kind, call_stats> calls;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_PLATFORM_MODEL_H_

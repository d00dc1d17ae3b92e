// Calls to the platform's key-value service and their answers, as plain values.
//
// Decision code returns a call as a command and receives its answer as an event with the same call
// number; an adapter does the I/O. A call whose answer was lost ends as `call_failed` with
// `may_have_run`; the code that made it determines the outcome by reading back.

#ifndef LINNETLANE_COORDINATION_STORE_H_
#define LINNETLANE_COORDINATION_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::coordination {

// Number of a write, counted over the whole store. The revision of a key is that of its last write;
// 0 means that the key doesn't exist.
using revision = base::basic_number<struct revision_tag>;
// Matches an answer to its call; unique within the component that makes the call.
using call_number = base::basic_number<struct call_tag>;
// Identifies a lease of the store.
using lease_number = base::basic_number<struct lease_tag>;

// A key with its value.
struct entry {
    std::string key;
    std::string value;
    // Revision of the write that set the value.
    coordination::revision modified;

    friend auto operator==(entry const&, entry const&) -> bool = default;
};

// A write that is made together with a `compare_and_swap`.
struct extra_write {
    std::string key;
    // `nullopt` removes the key.
    std::optional<std::string> value;
};

// ---- Calls ----

// Reads one key.
struct read_key {
    call_number call;
    std::string key;
};

// Reads all keys that begin with `prefix`.
struct read_prefix {
    call_number call;
    std::string prefix;
};

// Sets `key` and makes the extra writes, atomically, if the last write of `key` is still
// `expected`.
struct compare_and_swap {
    call_number call;
    std::string key;
    coordination::revision expected;
    std::string value;
    // If set, the key is removed when this lease ends.
    std::optional<lease_number> lease;
    std::vector<extra_write> extra;
};

// Reports the changes of all keys that begin with `prefix`, from revision `first` on, until
// `stop_watch`.
struct watch_prefix {
    call_number call;
    std::string prefix;
    coordination::revision first;
};

// Stops the watch that was started as `call`.
struct stop_watch {
    call_number call;
};

// Requests a lease that ends `span` after its last renewal.
struct grant_lease {
    call_number call;
    base::duration span{};
};

// Renews a lease for its whole span.
struct keep_alive {
    call_number call;
    lease_number lease;
};

// Ends a lease and removes its keys.
struct revoke_lease {
    call_number call;
    lease_number lease;
};

using store_call = std::variant<read_key, read_prefix, compare_and_swap, watch_prefix, stop_watch,
                                grant_lease, keep_alive, revoke_lease>;

// ---- Answers ----

// Answer to `read_key` (no entry or one) and `read_prefix`.
struct entries_read {
    call_number call;
    std::vector<entry> entries;
    // Revision of the store at the time of reading.
    coordination::revision at;
};

// Answer to `compare_and_swap`.
struct swap_answer {
    call_number call;
    // False if the last write was not the expected one and nothing was written.
    bool swapped = false;
    // Revision of the write.
    coordination::revision at;
    // If not swapped, the current entry of the key, if it exists.
    std::optional<entry> current;
};

// Changes reported by a watch, in revision order. A removed key has an empty value.
struct watch_changes {
    call_number call;
    std::vector<entry> changed;
};

// A watch ended without `stop_watch`; changes may have been missed.
struct watch_ended {
    call_number call;
};

// Answer to `grant_lease`.
struct lease_granted {
    call_number call;
    lease_number lease;
    base::duration span{};
};

// Answer to `keep_alive`: whether the lease still existed and was renewed for its whole span.
struct lease_kept {
    call_number call;
    bool kept = false;
};

// Whether a failed call may have taken effect.
enum class call_reach { not_run, may_have_run };

// A call got no answer.
struct call_failed {
    call_number call;
    call_reach reach = call_reach::may_have_run;
};

using store_answer = std::variant<entries_read, swap_answer, watch_changes, watch_ended,
                                  lease_granted, lease_kept, call_failed>;

}  // namespace linnetlane::coordination

#endif  // LINNETLANE_COORDINATION_STORE_H_

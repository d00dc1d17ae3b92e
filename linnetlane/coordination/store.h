// Calls on the platform's key-value service, as plain values.
//
// Decision code returns a call as a command and gets its answer as an event with the same number;
// the adapter in between does the I/O. A call whose answer was lost ends as `call_failed` with
// `may_have_run`, and its maker settles it by reading back.

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

// Counts the writes of the whole store; of a key, the write that set it last. 0: no such key.
using revision = base::basic_number<struct revision_tag>;
// Pairs an answer with its call; unique in the package that makes the call.
using call_number = base::basic_number<struct call_tag>;
// Names a lease of the store.
using lease_number = base::basic_number<struct lease_tag>;

// A key with its value.
struct entry {
    std::string key;
    std::string value;
    // The write that set the value.
    coordination::revision modified;

    friend auto operator==(entry const&, entry const&) -> bool = default;
};

// A write that rides along with a `compare_and_swap`.
struct extra_write {
    std::string key;
    // None removes the key.
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

// Sets `key` if its last write is still `expected`, and does the extra writes with it, all or none.
struct compare_and_swap {
    call_number call;
    std::string key;
    coordination::revision expected;
    std::string value;
    // The key goes when this lease ends.
    std::optional<lease_number> lease;
    std::vector<extra_write> extra;
};

// Reports the changes of all keys that begin with `prefix`, from `first` on, until `stop_watch`.
struct watch_prefix {
    call_number call;
    std::string prefix;
    coordination::revision first;
};

// Ends the watch that was begun as `call`.
struct stop_watch {
    call_number call;
};

// Asks for a lease that ends `span` after it was last kept alive.
struct grant_lease {
    call_number call;
    base::duration span{};
};

// Keeps a lease alive.
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

// Of `read_key` (no entry or one) and `read_prefix`.
struct entries_read {
    call_number call;
    std::vector<entry> entries;
    // The store's last write at the time of reading.
    coordination::revision at;
};

// Of `compare_and_swap`.
struct swap_answer {
    call_number call;
    // False: the last write was not the expected one, and nothing was written.
    bool swapped = false;
    // The write that was made.
    coordination::revision at;
    // Without a swap, what the key holds instead, if anything.
    std::optional<entry> current;
};

// Changes seen by a watch, in the order of the store. A removed key has an empty value.
struct watch_changes {
    call_number call;
    std::vector<entry> changed;
};

// A watch ended without `stop_watch`; changes may have been missed.
struct watch_ended {
    call_number call;
};

// Of `grant_lease`.
struct lease_granted {
    call_number call;
    lease_number lease;
    base::duration span{};
};

// Of `keep_alive`: whether the lease still stood and now lasts its whole span again.
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

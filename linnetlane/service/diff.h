// Computes the differences between two service documents, for operators and for the change log.

#ifndef LINNETLANE_SERVICE_DIFF_H_
#define LINNETLANE_SERVICE_DIFF_H_

#include <string>
#include <vector>

#include "linnetlane/service/document.h"

namespace linnetlane::service {

enum class change_kind { added, removed, changed };

// One difference.
struct change {
    change_kind kind = change_kind::changed;
    // Path of the key; callers and upstreams are named by their ids, such as
    // `upstreams[finding-p1].leaving`.
    std::string key;
    // TOML text of the value before; empty if added.
    std::string before;
    // TOML text of the value after; empty if removed.
    std::string after;

    friend auto operator==(change const&, change const&) -> bool = default;
};

// Returns the changes from `before` to `after`, sorted by key. Ignores the generations.
[[nodiscard]] auto diff_documents(document const& before, document const& after)
    -> std::vector<change>;

// One line: `+ KEY = VALUE`, `- KEY = VALUE` or `~ KEY: BEFORE -> AFTER`.
[[nodiscard]] auto to_string(change const& difference) -> std::string;

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_DIFF_H_

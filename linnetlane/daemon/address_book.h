// The addresses on which other hosts accept peer connections. Its mutex is the last in the lock
// order, so that frames can be sent while any other table is locked.

#ifndef LINNETLANE_DAEMON_ADDRESS_BOOK_H_
#define LINNETLANE_DAEMON_ADDRESS_BOOK_H_

#include <map>
#include <mutex>
#include <optional>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"

namespace linnetlane::daemon {

// Thread-safe.
class address_book {
public:
    // Stores the address of `host`, in place of an earlier one.
    auto set(base::host_id const& host, base::endpoint const& address) -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->addresses[host] = address;
    }

    // Returns the address of `host`; nothing if it is unknown.
    [[nodiscard]] auto find(base::host_id const& host) const -> std::optional<base::endpoint> {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->addresses.find(host);
        return found == this->addresses.end() ? std::nullopt : std::optional{found->second};
    }

private:
    mutable std::mutex mutex;
    // Guarded by `mutex`.
    std::map<base::host_id, base::endpoint> addresses;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ADDRESS_BOOK_H_

// TLS identities loaded from PEM files, reloadable without a restart.

#ifndef LINNETLANE_RUNTIME_TLS_H_
#define LINNETLANE_RUNTIME_TLS_H_

#include <memory>
#include <mutex>
#include <string>

#include "linnetlane/base/result.h"

namespace boost::asio::ssl {
class context;
}

namespace linnetlane::runtime {

// Paths of PEM files.
struct tls_files {
    std::string certificate_chain;
    std::string private_key;
    // CA certificates that verify the other side's certificate. Empty: none is requested.
    std::string authorities;
};

// Why an identity could not be loaded.
enum class tls_failure { bad_certificate, bad_private_key, bad_authorities, key_does_not_match };

// A certificate, its key and the trusted authorities. A connection keeps the version that it was
// opened with; `reload` affects later connections only. Thread-safe.
class tls_identity {
public:
    // Loads `files` for the first time.
    [[nodiscard]] static auto load(tls_files const& files)
        -> base::result<std::shared_ptr<tls_identity>, tls_failure>;

    // Loads the same files again. On failure, the current version stays in use.
    [[nodiscard]] auto reload() -> base::result<base::nothing, tls_failure>;

    // The version in use.
    [[nodiscard]] auto context() const -> std::shared_ptr<boost::asio::ssl::context>;

private:
    tls_identity() = default;

    tls_files files;
    mutable std::mutex mutex;
    // Guarded by `mutex`.
    std::shared_ptr<boost::asio::ssl::context> current;
};

}  // namespace linnetlane::runtime

#endif  // LINNETLANE_RUNTIME_TLS_H_

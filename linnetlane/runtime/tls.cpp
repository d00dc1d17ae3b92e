#include "linnetlane/runtime/tls.h"

#include <utility>

#include <boost/asio/ssl/context.hpp>

namespace linnetlane::runtime {

namespace ssl = boost::asio::ssl;

namespace {

using context_pointer = std::shared_ptr<ssl::context>;

auto require_peer_certificate(ssl::context& context, std::string const& authorities)
    -> boost::system::error_code {
    auto error = boost::system::error_code{};
    context.load_verify_file(authorities, error);
    if (!error) {
        context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
    }
    return error;
}

auto make_context(tls_files const& files) -> base::result<context_pointer, tls_failure> {
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    auto error = boost::system::error_code{};
    context->set_options(ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, error);
    context->use_certificate_chain_file(files.certificate_chain, error);
    if (error) {
        return tls_failure::bad_certificate;
    }
    context->use_private_key_file(files.private_key, ssl::context::pem, error);
    if (error) {
        return tls_failure::bad_private_key;
    }
    if (SSL_CTX_check_private_key(context->native_handle()) != 1) {
        return tls_failure::key_does_not_match;
    }
    if (!files.authorities.empty() && require_peer_certificate(*context, files.authorities)) {
        return tls_failure::bad_authorities;
    }
    return context;
}

}  // namespace

auto tls_identity::load(tls_files const& files)
    -> base::result<std::shared_ptr<tls_identity>, tls_failure> {
    auto identity = std::shared_ptr<tls_identity>(new tls_identity());
    identity->files = files;
    auto const loaded = identity->reload();
    if (auto const* failure = base::failure_of(loaded)) {
        return *failure;
    }
    return identity;
}

auto tls_identity::reload() -> base::result<base::nothing, tls_failure> {
    auto made = make_context(this->files);
    if (auto const* failure = base::failure_of(made)) {
        return *failure;
    }
    auto const lock = std::lock_guard(this->mutex);
    this->current = base::take_value(std::move(made));
    return base::nothing{};
}

auto tls_identity::context() const -> context_pointer {
    auto const lock = std::lock_guard(this->mutex);
    return this->current;
}

}  // namespace linnetlane::runtime

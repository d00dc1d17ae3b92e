// The signals that a daemon waits for instead of being interrupted by them.

#ifndef LINNETLANE_DAEMON_SIGNALS_H_
#define LINNETLANE_DAEMON_SIGNALS_H_

#include <pthread.h>

#include <csignal>

namespace linnetlane::daemon {

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those it starts, for `sigwait`, and ignores
// SIGPIPE. Call before any thread is started.
inline auto block_signals() -> sigset_t {
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_SIGNALS_H_

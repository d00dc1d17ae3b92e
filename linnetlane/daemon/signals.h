// Blocks the signals that a daemon handles by waiting for them.

#ifndef LINNETLANE_DAEMON_SIGNALS_H_
#define LINNETLANE_DAEMON_SIGNALS_H_

#include <pthread.h>

#include <csignal>

namespace linnetlane::daemon {

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those it starts, ignores SIGPIPE, and
// returns the set to pass to `sigwait`. To be called before any thread is started.
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

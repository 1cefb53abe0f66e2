#include "Signals.h"

#include "base/Log.h"

namespace kingcuploom {

void ignoreHangup() { std::signal(SIGHUP, SIG_IGN); }

sigset_t blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void waitForShutdownSignal(const sigset_t& signals)
{
    int number = 0;
    sigwait(&signals, &number);
    logEvent(LogLevel::Info, "shutdown_requested", { { "signal", number } });
}

} // namespace kingcuploom

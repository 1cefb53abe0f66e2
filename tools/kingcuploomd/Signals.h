#pragma once

#include <csignal>

namespace kingcuploom {

// Ignores SIGHUP, which would end the process by default. Must be called before anything else.
void ignoreHangup();

// Blocks the signals that request a shutdown, and ignores SIGPIPE. Must be called before the first thread
// starts, so that only waitForShutdownSignal() receives them.
sigset_t blockShutdownSignals();

void waitForShutdownSignal(const sigset_t&);

} // namespace kingcuploom

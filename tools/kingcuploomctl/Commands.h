#pragma once

#include "Session.h"

namespace kingcuploom::ctl {

// Runs the command selected on the session's command line and prints its result.
ExitCode runCommand(const Session&);

} // namespace kingcuploom::ctl

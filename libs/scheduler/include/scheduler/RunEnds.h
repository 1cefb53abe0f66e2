#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Handles the end of a run that its worker has listed.
void onEnd(State&, Worker&, const ListedEnd&, MonotonicTime now, std::int64_t wallMs, Orders&);

} // namespace kingcuploom::scheduler

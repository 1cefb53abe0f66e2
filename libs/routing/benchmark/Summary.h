#pragma once

#include "Arrivals.h"

namespace kingcuploom::trial {

// Computes the results over the requests that arrived after the warm-up. The caller fills in decision time, ejections and peak.
Result summarize(const std::vector<Request>&, const Site&, const Load&);

} // namespace kingcuploom::trial

#pragma once

#include <cstddef>
#include <vector>

namespace kingcuploom::trial {

// Cost of a decision over a view with this many workers and the running tasks of the planned size spread over them.
struct Slope {
    std::size_t workers = 0;
    std::size_t runningTasks = 0;
    std::size_t maxScored = 0;
    double microsecondsPerDecision = 0;
    double decisionsPerSecond = 0;
    // A decision with the reserve of a class without reports, and its task added to the view.
    double microsecondsPerStart = 0;
    double startsPerSecond = 0;
    // A refusal looks at every worker.
    double microsecondsPerRefusal = 0;
    double refusedShare = 0;
    // Heap of the view, from the allocator.
    double bytes = 0;
};

std::vector<Slope> measureSlopes();

} // namespace kingcuploom::trial

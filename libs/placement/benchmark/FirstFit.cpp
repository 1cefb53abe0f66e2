#include "FirstFit.h"

namespace kingcuploom::trial {

std::optional<placement::ReservedChoice> firstFit(
    const placement::PlacementView& view, const placement::PlacementTask& task, MonotonicTime now)
{
    for (std::size_t i = 0; i < view.workers.size(); ++i) {
        const auto& worker = view.workers[i];
        if (placement::mayRunTasks(worker, view, now) && fits(task.demand, placement::freeAmounts(worker)))
            return placement::ReservedChoice { i, task.demand };
    }
    return std::nullopt;
}

} // namespace kingcuploom::trial

#include "scheduler/Fences.h"

#include <algorithm>
#include <utility>

namespace kingcuploom::scheduler {

Revision getFence(const State& state, const Worker& worker) { return std::max(state.term, worker.incarnationFence); }

void raiseFence(State& state, Worker& worker)
{
    worker.awaitsFence = state.committedRevision <= getFence(state, worker);
    if (worker.awaitsFence)
        state.workersAwaitingFence.insert(worker.id);
    else
        worker.incarnationFence = state.committedRevision;
}

bool prepareStartFence(State& state, Worker& worker)
{
    const auto fence = getFence(state, worker);
    const bool isAckInFlight = worker.isPollInFlight && worker.polledEnd != EndNumber() && worker.polledFence >= fence;
    const bool isAckUnanswered = worker.unansweredAckFence && *worker.unansweredAckFence >= fence;
    if (!worker.awaitsFence && (isAckInFlight || isAckUnanswered))
        raiseFence(state, worker);
    return !worker.awaitsFence;
}

void onTermCommit(State& state, Revision revision)
{
    state.committedRevision = std::max(state.committedRevision, revision);
    for (const auto& id : std::exchange(state.workersAwaitingFence, {})) {
        auto* worker = findWorker(state, id);
        if (worker && worker->awaitsFence)
            raiseFence(state, *worker);
    }
}

} // namespace kingcuploom::scheduler

#include "ledger/TaskStates.h"

#include <algorithm>
#include <utility>

namespace kingcuploom::ledger {

using schema::TaskState;

namespace {

    constexpr std::pair<TaskState, TaskState> transitions[] = {
        { TaskState::Pending, TaskState::Assigned },
        { TaskState::Pending, TaskState::Cancelled },
        { TaskState::Pending, TaskState::Impossible },
        { TaskState::Impossible, TaskState::Assigned },
        { TaskState::Impossible, TaskState::Cancelled },
        { TaskState::Assigned, TaskState::Starting },
        { TaskState::Assigned, TaskState::Evicted },
        { TaskState::Assigned, TaskState::Cancelled },
        { TaskState::Assigned, TaskState::Finished },
        { TaskState::Assigned, TaskState::Failed },
        { TaskState::Starting, TaskState::Running },
        { TaskState::Starting, TaskState::Stopping },
        { TaskState::Starting, TaskState::Evicted },
        { TaskState::Starting, TaskState::Finished },
        { TaskState::Starting, TaskState::Failed },
        { TaskState::Starting, TaskState::Cancelled },
        { TaskState::Running, TaskState::Checkpointing },
        { TaskState::Running, TaskState::Stopping },
        { TaskState::Running, TaskState::Evicted },
        { TaskState::Running, TaskState::Finished },
        { TaskState::Running, TaskState::Failed },
        { TaskState::Running, TaskState::Cancelled },
        { TaskState::Checkpointing, TaskState::Running },
        { TaskState::Checkpointing, TaskState::Stopping },
        { TaskState::Checkpointing, TaskState::Evicted },
        { TaskState::Checkpointing, TaskState::Finished },
        { TaskState::Checkpointing, TaskState::Failed },
        { TaskState::Checkpointing, TaskState::Cancelled },
        { TaskState::Stopping, TaskState::Evicted },
        { TaskState::Stopping, TaskState::Finished },
        { TaskState::Stopping, TaskState::Failed },
        { TaskState::Stopping, TaskState::Cancelled },
        // Next attempt, in the job record.
        { TaskState::Evicted, TaskState::Assigned },
        { TaskState::Evicted, TaskState::Cancelled },
        { TaskState::Evicted, TaskState::Impossible },
    };

} // namespace

bool isTransitionAllowed(TaskState from, TaskState to)
{
    return std::ranges::find(transitions, std::pair(from, to)) != std::ranges::end(transitions);
}

bool isEnded(TaskState state)
{
    return state == TaskState::Evicted || state == TaskState::Finished || state == TaskState::Failed || state == TaskState::Cancelled;
}

bool holdsCapacity(TaskState state)
{
    return state == TaskState::Starting || state == TaskState::Running || state == TaskState::Checkpointing || state == TaskState::Stopping;
}

bool isFinal(TaskState state) { return state == TaskState::Finished || state == TaskState::Failed || state == TaskState::Cancelled; }

} // namespace kingcuploom::ledger

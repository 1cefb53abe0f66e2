#pragma once

#include "schema/generated/records_generated.h"

namespace kingcuploom::ledger {

// The table of allowed changes of state. Ends of attempts are final; Impossible may become possible with another fleet.
bool isTransitionAllowed(schema::TaskState from, schema::TaskState to);

// The attempt does not run and never will.
bool isEnded(schema::TaskState);

// The attempt may run on its worker, so its amounts count there.
bool holdsCapacity(schema::TaskState);

// No further attempt of the task follows. For the state of a task in the job record.
bool isFinal(schema::TaskState);

} // namespace kingcuploom::ledger

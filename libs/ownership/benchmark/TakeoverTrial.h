#pragma once

#include "ownership/Decide.h"

#include <string>
#include <vector>

namespace kingcuploom::trial {

// What happens to the owner of the observed shard, or to the store, at the start of a trial.
enum class Fault {
    StoreOutage,
    // The process ends; its address refuses connections.
    ProcessKilled,
    // The VM vanishes: nothing answers, and the platform's list shows it later.
    VmLost,
    // The process stops running for good, and the platform keeps listing it.
    Frozen,
    FrozenThenWakes,
    KilledInStoreOutage,
};

const char* toString(Fault);

struct TrialSettings {
    Fault fault = Fault::StoreOutage;
    // Share of the limit that an unconfirmed owner uses. 0 stops it: option (a). 1000 lets it keep all, without a reserve: option (b).
    int primaryPerMille = 750;
    int limit = 8;
    ownership::Timing timing;
    Milliseconds observed { 60000 };
    Milliseconds outage { 60000 };
    Milliseconds frozenFor { 20000 };
    // From the end of a process to the refused connection at its peers.
    Milliseconds refusalDelay { 50 };
    // From the loss of a VM to the second list without it.
    Milliseconds listDelay { 12000 };
};

struct TrialResult {
    // Slots that running owners may use, as an average over the observed time, and the least.
    double averageSlots = 0;
    int leastSlots = 0;
    // From the fault until any slot, and the whole limit, is usable again; negative when not within the observed time.
    double anySlotMs = -1;
    double allSlotsMs = -1;
};

// Three daemons and one shard over a store that answers at once. Deterministic.
TrialResult runTrial(const TrialSettings&);

} // namespace kingcuploom::trial

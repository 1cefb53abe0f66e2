#pragma once

#include "base/Ids.h"
#include "base/ResourceAmounts.h"
#include "schema/generated/records_generated.h"

namespace kingcuploom::ledger {

// One execution of a task.
struct AttemptKey {
    TaskId task;
    Attempt attempt;

    auto operator<=>(const AttemptKey&) const = default;
};

AttemptKey keyOf(const schema::LedgerEntryT&);
ResourceAmounts demandOf(const schema::LedgerEntryT&);
ResourceAmounts demandOf(const schema::JobSpecT&);

// Entry of the attempt, null when the ledger has none.
const schema::LedgerEntryT* findEntry(const schema::ShardRecordT&, const AttemptKey&);

} // namespace kingcuploom::ledger

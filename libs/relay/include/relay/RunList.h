#pragma once

#include "base/Expected.h"
#include "scheduler/Orders.h"
#include "schema/generated/link_generated.h"

#include <vector>

// Lists of a worker's runs as differences from an earlier list, since most polls only change a few percentages.
namespace kingcuploom::relay {

using RunList = std::vector<scheduler::ListedRun>;

enum class RunListError {
    // A position lies outside the base, or a run or an end has no name.
    Malformed,
};

schema::RelayRunNameT makeRunName(const scheduler::RunRef&);
scheduler::RunRef parseRunName(const schema::RelayRunNameT&);

// Writes the differences of the list from the base to the report, and returns the list as decodeRuns() returns it: the base of the next
// differences has to be in the same order on both sides.
RunList encodeRuns(const RunList& base, RunList, schema::RelayReportT&);
Expected<RunList, RunListError> decodeRuns(const RunList& base, const schema::RelayReportT&);

void encodeEnds(const std::vector<scheduler::ListedEnd>&, schema::RelayReportT&);
Expected<std::vector<scheduler::ListedEnd>, RunListError> decodeEnds(const schema::RelayReportT&);

} // namespace kingcuploom::relay

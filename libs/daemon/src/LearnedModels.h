#pragma once

#include "placement/ClassCorrection.h"
#include "placement/Interference.h"

#include "base/Ids.h"

#include <map>
#include <string>

namespace kingcuploom {

// What a daemon has learned from the usage reports of all its shards. Lost with the process.
struct LearnedModels {
    // By job class.
    std::map<std::string, placement::ClassCorrection> corrections;
    placement::InterferenceModel interference;
    // Observed sizes of evicted tasks, for their next attempts.
    std::map<TaskId, ResourceAmounts> evictedSizes;
};

// The correction of a class; one that changes nothing for an unknown class.
placement::ClassCorrection correctionOf(const LearnedModels&, const std::string& className);

} // namespace kingcuploom

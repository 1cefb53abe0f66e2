#pragma once

#include "base/Expected.h"
#include "daemon/TargetCatalog.h"

#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace kingcuploom {

enum class VmListError {
    // Not JSON, or an entry lacks a field, repeats an id or has a negative size.
    Malformed,
};

// One answer of the platform's VM list; the shards of the VMs are not set.
struct VmList {
    std::vector<Vm> vms;
    std::set<DaemonId> daemons;
};

Expected<VmList, VmListError> parseVmList(std::string_view json);

// The rack itself when "groupsPerDomain" is 0, otherwise one of that many groups, by the hash of the rack name. Depends on nothing
// else, so that all daemons at all times agree on the shard of a VM.
Rack rackGroupOf(const Rack&, unsigned groupsPerDomain);

// When an id was seen last. Kept for ids that were listed before.
struct ListedState {
    // Successive successful answers without the id.
    int absences = 0;
    MonotonicTime lastListed {};
};

// What has been learned from all answers so far.
struct VmListHistory {
    std::map<VmId, ListedState> vms;
    std::map<DaemonId, ListedState> daemons;
};

// Takes a successful answer into the history and returns the snapshot that follows from it.
TargetSnapshot applyVmList(VmListHistory&, const VmList&, unsigned groupsPerDomain, MonotonicTime now);

} // namespace kingcuploom

#include "daemon/VmList.h"

#include "http/Json.h"

#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace kingcuploom {

namespace {

    using http::field;
    using http::intField;
    using http::stringField;

    // One absence may be a list that lags behind the start of the VM.
    constexpr int absencesUntilGone = 2;
    constexpr std::size_t minListedForMassAbsence = 4;
    // An absence of most VMs that lasts this long is believed.
    constexpr std::chrono::minutes massAbsenceLimit { 10 };

    // Bounds the history at 2,000 replaced VMs per day. Takeovers and lost workers need the knowledge for minutes.
    constexpr std::chrono::hours goneRetention { 24 };

    constexpr std::int64_t absent = -1;

    std::string urlOf(const std::string& address) { return address.empty() ? std::string() : "http://" + address; }

    std::optional<ExecutorTarget> parseExecutor(const json_t* json)
    {
        ExecutorTarget result { ExecutorId(stringField(json, "executor")), ServiceName(stringField(json, "service")),
            urlOf(stringField(json, "address")), static_cast<int>(intField(json, "slots", absent)),
            static_cast<int>(intField(json, "connections", absent)) };
        if (result.id.empty() || result.service.empty() || result.url.empty() || result.slots < 0 || result.connections < 0)
            return std::nullopt;
        return result;
    }

    bool parseExecutors(const json_t* array, Vm& vm)
    {
        for (std::size_t i = 0; i < json_array_size(array); ++i) {
            auto executor = parseExecutor(json_array_get(array, i));
            if (!executor)
                return false;
            vm.executors.push_back(std::move(*executor));
        }
        return true;
    }

    bool isState(const std::string& state) { return state == "live" || state == "leaving"; }

    std::optional<Vm> parseVm(const json_t* json)
    {
        Vm vm;
        vm.id = VmId(stringField(json, "vm"));
        vm.domain = FailureDomain(stringField(json, "failure_domain"));
        vm.rack = Rack(stringField(json, "rack"));
        vm.leaving = stringField(json, "state") == "leaving";
        vm.workerUrl = urlOf(stringField(json, "worker_address"));
        vm.cpu = CpuMillis(intField(json, "cpu_millis", absent));
        vm.memory = MemoryMb(intField(json, "memory_mb", absent));
        vm.accelerators = Accelerators(intField(json, "accelerators"));
        const bool hasSizes = vm.cpu >= CpuMillis() && vm.memory >= MemoryMb() && vm.accelerators >= Accelerators();
        const bool hasNames = !vm.id.empty() && !vm.domain.empty() && !vm.rack.empty();
        if (!hasSizes || !hasNames || !isState(stringField(json, "state")) || !parseExecutors(field(json, "executors"), vm))
            return std::nullopt;
        return vm;
    }

    bool hasUniqueIds(const std::vector<Vm>& vms)
    {
        std::set<VmId> ids;
        std::set<ExecutorId> executors;
        return std::ranges::all_of(vms, [&](const Vm& vm) {
            return ids.insert(vm.id).second
                && std::ranges::all_of(vm.executors, [&](const auto& executor) { return executors.insert(executor.id).second; });
        });
    }

    // True when an answer lacks more than half of what was listed until now. A whole failure domain is a third of a deployment, so this is
    // rather a wrong answer, and "gone" would let owners and tasks be replaced while they still run.
    template <typename Id> bool isMassAbsence(const std::map<Id, ListedState>& history, const std::set<Id>& listed)
    {
        std::size_t present = 0;
        std::size_t vanished = 0;
        for (const auto& [id, state] : history) {
            if (state.absences > 0)
                continue;
            ++present;
            vanished += listed.contains(id) ? 0 : 1;
        }
        return present >= minListedForMassAbsence && 2 * vanished > present;
    }

    // Counts the answer for each known id and drops those that have been gone for long.
    template <typename Id> void updateHistory(std::map<Id, ListedState>& history, const std::set<Id>& listed, MonotonicTime now)
    {
        const bool isDoubted = isMassAbsence(history, listed);
        for (auto& [id, state] : history) {
            const bool isCounted = !isDoubted || state.absences > 0 || now - state.lastListed >= massAbsenceLimit;
            if (isCounted)
                state.absences = std::min(state.absences + 1, absencesUntilGone);
        }
        for (const auto& id : listed)
            history[id] = { 0, now };
        std::erase_if(history, [&](const auto& entry) { return now - entry.second.lastListed > goneRetention; });
    }

    template <typename Id> std::set<Id> goneIds(const std::map<Id, ListedState>& history)
    {
        std::set<Id> gone;
        for (const auto& [id, state] : history) {
            if (state.absences >= absencesUntilGone)
                gone.insert(id);
        }
        return gone;
    }

    std::set<VmId> idsOf(const std::vector<Vm>& vms)
    {
        std::set<VmId> ids;
        std::ranges::transform(vms, std::inserter(ids, ids.end()), &Vm::id);
        return ids;
    }

} // namespace

Expected<VmList, VmListError> parseVmList(std::string_view text)
{
    const auto json = http::parseJson(text);
    const auto* vms = field(json.get(), "vms");
    const auto* daemons = field(json.get(), "daemons");
    // A missing array must not pass for an empty one, which would declare everything gone.
    if (!json_is_array(vms) || !json_is_array(daemons))
        return makeUnexpected(VmListError::Malformed);
    VmList list;
    for (std::size_t i = 0; i < json_array_size(vms); ++i) {
        auto vm = parseVm(json_array_get(vms, i));
        if (!vm)
            return makeUnexpected(VmListError::Malformed);
        list.vms.push_back(std::move(*vm));
    }
    for (std::size_t i = 0; i < json_array_size(daemons); ++i)
        list.daemons.insert(DaemonId(stringField(json_array_get(daemons, i), "daemon")));
    if (!hasUniqueIds(list.vms) || list.daemons.contains(DaemonId()))
        return makeUnexpected(VmListError::Malformed);
    return list;
}

Rack rackGroupOf(const Rack& rack, unsigned groupsPerDomain)
{
    if (groupsPerDomain == 0)
        return rack;
    const auto hash = XXH3_64bits(rack.value().data(), rack.value().size());
    return Rack("group-" + std::to_string(hash % groupsPerDomain));
}

TargetSnapshot applyVmList(VmListHistory& history, const VmList& list, unsigned groupsPerDomain, MonotonicTime now)
{
    updateHistory(history.vms, idsOf(list.vms), now);
    updateHistory(history.daemons, list.daemons, now);
    TargetSnapshot snapshot;
    snapshot.readAt = now;
    snapshot.goneVms = goneIds(history.vms);
    snapshot.goneDaemons = goneIds(history.daemons);
    for (auto vm : list.vms) {
        vm.shard = shardOf(vm.domain, rackGroupOf(vm.rack, groupsPerDomain));
        snapshot.shards[vm.shard].push_back(vm.id);
        const auto id = vm.id;
        snapshot.vms.emplace(id, std::move(vm));
    }
    return snapshot;
}

} // namespace kingcuploom

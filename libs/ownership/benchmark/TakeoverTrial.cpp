#include "TakeoverTrial.h"

#include <algorithm>
#include <functional>
#include <map>

namespace kingcuploom::trial {

using namespace ownership;

namespace {

    constexpr Milliseconds stepTime { 10 };
    constexpr Milliseconds settledAfter { 5000 };
    const ShardId shardId("north.r1");

    struct Node {
        State state;
        bool isDead = false;
        bool isFrozen = false;

        bool isRunning() const { return !isDead && !isFrozen; }
    };

    // The store, the daemons and the time.
    struct World {
        explicit World(const TrialSettings& given)
            : settings(given)
        {
            for (std::uint64_t i = 0; i < nodes.size(); ++i) {
                auto& state = nodes[i].state;
                state.self = { { DaemonId(std::string(1, static_cast<char>('a' + i))), Incarnation(i + 1) },
                    Address("10.0.0.1:" + std::to_string(i)) };
                state.timing = settings.timing;
                // An owner that wakes has nothing in progress any more and says so at once.
                state.parts = {};
                state.random = Random(i + 1);
            }
            for (auto& node : nodes) {
                handle(node, ShardsListed {});
                handle(node, TargetsListed { { shardId } });
                listMembers(node);
            }
        }

        void handle(Node& node, const Event& event)
        {
            const auto actions = decide(node.state, event, now);
            for (const auto& action : actions)
                std::visit([&](const auto& it) { run(node, it); }, action);
        }

        void run(Node& node, const GrantLease&)
        {
            if (isStoreDown)
                return handle(node, LeaseCallFailed {});
            leases[++lastLease] = now + settings.timing.lease;
            handle(node, LeaseGranted { LeaseId(lastLease), now });
        }

        void run(Node& node, const RenewLease& action)
        {
            if (isStoreDown)
                return handle(node, LeaseCallFailed {});
            if (!leases.contains(action.lease.value()))
                return handle(node, LeaseMissing { action.lease });
            leases[action.lease.value()] = now + settings.timing.lease;
            handle(node, LeaseRenewed { action.lease, now });
        }

        void run(Node& node, const RegisterMember& action)
        {
            if (isStoreDown)
                return handle(node, LeaseCallFailed {});
            const Member member { node.state.self, FailureDomain("north"), action.leaving };
            members[member.process.id.daemon] = { member, action.lease.value() };
            ++revision;
            handle(node, MemberRegistered { action.lease, Revision(revision), action.leaving });
            tellAll(MemberChanged { member, Revision(revision) });
        }

        void run(Node& node, const ListMembers&) { listMembers(node); }

        void run(Node& node, const ReadShard&)
        {
            if (record && !isStoreDown)
                handle(node, ShardSeen { shardId, *record, now });
            handle(node, ShardCallEnded { shardId, isStoreDown ? CallResult::NotWritten : CallResult::Done });
        }

        void run(Node& node, const WriteShard& write)
        {
            const auto current = record.value_or(ShardOwner());
            const bool isExpected = current.owner.id == write.expectedOwner && current.epoch == write.expectedEpoch;
            if (isStoreDown || !isExpected)
                return handle(node, ShardCallEnded { shardId, CallResult::NotWritten });
            ++revision;
            record = { write.owner, write.epoch, write.predecessor, WriteId(static_cast<std::uint64_t>(revision)), Revision(revision) };
            tellAll(ShardSeen { shardId, *record, now });
            handle(node, ShardCallEnded { shardId, CallResult::Done });
        }

        void run(Node& node, const SendNotice& notice)
        {
            for (auto& peer : nodes) {
                if (peer.isRunning() && peer.state.self.id.daemon == notice.peer)
                    handle(peer, NoticeReceived { node.state.self.id, notice.shard, notice.epoch, notice.released });
            }
        }

        void run(Node&, const RequestRelay&) { }
        void run(Node&, const AuditOwner&) { }

        // A daemon that does not run misses the event and reads the state when it wakes.
        void tellAll(const Event& event)
        {
            for (auto& node : nodes) {
                if (node.isRunning())
                    handle(node, event);
            }
        }

        void listMembers(Node& node)
        {
            if (isStoreDown)
                return handle(node, MembersUnknown {});
            MembersListed listed { {}, Revision(revision), now };
            for (const auto& [daemon, entry] : members)
                listed.members.push_back(entry.first);
            handle(node, listed);
        }

        void wake(Node& node)
        {
            node.isFrozen = false;
            listMembers(node);
            handle(node, ShardSeen { shardId, *record, now });
        }

        void expireLeases()
        {
            if (isStoreDown)
                return;
            std::erase_if(leases, [&](const auto& entry) { return entry.second <= now; });
            std::vector<DaemonId> lapsed;
            for (const auto& [daemon, entry] : members) {
                if (!leases.contains(entry.second))
                    lapsed.push_back(daemon);
            }
            for (const auto& daemon : lapsed) {
                members.erase(daemon);
                tellAll(MemberRemoved { daemon, Revision(++revision) });
            }
        }

        void step()
        {
            now += stepTime;
            expireLeases();
            tellAll(Tick {});
        }

        int usableSlots() const
        {
            int slots = 0;
            for (const auto& node : nodes) {
                if (node.isRunning())
                    slots += kingcuploom::portionOf(portionOf(node.state, shardId, now), settings.limit, settings.primaryPerMille);
            }
            return slots;
        }

        Node& owner()
        {
            return *std::ranges::find_if(
                nodes, [](const Node& node) { return portionOf(node.state, shardId, *node.state.lastReading) != Portion::None; });
        }

        TrialSettings settings;
        MonotonicTime now { std::chrono::hours(1) };
        std::vector<Node> nodes { 3 };
        bool isStoreDown = false;
        std::optional<ShardOwner> record;
        std::map<DaemonId, std::pair<Member, std::int64_t>> members;
        std::map<std::int64_t, MonotonicTime> leases;
        std::int64_t lastLease = 0;
        std::int64_t revision = 10;
    };

    void strike(World& world, Node& owner, Fault fault)
    {
        owner.isDead = fault == Fault::ProcessKilled || fault == Fault::VmLost || fault == Fault::KilledInStoreOutage;
        owner.isFrozen = fault == Fault::Frozen || fault == Fault::FrozenThenWakes;
        world.isStoreDown = fault == Fault::StoreOutage || fault == Fault::KilledInStoreOutage;
    }

    // What follows from the fault after some time.
    void followUp(World& world, Node& owner, Milliseconds elapsed)
    {
        const auto& settings = world.settings;
        const bool isRefused = settings.fault == Fault::ProcessKilled || settings.fault == Fault::KilledInStoreOutage;
        if (isRefused && elapsed == settings.refusalDelay)
            world.tellAll(ProcessGone { owner.state.self.id });
        if (settings.fault == Fault::VmLost && elapsed == settings.listDelay)
            world.tellAll(DaemonsGone { { owner.state.self.id.daemon } });
        if (settings.fault == Fault::FrozenThenWakes && elapsed == settings.frozenFor)
            world.wake(owner);
        if (world.isStoreDown && elapsed == settings.outage)
            world.isStoreDown = false;
    }

} // namespace

const char* toString(Fault fault)
{
    switch (fault) {
    case Fault::StoreOutage:
        return "store outage of 60 s";
    case Fault::ProcessKilled:
        return "owner killed";
    case Fault::VmLost:
        return "owner's VM lost";
    case Fault::Frozen:
        return "owner frozen for good";
    case Fault::FrozenThenWakes:
        return "owner frozen for 20 s";
    case Fault::KilledInStoreOutage:
        return "owner killed, store outage of 30 s";
    }
    return "unknown";
}

TrialResult runTrial(const TrialSettings& settings)
{
    World world(settings);
    while (world.now < MonotonicTime(std::chrono::hours(1)) + settledAfter)
        world.step();
    auto& owner = world.owner();
    strike(world, owner, settings.fault);
    TrialResult result;
    result.leastSlots = settings.limit;
    bool hasDropped = false;
    double sum = 0;
    int steps = 0;
    for (auto elapsed = stepTime; elapsed <= settings.observed; elapsed += stepTime) {
        world.step();
        followUp(world, owner, elapsed);
        const int slots = world.usableSlots();
        sum += slots;
        ++steps;
        result.leastSlots = std::min(result.leastSlots, slots);
        hasDropped = hasDropped || slots < settings.limit;
        if (slots > 0 && result.anySlotMs < 0)
            result.anySlotMs = static_cast<double>(elapsed.count());
        if (slots == 0)
            result.anySlotMs = -1;
        if (slots < settings.limit)
            result.allSlotsMs = -1;
        else if (result.allSlotsMs < 0)
            result.allSlotsMs = static_cast<double>(elapsed.count());
    }
    // A share without loss has nothing to recover from.
    if (!hasDropped)
        result.allSlotsMs = 0;
    if (result.leastSlots > 0)
        result.anySlotMs = 0;
    result.averageSlots = sum / steps;
    return result;
}

} // namespace kingcuploom::trial

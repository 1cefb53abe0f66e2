#include "ownership/Decide.h"

#include "Steps.h"

namespace kingcuploom::ownership {

namespace {

    // Passes each event to the part of the state that it concerns.
    struct Applier {
        State& state;
        MonotonicTime now;
        Actions& actions;

        void operator()(const Tick&) { }
        void operator()(const LeaseGranted& event) { applyLease(state, event, now); }
        void operator()(const LeaseRenewed& event) { applyLease(state, event, now); }
        void operator()(const LeaseMissing& event) { applyLease(state, event, now); }
        void operator()(const LeaseCallFailed& event) { applyLease(state, event, now, actions); }
        void operator()(const MemberRegistered& event) { applyLease(state, event, now); }
        void operator()(const RegistrationBlocked& event) { applyLease(state, event, now); }
        void operator()(const RelayAnswered& event) { applyLease(state, event); }
        void operator()(const MembersListed& event) { applyMembers(state, event, now); }
        void operator()(const MembersUnknown&) { state.isMemberListInFlight = false; }
        void operator()(const MemberChanged& event) { applyMembers(state, event, now); }
        void operator()(const MemberRemoved& event) { applyMembers(state, event, now); }
        void operator()(const ShardsListed&) { state.areShardsListed = true; }
        void operator()(const ShardSeen& event) { applyShard(state, event, now, actions); }
        void operator()(const ShardCallEnded& event) { applyShard(state, event, now); }
        void operator()(const TargetsListed& event)
        {
            for (auto& [id, shard] : state.shards)
                shard.hasTargets = false;
            for (const auto& id : event.shards)
                state.shards[id].hasTargets = true;
        }
        void operator()(const ProcessGone& event) { markGone(state, event.process, now); }
        void operator()(const DaemonsGone& event) { applyMembers(state, event, now); }
        void operator()(const PeerReachable& event) { applyMembers(state, event); }
        void operator()(const NoticeReceived& event) { applyShard(state, event, actions); }
        void operator()(const WorkFinished& event) { applyShard(state, event); }
        void operator()(const LeaveRequested&) { state.isLeaving = true; }
    };

    // The shard that an event concerns; nothing when it may concern all. Group commits make shard events frequent.
    std::optional<ShardId> concernedShard(const Event& event)
    {
        if (const auto* seen = std::get_if<ShardSeen>(&event))
            return seen->shard;
        if (const auto* ended = std::get_if<ShardCallEnded>(&event))
            return ended->shard;
        if (const auto* finished = std::get_if<WorkFinished>(&event))
            return finished->shard;
        return std::nullopt;
    }

    void evaluateShard(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
    {
        if (shard.holding)
            evaluateHolding(state, id, shard, now, actions);
        else
            evaluateClaim(state, id, shard, now, actions);
        evaluateDeparture(state, id, shard, now, actions);
    }

} // namespace

Actions decide(State& state, const Event& event, MonotonicTime now)
{
    Actions actions;
    observeClock(state, now);
    std::visit(Applier { state, now, actions }, event);
    evaluateLease(state, now, actions);
    if (const auto id = concernedShard(event)) {
        if (const auto it = state.shards.find(*id); it != state.shards.end())
            evaluateShard(state, *id, it->second, now, actions);
        return actions;
    }
    evaluateMembers(state, now);
    for (auto& [id, shard] : state.shards)
        evaluateShard(state, id, shard, now, actions);
    return actions;
}

} // namespace kingcuploom::ownership

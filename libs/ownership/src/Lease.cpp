#include "Steps.h"

namespace kingcuploom::ownership {

namespace {

    // Two renewals may fail before the third is too late to confirm the lease.
    constexpr int renewalsPerLease = 3;
    // A process that still holds the member record of this daemon is checked again after this time.
    constexpr Milliseconds blockedRetry { 200 };

    Milliseconds renewalInterval(const State& state) { return state.timing.lease / renewalsPerLease; }

    Milliseconds jittered(State& state, Milliseconds limit)
    {
        const auto half = static_cast<std::uint64_t>(limit.count()) / 2;
        return Milliseconds(static_cast<Milliseconds::rep>(half + state.random.below(half + 1)));
    }

    void endCall(State& state, MonotonicTime next)
    {
        state.lease.isCallInFlight = false;
        state.lease.isFailing = false;
        state.lease.nextCallAt = next;
    }

    bool needsRegistration(const State& state)
    {
        return !state.lease.registeredAt || (state.isLeaving && !state.lease.isRegisteredLeaving);
    }

    Action nextLeaseCall(const State& state)
    {
        const auto& lease = state.lease;
        if (!lease.lease)
            return GrantLease {};
        if (!needsRegistration(state))
            return RenewLease { *lease.lease };
        // The record of another process of this daemon is replaced only when that process is gone. Otherwise it would lose its
        // membership while its lease still confirms it.
        const bool mayReplace = isGone(state, lease.blockedBy.id);
        return RegisterMember { *lease.lease, state.isLeaving, mayReplace ? lease.blockedBy.id : ProcessId() };
    }

    std::optional<DaemonId> pickRelay(State& state)
    {
        std::vector<DaemonId> peers;
        for (const auto& [daemon, member] : state.members) {
            if (member.process.id != state.self.id && state.reachable.contains(member.process.id))
                peers.push_back(daemon);
        }
        if (peers.empty())
            return std::nullopt;
        return peers[state.random.below(peers.size())];
    }

    void requestRelay(State& state, MonotonicTime now, Actions& actions)
    {
        auto& lease = state.lease;
        std::erase_if(lease.relays, [&](const auto& entry) { return now - entry.second.second > state.timing.lease; });
        if (!lease.lease || !lease.registeredAt)
            return;
        const auto peer = pickRelay(state);
        if (!peer)
            return;
        lease.relays.emplace(++lease.relaySequence, std::pair(*lease.lease, now));
        actions.push_back(RequestRelay { *peer, *lease.lease, lease.relaySequence });
    }

    void noteRenewal(LeaseState& lease, MonotonicTime sentAt) { lease.renewedAt = std::max(lease.renewedAt.value_or(sentAt), sentAt); }

} // namespace

MonotonicTime confirmedUntil(const State& state)
{
    const auto& lease = state.lease;
    const bool isAfterGap = !state.gapAt || (lease.renewedAt && *lease.renewedAt > *state.gapAt);
    if (!lease.lease || !lease.renewedAt || !lease.registeredAt || !isAfterGap)
        return {};
    return *lease.renewedAt + state.timing.lease - state.timing.margin;
}

bool isConfirmed(const State& state, MonotonicTime now) { return now < confirmedUntil(state); }

void observeClock(State& state, MonotonicTime now)
{
    const bool isGap = state.lastReading && now - *state.lastReading > state.timing.margin;
    state.lastReading = now;
    if (!isGap || !isEnabled(state, Guard::ClockGap))
        return;
    state.gapAt = now;
    state.lease.nextCallAt = now;
    for (auto& [id, shard] : state.shards) {
        if (shard.holding)
            shard.holding->needsRead = true;
    }
}

void applyLease(State& state, const LeaseGranted& event, MonotonicTime now)
{
    state.lease.lease = event.lease;
    state.lease.renewedAt = event.sentAt;
    state.lease.registeredAt.reset();
    state.lease.isRegisteredLeaving = false;
    state.lease.relays.clear();
    endCall(state, now);
}

void applyLease(State& state, const LeaseRenewed& event, MonotonicTime now)
{
    if (state.lease.lease == event.lease)
        noteRenewal(state.lease, event.sentAt);
    endCall(state, std::max(now, event.sentAt + renewalInterval(state)));
}

void applyLease(State& state, const LeaseMissing& event, MonotonicTime now)
{
    if (state.lease.lease == event.lease) {
        state.lease.lease.reset();
        state.lease.renewedAt.reset();
        state.lease.registeredAt.reset();
    }
    endCall(state, now + jittered(state, state.timing.margin / 2));
}

void applyLease(State& state, const LeaseCallFailed&, MonotonicTime now, Actions& actions)
{
    endCall(state, now + jittered(state, renewalInterval(state)));
    state.lease.isFailing = true;
    requestRelay(state, now, actions);
}

void applyLease(State& state, const MemberRegistered& event, MonotonicTime now)
{
    if (state.lease.lease == event.lease) {
        // The first record counts: a later one under the same lease does not make older confirmations invalid.
        state.lease.registeredAt = state.lease.registeredAt.value_or(event.revision);
        state.lease.isRegisteredLeaving = event.leaving;
        state.lease.blockedBy = {};
        state.membersChangedAt = now;
    }
    endCall(state, now + renewalInterval(state) / 2);
}

void applyLease(State& state, const RegistrationBlocked& event, MonotonicTime now)
{
    state.lease.blockedBy = event.by;
    markIfReplaced(state, event.by, now);
    endCall(state, now + blockedRetry);
}

void applyLease(State& state, const RelayAnswered& event)
{
    const auto node = state.lease.relays.extract(event.sequence);
    if (node.empty() || !event.renewed || state.lease.lease != node.mapped().first)
        return;
    noteRenewal(state.lease, node.mapped().second);
}

void evaluateLease(State& state, MonotonicTime now, Actions& actions)
{
    auto& lease = state.lease;
    const bool isUrgent = lease.registeredAt && needsRegistration(state);
    if (lease.isCallInFlight || (now < lease.nextCallAt && !isUrgent))
        return;
    lease.isCallInFlight = true;
    actions.push_back(nextLeaseCall(state));
}

} // namespace kingcuploom::ownership

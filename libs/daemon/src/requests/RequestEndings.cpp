// Ends of calls that no answer brings about: callers that go away, deadlines and lost owners.
#include "requests/CallMessages.h"
#include "requests/RequestRouter.h"

#include <algorithm>

namespace kingcuploom::requests {

namespace {

    using schema::Outcome;
    using schema::RefusalReason;

    // The owner's answer about the deadline is on its way when the ingress' own deadline passes.
    constexpr Milliseconds deadlineGrace { 20 };
    // A connection that could not be made until the deadline is reported by its thread as not run.
    constexpr Milliseconds executionGrace { 10 };

} // namespace

void RequestRouter::abandon(const CallPtr& call)
{
    if (call->isAnswered.exchange(true))
        return;
    if (const auto forwarded = m_forwards.take(call)) {
        m_metrics.countAbandoned(AbandonedStage::Forwarded);
        return sendAbandon(*forwarded);
    }
    const bool wasWaiting = m_pools.abandon(call, m_around.clock.now()) != nullptr;
    m_metrics.countAbandoned(wasWaiting ? AbandonedStage::Waiting : AbandonedStage::Running);
}

void RequestRouter::sendAbandon(const ForwardedCall& forwarded)
{
    schema::AbandonT abandon;
    abandon.sequence = forwarded.sequence;
    abandon.ingress = m_forwards.ingress();
    schema::LinkMessageT message;
    message.body.Set(abandon);
    // Without the message the owner drops the call at its deadline.
    (void)m_around.hub.send(forwarded.owner, message);
}

// No answer is sent: the ingress has forgotten the call.
void RequestRouter::receiveAbandon(const schema::AbandonT& message)
{
    const CallKey key { message.ingress, message.sequence };
    auto call = m_pools.find(key);
    if (!call)
        call = m_forwards.findRelayed(key);
    if (call)
        abandon(call);
}

void RequestRouter::retryAfterLoss(const ForwardedCall& lost)
{
    const auto& call = lost.call;
    call->mayHaveRun = true;
    bool mayRetry = call->isIdempotent;
    if (mayRetry) {
        const std::scoped_lock lock(m_mutex);
        mayRetry = routing::tryConsumeRetry(m_rerouteBudget);
    }
    if (!mayRetry)
        return finish(call, makeRefusal(RefusalReason::LinkLost, Outcome::Unknown));
    m_metrics.countRetry();
    route(call);
}

void RequestRouter::expire()
{
    const auto now = m_around.clock.now();
    expireForwards(now);
    expireExecutions(now);
    perform(m_pools.tick(now));
    for (auto lost = m_unsent.sendAll(m_around.hub, now); lost > 0; --lost)
        m_metrics.countLostAnswer();
    m_metrics.setCalls(m_pools.callCount(), m_forwards.size());
}

// The executor may still run the request, so its slot stays in use until it answers or ends the connection.
void RequestRouter::expireExecutions(MonotonicTime now)
{
    perform(m_pools.markOverdue(now));
    const auto overdue = m_pools.overdueCalls(now - executionGrace);
    std::ranges::for_each(overdue, [this](const CallPtr& call) { finish(call, makeDeadlinePassed(true)); });
    m_metrics.setOverdue(overdue.size());
}

void RequestRouter::expireForwards(MonotonicTime now)
{
    for (const auto& late : m_forwards.takeExpired(now - deadlineGrace)) {
        sendAbandon(late);
        finish(late.call, makeDeadlinePassed(true));
    }
    // Only a process that is known to be gone ends its requests early; an unreachable one may still answer.
    auto gone = m_forwards.owners();
    std::erase_if(gone, [&](const DaemonId& owner) {
        const auto status = m_around.hub.status(owner);
        return status != link::PeerStatus::Refused && status != link::PeerStatus::Replaced;
    });
    if (!gone.empty())
        std::ranges::for_each(m_forwards.takeOf(gone), [this](const auto& lost) { retryAfterLoss(lost); });
}

} // namespace kingcuploom::requests

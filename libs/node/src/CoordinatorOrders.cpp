#include "node/Coordinator.h"

#include "base/Log.h"
#include "scheduler/Fences.h"
#include "scheduler/Leases.h"
#include "scheduler/Pacing.h"
#include "scheduler/Polls.h"

#include <boost/asio/post.hpp>

namespace kingcuploom::node {

namespace {

    // Added to the expected processing time of the adviser.
    constexpr Milliseconds adviceTimeoutMargin { 1000 };

    WorkerTarget makeTarget(const scheduler::State& state, const scheduler::Worker& worker)
    {
        return { worker.id, worker.address, worker.domain, scheduler::getFence(state, worker) };
    }

    // Reasons that contain figures are replaced by a fixed label, since each distinct reason creates a time series.
    std::string metricReason(const scheduler::Decision& decision)
    {
        if (decision.event == "pace_changed")
            return "slack";
        if (decision.event == "standing_task_idle")
            return "idle";
        return decision.event == "job_waits" ? "no_room" : decision.reason;
    }

} // namespace

void Coordinator::execute(const scheduler::StartOrder& order)
{
    const auto now = m_clock.now();
    auto* worker = scheduler::findWorker(m_state, order.worker);
    const auto* job = scheduler::findJob(m_state, order.run.task.job);
    const auto* task = scheduler::findTask(m_state, order.run.task);
    const auto onResult = [self = shared_from_this(), run = order.run](scheduler::StartResult result) {
        if (self->m_isStopped)
            return;
        scheduler::onStartResult(self->m_state, run, result, self->m_clock.now(), self->m_orders);
        if (result == scheduler::StartResult::Started)
            self->reportFirstStart(run);
        self->requestSchedulingPass();
    };
    if (!worker || !job || !task || !scheduler::findRun(m_state, order.run)) {
        boost::asio::post(m_loop, [onResult] { onResult(scheduler::StartResult::NotSent); });
        return;
    }
    if (!isViewFresh()) {
        boost::asio::post(m_loop, [onResult] { onResult(scheduler::StartResult::StaleView); });
        return;
    }
    const bool isOpen
        = worker->isListed && !worker->isEntryUnreadable && !worker->isDraining && !m_state.closedDomains.contains(worker->domain);
    const auto* permit = scheduler::findPermit(m_state, scheduler::toStepRef(order.run.task), *worker, now);
    const bool isPermitted = permit || !scheduler::isAdvised(m_state, *job);
    const auto leaseUntil = mayExtendLeases() && isOpen && isPermitted ? scheduler::extendLease(m_state, *worker, now) : std::nullopt;
    if (!leaseUntil) {
        const auto reason = !isOpen ? scheduler::StartResult::WorkerLeaving
            : !isPermitted          ? scheduler::StartResult::PermitExpired
            : !mayExtendLeases()    ? scheduler::StartResult::StoreSilent
                                    : scheduler::StartResult::NotSent;
        boost::asio::post(m_loop, [onResult, reason] { onResult(reason); });
        return;
    }
    StartMessage message { order.run, job->spec->payload, task->checkpoint, permit ? permit->ticket : std::string(), *leaseUntil,
        scheduler::getFence(m_state, *worker), order.isRepeat, viewTimeLeft() };
    m_calls.start(makeTarget(m_state, *worker), message, onResult);
}

void Coordinator::execute(const scheduler::StopOrder& order)
{
    const auto* worker = scheduler::findWorker(m_state, order.worker);
    if (!worker)
        return;
    const auto target = makeTarget(m_state, *worker);
    m_calls.stop(target, order.run, target.fence, [self = shared_from_this(), order](scheduler::StopResult result) {
        if (self->m_isStopped)
            return;
        scheduler::onStopResult(self->m_state, order.run, result, self->m_clock.now(), self->m_orders);
        self->requestSchedulingPass();
    });
}

void Coordinator::execute(const scheduler::PaceOrder& order)
{
    const auto* worker = scheduler::findWorker(m_state, order.worker);
    if (!worker)
        return;
    const auto target = makeTarget(m_state, *worker);
    m_calls.pace(target, order.run, order.percent, target.fence, [self = shared_from_this(), order](bool isAccepted) {
        if (!self->m_isStopped)
            scheduler::onPaceResult(self->m_state, order.run, order.percent, isAccepted);
    });
}

void Coordinator::execute(const scheduler::PollOrder& order)
{
    const auto sentAt = m_clock.now();
    auto* worker = scheduler::findWorker(m_state, order.worker);
    if (!worker)
        return;
    PollMessage message;
    if (mayExtendLeases() && order.extendsLease)
        message.leaseUntilMs = scheduler::extendLease(m_state, *worker, sentAt);
    message.acknowledgedEnd = order.acknowledgedEnd;
    message.wait = order.wait;
    message.fence = scheduler::getFence(m_state, *worker);
    message.isRepeat = worker->missedPolls > 0;
    message.knownEnd = worker->lastSeenEnd;
    m_calls.poll(makeTarget(m_state, *worker), message,
        [self = shared_from_this(), id = order.worker, sentAt](const Expected<scheduler::PollReport, scheduler::PollFailure>& report) {
            if (self->m_isStopped)
                return;
            const auto now = self->m_clock.now();
            if (report)
                scheduler::onPollReport(self->m_state, id, *report, sentAt, now, self->wallMs(), self->m_orders);
            else
                scheduler::onPollFailure(self->m_state, id, report.error(), now);
            self->requestSchedulingPass();
        });
}

void Coordinator::execute(const scheduler::AdviceOrder& order)
{
    const auto sentAt = m_clock.now();
    const auto onResult = [self = shared_from_this(), order, sentAt](const Expected<scheduler::Advice, scheduler::AdviceError>& advice) {
        if (self->m_isStopped)
            return;
        scheduler::onAdvice(self->m_state, order, advice, sentAt, self->m_clock.now(), self->m_orders);
        self->requestSchedulingPass();
    };
    const auto* job = scheduler::findJob(m_state, order.step.job);
    if (!m_adviser || !job) {
        boost::asio::post(m_loop, [onResult] { onResult(makeUnexpected(scheduler::AdviceError::Refused)); });
        return;
    }
    const auto& policy = scheduler::getPolicy(m_state, *job);
    const Milliseconds work(policy.advice_decide_ms + policy.advice_interval_ms * order.workers.size());
    // Twice the processing time, since another request may be queued ahead of this one.
    m_adviser->requestAdvice(order, work * 2 + adviceTimeoutMargin, onResult);
}

void Coordinator::execute(const scheduler::Decision& decision)
{
    m_metrics.countDecision(decision.event, metricReason(decision));
    if (decision.event == "job_shown")
        m_metrics.observeHeldJob(decision.inputAge);
    logEvent(LogLevel::Info, decision.event,
        { { "run", decision.run }, { "worker", decision.worker }, { "reason", decision.reason }, { "figure", decision.figure },
            { "input_age_ms", decision.inputAge.count() }, { "term", m_state.term } });
}

void Coordinator::reportFirstStart(const scheduler::RunRef& run)
{
    auto* job = scheduler::findJob(m_state, run.task.job);
    if (!job || std::exchange(job->isFirstStartReported, true))
        return;
    const auto delay = std::chrono::duration_cast<Milliseconds>(m_clock.now() - job->arrivedAt);
    m_metrics.observeFirstStart(delay);
    logEvent(LogLevel::Info, "job_started", { { "job", job->id }, { "delay_ms", delay.count() }, { "term", m_state.term } });
}

void Coordinator::reportJobEnd(scheduler::Job& job)
{
    if (!scheduler::hasEnded(job) || !job.spec || std::exchange(job.isEndReported, true))
        return;
    const Milliseconds elapsed(job.endedWallMs - job.spec->accepted_at_ms);
    const auto late = std::chrono::duration_cast<Milliseconds>(m_clock.now() - job.dueAt);
    const char* state = schema::EnumNameJobState(job.state);
    m_metrics.observeJob(state, std::max(elapsed, Milliseconds(0)));
    m_sizes.addEnded(job);
    logEvent(LogLevel::Info, "job_ended",
        { { "job", job.id }, { "state", state }, { "took_ms", elapsed.count() }, { "past_due_ms", late.count() }, { "queue", job.queue },
            { "size", toString(job.size) }, { "term", m_state.term } });
}

} // namespace kingcuploom::node

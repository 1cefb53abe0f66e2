#include "node/SizeReport.h"

#include "base/Log.h"
#include "scheduler/Urgency.h"

namespace kingcuploom::node {

namespace {

    EndOutcome toOutcome(const scheduler::Job& job)
    {
        if (job.state == schema::JobState::Failed)
            return EndOutcome::Failed;
        if (job.state == schema::JobState::Cancelled)
            return EndOutcome::Cancelled;
        if (job.endedAt <= job.dueAt)
            return EndOutcome::OnTime;
        return job.endedAt <= scheduler::computeUselessAt(job) ? EndOutcome::Late : EndOutcome::Expired;
    }

    std::uint64_t countExtraStarts(const scheduler::Job& job)
    {
        std::uint64_t count = 0;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& step : occurrence.steps) {
                for (const auto& task : step.tasks)
                    count += task.lastRun.value() > 1 ? task.lastRun.value() - 1 : 0;
            }
        }
        return count;
    }

    std::string formatWaits(const std::array<Milliseconds, scheduler::waitCauseCount>& waits)
    {
        std::string text;
        for (std::size_t i = 0; i < waits.size(); ++i) {
            if (waits[i] > Milliseconds(0))
                text += (text.empty() ? "" : ",") + std::string(toString(static_cast<scheduler::WaitCause>(i))) + ':'
                    + std::to_string(waits[i].count());
        }
        return text.empty() ? "none" : text;
    }

} // namespace

const char* toString(EndOutcome outcome)
{
    switch (outcome) {
    case EndOutcome::OnTime:
        return "on_time";
    case EndOutcome::Late:
        return "late";
    case EndOutcome::Expired:
        return "expired";
    case EndOutcome::Failed:
        return "failed";
    case EndOutcome::Cancelled:
        break;
    }
    return "cancelled";
}

SizeReport::SizeReport(NodeMetrics& metrics, Revision term)
    : m_metrics(metrics)
    , m_term(term)
{
}

void SizeReport::addEnded(const scheduler::Job& job)
{
    const auto outcome = toOutcome(job);
    auto& row = m_rows[{ job.queue, job.size }];
    ++row.ended[static_cast<std::size_t>(outcome)];
    m_metrics.countJobEnd(job.queue.value(), toString(job.size), outcome);
    if (outcome == EndOutcome::OnTime || outcome == EndOutcome::Cancelled)
        return;
    row.extraStarts += countExtraStarts(job);
    row.untilKnown += std::chrono::duration_cast<Milliseconds>(job.arrivedAt - job.acceptedAt);
    for (std::size_t i = 0; i < row.waits.size(); ++i) {
        const auto spent = job.waits.spent()[i];
        row.waits[i] += spent;
        if (spent > Milliseconds(0))
            m_metrics.addWait(job.queue.value(), toString(job.size), toString(static_cast<scheduler::WaitCause>(i)), spent);
    }
}

void SizeReport::publish(const scheduler::State& state)
{
    for (auto& [key, row] : m_rows)
        row.begun = row.notBegun = 0;
    for (const auto& id : state.active) {
        const auto& job = state.jobs.at(id);
        if (scheduler::hasEnded(job))
            continue;
        auto& row = m_rows[{ job.queue, job.size }];
        ++(job.state == schema::JobState::Queued ? row.notBegun : row.begun);
    }
    for (const auto& [key, row] : m_rows) {
        if (m_published[key] == row)
            continue;
        m_published[key] = row;
        const auto& [queue, size] = key;
        const auto ended = [&row = row](EndOutcome outcome) { return row.ended[static_cast<std::size_t>(outcome)]; };
        m_metrics.setWaitingJobs(queue.value(), toString(size), row.begun, row.notBegun);
        logEvent(LogLevel::Info, "job_sizes",
            { { "queue", queue }, { "size", toString(size) }, { "on_time", ended(EndOutcome::OnTime) }, { "late", ended(EndOutcome::Late) },
                { "expired", ended(EndOutcome::Expired) }, { "failed", ended(EndOutcome::Failed) },
                { "cancelled", ended(EndOutcome::Cancelled) }, { "begun", row.begun }, { "not_begun", row.notBegun },
                { "waits_ms", formatWaits(row.waits) }, { "until_known_ms", row.untilKnown.count() }, { "extra_starts", row.extraStarts },
                { "term", m_term } });
    }
}

} // namespace kingcuploom::node

#include "node/Coordinator.h"

#include "base/Log.h"

// Reading of the stored records at the begin of a term.
namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    // Delay before a page is read again.
    constexpr Milliseconds pageRetryDelay { 50 };

} // namespace

void Coordinator::listProgress(const std::string& after)
{
    m_store.list(runPrefix, after, [self = shared_from_this(), after](const Expected<StorePage, StoreError>& page) {
        if (self->m_isStopped)
            return;
        if (page && !isCutWithoutItems(*page))
            return self->onProgressPage(*page);
        self->m_tickTimer.expires_after(pageRetryDelay);
        self->m_tickTimer.async_wait([self, after](const boost::system::error_code&) {
            if (self->m_isStopped)
                return;
            self->listProgress(after);
            self->tick();
        });
    });
}

void Coordinator::onProgressPage(const StorePage& page)
{
    m_progressAnsweredAt = m_clock.now();
    for (const auto& item : page.items) {
        auto progress = decodeProgress(item.value);
        if (!progress) {
            logEvent(LogLevel::Error, "progress_unreadable", { { "key", item.key }, { "revision", item.revision } });
            m_unreadableProgress.insert(parseRunKey(item.key));
            continue;
        }
        const GraphJobId id(progress->job);
        m_storedProgress[id] = { std::move(progress), item.revision };
    }
    if (page.hasMore)
        return listProgress(page.items.back().key);
    m_isProgressRead = true;
    beginScheduling();
}

void Coordinator::beginScheduling()
{
    const bool isReady
        = m_areJobsRead && m_isProgressRead && m_areWorkersRead && m_isInterferenceRead && m_operators.snapshot()->configuration;
    if (m_isScheduling || !isReady || m_isStopped)
        return;
    m_isScheduling = true;
    addStoredJobs();
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_state.termStartedAt);
    m_metrics.observeTakeover(elapsed);
    logEvent(LogLevel::Info, "scheduling_begins",
        { { "term", m_state.term }, { "jobs", m_state.jobs.size() }, { "active", m_state.active.size() },
            { "workers", m_state.workers.size() }, { "took_ms", elapsed.count() } });
    requestSchedulingPass();
}

void Coordinator::addStoredJobs()
{
    const auto now = m_clock.now();
    for (auto& [id, spec] : m_storedJobs) {
        // Which of its tasks are done or run is not known. A leader that can read the record continues the job.
        if (m_unreadableProgress.contains(id))
            continue;
        const auto it = m_storedProgress.find(id);
        const bool hasProgress = it != m_storedProgress.end();
        scheduler::addJob(
            m_state, spec, hasProgress ? it->second.first.get() : nullptr, hasProgress ? it->second.second : Revision(), now, wallMs());
    }
    for (const auto& [id, record] : m_storedProgress) {
        if (!m_storedJobs.contains(id))
            scheduler::addEndedJob(m_state, *record.first, record.second, now);
    }
    for (const auto& [id, marker] : m_storedCancels)
        applyOrKeepCancel(id, marker);
    m_storedJobs.clear();
    m_storedProgress.clear();
    m_storedCancels.clear();
}

} // namespace kingcuploom::node

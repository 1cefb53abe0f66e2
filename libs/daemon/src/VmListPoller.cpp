#include "daemon/VmListPoller.h"

#include "base/Log.h"

namespace kingcuploom {

namespace {

    // At the planned size the list has 6,800 entries of about 500 bytes.
    constexpr std::size_t maxListBytes = 32UL * 1024 * 1024;

    // Several periods: a large list may take longer than one period under load.
    constexpr int timeoutPeriods = 3;

    const char* toString(PollOutcome outcome)
    {
        switch (outcome) {
        case PollOutcome::Updated:
            return "updated";
        case PollOutcome::Failed:
            return "failed";
        case PollOutcome::Malformed:
            return "malformed";
        }
        return "unknown";
    }

} // namespace

VmListPoller::VmListPoller(http::HttpClient& client, TargetCatalog& catalog, const Clock& clock, VmListPollerSettings settings)
    : m_client(client)
    , m_catalog(catalog)
    , m_clock(clock)
    , m_settings(std::move(settings))
{
}

VmListPoller::~VmListPoller() { stop(); }

PollOutcome VmListPoller::read()
{
    // Taken before the request, so that the age of the list is not understated.
    const auto sentAt = m_clock.now();
    http::CallOptions options;
    options.timeout = m_settings.period * timeoutPeriods;
    options.maxResponseBytes = maxListBytes;
    const auto response = m_client.call(m_settings.url, { "GET", "/v1/vms", {}, {} }, options);
    if (!response || response->status != 200)
        return PollOutcome::Failed;
    const auto list = parseVmList(response->body);
    if (!list)
        return PollOutcome::Malformed;
    m_catalog.replace(std::make_shared<TargetSnapshot>(applyVmList(m_history, *list, m_settings.groupsPerDomain, sentAt)));
    return PollOutcome::Updated;
}

PollOutcome VmListPoller::poll()
{
    const auto outcome = read();
    if (outcome != PollOutcome::Updated)
        ++m_failures;
    if (outcome != m_lastOutcome)
        logEvent(
            outcome == PollOutcome::Updated ? LogLevel::Info : LogLevel::Warning, "vm_list_poll", { { "outcome", toString(outcome) } });
    m_lastOutcome = outcome;
    return outcome;
}

void VmListPoller::start()
{
    m_isStopping = false;
    m_thread = std::thread([this] { run(); });
}

void VmListPoller::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void VmListPoller::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        poll();
        lock.lock();
        m_stopped.wait_for(lock, m_settings.period, [this] { return m_isStopping; });
    }
}

} // namespace kingcuploom

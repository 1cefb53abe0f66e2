#include "daemon/LoadExchange.h"

#include <algorithm>

namespace kingcuploom {

namespace {

    template <typename Figures, typename Source> void fill(std::vector<std::unique_ptr<Figures>>& target, const Source& source)
    {
        if (!source)
            return;
        for (auto& figure : source())
            target.push_back(std::make_unique<Figures>(std::move(figure)));
    }

} // namespace

LoadExchange::LoadExchange(const schema::SettingsT& settings, const Clock& clock, OwnershipView& ownership, link::LinkHub& hub)
    : m_settings(settings)
    , m_clock(clock)
    , m_ownership(ownership)
    , m_hub(hub)
{
    m_hub.onMessage(schema::LinkBody::Heartbeat, [this](const link::Peer& from, const schema::LinkMessageT& message) {
        if (const auto* heartbeat = message.body.AsHeartbeat())
            receive(from.daemon, *heartbeat);
    });
}

LoadExchange::~LoadExchange() { stop(); }

void LoadExchange::onHeartbeat(Listener listener) { m_listeners.push_back(std::move(listener)); }

void LoadExchange::start()
{
    m_isStopping = false;
    m_thread = std::thread([this] { run(); });
}

void LoadExchange::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void LoadExchange::run()
{
    const Milliseconds interval(m_settings.heartbeat_ms);
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        sendNow();
        lock.lock();
        m_wake.wait_for(lock, interval, [this] { return m_isStopping; });
    }
}

schema::LinkMessageT LoadExchange::makeMessage() const
{
    schema::HeartbeatT heartbeat;
    heartbeat.leaving = m_ownership.isLeaving();
    if (m_sources.configRevision)
        heartbeat.config_revision = m_sources.configRevision().value();
    fill(heartbeat.loads, m_sources.loads);
    fill(heartbeat.capacities, m_sources.capacities);
    schema::LinkMessageT message;
    message.body.Set(std::move(heartbeat));
    return message;
}

void LoadExchange::sendNow()
{
    const auto message = makeMessage();
    const DaemonId self(m_settings.daemon_id);
    for (const auto& member : m_ownership.members()) {
        // A member without a connection misses this round; the next one carries everything again.
        if (member.daemon != self)
            (void)m_hub.send(member.daemon, message);
    }
}

void LoadExchange::receive(const DaemonId& from, const schema::HeartbeatT& heartbeat)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_received[from] = { heartbeat, m_clock.now() };
    }
    std::ranges::for_each(m_listeners, [&](const auto& listener) { listener(from, heartbeat); });
}

std::map<DaemonId, LoadExchange::Received> LoadExchange::received() const
{
    const std::scoped_lock lock(m_mutex);
    return m_received;
}

} // namespace kingcuploom

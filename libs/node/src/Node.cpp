#include "node/Node.h"

#include "base/Log.h"

#include <boost/asio/post.hpp>

namespace kingcuploom::node {

namespace {

    // A node that has not heard of the store for this time sends callers to others.
    constexpr Milliseconds storeSilence { 2500 };

} // namespace

Node::Node(boost::asio::io_context& loop, const Ports& ports, Formats formats, NodeSettings settings)
    : m_loop(loop)
    , m_ports(ports)
    , m_formats(std::move(formats))
    , m_settings(std::move(settings))
    , m_operators(loop, ports.store, ports.clock, m_formats,
          [this] {
              if (m_coordinator)
                  m_coordinator->onOperatorChange();
          })
    , m_leadership(loop, ports.store, ports.clock, m_settings.leadership, { [this](Revision term) { lead(term); }, [this] { follow(); } })
    , m_jobs(loop, ports.store, ports.clock)
{
}

void Node::start()
{
    m_operators.start();
    m_leadership.start();
}

void Node::beginShutdown()
{
    if (m_isShuttingDown.exchange(true))
        return;
    boost::asio::post(m_loop, [this] { m_leadership.resign([] { logEvent(LogLevel::Info, "shutdown_leadership_free"); }); });
}

bool Node::isReady() const
{
    const auto snapshot = m_operators.snapshot();
    return !m_isShuttingDown && snapshot->configuration && m_ports.clock.now() - snapshot->confirmedAt < storeSilence;
}

void Node::lead(Revision term)
{
    follow();
    m_ports.metrics.setLeading(true);
    m_coordinator = std::make_shared<Coordinator>(m_loop, m_ports, m_formats, m_operators, m_leadership, m_settings.scheduler, term);
    m_coordinator->start();
}

void Node::follow()
{
    m_ports.metrics.setLeading(false);
    if (m_coordinator)
        m_coordinator->stop();
    m_coordinator.reset();
}

} // namespace kingcuploom::node

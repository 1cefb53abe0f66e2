#include "node/Node.h"

#include "base/Log.h"

#include <boost/asio/post.hpp>

namespace kingcuploom::node {

namespace {

    // The node reports not ready after this time without a store response, so that callers go to other nodes.
    constexpr Milliseconds storeSilenceLimit { 2500 };

} // namespace

Node::Node(boost::asio::io_context& loop, const PlatformServices& services, Formats formats, NodeSettings settings)
    : m_loop(loop)
    , m_services(services)
    , m_formats(std::move(formats))
    , m_settings(std::move(settings))
    , m_operators(loop, services.store, services.clock, m_formats,
          [this] {
              if (m_coordinator)
                  m_coordinator->onOperatorChange();
          })
    , m_leadership(loop, services.store, services.clock, m_settings.leadership,
          { [this](Revision term) { startLeading(term); }, [this] { stopLeading(); } })
    , m_jobs(loop, services.store, services.clock)
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
    boost::asio::post(m_loop, [this] { m_leadership.resign([] { logEvent(LogLevel::Info, "leadership_released"); }); });
}

void Node::onHandlerFailure() { m_leadership.abandonTerm(AbandonReason::HandlerFailed); }

bool Node::isReady() const
{
    const auto snapshot = m_operators.snapshot();
    return !m_isShuttingDown && snapshot->configuration && m_services.clock.now() - snapshot->confirmedAt < storeSilenceLimit;
}

void Node::startLeading(Revision term)
{
    stopLeading();
    m_services.metrics.setLeading(true);
    m_services.metrics.observeVacancy(m_leadership.vacancy());
    m_coordinator = std::make_shared<Coordinator>(m_loop, m_services, m_formats, m_operators, m_leadership, m_settings.scheduler, term);
    m_coordinator->start();
}

void Node::stopLeading()
{
    m_services.metrics.setLeading(false);
    if (m_coordinator)
        m_coordinator->stop();
    m_coordinator.reset();
}

} // namespace kingcuploom::node

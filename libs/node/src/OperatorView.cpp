#include "node/OperatorView.h"

#include "base/Log.h"

#include <algorithm>

namespace kingcuploom::node {

namespace {

    // Short enough that a stalled connection is detected within the time in which a new configuration must take effect.
    constexpr Milliseconds watchTimeout { 900 };

    bool isMatch(const QueueRoute& route, const std::string& host, const std::string& path)
    {
        return route.host == host && path.starts_with(route.prefix);
    }

} // namespace

const char* toString(FormatError error)
{
    switch (error) {
    case FormatError::NotReadable:
        return "not_readable";
    case FormatError::MissingField:
        return "missing_field";
    case FormatError::WrongType:
        return "wrong_type";
    case FormatError::OutOfRange:
        return "out_of_range";
    case FormatError::UnknownKeyword:
        break;
    }
    return "unknown_word";
}

Expected<const QueueRoute*, RouteError> findRoute(
    const OperatorState& state, const std::string& host, const std::string& path, MonotonicTime now, Milliseconds maxAge)
{
    if (!state.configuration)
        return makeUnexpected(RouteError::NotKnown);
    const QueueRoute* best = nullptr;
    for (const auto& route : state.configuration->routes) {
        if (isMatch(route, host, path) && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    if (best)
        return best;
    return makeUnexpected(now - state.confirmedAt <= maxAge ? RouteError::NoSuchRoute : RouteError::NotKnown);
}

scheduler::QueueName makeQueueName(const QueueRoute& route) { return scheduler::QueueName(route.host + route.prefix); }

OperatorView::OperatorView(
    boost::asio::io_context& loop, AsyncStore& store, const Clock& clock, const Formats& formats, std::function<void()> onChange)
    : m_formats(formats)
    , m_onChange(std::move(onChange))
    , m_snapshot(std::make_shared<OperatorState>())
{
    WatchCallbacks callbacks;
    callbacks.onChange = [this](const auto& key, const auto& value, Revision revision) { onKeyChange(key, value, revision); };
    callbacks.onCurrent = [this](MonotonicTime sentAt) {
        m_state.confirmedAt = sentAt;
        publishSnapshot();
    };
    callbacks.onFailure = [](StoreError error) { logEvent(LogLevel::Debug, "operator_watch_failed", { { "reason", toString(error) } }); };
    // Configurations are large and replace each other, so a node that has missed several of them needs the last one alone.
    m_watcher = std::make_shared<PrefixWatcher>(
        loop, store, clock, formats.operatorPrefix, watchTimeout, std::move(callbacks), AfterFailure::List);
}

void OperatorView::start() { m_watcher->start(); }

void OperatorView::stop() { m_watcher->stop(); }

std::shared_ptr<const OperatorState> OperatorView::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
}

void OperatorView::onKeyChange(const std::string& key, const std::optional<std::string>& value, Revision revision)
{
    if (!value) {
        m_isChanged = m_closures.erase(key) > 0 || m_isChanged;
        logEvent(LogLevel::Info, "operator_key_removed", { { "key", key }, { "revision", revision } });
        return;
    }
    const auto document = m_formats.decodeOperator(key, *value);
    if (!document) {
        logEvent(LogLevel::Warning, "operator_key_unreadable", { { "key", key }, { "reason", toString(document.error()) } });
        return;
    }
    applyDocument(key, *document, revision);
}

void OperatorView::applyDocument(const std::string& key, const OperatorDocument& document, Revision revision)
{
    if (const auto* closure = std::get_if<DomainClosure>(&document)) {
        m_closures[key] = closure->domain;
        m_isChanged = true;
        logEvent(LogLevel::Info, "domain_closed", { { "domain", closure->domain }, { "revision", revision } });
        return;
    }
    const auto* configuration = std::get_if<Configuration>(&document);
    if (!configuration)
        return;
    const auto known = m_state.configuration ? m_state.configuration->version : -1;
    if (configuration->version <= known)
        return;
    m_state.configuration = *configuration;
    m_isChanged = true;
    logEvent(LogLevel::Info, "configuration_in_force",
        { { "version", configuration->version }, { "before", known }, { "routes", configuration->routes.size() },
            { "revision", revision } });
}

void OperatorView::publishSnapshot()
{
    m_state.closedDomains.clear();
    for (const auto& [key, domain] : m_closures)
        m_state.closedDomains.insert(domain);
    auto snapshot = std::make_shared<const OperatorState>(m_state);
    {
        const std::lock_guard lock(m_mutex);
        m_snapshot = std::move(snapshot);
    }
    if (std::exchange(m_isChanged, false))
        m_onChange();
}

} // namespace kingcuploom::node

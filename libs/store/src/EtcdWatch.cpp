#include "EtcdWatch.h"

#include "EtcdMessages.h"

#include <algorithm>

namespace kingcuploom::store {

namespace {

    // A message of the store may carry many values of up to 1 MB.
    constexpr std::size_t maxMessageBytes = 256UL * 1024 * 1024;

} // namespace

struct EtcdWatch::State {
    std::shared_ptr<http::HttpClient> client;
    std::shared_ptr<CallCounter> calls;
    WatchSpec spec;
    http::Cancellation cancellation;
    std::string buffer;

    void run();
    bool streamFrom(const std::string& baseUrl);
    bool takeData(std::string_view);
    bool takeLine(std::string_view);
};

// Each line of the stream is one message.
bool EtcdWatch::State::takeData(std::string_view data)
{
    buffer += data;
    std::size_t begin = 0;
    for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n', begin)) {
        if (!takeLine(std::string_view(buffer).substr(begin, end - begin)))
            return false;
        begin = end + 1;
    }
    buffer.erase(0, begin);
    return buffer.size() <= maxMessageBytes;
}

bool EtcdWatch::State::takeLine(std::string_view line)
{
    if (line.empty())
        return true;
    const auto message = parseWatchMessage(line);
    if (!message || message->isCancelled || cancellation.isCancelled())
        return false;
    if (!message->events.empty())
        spec.onEvents(message->events);
    return true;
}

// True when another URL is worth a try.
bool EtcdWatch::State::streamFrom(const std::string& baseUrl)
{
    http::StreamOptions options;
    options.connectTimeout = spec.connectTimeout;
    options.onStatus = [](int status) { return status == 200; };
    options.cancellation = &cancellation;
    ++calls->watches;
    const http::Request request { "POST", "/v3/watch", { { "Content-Type", "application/json" } }, spec.request };
    const auto result = client->stream(
        baseUrl, request, [this](std::string_view data) { return takeData(data); }, options);
    return !result && http::isNotSent(result.error().code);
}

void EtcdWatch::State::run()
{
    std::ranges::find_if(spec.baseUrls, [this](const auto& url) { return cancellation.isCancelled() || !streamFrom(url); });
    if (!cancellation.isCancelled())
        spec.onLost();
}

EtcdWatch::EtcdWatch(std::shared_ptr<http::HttpClient> client, std::shared_ptr<CallCounter> calls, WatchSpec spec)
    : m_state(std::make_shared<State>())
{
    m_state->client = std::move(client);
    m_state->calls = std::move(calls);
    m_state->spec = std::move(spec);
    m_thread = std::thread([state = m_state] { state->run(); });
}

EtcdWatch::~EtcdWatch()
{
    m_state->cancellation.cancel();
    // A watcher that starts anew in its callback replaces the watch from the watch's own thread, which cannot wait for itself.
    if (m_thread.get_id() == std::this_thread::get_id())
        m_thread.detach();
    else
        m_thread.join();
}

} // namespace kingcuploom::store

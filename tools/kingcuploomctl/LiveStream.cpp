#include "LiveStream.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace kingcuploom::ctl {

namespace {

    // Cancels a stream when feed() is not called within the limit. The destructor joins the thread.
    class Watchdog {
    public:
        Watchdog(http::Cancellation& cancellation, Milliseconds limit)
            : m_thread([this, &cancellation, limit] { run(cancellation, limit); })
        {
        }
        ~Watchdog()
        {
            signal(m_isDone);
            m_thread.join();
        }
        Watchdog(const Watchdog&) = delete;
        Watchdog& operator=(const Watchdog&) = delete;

        void feed() { signal(m_isFed); }

    private:
        void signal(bool& flag)
        {
            {
                const std::scoped_lock lock(m_mutex);
                flag = true;
            }
            m_wake.notify_all();
        }

        void run(http::Cancellation& cancellation, Milliseconds limit)
        {
            std::unique_lock lock(m_mutex);
            while (m_wake.wait_for(lock, limit, [this] { return m_isFed || m_isDone; })) {
                if (m_isDone)
                    return;
                m_isFed = false;
            }
            cancellation.cancel();
        }

        std::mutex m_mutex;
        std::condition_variable m_wake;
        bool m_isFed = false;
        bool m_isDone = false;
        std::thread m_thread;
    };

} // namespace

Expected<void, http::ClientError> streamWithIdleTimeout(http::HttpClient& client, const std::string& server, const http::Request& request,
    const std::function<bool(std::string_view)>& onData, Milliseconds idleTimeout)
{
    http::Cancellation cancellation;
    Watchdog watchdog(cancellation, idleTimeout);
    http::StreamOptions options;
    options.cancellation = &cancellation;
    const auto feedAndForward = [&](std::string_view data) {
        watchdog.feed();
        return onData(data);
    };
    return client.stream(server, request, feedAndForward, options);
}

} // namespace kingcuploom::ctl

#pragma once

#include "http/HttpClient.h"
#include "store/CallCounter.h"
#include "store/EtcdStore.h"

#include <thread>

namespace kingcuploom::store {

struct WatchSpec {
    std::vector<std::string> baseUrls;
    std::string request;
    Milliseconds connectTimeout;
    std::function<void(const std::vector<WatchEvent>&)> onEvents;
    std::function<void()> onLost;
};

// One watch stream with its own thread, which ends when the stream breaks.
class EtcdWatch final : public Watch {
public:
    EtcdWatch(std::shared_ptr<http::HttpClient>, std::shared_ptr<CallCounter>, WatchSpec);
    ~EtcdWatch() override;
    EtcdWatch(const EtcdWatch&) = delete;
    EtcdWatch& operator=(const EtcdWatch&) = delete;

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace kingcuploom::store

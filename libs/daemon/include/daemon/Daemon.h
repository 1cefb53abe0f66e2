#pragma once

#include "base/Expected.h"
#include "schema/generated/settings_generated.h"

#include <memory>

namespace kingcuploom {

enum class StartError {
    CannotListenForLinks,
    CannotListenForHttp,
};

const char* toString(StartError);

// All parts of kingcuploomd, put together. Used from one thread.
class Daemon {
public:
    // The settings must have passed checkSettings().
    explicit Daemon(schema::SettingsT);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Listens and starts all threads; does not wait for the store. Logs "event=listening http_port=N link_port=M".
    Expected<void, StartError> start();

    // Graceful shutdown within shutdown_limit_ms: not ready, shards handed over, requests in progress answered, threads ended.
    void shutDown();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace kingcuploom

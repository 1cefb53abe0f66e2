#pragma once

#include "base/Clock.h"
#include "daemon/OwnershipView.h"
#include "link/LinkHub.h"
#include "schema/generated/settings_generated.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace kingcuploom {

// Sends this daemon's figures to all members every heartbeat_ms and keeps those of the others. Thread-safe.
class LoadExchange {
public:
    // Where the own figures come from; an absent one is left out. Called on the exchange's thread.
    struct Sources {
        std::function<std::vector<schema::LoadFigureT>()> loads;
        std::function<std::vector<schema::CapacityFigureT>()> capacities;
        std::function<Revision()> configRevision;
    };

    struct Received {
        schema::HeartbeatT heartbeat;
        MonotonicTime receivedAt;
    };

    using Listener = std::function<void(const DaemonId&, const schema::HeartbeatT&)>;

    // Registers the handler of Heartbeat with the hub.
    LoadExchange(const schema::SettingsT&, const Clock&, OwnershipView&, link::LinkHub&);
    ~LoadExchange();
    LoadExchange(const LoadExchange&) = delete;
    LoadExchange& operator=(const LoadExchange&) = delete;

    // Before start(). The listener runs on the hub's threads and must not block.
    Sources& sources() { return m_sources; }
    void onHeartbeat(Listener);

    void start();
    void stop();

    // Sends one round now.
    void sendNow();

    // Last heartbeat of each daemon, also of one that is no longer a member; the receiver judges the age.
    std::map<DaemonId, Received> received() const;

private:
    void run();
    schema::LinkMessageT makeMessage() const;
    void receive(const DaemonId&, const schema::HeartbeatT&);

    const schema::SettingsT& m_settings;
    const Clock& m_clock;
    OwnershipView& m_ownership;
    link::LinkHub& m_hub;
    Sources m_sources;
    std::vector<Listener> m_listeners;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::map<DaemonId, Received> m_received;
    std::thread m_thread;
};

} // namespace kingcuploom

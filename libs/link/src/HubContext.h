#pragma once

#include "base/Clock.h"
#include "link/LinkHub.h"

#include <array>
#include <atomic>
#include <map>
#include <vector>

namespace kingcuploom::link {

// Totals that several connections raise. Thread-safe.
struct LinkCounters {
    std::atomic<std::uint64_t> framesSent = 0;
    std::atomic<std::uint64_t> framesReceived = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> connectionsOpened = 0;
    std::atomic<std::uint64_t> connectionsLost = 0;
    std::atomic<std::uint64_t> connectionsAccepted = 0;
    std::atomic<std::uint64_t> connectAttemptsRefused = 0;
    std::atomic<std::uint64_t> brokenFrames = 0;
    std::atomic<std::uint64_t> oversizedFrames = 0;
    std::atomic<std::uint64_t> unknownMessages = 0;
    std::atomic<std::uint64_t> wrongKeys = 0;
    std::atomic<std::uint64_t> handshakeTimeouts = 0;
    std::atomic<std::uint64_t> silentPeers = 0;
    std::atomic<std::uint64_t> sendQueueFull = 0;

    LinkStatistics snapshot() const;
};

// What all connections of a hub share. Constant after the start, except for the counters. Outlives the connections.
struct HubContext {
    HubSettings settings;
    const Clock& clock;
    Address ownAddress;
    std::map<schema::LinkBody, std::vector<LinkHub::MessageHandler>> messageHandlers;
    std::vector<LinkHub::StatusHandler> statusHandlers;
    LinkCounters counters;
    std::atomic<std::uint64_t> nextSeed = 1;
    // No handler is called from here on.
    std::atomic<bool> isStopping = false;
};

// With the key for the handshake, without it as a probe.
enum class HelloKind {
    Handshake,
    Probe,
};
std::string helloFrame(const HubContext&, HelloKind);

// Compares in a time that does not depend on where the keys differ.
bool equalKeys(const std::string& expected, const std::string& given);

} // namespace kingcuploom::link

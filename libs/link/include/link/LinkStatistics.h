#pragma once

#include <cstdint>

namespace kingcuploom::link {

// Totals since the start of the hub.
struct LinkStatistics {
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsLost = 0;
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t connectAttemptsRefused = 0;
    // Frames that are no valid message, and frames over the size limit. Each closes its connection.
    std::uint64_t brokenFrames = 0;
    std::uint64_t oversizedFrames = 0;
    // Valid frames with a message type that this version does not know; they are ignored.
    std::uint64_t unknownMessages = 0;
    std::uint64_t wrongKeys = 0;
    std::uint64_t handshakeTimeouts = 0;
    // Connections closed because the peer stopped answering probes.
    std::uint64_t silentPeers = 0;
    std::uint64_t sendQueueFull = 0;
};

} // namespace kingcuploom::link

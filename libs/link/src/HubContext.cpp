#include "HubContext.h"

#include "FrameCodec.h"

#include <algorithm>

namespace kingcuploom::link {

LinkStatistics LinkCounters::snapshot() const
{
    LinkStatistics result;
    result.framesSent = framesSent;
    result.framesReceived = framesReceived;
    result.bytesSent = bytesSent;
    result.bytesReceived = bytesReceived;
    result.connectionsOpened = connectionsOpened;
    result.connectionsLost = connectionsLost;
    result.connectionsAccepted = connectionsAccepted;
    result.connectAttemptsRefused = connectAttemptsRefused;
    result.brokenFrames = brokenFrames;
    result.oversizedFrames = oversizedFrames;
    result.unknownMessages = unknownMessages;
    result.wrongKeys = wrongKeys;
    result.handshakeTimeouts = handshakeTimeouts;
    result.silentPeers = silentPeers;
    result.sendQueueFull = sendQueueFull;
    return result;
}

std::string helloFrame(const HubContext& context, HelloKind kind)
{
    schema::HelloT hello;
    hello.daemon = context.settings.self.value();
    hello.incarnation = context.settings.incarnation.value();
    hello.link_address = context.ownAddress.value();
    if (kind == HelloKind::Handshake)
        hello.key = context.settings.key;
    schema::LinkMessageT message;
    message.body.Set(std::move(hello));
    return encodeFrame(message).value_or(std::string());
}

bool equalKeys(const std::string& expected, const std::string& given)
{
    // The length of the key is no secret; an empty key on either side never matches.
    if (expected.empty() || expected.size() != given.size())
        return false;
    volatile unsigned char difference = 0;
    for (std::size_t i = 0; i < expected.size(); ++i)
        difference = static_cast<unsigned char>(difference | (expected[i] ^ given[i]));
    return difference == 0;
}

} // namespace kingcuploom::link

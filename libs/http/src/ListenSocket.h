#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace kingcuploom::http {

struct ListenSocket {
    int descriptor;
    std::uint16_t port;
};

// Listens on the numeric IPv4 or IPv6 address; port 0 lets the kernel choose. Nothing when that fails.
std::optional<ListenSocket> openListenSocket(const std::string& host, std::uint16_t port);

} // namespace kingcuploom::http

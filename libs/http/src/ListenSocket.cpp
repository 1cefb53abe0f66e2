#include "ListenSocket.h"

#include <memory>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

namespace kingcuploom::http {

namespace {

    constexpr int backlog = 1024;

    struct AddressDeleter {
        void operator()(addrinfo* list) const { freeaddrinfo(list); }
    };
    using AddressList = std::unique_ptr<addrinfo, AddressDeleter>;

    AddressList resolveNumeric(const std::string& host, std::uint16_t port)
    {
        addrinfo hints {};
        hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
        hints.ai_socktype = SOCK_STREAM;
        addrinfo* list = nullptr;
        if (getaddrinfo(host.c_str(), std::to_string(port).c_str(), &hints, &list) != 0)
            return nullptr;
        return AddressList(list);
    }

    bool bindAndListen(int descriptor, const addrinfo& address)
    {
        const int on = 1;
        // A restarted daemon takes its port again although connections of the previous process are in TIME_WAIT.
        return setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
            && bind(descriptor, address.ai_addr, address.ai_addrlen) == 0 && listen(descriptor, backlog) == 0;
    }

    std::uint16_t portOf(int descriptor)
    {
        sockaddr_storage address {};
        socklen_t size = sizeof(address);
        char service[NI_MAXSERV] = {};
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (getsockname(descriptor, generic, &size) != 0
            || getnameinfo(generic, size, nullptr, 0, service, sizeof(service), NI_NUMERICSERV) != 0)
            return 0;
        return static_cast<std::uint16_t>(std::stoul(service));
    }

} // namespace

std::optional<ListenSocket> openListenSocket(const std::string& host, std::uint16_t port)
{
    const auto address = resolveNumeric(host, port);
    if (!address)
        return std::nullopt;
    const int descriptor = socket(address->ai_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return std::nullopt;
    if (!bindAndListen(descriptor, *address)) {
        close(descriptor);
        return std::nullopt;
    }
    return ListenSocket { descriptor, portOf(descriptor) };
}

} // namespace kingcuploom::http

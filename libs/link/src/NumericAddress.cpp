#include "NumericAddress.h"

#include <charconv>
#include <sstream>

namespace kingcuploom::link {

namespace {

    std::optional<std::uint16_t> parsePort(std::string_view text)
    {
        std::uint16_t port = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return port;
    }

    std::string withoutBrackets(const std::string& host)
    {
        const bool isBracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
        return isBracketed ? host.substr(1, host.size() - 2) : host;
    }

} // namespace

std::optional<asio::ip::tcp::endpoint> parseNumericAddress(const Address& address)
{
    const auto& text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    asio::error_code ec;
    const auto host = asio::ip::make_address(withoutBrackets(text.substr(0, colon)), ec);
    if (ec || !port)
        return std::nullopt;
    return asio::ip::tcp::endpoint(host, *port);
}

Address toAddress(const asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream out;
    out << endpoint;
    return Address(out.str());
}

} // namespace kingcuploom::link

#pragma once

#include "base/Ids.h"

#include <asio/ip/tcp.hpp>
#include <optional>

namespace kingcuploom::link {

// "host:port" or "[host]:port" with a numeric host; nothing when it has another form.
std::optional<asio::ip::tcp::endpoint> parseNumericAddress(const Address&);

Address toAddress(const asio::ip::tcp::endpoint&);

} // namespace kingcuploom::link

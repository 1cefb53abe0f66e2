#pragma once

#include "http/HttpMessage.h"

#include <cstddef>
#include <ulfius.h>

namespace kingcuploom::http {

// Path and headers, without the body.
Request requestHeadOf(const _u_request&);
void addBody(const _u_request&, Request&);

// Bytes of request line and headers.
std::size_t headerBytes(const Request&);

void setHeaders(_u_response&, const Headers&);
void setResponse(_u_response&, const Response&);

} // namespace kingcuploom::http

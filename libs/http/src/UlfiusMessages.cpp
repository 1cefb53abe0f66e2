#include "UlfiusMessages.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <numeric>

namespace kingcuploom::http {

namespace {

    // ": " and the line end.
    constexpr std::size_t separatorBytes = 4;

    // The n-th spelling of a header name, which differs from the others in upper and lower case only. ulfius keeps one value per
    // spelling, while several Set-Cookie headers cannot be joined into one.
    std::string spelling(std::string name, unsigned n)
    {
        for (auto& c : name) {
            if (std::isalpha(static_cast<unsigned char>(c)) == 0)
                continue;
            if ((n & 1U) != 0)
                c = std::isupper(static_cast<unsigned char>(c)) != 0 ? static_cast<char>(std::tolower(c))
                                                                     : static_cast<char>(std::toupper(c));
            n >>= 1U;
        }
        return name;
    }

    bool isSetCookie(const std::string& name) { return !headerValue({ { name, "1" } }, "Set-Cookie").empty(); }
    bool isContentLength(const std::string& name) { return !headerValue({ { name, "1" } }, "Content-Length").empty(); }

} // namespace

Request requestHeadOf(const _u_request& source)
{
    Request request;
    request.method = source.http_verb;
    request.path = source.http_url;
    for (int i = 0; i < source.map_header->nb_values; ++i) {
        const std::string value(source.map_header->values[i], source.map_header->lengths[i]);
        // The length may count the terminating zero.
        request.headers.emplace_back(source.map_header->keys[i], value.c_str());
    }
    return request;
}

void addBody(const _u_request& source, Request& request)
{
    request.body.assign(static_cast<const char*>(source.binary_body), source.binary_body_length);
}

std::size_t headerBytes(const Request& request)
{
    return std::accumulate(request.headers.begin(), request.headers.end(), request.method.size() + request.path.size(),
        [](std::size_t sum, const auto& header) { return sum + header.first.size() + header.second.size() + separatorBytes; });
}

void setHeaders(_u_response& target, const Headers& headers)
{
    std::map<std::string, std::string> joined;
    unsigned cookies = 0;
    for (const auto& [name, value] : withoutHopByHop(headers)) {
        if (isContentLength(name))
            continue;
        if (isSetCookie(name)) {
            joined[spelling(name, cookies++)] = value;
            continue;
        }
        auto& entry = joined[name];
        if (!entry.empty())
            entry += ", ";
        entry += value;
    }
    for (const auto& [name, value] : joined)
        u_map_put(target.map_header, name.c_str(), value.c_str());
}

void setResponse(_u_response& target, const Response& response)
{
    setHeaders(target, response.headers);
    if (response.body.empty())
        ulfius_set_empty_body_response(&target, static_cast<unsigned>(response.status));
    else
        ulfius_set_binary_body_response(&target, static_cast<unsigned>(response.status), response.body.data(), response.body.size());
}

} // namespace kingcuploom::http

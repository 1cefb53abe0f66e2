#include "http/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <string_view>

namespace kingcuploom::http {

namespace {

    constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        std::ranges::transform(result, result.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
        return result;
    }

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> parts;
        for (std::size_t begin = 0; begin <= text.size();) {
            const auto end = std::min(text.find(separator, begin), text.size());
            parts.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        return parts;
    }

    // Lower-case names listed in the "Connection" headers.
    std::vector<std::string> connectionOptions(const Headers& headers)
    {
        std::vector<std::string> names;
        for (const auto& [name, value] : headers) {
            if (lowerCase(name) != "connection")
                continue;
            std::ranges::transform(split(value, ','), std::back_inserter(names), [](auto part) { return lowerCase(trimmed(part)); });
        }
        return names;
    }

    std::string percentDecoded(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned code = 0;
            if (text[i] == '%' && i + 2 < text.size()
                && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
                result += static_cast<char>(code);
                i += 2;
            } else {
                result += text[i] == '+' ? ' ' : text[i];
            }
        }
        return result;
    }

} // namespace

std::string headerValue(const Headers& headers, const std::string& name)
{
    const auto wanted = lowerCase(name);
    const auto it = std::ranges::find_if(headers, [&](const auto& header) { return lowerCase(header.first) == wanted; });
    return it == headers.end() ? std::string() : it->second;
}

std::string queryValue(const std::string& path, const std::string& name)
{
    const auto question = path.find('?');
    if (question == std::string::npos)
        return {};
    for (const auto pair : split(std::string_view(path).substr(question + 1), '&')) {
        const auto equals = pair.find('=');
        if (percentDecoded(pair.substr(0, equals)) == name)
            return equals == std::string_view::npos ? std::string() : percentDecoded(pair.substr(equals + 1));
    }
    return {};
}

Headers withoutHopByHop(const Headers& headers)
{
    const auto options = connectionOptions(headers);
    Headers result;
    std::ranges::copy_if(headers, std::back_inserter(result), [&](const auto& header) {
        const auto name = lowerCase(header.first);
        return std::ranges::find(hopByHopNames, name) == hopByHopNames.end() && std::ranges::find(options, name) == options.end();
    });
    return result;
}

} // namespace kingcuploom::http

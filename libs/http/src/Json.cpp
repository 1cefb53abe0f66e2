#include "http/Json.h"

#include <charconv>
#include <cstdlib>
#include <orcania.h>

namespace kingcuploom::http {

namespace {

    constexpr std::size_t parseFlags = JSON_REJECT_DUPLICATES | JSON_DECODE_ANY;

} // namespace

Json parseJson(std::string_view text) { return Json(json_loadb(text.data(), text.size(), parseFlags, nullptr)); }

Json parseJsonWithReals(std::string_view text)
{
    return Json(json_loadb(text.data(), text.size(), parseFlags | JSON_DECODE_INT_AS_REAL, nullptr));
}

std::string dumpJson(const json_t* value)
{
    const std::unique_ptr<char, decltype(&std::free)> text(json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY), &std::free);
    return text ? text.get() : std::string();
}

const json_t* field(const json_t* object, const char* name) { return json_object_get(object, name); }

std::string stringField(const json_t* object, const char* name)
{
    const auto* value = field(object, name);
    return json_is_string(value) ? std::string(json_string_value(value), json_string_length(value)) : std::string();
}

bool boolField(const json_t* object, const char* name, bool fallback)
{
    const auto* value = field(object, name);
    return json_is_boolean(value) ? json_is_true(value) : fallback;
}

std::int64_t intField(const json_t* object, const char* name, std::int64_t fallback)
{
    const auto* value = field(object, name);
    if (json_is_integer(value))
        return json_integer_value(value);
    const auto text = stringField(object, name);
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size() ? number : fallback;
}

std::string encodeBase64(std::string_view bytes)
{
    if (bytes.empty())
        return {};
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    std::size_t size = out.size();
    o_base64_encode(
        reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), reinterpret_cast<unsigned char*>(out.data()), &size);
    out.resize(size);
    return out;
}

std::string decodeBase64(std::string_view text)
{
    if (text.empty())
        return {};
    std::string out(text.size() / 4 * 3 + 3, '\0');
    std::size_t size = out.size();
    if (o_base64_decode(
            reinterpret_cast<const unsigned char*>(text.data()), text.size(), reinterpret_cast<unsigned char*>(out.data()), &size)
        == 0)
        return {};
    out.resize(size);
    return out;
}

} // namespace kingcuploom::http

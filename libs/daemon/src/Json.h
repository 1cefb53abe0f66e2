#pragma once

#include <cstdint>
#include <jansson.h>
#include <memory>
#include <string>

namespace kingcuploom {

struct JsonRelease {
    void operator()(json_t* value) const { json_decref(value); }
};

// Owner of one jansson value.
using Json = std::unique_ptr<json_t, JsonRelease>;

inline Json jsonObject() { return Json(json_object()); }
inline Json jsonArray() { return Json(json_array()); }

inline Json toJsonValue(const std::string& text)
{
    // Text from outside that is not UTF-8 is shown as such instead of being left out.
    auto* value = json_stringn(text.data(), text.size());
    return Json(value ? value : json_string("(not UTF-8)"));
}
inline Json toJsonValue(const char* text) { return toJsonValue(std::string(text)); }
inline Json toJsonValue(bool value) { return Json(json_boolean(value)); }
inline Json toJsonValue(std::int64_t value) { return Json(json_integer(value)); }
inline Json toJsonValue(std::uint64_t value) { return Json(json_integer(static_cast<json_int_t>(value))); }
inline Json toJsonValue(std::uint32_t value) { return Json(json_integer(value)); }
inline Json toJsonValue(Json value) { return value; }

template <typename T> void setField(const Json& object, const char* key, T&& value)
{
    json_object_set_new(object.get(), key, toJsonValue(std::forward<T>(value)).release());
}

inline void appendValue(const Json& array, Json value) { json_array_append_new(array.get(), value.release()); }

// One line without a line end.
inline std::string dumpJson(const Json& value)
{
    const std::unique_ptr<char, decltype(&free)> text(json_dumps(value.get(), JSON_COMPACT), &free);
    return text ? text.get() : "null";
}

} // namespace kingcuploom

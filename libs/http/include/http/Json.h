#pragma once

#include <cstdint>
#include <jansson.h>
#include <memory>
#include <string>
#include <string_view>

namespace kingcuploom::http {

struct JsonDeleter {
    void operator()(json_t* value) const { json_decref(value); }
};

// Owner of a jansson value.
using Json = std::unique_ptr<json_t, JsonDeleter>;

// nullptr when the text is not one JSON value.
Json parseJson(std::string_view text);
// Reads each number as a real one, so that an integer beyond 64 bits does not make the whole text unreadable.
Json parseJsonWithReals(std::string_view text);
std::string dumpJson(const json_t*);

// Fields of an object. A field that is absent or of another type gives the fallback; nullptr and other values have no fields.
std::string stringField(const json_t*, const char* name);
bool boolField(const json_t*, const char* name, bool fallback = false);
// Accepts a number or a decimal string, the JSON form of 64-bit numbers in protocol buffers.
std::int64_t intField(const json_t*, const char* name, std::int64_t fallback = 0);
// Borrowed; nullptr when absent.
const json_t* field(const json_t*, const char* name);

// Standard alphabet with padding. Binary-safe.
std::string encodeBase64(std::string_view bytes);
std::string decodeBase64(std::string_view text);

} // namespace kingcuploom::http

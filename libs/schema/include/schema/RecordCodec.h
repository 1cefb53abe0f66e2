#pragma once

#include "base/Expected.h"
#include "schema/generated/link_generated.h"
#include "schema/generated/records_generated.h"

#include <string>
#include <string_view>

namespace kingcuploom::schema {

enum class RecordError {
    Malformed,
};

// Binary form of a record or message. Works on the object API types (names ending in T).
template <typename Native> std::string encode(const Native& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Native::TableType::Pack(builder, &value));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

// Verifies the buffer before it is read, so a broken one is an error and never a crash.
template <typename Native> Expected<Native, RecordError> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<typename Native::TableType>(nullptr))
        return makeUnexpected(RecordError::Malformed);
    Native result;
    flatbuffers::GetRoot<typename Native::TableType>(data)->UnPackTo(&result);
    return result;
}

} // namespace kingcuploom::schema

#include "FrameCodec.h"

#include "link/LinkHub.h"
#include "schema/RecordCodec.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace kingcuploom::link {

namespace {

    constexpr std::size_t prefixBytes = 4;
    // A buffer grown for a large frame is released once it is empty.
    constexpr std::size_t keptBufferBytes = 256 * 1024;

    void writePrefix(std::string& frame, std::uint32_t length)
    {
        for (std::size_t i = 0; i < prefixBytes; ++i)
            frame[i] = static_cast<char>((length >> (8 * i)) & 0xff);
    }

    std::uint32_t readPrefix(const char* bytes)
    {
        std::uint32_t length = 0;
        for (std::size_t i = 0; i < prefixBytes; ++i)
            length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return length;
    }

} // namespace

Expected<std::string, FrameError> encodeFrame(const schema::LinkMessageT& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::LinkMessage::Pack(builder, &message));
    const auto size = builder.GetSize();
    if (size > maxFrameBytes)
        return makeUnexpected(FrameError::TooLarge);
    std::string frame(prefixBytes, '\0');
    frame.reserve(prefixBytes + size);
    writePrefix(frame, size);
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
    return frame;
}

Expected<schema::LinkMessageT, FrameError> decodeMessage(std::string_view bytes)
{
    auto message = schema::decode<schema::LinkMessageT>(bytes);
    if (!message || message->body.type == schema::LinkBody::NONE)
        return makeUnexpected(FrameError::Malformed);
    if (message->body.value == nullptr)
        return makeUnexpected(FrameError::UnknownMessage);
    return std::move(*message);
}

std::span<char> FrameBuffer::prepare(std::size_t size)
{
    // The incomplete frame moves to the front; nothing is copied while one large frame arrives.
    if (m_begin > 0)
        std::memmove(m_bytes.data(), m_bytes.data() + m_begin, m_end - m_begin);
    m_end -= std::exchange(m_begin, 0);
    if (m_end == 0 && m_bytes.size() > keptBufferBytes)
        m_bytes = {};
    if (m_bytes.size() < m_end + size)
        m_bytes.resize(std::max(m_end + size, 2 * m_bytes.size()));
    return std::span(m_bytes).subspan(m_end);
}

Expected<std::optional<std::string_view>, FrameError> FrameBuffer::next()
{
    if (m_end - m_begin < prefixBytes)
        return std::nullopt;
    const auto length = readPrefix(m_bytes.data() + m_begin);
    if (length > m_limit)
        return makeUnexpected(FrameError::TooLarge);
    if (m_end - m_begin - prefixBytes < length)
        return std::nullopt;
    const std::string_view frame(m_bytes.data() + m_begin + prefixBytes, length);
    m_begin += prefixBytes + length;
    return frame;
}

} // namespace kingcuploom::link

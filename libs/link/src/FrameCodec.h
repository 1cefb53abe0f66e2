#pragma once

#include "base/Expected.h"
#include "schema/generated/link_generated.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuploom::link {

enum class FrameError {
    TooLarge,
    Malformed,
    // Valid, but of a message type that this version does not know.
    UnknownMessage,
};

// Length prefix and message.
Expected<std::string, FrameError> encodeFrame(const schema::LinkMessageT&);

// Verifies the bytes of one frame (without the prefix) before reading them.
Expected<schema::LinkMessageT, FrameError> decodeMessage(std::string_view);

// Bytes received on one connection, cut into frames. Not thread-safe.
class FrameBuffer {
public:
    explicit FrameBuffer(std::uint32_t limit)
        : m_limit(limit)
    {
    }

    void setLimit(std::uint32_t limit) { m_limit = limit; }

    // Space of at least the given size for the next read; invalidates the views returned by next().
    std::span<char> prepare(std::size_t size);
    void commit(std::size_t size) { m_end += size; }

    // The next complete frame, nothing while it is incomplete.
    Expected<std::optional<std::string_view>, FrameError> next();

private:
    std::vector<char> m_bytes;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::uint32_t m_limit;
};

} // namespace kingcuploom::link

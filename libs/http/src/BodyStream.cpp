#include "BodyStream.h"

#include <algorithm>
#include <microhttpd.h>

namespace kingcuploom::http {

void OpenStreams::endAll()
{
    m_isEnding = true;
    const std::scoped_lock lock(m_mutex);
    for (auto* stream : m_streams) {
        if (stream->m_response.cancel)
            stream->m_response.cancel();
    }
}

BodyStream::BodyStream(OpenStreams& open, StreamResponse response)
    : m_open(open)
    , m_response(std::move(response))
{
    const std::scoped_lock lock(m_open.m_mutex);
    m_open.m_streams.insert(this);
}

BodyStream::~BodyStream()
{
    const std::scoped_lock lock(m_open.m_mutex);
    m_open.m_streams.erase(this);
}

bool BodyStream::fetchPiece()
{
    if (m_open.m_isEnding)
        return false;
    m_piece = m_response.nextPiece();
    m_offset = 0;
    return !m_piece.empty();
}

ssize_t BodyStream::read(char* out, std::size_t size)
{
    try {
        if (m_offset == m_piece.size() && !fetchPiece())
            return MHD_CONTENT_READER_END_OF_STREAM;
    } catch (...) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto count = std::min(size, m_piece.size() - m_offset);
    std::copy_n(m_piece.data() + m_offset, count, out);
    m_offset += count;
    return static_cast<ssize_t>(count);
}

} // namespace kingcuploom::http

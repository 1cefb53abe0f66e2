#pragma once

#include "http/HttpServer.h"

#include <atomic>
#include <mutex>
#include <set>
#include <sys/types.h>

namespace kingcuploom::http {

class BodyStream;

// Streams being answered, so that stop() can end them. Thread-safe.
class OpenStreams {
public:
    // Ends each open stream after its current piece, and each later one at once.
    void endAll();

private:
    friend class BodyStream;

    std::atomic<bool> m_isEnding = false;
    std::mutex m_mutex;
    std::set<BodyStream*> m_streams;
};

// One streamed answer. read() is called by the thread of its connection.
class BodyStream {
public:
    BodyStream(OpenStreams&, StreamResponse);
    ~BodyStream();
    BodyStream(const BodyStream&) = delete;
    BodyStream& operator=(const BodyStream&) = delete;

    // Copies up to "size" bytes; a negative number of libmicrohttpd ends the answer.
    ssize_t read(char* out, std::size_t size);

private:
    friend class OpenStreams;

    bool fetchPiece();

    OpenStreams& m_open;
    StreamResponse m_response;
    std::string m_piece;
    std::size_t m_offset = 0;
};

} // namespace kingcuploom::http

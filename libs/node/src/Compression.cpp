#include "Compression.h"

#include <zstd.h>

namespace kingcuploom::node {

namespace {

    // The fastest regular level: records repeat the same fields, so higher levels save little.
    constexpr int compressionLevel = 1;
    // Bounds the memory that a damaged frame header can request.
    constexpr unsigned long long maxContentBytes = 16ULL * 1024 * 1024;

} // namespace

std::string compress(const std::string& value)
{
    std::string buf(ZSTD_compressBound(value.size()), '\0');
    const auto n = ZSTD_compress(buf.data(), buf.size(), value.data(), value.size(), compressionLevel);
    buf.resize(ZSTD_isError(n) ? 0 : n);
    return buf;
}

Expected<std::string, CompressionError> decompress(const std::string& value)
{
    const auto size = ZSTD_getFrameContentSize(value.data(), value.size());
    if (size == ZSTD_CONTENTSIZE_ERROR)
        return makeUnexpected(CompressionError::NotCompressed);
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxContentBytes)
        return makeUnexpected(CompressionError::Corrupt);
    std::string content(size, '\0');
    const auto n = ZSTD_decompress(content.data(), content.size(), value.data(), value.size());
    if (ZSTD_isError(n) || n != size)
        return makeUnexpected(CompressionError::Corrupt);
    return content;
}

} // namespace kingcuploom::node

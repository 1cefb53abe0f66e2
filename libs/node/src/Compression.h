#pragma once

#include "base/Expected.h"

#include <string>

namespace kingcuploom::node {

enum class CompressionError {
    // The value does not begin a compressed frame.
    NotCompressed,
    // The frame is damaged, or its content is larger than the store's largest value can sensibly hold.
    Corrupt,
};

// Compresses a record for the store.
std::string compress(const std::string& value);

Expected<std::string, CompressionError> decompress(const std::string& value);

} // namespace kingcuploom::node

#pragma once

#include <cstddef>

namespace kingcuploom::relay {

// A leader tells a relay a payload again after this many others, and the relay keeps twice as many.
inline constexpr std::size_t maxKeptPayloads = 4096;

} // namespace kingcuploom::relay

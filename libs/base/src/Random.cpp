#include "base/Random.h"

namespace kingcuploom {

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    auto z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

std::uint64_t Random::below(std::uint64_t bound) { return next() % bound; }

double Random::unit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next() >> 11) * scale;
}

} // namespace kingcuploom

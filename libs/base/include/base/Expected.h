#pragma once

#include <tl/expected.hpp>

namespace kingcuploom {

template <typename T, typename E> using Expected = tl::expected<T, E>;

template <typename E> tl::unexpected<std::decay_t<E>> makeUnexpected(E&& error)
{
    return tl::unexpected<std::decay_t<E>>(std::forward<E>(error));
}

} // namespace kingcuploom

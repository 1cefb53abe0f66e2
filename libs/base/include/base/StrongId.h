#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace kingcuploom {

// Textual identifier that cannot be mixed up with an identifier of another kind. Immutable value type.
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }
    auto operator<=>(const StrongId&) const = default;

private:
    std::string m_value;
};

template <typename Tag> std::ostream& operator<<(std::ostream& out, const StrongId<Tag>& id) { return out << id.value(); }

// Number with a unit or a role of its own. Arithmetic stays within one kind.
template <typename Tag, typename Rep> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep value)
        : m_value(value)
    {
    }

    constexpr Rep value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }
    constexpr auto operator<=>(const StrongNumber&) const = default;

    constexpr StrongNumber& operator+=(StrongNumber other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr StrongNumber& operator-=(StrongNumber other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) { return a += b; }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) { return a -= b; }

private:
    Rep m_value {};
};

template <typename Tag, typename Rep> std::ostream& operator<<(std::ostream& out, StrongNumber<Tag, Rep> number)
{
    return out << number.value();
}

} // namespace kingcuploom

template <typename Tag> struct std::hash<kingcuploom::StrongId<Tag>> {
    std::size_t operator()(const kingcuploom::StrongId<Tag>& id) const { return std::hash<std::string>()(id.value()); }
};

template <typename Tag, typename Rep> struct std::hash<kingcuploom::StrongNumber<Tag, Rep>> {
    std::size_t operator()(kingcuploom::StrongNumber<Tag, Rep> number) const { return std::hash<Rep>()(number.value()); }
};

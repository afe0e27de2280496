#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace cassiaroad {

/**
 * Parses @p text as a decimal number. Returns nothing if it is malformed, followed by other
 * characters, or out of the range of Number. Thread-safe.
 */
template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

} // namespace cassiaroad

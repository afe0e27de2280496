#include "request/tracecontext.h"

#include <algorithm>
#include <array>

namespace cassiaroad {

namespace {

// A traceparent header has version "00", trace id, parent id and flags, separated by dashes.
constexpr std::size_t headerLength = 55;
constexpr std::size_t traceIdAt = 3;
constexpr std::size_t spanIdAt = 36;
constexpr std::size_t flagsAt = 53;

std::string hexadecimal(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[number & 0xfU];
        number >>= 4U;
    }
    return text;
}

bool isHexadecimal(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
}

bool isNonZeroId(std::string_view text)
{
    return isHexadecimal(text) && text.find_first_not_of('0') != std::string_view::npos;
}

bool isTraceparent(std::string_view text)
{
    return text.size() == headerLength && text.starts_with("00-") && text[spanIdAt - 1] == '-'
           && text[flagsAt - 1] == '-' && isNonZeroId(text.substr(traceIdAt, 32))
           && isNonZeroId(text.substr(spanIdAt, 16)) && isHexadecimal(text.substr(flagsAt, 2));
}

} // namespace

TraceContext TraceContext::continueFrom(std::string_view traceparent, std::uint64_t randomHigh,
                                        std::uint64_t randomLow, std::uint64_t randomSpan)
{
    const std::string span = hexadecimal(randomSpan | 1U);
    if (!isTraceparent(traceparent)) {
        return { hexadecimal(randomHigh) + hexadecimal(randomLow | 1U), span, "", true };
    }
    const char flags = traceparent[flagsAt + 1];
    const bool sampled = ((flags <= '9' ? flags - '0' : flags - 'a' + 10) & 1) != 0;
    return { std::string(traceparent.substr(traceIdAt, 32)), span,
             std::string(traceparent.substr(spanIdAt, 16)), sampled };
}

std::string TraceContext::header() const
{
    return "00-" + this->traceId + "-" + this->spanId + (this->sampled ? "-01" : "-00");
}

} // namespace cassiaroad

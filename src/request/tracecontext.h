#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cassiaroad {

/** W3C trace context of one hop. Immutable. */
struct TraceContext
{
    std::string traceId; // 32 lower-case hexadecimal digits
    std::string spanId; // 16 digits; the span of this hop
    std::string parentSpanId; // 16 digits, or empty for the first hop
    bool sampled = true;

    bool operator==(const TraceContext &) const = default;

    /**
     * Continues the trace of a traceparent header, or starts a new one if the header is absent or
     * malformed. The random numbers are drawn by the caller. Thread-safe.
     */
    static TraceContext continueFrom(std::string_view traceparent, std::uint64_t randomHigh,
                                     std::uint64_t randomLow, std::uint64_t randomSpan);

    /** Value of the traceparent header for the next hop. */
    std::string header() const;
};

} // namespace cassiaroad

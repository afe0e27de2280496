#pragma once

#include "process/eventloop.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/** One hop of a request. Times are wall clock, in milliseconds since 1970. */
struct Span
{
    std::string traceId;
    std::string spanId;
    std::string parentSpanId; // empty for the first hop
    std::string name;
    std::int64_t start = 0;
    std::int64_t end = 0;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> attributes;

    bool operator==(const Span &) const = default;
};

/** Returns a span as one line of OTLP JSON, without the line end. Thread-safe. */
std::string toOtlpJson(const Span &span, const std::string &host);

/** Writes spans to a file, one line each, once a second. Loop thread only. */
class Tracer
{
public:
    /** @p file may be empty: then spans are dropped. @p host names the process. */
    Tracer(EventLoop &loop, const std::string &file, std::string host);
    ~Tracer();
    Tracer(const Tracer &) = delete;
    Tracer &operator=(const Tracer &) = delete;

    bool isEnabled() const { return this->stream.is_open(); }

    void record(const Span &span);

    /** Writes what was recorded. */
    void flush();

private:
    std::string host;
    std::ofstream stream;
    std::string pending;
    EventLoop::Timer timer;
};

} // namespace cassiaroad

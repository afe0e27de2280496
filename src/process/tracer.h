#pragma once

#include "process/eventloop.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/** One hop of a request in a distributed trace. Times are wall clock, milliseconds since 1970. */
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

/** Writes spans to a file once a second, one line each. Loop thread only. */
class Tracer
{
public:
    /** If @p file is empty, spans are dropped. Each span contains @p host. */
    Tracer(EventLoop &loop, const std::string &file, std::string host);
    ~Tracer();
    Tracer(const Tracer &) = delete;
    Tracer &operator=(const Tracer &) = delete;

    bool isEnabled() const { return this->stream.is_open(); }

    /** Adds a span to those that the next flush writes. */
    void record(const Span &span);

    /** Writes the recorded spans to the file. */
    void flush();

private:
    std::string host;
    std::ofstream stream;
    std::string pending;
    EventLoop::Timer timer;
};

} // namespace cassiaroad

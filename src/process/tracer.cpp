#include "process/tracer.h"

#include <nlohmann/json.hpp>

namespace cassiaroad {

namespace {

constexpr Milliseconds flushInterval { 1000 };
// Spans beyond this size are dropped until the next flush, so that a slow disk cannot fill memory.
constexpr std::size_t maxPendingBytes = 1UL << 20U;
constexpr int serverKind = 2;
constexpr int errorStatus = 2;

nlohmann::json attribute(const std::string &name, const std::string &value)
{
    return { { "key", name }, { "value", { { "stringValue", value } } } };
}

std::string nanoseconds(std::int64_t milliseconds)
{
    return std::to_string(milliseconds) + "000000";
}

} // namespace

std::string toOtlpJson(const Span &span, const std::string &host)
{
    nlohmann::json attributes = nlohmann::json::array();
    for (const auto &[name, value] : span.attributes) {
        attributes.push_back(attribute(name, value));
    }
    nlohmann::json entry { { "traceId", span.traceId },
                           { "spanId", span.spanId },
                           { "name", span.name },
                           { "kind", serverKind },
                           { "startTimeUnixNano", nanoseconds(span.start) },
                           { "endTimeUnixNano", nanoseconds(span.end) },
                           { "attributes", std::move(attributes) } };
    if (!span.parentSpanId.empty()) {
        entry["parentSpanId"] = span.parentSpanId;
    }
    if (span.failed) {
        entry["status"] = { { "code", errorStatus } };
    }
    nlohmann::json resource;
    resource["attributes"] = nlohmann::json::array(
            { attribute("service.name", "cassiaroad"), attribute("host.name", host) });
    nlohmann::json scope;
    scope["spans"] = nlohmann::json::array({ std::move(entry) });
    nlohmann::json spans;
    spans["resource"] = std::move(resource);
    spans["scopeSpans"] = nlohmann::json::array({ std::move(scope) });
    nlohmann::json line;
    line["resourceSpans"] = nlohmann::json::array({ std::move(spans) });
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Tracer::Tracer(EventLoop &loop, const std::string &file, std::string host)
    : host(std::move(host))
{
    if (!file.empty()) {
        this->stream.open(file, std::ios::app);
        this->timer = loop.callEvery(flushInterval, [this] { this->flush(); });
    }
}

Tracer::~Tracer()
{
    this->flush();
}

void Tracer::record(const Span &span)
{
    if (this->isEnabled() && this->pending.size() < maxPendingBytes) {
        this->pending += toOtlpJson(span, this->host);
        this->pending += '\n';
    }
}

void Tracer::flush()
{
    if (this->isEnabled() && !this->pending.empty()) {
        this->stream << this->pending << std::flush;
        this->stream.clear();
        this->pending.clear();
    }
}

} // namespace cassiaroad

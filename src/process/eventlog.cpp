#include "process/eventlog.h"

#include "process/pipeappender.h"

#include <algorithm>

#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cassiaroad {

namespace {

// Rate limits of each kind of event in lines per second. After an idle period as many lines may be
// written at once as the rate allows for burstSeconds.
constexpr double sampledLinesPerSecond = 2.0;
constexpr double importantLinesPerSecond = 40.0;
constexpr double burstSeconds = 5.0;
constexpr double millisecondsPerSecond = 1000.0;

double rateOf(Event::Weight weight)
{
    return weight == Event::Weight::Sampled ? sampledLinesPerSecond : importantLinesPerSecond;
}

log4cxx::LoggerPtr eventLogger()
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("events");
    return logger;
}

} // namespace

EventLog::EventLog(std::string host)
    : host(std::move(host))
    , appender(std::make_shared<PipeAppender>(
              std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n")), STDOUT_FILENO))
{
    eventLogger()->removeAllAppenders();
    eventLogger()->addAppender(this->appender);
    eventLogger()->setAdditivity(false);
    eventLogger()->setLevel(log4cxx::Level::getInfo());
}

EventLog::~EventLog()
{
    eventLogger()->removeAllAppenders();
}

EventLog::TokenBucket &EventLog::refill(std::string_view name, Event::Weight weight)
{
    auto found = this->buckets.find(name);
    if (found == this->buckets.end()) {
        found = this->buckets.emplace(std::string(name), TokenBucket {}).first;
        found->second.tokens = rateOf(weight) * burstSeconds;
        found->second.refilledAt = Clock::now();
    }
    TokenBucket &bucket = found->second;
    const TimePoint now = Clock::now();
    const double seconds
            = static_cast<double>((now - bucket.refilledAt).count) / millisecondsPerSecond;
    bucket.refilledAt = now;
    bucket.tokens
            = std::min(bucket.tokens + seconds * rateOf(weight), rateOf(weight) * burstSeconds);
    return bucket;
}

bool EventLog::shouldWrite(std::string_view name, Event::Weight weight)
{
    if (weight == Event::Weight::Always) {
        return true;
    }
    TokenBucket &bucket = this->refill(name, weight);
    if (bucket.tokens >= 1.0) {
        return true;
    }
    ++bucket.suppressedLines;
    ++this->suppressed;
    return false;
}

void EventLog::write(const Event &event)
{
    if (!this->shouldWrite(event.name, event.weight)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = Clock::wallMilliseconds();
    line["host"] = this->host;
    line["event"] = event.name;
    if (event.weight != Event::Weight::Always) {
        TokenBucket &bucket = this->buckets.find(event.name)->second;
        bucket.tokens -= 1.0;
        if (const std::uint64_t suppressedLines = std::exchange(bucket.suppressedLines, 0);
            suppressedLines > 0) {
            line["left_out"] = suppressedLines;
        }
    }
    for (const auto &[name, value] : event.fields) {
        std::visit([&, key = std::string(name)](const auto &v) { line[key] = v; }, value);
    }
    const std::string text
            = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    LOG4CXX_INFO(eventLogger(), text);
}

std::uint64_t EventLog::droppedCount() const
{
    return this->appender->droppedCount();
}

} // namespace cassiaroad

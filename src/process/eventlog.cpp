#include "process/eventlog.h"

#include "process/pipeappender.h"

#include <algorithm>

#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cassiaroad {

namespace {

// Lines per second of one kind of event, and how many may come at once after a quiet time.
constexpr double sampledPerSecond = 2.0;
constexpr double importantPerSecond = 40.0;
constexpr double burstSeconds = 5.0;
constexpr double millisecondsPerSecond = 1000.0;

double rateOf(Event::Weight weight)
{
    return weight == Event::Weight::Sampled ? sampledPerSecond : importantPerSecond;
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

EventLog::Allowance &EventLog::refill(std::string_view name, Event::Weight weight)
{
    auto found = this->allowances.find(name);
    if (found == this->allowances.end()) {
        found = this->allowances.emplace(std::string(name), Allowance {}).first;
        found->second.lines = rateOf(weight) * burstSeconds;
        found->second.refilled = Clock::now();
    }
    Allowance &allowance = found->second;
    const TimePoint now = Clock::now();
    const double seconds
            = static_cast<double>((now - allowance.refilled).count) / millisecondsPerSecond;
    allowance.refilled = now;
    allowance.lines
            = std::min(allowance.lines + seconds * rateOf(weight), rateOf(weight) * burstSeconds);
    return allowance;
}

bool EventLog::hasRoom(std::string_view name, Event::Weight weight)
{
    if (weight == Event::Weight::Always) {
        return true;
    }
    Allowance &allowance = this->refill(name, weight);
    if (allowance.lines >= 1.0) {
        return true;
    }
    ++allowance.leftOut;
    ++this->suppressed;
    return false;
}

void EventLog::write(const Event &event)
{
    if (!this->hasRoom(event.name, event.weight)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = Clock::wallMilliseconds();
    line["host"] = this->host;
    line["event"] = event.name;
    if (event.weight != Event::Weight::Always) {
        Allowance &allowance = this->allowances.find(event.name)->second;
        allowance.lines -= 1.0;
        if (const std::uint64_t leftOut = std::exchange(allowance.leftOut, 0); leftOut > 0) {
            line["left_out"] = leftOut;
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

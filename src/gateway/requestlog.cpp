#include "gateway/requestlog.h"

namespace cassiaroad {

namespace {

constexpr int statusOk = 200;
constexpr int statusServerError = 500;

struct EventKind
{
    const char *name;
    Event::Weight weight;
};

EventKind kindAtEnd(const RequestFacts &facts)
{
    if (facts.status < statusOk || facts.status >= statusServerError) {
        return { "request_failed", Event::Weight::Important };
    }
    const bool isDelayed = facts.ownerWaitDuration.count > 0
                           || (facts.targetLatency && facts.elapsed > *facts.targetLatency);
    if (isDelayed) {
        return { "request_delayed", Event::Weight::Important };
    }
    return { "request", Event::Weight::Sampled };
}

void write(EventLog &log, const EventKind &kind, const RequestFacts &facts)
{
    if (!log.shouldWrite(kind.name, kind.weight)) {
        return;
    }
    const GatewayUpstream *target = facts.target;
    Event event { kind.name, kind.weight, {} };
    event.fields = {
        { "request", facts.requestId },
        { "outcome", facts.outcome },
        { "status", std::int64_t(facts.status) },
        { "ms", facts.elapsed.count },
        { "queued_ms", facts.queuedDuration.count },
        { "owner_wait_ms", facts.ownerWaitDuration.count },
        { "left_ms", facts.timeLeft.count },
        { "service", facts.service },
        { "key", facts.key ? std::int64_t(*facts.key) : std::int64_t(-1) },
        { "upstream", target != nullptr ? target->upstream().incarnation.id : std::string() },
        { "in_flight",
          target != nullptr ? std::int64_t(target->admission().inFlight()) : std::int64_t(0) },
        { "limit", facts.limit },
        { "sends", std::int64_t(facts.attempts) },
        { "sent", facts.isSent },
        { "configuration", std::int64_t(facts.configuration) },
        { "table", std::int64_t(facts.tableTag) },
        { "table_age_ms", facts.tableAge.count },
    };
    log.write(event);
}

} // namespace

void logRequestEnd(EventLog &log, const RequestFacts &facts)
{
    write(log, kindAtEnd(facts), facts);
}

void logRequestRepeated(EventLog &log, const RequestFacts &facts)
{
    write(log, { "request_repeated", Event::Weight::Important }, facts);
}

} // namespace cassiaroad

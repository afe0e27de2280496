#pragma once

#include "gateway/gatewayupstream.h"
#include "process/eventlog.h"

#include <optional>
#include <string>

namespace cassiaroad {

/** What the events of a request tell of it; see docs/OPERATIONS.md. */
struct RequestFacts
{
    std::string requestId; // of the client
    std::string outcome;
    int status = 0; // 0: no response
    Milliseconds elapsed; // since its arrival
    Milliseconds queuedDuration;
    Milliseconds ownerWaitDuration;
    Milliseconds timeLeft;
    std::optional<Milliseconds> targetLatency; // of its route
    std::string service;
    std::optional<KeyNumber> key;
    const GatewayUpstream *target = nullptr;
    std::string limit; // what limited the target when the last attempt was begun
    std::uint32_t attempts = 0;
    bool isSent = false; // an attempt without a result may run at an upstream
    ConfigurationVersion configuration = 0;
    std::uint64_t tableTag = 0;
    Milliseconds tableAge;
};

/**
 * Writes the event for the end of a request: of each failure or delay, and of a sample of the
 * others. Loop thread only.
 */
void logRequestEnd(EventLog &log, const RequestFacts &facts);

/** Writes that a request is sent again; the outcome tells why. Loop thread only. */
void logRequestRepeated(EventLog &log, const RequestFacts &facts);

} // namespace cassiaroad

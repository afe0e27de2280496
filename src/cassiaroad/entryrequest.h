#pragma once

#include "cassiaroad/upstreamdispatcher.h"
#include "connection/httpserver.h"
#include "request/hopheaders.h"
#include "request/sendprogress.h"

#include <functional>
#include <memory>

namespace cassiaroad {

/** How a request ended, with the response for the caller if there is one. */
struct RequestEnd
{
    RequestOutcome outcome;
    HttpResponse response; // valid if the outcome is Answered
    Headers extraHeaders; // cassiaroad-* headers, which only entry hosts may set
};

/** Stage of a request between its arrival and its end. */
enum class RequestStage {
    None, // new, between two stages, or ended
    WaitingForOwner, // waits for an owner or a lease
    Queued, // waits in the dispatch queue of its owner
    InFlight, // a call to its owner or to another region exists
    Delayed, // waits for its next attempt
};

/** One request of a caller from its arrival at the entry host to its end. Loop thread only. */
struct EntryRequest
{
    RequestId id = 0;
    std::shared_ptr<HttpExchange> exchange;
    Target target;
    std::string method;
    std::string path;
    Headers headers; // end-to-end headers of the caller, without hop-by-hop ones
    Deadline deadline = Deadline::unlimited();
    Priority priority = Priority::Normal;
    bool idempotent = false;
    bool upload = false; // a part of a resumable upload
    TraceContext trace;
    TimePoint receivedAt;
    std::int64_t receivedWallTime = 0;

    SendProgress progress;
    std::function<void(RequestEnd)> done;
    RequestStage currentStage = RequestStage::None;
    std::optional<TimePoint> waitingSince; // first wait for owner or lease since the last write
    std::optional<TimePoint> refusedSince; // first refusal by an owner that has no grant
    TimePoint retryAt; // start of the next attempt; valid while Delayed
    TimePoint attemptStartedAt;
    Owner owner; // valid while Queued or InFlight
    std::shared_ptr<UpstreamDispatcher> upstreamDispatcher;
    std::unique_ptr<UpstreamPool::Call> call;
};

using RequestPtr = std::shared_ptr<EntryRequest>;

} // namespace cassiaroad

#pragma once

#include "cassiaroad/upstreamgate.h"
#include "connection/httpserver.h"
#include "request/hopheaders.h"
#include "request/sendprogress.h"

#include <functional>
#include <memory>

namespace cassiaroad {

/** How a request ended, with the answer to pass on if there is one. */
struct RequestEnd
{
    RequestOutcome outcome;
    HttpResponse answer; // meaningful if answered
    Headers extraHeaders; // set by entry hosts
};

/** Where a request is between its arrival and its end. */
enum class RequestPlace {
    Nowhere,
    Held, // waits for an owner or a lease
    Queued, // waits at the gate of its owner
    InFlight, // a call to its owner or to another region exists
    Delayed, // waits a moment before it is sent again
};

/** One request of a caller while the entry host works on it. Loop thread only. */
struct EntryRequest
{
    RequestId id = 0;
    std::shared_ptr<HttpExchange> exchange;
    Target target;
    std::string method;
    std::string path;
    Headers headers; // end to end
    Deadline deadline = Deadline::unlimited();
    Priority priority = Priority::Normal;
    bool idempotent = false;
    bool upload = false; // a piece of a resumable upload
    TraceContext trace;
    TimePoint receivedAt;
    std::int64_t receivedWall = 0;

    SendProgress progress;
    std::function<void(RequestEnd)> done;
    RequestPlace place = RequestPlace::Nowhere;
    std::optional<TimePoint> heldSince;
    std::optional<TimePoint> refusedSince; // first refusal by an owner without a grant
    TimePoint retryAt; // valid while delayed
    TimePoint launchedAt;
    Owner owner; // valid while queued or in flight
    std::shared_ptr<UpstreamGate> gate;
    std::unique_ptr<UpstreamPool::Call> call;
};

using RequestPtr = std::shared_ptr<EntryRequest>;

} // namespace cassiaroad

#pragma once

#include "gateway/clientrequest.h"
#include "gateway/requestlog.h"
#include "request/hopheaders.h"

namespace cassiaroad {

/** What the client of a request gets. */
struct RequestAnswer
{
    int status = 0;
    Headers headers;
    std::string body;
    std::string outcome; // for the events
};

/** Forwards the response of an upstream. */
RequestAnswer forwardedAnswer(HttpResponse response, const std::string &outcome);

/**
 * Tells that the request was not run, and that the client may retry after @p retryAfter, or after a
 * third of the time that it has left at @p now if that is shorter.
 */
RequestAnswer refusalOf(const ClientRequest &request, Milliseconds retryAfter,
                        const std::string &reason, TimePoint now);

/** Tells that the request was not run, and that the client need not retry within @p blockedFor. */
RequestAnswer refusalOfBlocked(Milliseconds blockedFor, const std::string &reason);

/** Tells only that the request has ended with @p status. */
RequestAnswer plainAnswer(int status, const std::string &outcome);

/** Tells that the request may have run. */
RequestAnswer unknownOutcome(const std::string &reason);

/**
 * Returns what the events of @p request tell of it, but for its waits and attempts. Loop thread
 * only.
 */
RequestFacts factsOf(const GatewayCore &core, const ClientRequest &request);

/**
 * Records the end of the request in the events and metrics and sends @p answer to the client, if it
 * is still connected. @p facts are those of the request at its end. Loop thread only.
 */
void deliverAnswer(GatewayCore &core, const ClientRequest &request, RequestAnswer answer,
                   RequestFacts facts);

} // namespace cassiaroad

#pragma once

#include "cassiaroad/entrymetrics.h"
#include "cassiaroad/keyedrunner.h"
#include "cassiaroad/ownersender.h"
#include "cassiaroad/regionforwarder.h"
#include "process/tracer.h"

#include <map>
#include <random>

namespace cassiaroad {

/**
 * Accepts the requests of callers and answers each exactly once. A request goes to the owner of its
 * key; with an Idempotency-Key it goes through the ledger first, and with a key of another region
 * it is forwarded to that region. Loop thread only.
 */
class RequestDispatcher
{
public:
    /** Parts of an entry host; all must outlive the dispatcher. */
    struct Parts
    {
        EventLoop &loop;
        const Settings &settings;
        OwnerSender &owners;
        KeyedRunner &keyed;
        RegionForwarder &regions;
        EntryMetrics &metrics;
        Tracer &tracer;
    };

    explicit RequestDispatcher(const Parts &parts);
    ~RequestDispatcher();
    RequestDispatcher(const RequestDispatcher &) = delete;
    RequestDispatcher &operator=(const RequestDispatcher &) = delete;

    /** Accepts a request; one that cannot be routed is answered at once. */
    void accept(std::shared_ptr<HttpExchange> exchange);

    /** To be called every few milliseconds: ends requests whose deadline has passed. */
    void tick();

    /** Sets the deadline of requests that bring none; uploads without one have no deadline. */
    void setDefaultDeadline(Milliseconds deadline) { this->defaultDeadline = deadline; }

    /** Number of requests that are not answered yet. */
    std::size_t openCount() const { return this->openRequests.size(); }

private:
    struct OpenRequest
    {
        RequestPtr request;
        bool keyed = false; // handled by the KeyedRunner
    };

    std::string readRequest(EntryRequest &request);
    void start(const RequestPtr &request);
    void stop(const OpenRequest &entry, int status, const std::string &reason);
    void conclude(const RequestPtr &request, const RequestEnd &end);
    void record(const EntryRequest &request, const RequestOutcome &outcome);
    static void answer(HttpExchange &exchange, const RequestEnd &end);

    Parts parts;
    Router router;
    Milliseconds defaultDeadline;
    std::map<RequestId, OpenRequest> openRequests;
    RequestId lastId = 0;
    std::mt19937_64 random;
};

} // namespace cassiaroad

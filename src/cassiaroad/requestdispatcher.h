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
 * Takes the requests of callers, sends each along its way (owner, ledger or other region) and
 * answers it exactly once. Loop thread only.
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

    void accept(std::shared_ptr<HttpExchange> exchange);

    /** To be called every few milliseconds: ends requests whose deadline has passed. */
    void tick();

    void setDefaultDeadline(Milliseconds span) { this->defaultDeadline = span; }

    std::size_t openCount() const { return this->open.size(); }

private:
    struct Open
    {
        RequestPtr request;
        bool keyed = false;
    };

    std::string readRequest(EntryRequest &request);
    void start(const RequestPtr &request);
    void stop(const Open &entry, int status, const std::string &reason);
    void conclude(const RequestPtr &request, const RequestEnd &end);
    void record(const EntryRequest &request, const RequestOutcome &outcome);
    static void answer(HttpExchange &exchange, const RequestEnd &end);

    Parts parts;
    Router router;
    Milliseconds defaultDeadline;
    std::map<RequestId, Open> open;
    RequestId lastId = 0;
    std::mt19937_64 random;
};

} // namespace cassiaroad

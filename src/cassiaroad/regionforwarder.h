#pragma once

#include "cassiaroad/entryrequest.h"
#include "process/metrics.h"

#include <map>
#include <vector>

namespace cassiaroad {

/**
 * Forwards requests to the gateways (entry hosts) of their home region, in rotation, and counts the
 * bytes on the link between the regions. Loop thread only.
 */
class RegionForwarder
{
public:
    /** All references must outlive the forwarder. */
    RegionForwarder(EventLoop &loop, HttpClient &client, const Settings &settings, Metrics &metrics,
                    std::size_t maxResponseBytes);
    ~RegionForwarder();
    RegionForwarder(const RegionForwarder &) = delete;
    RegionForwarder &operator=(const RegionForwarder &) = delete;

    /** Forwards a request; @p done is called once, unless the forwarder is destroyed. */
    void run(const RequestPtr &request, std::function<void(RequestEnd)> done);

    /** Ends a request as refused or unknown, whichever is true. Does nothing if it has ended. */
    void stop(const RequestPtr &request, int status, const std::string &reason);

    std::size_t inFlightCount() const { return this->attemptCounts.size(); }

private:
    struct Gateway;

    void send(const RequestPtr &request);
    void onResult(const RequestPtr &request, HttpResult result);
    void onResponse(const RequestPtr &request, HttpResponse response);
    void end(const RequestPtr &request, RequestEnd end);
    void countBytes(const EntryRequest &request, const HttpRequest &sent);
    void countBytes(const EntryRequest &request, const HttpResponse &received);

    EventLoop &loop;
    std::size_t maxResponseBytes;
    std::vector<std::vector<std::unique_ptr<Gateway>>> regions; // gateways, by number of the region
    std::map<RequestId, std::size_t> attemptCounts; // attempts so far of each running request
    std::map<RequestId, RequestPtr> runningRequests;
    std::size_t nextGateway = 0; // counts attempts, for the rotation
    prometheus::Counter &requestBytesSent;
    prometheus::Counter &requestBytesReceived;
    prometheus::Counter &uploadBytesSent;
    prometheus::Counter &uploadBytesReceived;
};

} // namespace cassiaroad

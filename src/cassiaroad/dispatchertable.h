#pragma once

#include "cassiaroad/upstreamdispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace cassiaroad {

/** The dispatchers of all upstreams in the route table. Loop thread only. */
class DispatcherTable
{
public:
    /** @p loop and @p client must outlive the table and its dispatchers. */
    DispatcherTable(EventLoop &loop, HttpClient &client)
        : loop(loop)
        , client(client)
    { }

    /**
     * Adds, updates and removes dispatchers to match @p table. An upstream with a new instance or
     * address gets a new dispatcher.
     */
    void update(const RouteTable &table, std::uint32_t entryHosts,
                const DispatcherSettings &settings);

    /** Returns the dispatcher of an upstream, or nullptr. */
    std::shared_ptr<UpstreamDispatcher> find(const UpstreamId &upstream) const;

    const std::map<UpstreamId, std::shared_ptr<UpstreamDispatcher>> &all() const
    {
        return this->dispatchers;
    }

private:
    EventLoop &loop;
    HttpClient &client;
    std::map<UpstreamId, std::shared_ptr<UpstreamDispatcher>> dispatchers;
    std::set<UpstreamId> seenUpstreams; // have had a dispatcher; their next one starts cold
};

} // namespace cassiaroad

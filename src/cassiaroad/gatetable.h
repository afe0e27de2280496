#pragma once

#include "cassiaroad/upstreamgate.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace cassiaroad {

/** The gates of all upstreams in the route table. Loop thread only. */
class GateTable
{
public:
    GateTable(EventLoop &loop, HttpClient &client)
        : loop(loop)
        , client(client)
    { }

    /** Adds, adapts and removes gates so that they match @p table. */
    void update(const RouteTable &table, std::uint32_t entryHosts, const GateSettings &settings);

    /** Returns the gate of an upstream, or nullptr. */
    std::shared_ptr<UpstreamGate> find(const UpstreamId &upstream) const;

    const std::map<UpstreamId, std::shared_ptr<UpstreamGate>> &all() const { return this->gates; }

private:
    EventLoop &loop;
    HttpClient &client;
    std::map<UpstreamId, std::shared_ptr<UpstreamGate>> gates;
    std::set<UpstreamId> known; // had a gate before; they return cold
};

} // namespace cassiaroad

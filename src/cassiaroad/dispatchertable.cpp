#include "cassiaroad/dispatchertable.h"

#include <algorithm>

namespace cassiaroad {

void DispatcherTable::update(const RouteTable &table, std::uint32_t entryHosts,
                             const DispatcherSettings &settings)
{
    const std::uint32_t hosts = std::max<std::uint32_t>(1, entryHosts);
    std::erase_if(this->dispatchers,
                  [&](const auto &entry) { return !table.upstreams().contains(entry.first); });
    for (const auto &[id, upstream] : table.upstreams()) {
        std::shared_ptr<UpstreamDispatcher> &upstreamDispatcher = this->dispatchers[id];
        const bool same = upstreamDispatcher
                          && upstreamDispatcher->upstream().instance == upstream.instance
                          && upstreamDispatcher->upstream().address == upstream.address;
        if (same) {
            upstreamDispatcher->update(upstream, hosts, settings);
            continue;
        }
        const bool isReturning = !this->seenUpstreams.insert(id).second;
        upstreamDispatcher = std::make_shared<UpstreamDispatcher>(
                this->loop, this->client, upstream, hosts, settings, isReturning);
    }
}

std::shared_ptr<UpstreamDispatcher> DispatcherTable::find(const UpstreamId &upstream) const
{
    const auto found = this->dispatchers.find(upstream);
    return found == this->dispatchers.end() ? nullptr : found->second;
}

} // namespace cassiaroad

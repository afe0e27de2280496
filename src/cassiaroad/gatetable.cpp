#include "cassiaroad/gatetable.h"

#include <algorithm>

namespace cassiaroad {

void GateTable::update(const RouteTable &table, std::uint32_t entryHosts,
                       const GateSettings &settings)
{
    const std::uint32_t hosts = std::max<std::uint32_t>(1, entryHosts);
    std::erase_if(this->gates,
                  [&](const auto &entry) { return !table.upstreams().contains(entry.first); });
    for (const auto &[id, upstream] : table.upstreams()) {
        std::shared_ptr<UpstreamGate> &gate = this->gates[id];
        const bool same = gate && gate->upstream().instance == upstream.instance
                          && gate->upstream().address == upstream.address;
        if (same) {
            gate->update(upstream, hosts, settings);
            continue;
        }
        const bool returns = !this->known.insert(id).second;
        gate = std::make_shared<UpstreamGate>(this->loop, this->client, upstream, hosts, settings,
                                              returns);
    }
}

std::shared_ptr<UpstreamGate> GateTable::find(const UpstreamId &upstream) const
{
    const auto found = this->gates.find(upstream);
    return found == this->gates.end() ? nullptr : found->second;
}

} // namespace cassiaroad

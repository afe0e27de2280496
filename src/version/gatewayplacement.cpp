#include "version/gatewayplacement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

constexpr double demandUnits = 1000.0;
// A smaller change of a zone's demand is not published: it is within the noise of the smoothed
// rates of its gateways.
constexpr std::uint32_t minDemandChange = 20;

// Whether the demand of a zone differs noticeably, or another set of zones has gateways.
bool differs(const std::map<std::string, std::uint32_t> &a,
             const std::map<std::string, std::uint32_t> &b)
{
    return !std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        const std::uint32_t low = std::min(x.second, y.second);
        return x.first == y.first && std::max(x.second, y.second) - low < minDemandChange;
    });
}

} // namespace

std::uint32_t tagOf(const std::optional<GatewayPlacement> &placement)
{
    if (!placement) {
        return 0;
    }
    std::string text
            = std::to_string(placement->rank) + '/' + std::to_string(placement->gatewaysInZone);
    for (const auto &[zone, demand] : placement->demand) {
        text += ' ' + zone + '=' + std::to_string(demand);
    }
    return std::max(XXH32(text.data(), text.size(), 0), XXH32_hash_t(1));
}

void GatewayPlacements::set(const std::vector<Gateway> &gateways)
{
    std::map<std::string, std::map<std::string, double>> zones;
    for (const Gateway &gateway : gateways) {
        zones[gateway.zone][gateway.name] = gateway.share;
    }
    this->places.clear();
    this->counts.clear();
    std::map<std::string, std::uint32_t> measured;
    for (const auto &[zone, members] : zones) {
        std::uint32_t rank = 0;
        double share = 0.0;
        for (const auto &[name, part] : members) {
            this->places[name] = { zone, rank++ };
            share += part;
        }
        this->counts[zone] = rank;
        measured[zone] = static_cast<std::uint32_t>(std::lround(share * demandUnits));
    }
    if (differs(measured, this->demand)) {
        this->demand = std::move(measured);
    }
}

std::optional<GatewayPlacement> GatewayPlacements::find(const std::string &gateway) const
{
    const auto found = this->places.find(gateway);
    if (found == this->places.end()) {
        return std::nullopt;
    }
    const Place &place = found->second;
    return GatewayPlacement { place.rank, this->counts.at(place.zone), this->demand };
}

} // namespace cassiaroad

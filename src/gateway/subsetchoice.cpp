#include "gateway/subsetchoice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

// An upstream of the own region is crowded if a request there would take longer than this many
// times the usual duration, since its slots are in use or its responses fail.
constexpr double crowdedFactor = 2.0;
// The same for an upstream without a free slot.
constexpr double freeSlotFactor = 1.1;
// Part of the capacity that upstreams in the home regions of other requests keep at least, so that
// they are used while they are idle.
constexpr double minCapacityLeft = 0.05;
// A subset is selected anew if the share of requests that are bound to home regions differs by more
// from the one for which it was selected. Each change opens connections.
constexpr double minShareChange = 0.1;

/** A candidate and its weight in the random choice. */
struct Weighted
{
    std::shared_ptr<GatewayUpstream> upstream;
    double weight = 0.0;
};

// Whether a request would be started at once, as far as the gateway knows. The cost of upstreams of
// other regions does not tell, since it contains the distance.
bool hasRoom(const GatewayUpstream &upstream, double usual, TimePoint now)
{
    const double measured = upstream.measuredMilliseconds();
    const double service = measured > 0.0 ? measured : usual;
    const bool isNear = upstream.distanceFromGateway() != Distance::OtherRegion;
    const bool isCrowded = isNear && upstream.cost(now, usual) > crowdedFactor * service + 10.0;
    return !isCrowded && !upstream.isSuspected(now) && upstream.admission().hasCapacity();
}

bool isInOtherRegion(const Weighted &member)
{
    return member.upstream->distanceFromGateway() == Distance::OtherRegion;
}

// Whether an upstream of the own region has a free slot by its reported load.
bool hasFreeSlot(const GatewayUpstream &upstream, double usual, TimePoint now)
{
    const double measured = upstream.measuredMilliseconds();
    const double service = measured > 0.0 ? measured : usual;
    return upstream.cost(now, usual) < freeSlotFactor * service + 10.0;
}

// Removes and returns one of @p from at random, by weight.
std::shared_ptr<GatewayUpstream> draw(std::vector<Weighted> &from, std::mt19937_64 &random)
{
    if (from.empty()) {
        return nullptr;
    }
    std::vector<double> weights;
    weights.reserve(from.size());
    for (const Weighted &entry : from) {
        weights.push_back(entry.weight);
    }
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    const auto drawn = from.begin() + static_cast<std::ptrdiff_t>(distribution(random));
    std::shared_ptr<GatewayUpstream> upstream = drawn->upstream;
    from.erase(drawn);
    return upstream;
}

// Returns the cheaper of two random members of the own region, or null if one of them has no free
// slot. Both have one nearly always if the region has little load.
std::shared_ptr<GatewayUpstream> chooseInIdleRegion(std::vector<Weighted> members, double usual,
                                                    TimePoint now, std::mt19937_64 &random)
{
    std::erase_if(members, isInOtherRegion);
    std::shared_ptr<GatewayUpstream> first = draw(members, random);
    std::shared_ptr<GatewayUpstream> second = draw(members, random);
    const bool isIdle
            = second && hasFreeSlot(*first, usual, now) && hasFreeSlot(*second, usual, now);
    return !isIdle ? nullptr : second->cost(now, usual) < first->cost(now, usual) ? second : first;
}

// The zone of the first one drawn gets the request, so that each zone gets its share although near
// ones always cost less; the second one drawn makes the load even within the zone.
std::shared_ptr<GatewayUpstream> chooseByShare(std::vector<Weighted> members, double usual,
                                               TimePoint now, std::mt19937_64 &random)
{
    std::shared_ptr<GatewayUpstream> first = draw(members, random);
    if (!first) {
        return nullptr;
    }
    if (first->distanceFromGateway() == Distance::OtherRegion) {
        // Traffic between regions is paid by volume.
        if (auto near = chooseInIdleRegion(members, usual, now, random)) {
            return near;
        }
    }
    std::erase_if(members, [&first](const Weighted &entry) {
        return entry.upstream->upstream().zone != first->upstream().zone;
    });
    std::shared_ptr<GatewayUpstream> second = draw(members, random);
    return second && second->cost(now, usual) < first->cost(now, usual) ? second : first;
}

/** Looks up the candidates with room by id. */
class RoomIndex
{
public:
    RoomIndex(const GatewayUpstreams &candidates, TimePoint now)
        : usual(usualMilliseconds(candidates))
        , now(now)
    {
        for (const auto &candidate : candidates) {
            this->candidates.emplace(candidate->upstream().incarnation.id, candidate);
        }
    }

    // Returns null if it is no candidate or has no room.
    std::shared_ptr<GatewayUpstream> find(const std::string &id) const
    {
        const auto found = this->candidates.find(id);
        const bool isFree = found != this->candidates.end()
                            && hasRoom(*found->second, this->usual, this->now);
        return isFree ? found->second : nullptr;
    }

    double usualDuration() const { return this->usual; }

private:
    std::map<std::string_view, std::shared_ptr<GatewayUpstream>> candidates;
    double usual;
    TimePoint now;
};

} // namespace

UpstreamChoice chooseFromSubset(const UpstreamSubset &subset, const GatewayUpstreams &candidates,
                                std::size_t gatewayCount, TimePoint now, std::mt19937_64 &random)
{
    const RoomIndex index(candidates, now);
    std::vector<Weighted> members;
    for (const SubsetMember &member : subset.members()) {
        if (auto upstream = index.find(member.id)) {
            members.push_back({ std::move(upstream), member.share });
        }
    }
    if (!members.empty()) {
        return { chooseByShare(std::move(members), index.usualDuration(), now, random),
                 ChoiceSource::Subset };
    }
    GatewayUpstreams next;
    for (const std::string &id : subset.others()) {
        if (auto upstream = index.find(id); upstream && next.size() < SubsetSize::minSize) {
            next.push_back(std::move(upstream));
        }
    }
    if (!next.empty()) {
        return { chooseBySample(next, gatewayCount, now, random), ChoiceSource::Spillover };
    }
    return { chooseBySample(candidates, gatewayCount, now, random), ChoiceSource::Sample };
}

ServiceSubsets::ServiceSubsets(std::string zone, const std::map<std::string, std::string> &regions)
    : zone(std::move(zone))
    , regions(regions)
{ }

void ServiceSubsets::setPlacement(const GatewayPlacement &value)
{
    if (this->place != value) {
        this->place = value;
        this->invalidate();
    }
}

void ServiceSubsets::invalidate()
{
    for (auto &[key, entry] : this->subsets) {
        entry.subset.reset();
    }
}

void ServiceSubsets::updateSizes(TimePoint now)
{
    for (auto &[key, entry] : this->subsets) {
        const std::size_t before = entry.size.size();
        entry.size.update(now);
        if (entry.size.size() != before) {
            entry.subset.reset();
        }
    }
    for (auto &[key, entry] : this->subsets) {
        const double share = key.second.isRestricted() ? 0.0 : this->boundShareOf(key.first);
        if (std::abs(share - entry.boundShare) > minShareChange) {
            entry.boundShare = share;
            entry.subset.reset();
        }
    }
}

bool ServiceSubsets::isAtHome(const std::string &zone, const HomeRegions &homes) const
{
    const auto region = this->regions.find(zone);
    return homes.allows(region == this->regions.end() ? std::string() : region->second);
}

// Returns the share of the requests for @p service that are bound to home regions.
double ServiceSubsets::boundShareOf(const std::string &service) const
{
    double bound = 0.0;
    double all = 0.0;
    for (const auto &[key, entry] : this->subsets) {
        if (key.first == service) {
            all += entry.size.requestsPerSecond();
            bound += key.second.isRestricted() ? entry.size.requestsPerSecond() : 0.0;
        }
    }
    return all > 0.0 ? bound / all : 0.0;
}

// Whether requests for @p service are bound to regions of which @p zone is a part.
bool ServiceSubsets::isHomeOfOthers(const std::string &service, const std::string &zone) const
{
    return std::any_of(this->subsets.begin(), this->subsets.end(), [&](const auto &entry) {
        const auto &[usedService, homes] = entry.first;
        return usedService == service && homes.isRestricted() && this->isAtHome(zone, homes);
    });
}

// Returns the upstreams for the requests of @p key. Without home regions, the capacity of those in
// home regions of others is what the share of bound requests leaves.
std::vector<SubsetUpstream> ServiceSubsets::capacitiesFor(const Key &key,
                                                          const Upstreams &upstreams,
                                                          double boundShare) const
{
    const auto &[service, homes] = key;
    std::vector<SubsetUpstream> found;
    double all = 0.0;
    double atHome = 0.0;
    for (const auto &[id, upstream] : upstreams) {
        const SiteUpstream &listed = upstream->upstream();
        if (listed.service != service || !this->isAtHome(listed.zone, homes)) {
            continue;
        }
        const auto slots = static_cast<double>(listed.slots);
        found.push_back({ id, listed.zone, slots, upstream->mayBeGivenWork() });
        all += slots;
        atHome += this->isHomeOfOthers(service, listed.zone) ? slots : 0.0;
    }
    if (homes.isRestricted() || atHome <= 0.0) {
        return found;
    }
    const double left = std::max(minCapacityLeft, 1.0 - boundShare * all / atHome);
    for (SubsetUpstream &upstream : found) {
        upstream.capacity *= this->isHomeOfOthers(service, upstream.zone) ? left : 1.0;
    }
    return found;
}

const UpstreamSubset &ServiceSubsets::find(const std::string &service, const HomeRegions &homes,
                                           const Upstreams &upstreams)
{
    const Key key { service, homes };
    ServiceSubset &entry = this->subsets[key];
    if (!entry.subset) {
        const SubsetView view { this->zone, this->regions, *this->place };
        entry.subset = UpstreamSubset(view, this->capacitiesFor(key, upstreams, entry.boundShare),
                                      entry.size.size());
    }
    return *entry.subset;
}

} // namespace cassiaroad

#include "gateway/upstreamsubset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

// Part of the capacity above the mean load that a zone takes before requests go further away. It
// absorbs differences of the demand that are too small to be published; see GatewayPlacements.
constexpr double zoneMargin = 0.1;
// Upstreams of another zone that a gateway uses at least if it sends there at all.
constexpr double minInOtherZone = 2.0;
constexpr double minShare = 1e-6;

/** Demand that is not placed yet and capacity that is free, by zone; fractions of the total. */
struct Balance
{
    std::map<std::string, double> demand;
    std::map<std::string, double> room;
};

enum class Reach { Zone, Region, Site };

std::string regionOf(const SubsetView &view, const std::string &zone)
{
    const auto found = view.regions.find(zone);
    return found == view.regions.end() ? "zone " + zone : found->second;
}

bool reaches(const SubsetView &view, Reach reach, const std::string &from, const std::string &to)
{
    switch (reach) {
    case Reach::Zone:
        return from == to;
    case Reach::Region:
        return regionOf(view, from) == regionOf(view, to);
    case Reach::Site:
        return true;
    }
    return true;
}

double sum(const std::map<std::string, double> &values)
{
    double total = 0.0;
    for (const auto &[name, value] : values) {
        total += value;
    }
    return total;
}

// Returns the entries of @p values in the zones that are within reach of @p zone.
std::map<std::string, double> within(const SubsetView &view, Reach reach, const std::string &zone,
                                     std::map<std::string, double> values)
{
    std::erase_if(values, [&](const auto &entry) {
        return !reaches(view, reach, zone, entry.first) || entry.second < minShare;
    });
    return values;
}

// Places the demand within reach. Zones whose demand competes for the same room get parts of it in
// proportion to their demand. Adds what the gateway's zone sends to @p shares.
void place(const SubsetView &view, Reach reach, Balance &balance,
           std::map<std::string, double> &shares)
{
    Balance left = balance;
    for (const auto &[zone, wanted] : balance.demand) {
        const auto rooms = within(view, reach, zone, balance.room);
        const double demand = sum(within(view, reach, zone, balance.demand));
        const double room = sum(rooms);
        const double placed = demand > minShare ? wanted * std::min(1.0, room / demand) : 0.0;
        for (const auto &[target, free] : rooms) {
            const double part = placed * free / room;
            left.demand[zone] -= part;
            left.room[target] -= part;
            if (zone == view.zone && part > minShare) {
                shares[target] += part;
            }
        }
    }
    balance = std::move(left);
}

double positionOf(const std::string &text)
{
    return static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11U) * 0x1.0p-53;
}

double fractionOf(double value)
{
    return value - std::floor(value);
}

/** Arc of a circle of length 1. */
struct Arc
{
    double begin = 0.0;
    double length = 1.0;

    /** Length of the overlap with another arc, which does not reach around the circle. */
    double overlap(double otherBegin, double otherLength) const
    {
        double common = 0.0;
        for (const double turn : { -1.0, 0.0, 1.0 }) {
            const double low = std::max(this->begin, otherBegin + turn);
            const double high
                    = std::min(this->begin + this->length, otherBegin + turn + otherLength);
            common += std::max(0.0, high - low);
        }
        return common;
    }
};

/** The upstreams of one zone on their circle. */
class ZoneCircle
{
public:
    void add(const SubsetUpstream &upstream)
    {
        this->total += upstream.capacity;
        this->usableCapacity += upstream.usable ? upstream.capacity : 0.0;
        this->upstreams.emplace(std::make_pair(positionOf(upstream.id), upstream.id), upstream);
    }
    double capacity() const { return this->usableCapacity; }

    // Returns the arc that a gateway begins at @p view's rank to reach @p size upstreams.
    Arc arcOf(const SubsetView &view, double size) const
    {
        const auto gateways
                = static_cast<double>(std::max<std::uint32_t>(view.placement.gatewaysInZone, 1));
        // Other zones use this circle as well: each begins somewhere else on it.
        const double begin = fractionOf(view.placement.rank / gateways + positionOf(view.zone));
        const double wanted = size / static_cast<double>(this->upstreams.size());
        return { begin, std::min(1.0, std::ceil(wanted * gateways - minShare) / gateways) };
    }

    // Adds the upstreams on @p arc with their parts of @p share to @p members.
    void addMembers(const Arc &arc, double share, std::vector<SubsetMember> &members) const
    {
        this->visit([&](const SubsetUpstream &upstream, double begin, double length) {
            const double part = arc.overlap(begin, length) / arc.length;
            if (part > minShare) {
                members.push_back({ upstream.id, share * part });
            }
        });
    }

    // Adds the ids of all upstreams to @p ids, beginning with the one at the end of @p arc.
    void addInOrder(const Arc &arc, std::vector<std::string> &ids) const
    {
        const double start = fractionOf(arc.begin + arc.length);
        std::map<double, std::string> order;
        this->visit([&](const SubsetUpstream &upstream, double begin, double length) {
            order.emplace(fractionOf(begin + length / 2.0 - start + 1.0), upstream.id);
        });
        for (const auto &[distance, id] : order) {
            ids.push_back(id);
        }
    }

private:
    template <typename Visitor>
    void visit(const Visitor &visitor) const
    {
        double begin = 0.0;
        for (const auto &[position, upstream] : this->upstreams) {
            const double length = upstream.capacity / this->total;
            visitor(upstream, begin, length);
            begin += length;
        }
    }

    double total = 0.0;
    double usableCapacity = 0.0;
    std::map<std::pair<double, std::string>, SubsetUpstream> upstreams;
};

using ZoneCircles = std::map<std::string, ZoneCircle>;

// Returns the zones of @p circles, near ones first.
std::vector<std::string> zonesByDistance(const SubsetView &view, const ZoneCircles &circles)
{
    std::vector<std::string> zones;
    for (const auto &[zone, circle] : circles) {
        zones.push_back(zone);
    }
    std::stable_sort(zones.begin(), zones.end(), [&view](const auto &a, const auto &b) {
        const auto rank = [&view](const std::string &zone) {
            return zone == view.zone ? 0 : reaches(view, Reach::Region, view.zone, zone) ? 1 : 2;
        };
        return rank(a) < rank(b);
    });
    return zones;
}

ZoneCircles circlesOf(const std::vector<SubsetUpstream> &upstreams)
{
    ZoneCircles circles;
    for (SubsetUpstream upstream : upstreams) {
        upstream.capacity = std::max(upstream.capacity, 1.0);
        circles[upstream.zone].add(upstream);
    }
    return circles;
}

std::map<std::string, double> capacities(const ZoneCircles &circles)
{
    std::map<std::string, double> capacity;
    for (const auto &[zone, circle] : circles) {
        capacity[zone] = circle.capacity();
    }
    return capacity;
}

} // namespace

std::map<std::string, double> zoneShares(const SubsetView &view,
                                         const std::map<std::string, double> &capacity)
{
    Balance balance;
    const double total = sum(capacity);
    for (const auto &[zone, demand] : view.placement.demand) {
        balance.demand[zone] = demand;
    }
    // Without demand the zone would send nothing anywhere.
    balance.demand[view.zone] = std::max(balance.demand[view.zone], 1.0);
    const double totalDemand = sum(balance.demand);
    if (total <= 0.0) {
        return {};
    }
    for (auto &[zone, demand] : balance.demand) {
        demand /= totalDemand;
    }
    for (const auto &[zone, value] : capacity) {
        balance.room[zone] = value / total * (1.0 + zoneMargin);
    }
    std::map<std::string, double> shares;
    for (const Reach reach : { Reach::Zone, Reach::Region, Reach::Site }) {
        place(view, reach, balance, shares);
    }
    const double placed = sum(shares);
    for (auto &[zone, share] : shares) {
        share /= placed;
    }
    return shares;
}

UpstreamSubset::UpstreamSubset(const SubsetView &view, const std::vector<SubsetUpstream> &upstreams,
                               std::size_t size)
{
    const ZoneCircles circles = circlesOf(upstreams);
    const std::map<std::string, double> shares = zoneShares(view, capacities(circles));
    std::vector<std::string> all;
    for (const std::string &zone : zonesByDistance(view, circles)) {
        const auto found = shares.find(zone);
        const double share = found == shares.end() ? 0.0 : found->second;
        const double wanted = std::max(share * static_cast<double>(size), minInOtherZone);
        const Arc arc = circles.at(zone).arcOf(view, wanted);
        if (share > minShare) {
            circles.at(zone).addMembers(arc, share, this->chosen);
        }
        circles.at(zone).addInOrder(arc, all);
    }
    for (std::string &id : all) {
        const bool isMember = std::any_of(this->chosen.begin(), this->chosen.end(),
                                          [&id](const auto &member) { return member.id == id; });
        if (!isMember) {
            this->further.push_back(std::move(id));
        }
    }
}

} // namespace cassiaroad

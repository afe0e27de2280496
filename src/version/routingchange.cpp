#include "version/routingchange.h"

#include "process/textpack.h"
#include "version/sitejson.h"

#include <algorithm>
#include <tuple>

namespace cassiaroad {

using nlohmann::json;

// The admitted share is encoded only if there is one, so that other entries do not grow. Gateways
// of versions without it ignore it, and leaders of such versions do not send it.

static void to_json(json &value, const RoutedUpstream &routed)
{
    value = { { "upstream", routed.upstream },
              { "silent", routed.silent },
              { "warming", routed.warming } };
    if (routed.admitted) {
        value["admitted"] = *routed.admitted;
    }
}

static void from_json(const json &value, RoutedUpstream &routed)
{
    value.at("upstream").get_to(routed.upstream);
    value.at("silent").get_to(routed.silent);
    value.at("warming").get_to(routed.warming);
    routed.admitted.reset();
    if (value.contains("admitted")) {
        routed.admitted = value.at("admitted").get<std::uint16_t>();
    }
}

namespace {

constexpr std::size_t evacuatedZonesPosition = 3; // in an encoded change

bool isBefore(const RoutedRange &a, const RoutedRange &b)
{
    return a.range < b.range;
}

// Encodes a range as [first key, last key, position of the upstream's id in the list, phase].
json toJson(const RoutedRanges &ranges)
{
    json ids = json::array();
    std::map<std::string, std::size_t> positions;
    json services = json::object();
    for (const auto &[service, list] : ranges) {
        json rows = json::array();
        for (const RoutedRange &range : list) {
            const auto [position, isNew] = positions.try_emplace(range.upstream, positions.size());
            if (isNew) {
                ids.push_back(range.upstream);
            }
            rows.push_back(json::array(
                    { range.range.from, range.range.to, position->second, range.phase }));
        }
        services[service] = std::move(rows);
    }
    return json::array({ ids, services });
}

RoutedRanges toRanges(const json &value)
{
    const json &ids = value.at(0);
    RoutedRanges ranges;
    for (const auto &[service, rows] : value.at(1).items()) {
        std::vector<RoutedRange> &list = ranges[service];
        for (const json &row : rows) {
            const std::string id = ids.at(row.at(2).get<std::size_t>());
            list.push_back({ { row.at(0), row.at(1) }, id, row.at(3).get<RangePhase>() });
        }
    }
    return ranges;
}

// Returns the ranges of @p after that @p before does not contain in the same form.
std::vector<RoutedRange> changedRanges(const std::vector<RoutedRange> &before,
                                       const std::vector<RoutedRange> &after)
{
    std::vector<RoutedRange> changed;
    for (const RoutedRange &range : after) {
        const auto known = std::lower_bound(before.begin(), before.end(), range, isBefore);
        if (known == before.end() || *known != range) {
            changed.push_back(range);
        }
    }
    return changed;
}

// Returns @p ranges, except those that @p replacing overlaps, together with @p replacing.
std::vector<RoutedRange> merged(const std::vector<RoutedRange> &ranges,
                                const std::vector<RoutedRange> &replacing)
{
    std::vector<RoutedRange> result = replacing;
    for (const RoutedRange &range : ranges) {
        const bool replaced
                = std::any_of(replacing.begin(), replacing.end(), [&](const RoutedRange &other) {
                      return other.range.overlaps(range.range);
                  });
        if (!replaced) {
            result.push_back(range);
        }
    }
    std::sort(result.begin(), result.end(), isBefore);
    return result;
}

} // namespace

RoutingChange changeBetween(const RoutingTable &before, const RoutingTable &after)
{
    RoutingChange change;
    change.evacuatedZones = after.evacuatedZones;
    std::map<std::string, const RoutedUpstream *> known;
    for (const RoutedUpstream &upstream : before.upstreams) {
        known[upstream.upstream.incarnation.id] = &upstream;
    }
    for (const RoutedUpstream &upstream : after.upstreams) {
        const auto found = known.find(upstream.upstream.incarnation.id);
        if (found == known.end() || *found->second != upstream) {
            change.upstreams.push_back(upstream);
        }
        if (found != known.end()) {
            known.erase(found);
        }
    }
    for (const auto &[id, upstream] : known) {
        change.removedUpstreams.push_back(id);
    }
    for (const auto &[service, list] : after.ranges) {
        const auto found = before.ranges.find(service);
        std::vector<RoutedRange> changed
                = found == before.ranges.end() ? list : changedRanges(found->second, list);
        if (!changed.empty() || found == before.ranges.end()) {
            change.ranges[service] = std::move(changed);
        }
    }
    return change;
}

RoutingTable applyChange(const RoutingTable &table, const RoutingChange &change)
{
    std::map<std::string, RoutedUpstream> upstreams;
    for (const RoutedUpstream &upstream : table.upstreams) {
        upstreams[upstream.upstream.incarnation.id] = upstream;
    }
    for (const std::string &id : change.removedUpstreams) {
        upstreams.erase(id);
    }
    for (const RoutedUpstream &upstream : change.upstreams) {
        upstreams[upstream.upstream.incarnation.id] = upstream;
    }
    RoutingTable result;
    for (auto &[id, upstream] : upstreams) {
        result.upstreams.push_back(std::move(upstream));
    }
    result.evacuatedZones = change.evacuatedZones;
    result.ranges = table.ranges;
    for (const auto &[service, list] : change.ranges) {
        result.ranges[service] = merged(result.ranges[service], list);
    }
    return result;
}

std::string encode(const RoutingChange &change)
{
    return packText(toCborText(json::array({ change.upstreams, change.removedUpstreams,
                                             toJson(change.ranges), change.evacuatedZones })));
}

std::optional<RoutingChange> decodeRoutingChange(std::string_view bytes)
{
    const std::optional<std::string> text = unpackText(bytes);
    if (!text) {
        return std::nullopt;
    }
    try {
        const json value = json::from_cbor(text->begin(), text->end());
        RoutingChange change { value.at(0).get<std::vector<RoutedUpstream>>(),
                               value.at(1).get<std::vector<std::string>>(),
                               toRanges(value.at(2)),
                               {} };
        // Leaders of versions without evacuations do not send them.
        if (value.size() > evacuatedZonesPosition) {
            value.at(evacuatedZonesPosition).get_to(change.evacuatedZones);
        }
        return change;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace cassiaroad

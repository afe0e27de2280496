#include "version/sitewatch.h"

#include "version/sitejson.h"

namespace cassiaroad {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JoinRequest, ip, wantsSlot)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RoutedUpstream, upstream, silent, warming)

// Keys, timings and ranges are the bulk of the messages, so they are arrays without names.

static void to_json(json &value, const KeyRequests &requests)
{
    value = json::array({ requests.service, requests.key, requests.requests });
}

static void from_json(const json &value, KeyRequests &requests)
{
    requests = { value.at(0), value.at(1), value.at(2) };
}

static void to_json(json &value, const UpstreamTiming &timing)
{
    value = json::array({ timing.upstream, timing.requests, timing.milliseconds });
}

static void from_json(const json &value, UpstreamTiming &timing)
{
    timing = { value.at(0), value.at(1), value.at(2) };
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GatewayReport, gateway, zone, tableTag, upstreamsTag, version,
                                   requests, keys, timings)

namespace {

json toJson(const GroupHint &hint)
{
    json members = json::array();
    for (const auto &[slot, ip] : hint.members) {
        members.push_back(json::array({ slot, ip }));
    }
    return { { "group", hint.groupExists },
             { "leader", hint.leaderIp },
             { "members", members },
             { "slot", hint.slot } };
}

GroupHint toHint(const json &value)
{
    GroupHint hint;
    hint.groupExists = value.at("group");
    hint.leaderIp = value.at("leader");
    hint.slot = value.at("slot");
    for (const json &member : value.at("members")) {
        hint.members[member.at(0).get<std::uint32_t>()] = member.at(1);
    }
    return hint;
}

// A range is [first key, last key, position of the upstream's id in the list, phase].
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

json toJson(const GatewayUpdate &update)
{
    json value = { { "tag", update.tableTag },
                   { "upstreamsTag", update.upstreamsTag },
                   { "version", update.version },
                   { "share", update.trafficShare },
                   { "gateways", update.gateways } };
    if (update.upstreams) {
        value["upstreams"] = *update.upstreams;
    }
    if (update.encodedRanges) {
        value["ranges"] = toBinary(*update.encodedRanges);
    }
    if (update.document) {
        value["document"] = toBinary(*update.document);
    }
    return value;
}

GatewayUpdate toUpdate(const json &value)
{
    GatewayUpdate update;
    update.tableTag = value.at("tag");
    update.version = value.at("version");
    update.trafficShare = value.at("share");
    update.gateways = value.at("gateways");
    update.upstreamsTag = value.at("upstreamsTag");
    if (value.contains("upstreams")) {
        update.upstreams = value.at("upstreams").get<std::vector<RoutedUpstream>>();
    }
    if (value.contains("ranges")) {
        update.encodedRanges = fromBinary(value.at("ranges"));
    }
    if (value.contains("document")) {
        update.document = fromBinary(value.at("document"));
    }
    return update;
}

template <typename Value, typename Read>
std::optional<Value> decodeWith(std::string_view bytes, Read read)
{
    try {
        return read(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const RoutedRanges &ranges)
{
    return toCborText(toJson(ranges));
}

std::optional<RoutedRanges> decodeRoutedRanges(std::string_view bytes)
{
    return decodeWith<RoutedRanges>(bytes, toRanges);
}

std::string encode(const GatewayReport &report)
{
    return toCborText(report);
}

std::string encode(const WatchAnswer &answer)
{
    const json body = std::visit([](const auto &value) { return toJson(value); }, answer);
    return toCborText(json::array({ answer.index(), body }));
}

std::string encode(const GroupHint &hint)
{
    return toCborText(toJson(hint));
}

std::string encode(const JoinRequest &request)
{
    return toCborText(request);
}

std::optional<GatewayReport> decodeGatewayReport(std::string_view bytes)
{
    return decodeWith<GatewayReport>(bytes, [](const json &v) { return v.get<GatewayReport>(); });
}

std::optional<WatchAnswer> decodeWatchAnswer(std::string_view bytes)
{
    return decodeWith<WatchAnswer>(bytes, [](const json &value) {
        return value.at(0).get<std::size_t>() == 0 ? WatchAnswer(toHint(value.at(1)))
                                                   : WatchAnswer(toUpdate(value.at(1)));
    });
}

std::optional<GroupHint> decodeGroupHint(std::string_view bytes)
{
    return decodeWith<GroupHint>(bytes, toHint);
}

std::optional<JoinRequest> decodeJoinRequest(std::string_view bytes)
{
    return decodeWith<JoinRequest>(bytes, [](const json &v) { return v.get<JoinRequest>(); });
}

} // namespace cassiaroad

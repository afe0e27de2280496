#include "version/sitewatch.h"

#include "version/sitejson.h"

#include <xxhash.h>

namespace cassiaroad {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JoinRequest, ip, wantsSlot)

// Keys and timings make up most of a message, so they are encoded as arrays without member names.

static void to_json(json &value, const KeyRequestCount &requests)
{
    value = json::array({ requests.service, requests.key, requests.requests });
}

static void from_json(const json &value, KeyRequestCount &requests)
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

static void to_json(json &value, const BrokenAttempt &broken)
{
    value = json::array({ broken.request, broken.attempt, broken.age.count, broken.trials });
}

static void from_json(const json &value, BrokenAttempt &broken)
{
    broken = { value.at(0), value.at(1), { value.at(2).get<std::int64_t>() } };
    // Earlier versions know no trials.
    if (value.size() > 3) {
        broken.trials = value.at(3);
    }
}

static void to_json(json &value, const SuspectRequest &suspect)
{
    value = json::array({ suspect.request, suspect.attempts, suspect.age.count,
                          suspect.trials.count, suspect.trials.gateway });
}

static void from_json(const json &value, SuspectRequest &suspect)
{
    suspect = { value.at(0), value.at(1), { value.at(2).get<std::int64_t>() }, {} };
    if (value.size() > 4) {
        suspect.trials = { value.at(3), value.at(4) };
    }
}

static void to_json(json &value, const GatewayPlacement &placement)
{
    value = json::array({ placement.rank, placement.gatewaysInZone, placement.demand });
}

static void from_json(const json &value, GatewayPlacement &placement)
{
    placement = { value.at(0), value.at(1), value.at(2) };
}

static void to_json(json &value, const GatewayReport &report)
{
    value = { { "gateway", report.gateway },   { "zone", report.zone },
              { "tableTag", report.tableTag }, { "version", report.version },
              { "gateways", report.gateways }, { "requests", report.requests },
              { "keys", report.keys },         { "timings", report.timings } };
    if (!report.leaving.empty()) {
        value["leaving"] = report.leaving;
    }
    if (!report.broken.empty()) {
        value["broken"] = report.broken;
    }
    if (!report.answered.empty()) {
        value["answered"] = report.answered;
    }
    if (!report.trials.empty()) {
        value["trials"] = report.trials;
    }
    if (report.suspectsTag != 0) {
        value["suspectsTag"] = report.suspectsTag;
    }
    if (report.membersRevision) {
        value["membersRevision"] = *report.membersRevision;
    }
    if (report.isSearch) {
        value["search"] = true;
    }
    if (report.placementTag != 0) {
        value["placeTag"] = report.placementTag;
    }
}

static void from_json(const json &value, GatewayReport &report)
{
    value.at("gateway").get_to(report.gateway);
    value.at("zone").get_to(report.zone);
    value.at("tableTag").get_to(report.tableTag);
    value.at("version").get_to(report.version);
    report.gateways = value.value("gateways", std::uint32_t(0));
    value.at("requests").get_to(report.requests);
    value.at("keys").get_to(report.keys);
    value.at("timings").get_to(report.timings);
    report.leaving = value.value("leaving", std::vector<UpstreamIncarnation>());
    report.broken = value.value("broken", std::vector<BrokenAttempt>());
    report.answered = value.value("answered", std::vector<RequestDigest>());
    report.trials = value.value("trials", std::vector<RequestDigest>());
    report.suspectsTag = value.value("suspectsTag", std::uint64_t(0));
    if (value.contains("membersRevision")) {
        report.membersRevision = value.at("membersRevision").get<std::uint64_t>();
    }
    report.isSearch = value.value("search", false);
    report.placementTag = value.value("placeTag", std::uint32_t(0));
}

namespace {

json toJson(const std::map<std::uint32_t, std::string> &ips)
{
    json members = json::array();
    for (const auto &[slot, ip] : ips) {
        members.push_back(json::array({ slot, ip }));
    }
    return members;
}

std::map<std::uint32_t, std::string> toIps(const json &members)
{
    std::map<std::uint32_t, std::string> ips;
    for (const json &member : members) {
        ips[member.at(0).get<std::uint32_t>()] = member.at(1);
    }
    return ips;
}

json toJson(const GroupHint &hint)
{
    return { { "group", hint.groupExists },
             { "leader", hint.leaderIp },
             { "members", toJson(hint.members) },
             { "membersRevision", hint.membersRevision },
             { "slot", hint.slot } };
}

GroupHint toHint(const json &value)
{
    GroupHint hint;
    hint.groupExists = value.at("group");
    hint.leaderIp = value.at("leader");
    hint.slot = value.at("slot");
    hint.membersRevision = value.value("membersRevision", std::uint64_t(0));
    hint.members = toIps(value.at("members"));
    return hint;
}

json toJson(const GatewayUpdate &update)
{
    json value = { { "tag", update.tableTag },       { "fromTag", update.fromTag },
                   { "version", update.version },    { "share", update.trafficShare },
                   { "gateways", update.gateways },  { "hold", update.watchTimeout.count },
                   { "waited", update.waited.count } };
    if (update.tableAge != Milliseconds {}) {
        value["tableAge"] = update.tableAge.count;
    }
    if (update.suspectsTag != 0) {
        value["suspectsTag"] = update.suspectsTag;
    }
    if (update.suspects) {
        value["suspects"] = *update.suspects;
    }
    if (update.members) {
        value["members"] = toJson(update.members->ips);
        value["membersRevision"] = update.members->revision;
    }
    if (update.placement) {
        value["place"] = *update.placement;
    }
    if (update.change) {
        value["change"] = toBinary(*update.change);
    }
    if (update.document) {
        value["document"] = toBinary(*update.document);
        value["documentBase"] = update.documentBase;
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
    update.watchTimeout = { value.at("hold").get<std::int64_t>() };
    update.waited = { value.value("waited", std::int64_t(0)) };
    update.tableAge = { value.value("tableAge", std::int64_t(0)) };
    update.fromTag = value.at("fromTag");
    update.suspectsTag = value.value("suspectsTag", std::uint64_t(0));
    if (value.contains("suspects")) {
        update.suspects = value.at("suspects").get<std::vector<SuspectRequest>>();
    }
    if (value.contains("members")) {
        update.members = MemberList { value.at("membersRevision"), toIps(value.at("members")) };
    }
    if (value.contains("place")) {
        update.placement = value.at("place").get<GatewayPlacement>();
    }
    if (value.contains("change")) {
        update.change = fromBinary(value.at("change"));
    }
    if (value.contains("document")) {
        update.document = fromBinary(value.at("document"));
        update.documentBase = value.at("documentBase");
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

std::uint64_t tagOf(std::vector<SuspectRequest> suspects)
{
    if (suspects.empty()) {
        return 0;
    }
    for (SuspectRequest &suspect : suspects) {
        suspect.age = {};
    }
    const std::string bytes = toCborText(suspects);
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string encode(const GatewayReport &report)
{
    return toCborText(report);
}

std::string encode(const GatewayWatchReply &reply)
{
    const json body = std::visit([](const auto &value) { return toJson(value); }, reply);
    return toCborText(json::array({ reply.index(), body }));
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

std::optional<GatewayWatchReply> decodeGatewayWatchReply(std::string_view bytes)
{
    return decodeWith<GatewayWatchReply>(bytes, [](const json &value) {
        return value.at(0).get<std::size_t>() == 0 ? GatewayWatchReply(toHint(value.at(1)))
                                                   : GatewayWatchReply(toUpdate(value.at(1)));
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

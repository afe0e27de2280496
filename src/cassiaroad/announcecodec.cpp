#include "cassiaroad/announcecodec.h"

#include "connection/rpccodec.h"
#include "connection/socketaddress.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cassiaroad {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxKeyLength = 128;
constexpr std::uint32_t maxSlots = 100000;

bool isName(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameLength
           && std::all_of(name.begin(), name.end(), [](char letter) {
                  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
                         || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_'
                         || letter == '.';
              });
}

std::string checkUpstream(const Upstream &upstream)
{
    if (!isName(upstream.id.service) || !isName(upstream.id.name) || !isName(upstream.zone)) {
        return "service, name and zone are names of at most 64 letters, digits, '-', '_', '.'";
    }
    if (upstream.instance.empty() || upstream.instance.size() > maxNameLength) {
        return "instance is a text of 1 to 64 bytes";
    }
    if (parseHostAddress(upstream.address).port == 0) {
        return "address is not of the form ip:port";
    }
    const auto inRange = [](std::uint32_t count) { return count >= 1 && count <= maxSlots; };
    if (!inRange(upstream.slots) || !inRange(upstream.connections)) {
        return "slots and connections are numbers from 1 to 100000";
    }
    return {};
}

Announcement readFields(const Json &json)
{
    Announcement result;
    result.upstream.id = { json.at("service"), json.at("name") };
    result.upstream.zone = json.at("zone");
    result.upstream.address = json.at("address");
    result.upstream.slots = json.at("slots");
    result.upstream.connections = json.at("connections");
    result.upstream.checksGrants = json.at("checks_grants");
    result.upstream.instance = json.at("instance");
    result.upstream.draining = json.value("draining", false);
    result.heldGrants = json.value("held_grants", std::uint64_t(0));
    result.load = json.value("load", 0.0);
    for (const Json &entry : json.value("released", Json::array())) {
        result.released.emplace_back(entry.at("shard"), entry.at("epoch"));
    }
    for (const Json &entry : json.value("released_keys", Json::array())) {
        result.releasedKeys.emplace_back(entry.at("key"), entry.at("epoch"));
        if (result.releasedKeys.back().first.size() > maxKeyLength) {
            throw std::length_error("a released key is too long");
        }
    }
    return result;
}

Json grantJson(rpc::Route::Reader route)
{
    return { { "epoch", route.getEpoch() },
             { "releasing", route.getState() == rpc::RouteState::RELEASING } };
}

Json grantsJson(rpc::Grants::Reader grants)
{
    Json shards = Json::array();
    for (const auto entry : grants.getShards()) {
        Json grant = grantJson(entry.getRoute());
        grant["shard"] = entry.getShard();
        shards.push_back(std::move(grant));
    }
    Json keys = Json::array();
    for (const auto entry : grants.getKeys()) {
        Json grant = grantJson(entry.getRoute());
        grant["key"] = entry.getKey().cStr();
        keys.push_back(std::move(grant));
    }
    Json movedAway = Json::array();
    for (const auto entry : grants.getMovedAway()) {
        movedAway.push_back(entry.getKey().cStr());
    }
    return { { "version", grants.getVersion() },
             { "shards", std::move(shards) },
             { "keys", std::move(keys) },
             { "moved_away", std::move(movedAway) } };
}

} // namespace

std::variant<Announcement, AnnouncementError> parseAnnouncement(std::string_view json)
{
    try {
        const Json parsed = Json::parse(json.begin(), json.end());
        Announcement announcement = readFields(parsed);
        std::string inputError = checkUpstream(announcement.upstream);
        if (!inputError.empty()) {
            return AnnouncementError { std::move(inputError) };
        }
        return announcement;
    } catch (const std::exception &error) {
        return AnnouncementError { error.what() };
    }
}

void encode(const Announcement &announcement, rpc::AnnounceRequest::Builder builder)
{
    encode(announcement.upstream, builder.initUpstream());
    builder.setHeldGrants(announcement.heldGrants);
    builder.setLoad(announcement.load);
    auto released = builder.initReleased(static_cast<unsigned>(announcement.released.size()));
    for (unsigned i = 0; i < released.size(); ++i) {
        released[i].setService(announcement.upstream.id.service);
        released[i].setShard(announcement.released[i].first);
        released[i].initRoute().setEpoch(announcement.released[i].second);
    }
    auto keys = builder.initReleasedKeys(static_cast<unsigned>(announcement.releasedKeys.size()));
    for (unsigned i = 0; i < keys.size(); ++i) {
        keys[i].setService(announcement.upstream.id.service);
        keys[i].setKey(announcement.releasedKeys[i].first);
        keys[i].initRoute().setEpoch(announcement.releasedKeys[i].second);
    }
}

std::string acceptedAnnouncementJson(rpc::AnnounceReply::Accepted::Reader reply,
                                     std::int64_t announceMs)
{
    Json json { { "lease_ms", reply.getLeaseMs() }, { "announce_ms", announceMs } };
    if (reply.getUnchanged()) {
        json["unchanged"] = true;
    } else {
        json["grants"] = grantsJson(reply.getGrants());
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string errorJson(const std::string &reason)
{
    return Json { { "error", reason } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace cassiaroad

#include "cassiaroad/controlstatus.h"

#include <map>

namespace cassiaroad {

namespace {

using nlohmann::json;

const char *stateName(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Up:
        return "up";
    case UpstreamState::Suspected:
        return "suspected";
    case UpstreamState::Lost:
        return "lost";
    }
    return "unknown";
}

json membersJson(const ControlEngine &engine)
{
    json members = json::array();
    const Replica *replica = engine.replica().replica();
    for (const MemberSettings &member : engine.configuration().members) {
        bool voter = false;
        if (replica != nullptr) {
            for (const MemberId &id : replica->configuration().voters) {
                voter = voter || id.number == member.number;
            }
        }
        members.push_back({ { "number", member.number },
                            { "region", member.region },
                            { "zone", member.zone },
                            { "rpc", member.rpc.toString() },
                            { "operators", member.operators.toString() },
                            { "voter", voter },
                            { "leader", engine.replica().leader() == member.number } });
    }
    return members;
}

json upstreamsJson(const ControlEngine &engine)
{
    const RoutingState &routing = engine.state().routing();
    std::map<UpstreamId, std::uint64_t> shards;
    for (const auto &[shard, entry] : routing.shards()) {
        if (!entry.route.upstream.empty()) {
            ++shards[{ shard.service, entry.route.upstream }];
        }
    }
    std::map<UpstreamId, std::uint64_t> keys;
    for (const auto &[key, entry] : routing.keys()) {
        ++keys[{ key.service, entry.route.upstream }];
    }
    json upstreams = json::array();
    for (const auto &[id, entry] : routing.upstreams()) {
        upstreams.push_back({ { "service", id.service },
                              { "name", id.name },
                              { "zone", entry.upstream.zone },
                              { "address", entry.upstream.address },
                              { "state", stateName(entry.state) },
                              { "checks_grants", entry.upstream.checksGrants },
                              { "draining", entry.upstream.draining },
                              { "drained", entry.drained },
                              { "shards", shards[id] },
                              { "moved_keys", keys[id] } });
    }
    return upstreams;
}

json entryHostsJson(const ControlEngine &engine)
{
    json hosts = json::array();
    for (const EntryHostStatus &host : engine.manager().entryHosts(engine.now())) {
        hosts.push_back({ { "name", host.host.name },
                          { "zone", host.zone },
                          { "seen_revision", host.seenRevision },
                          { "drained_revision", host.drainedRevision } });
    }
    return hosts;
}

} // namespace

json controlStatus(const ControlEngine &engine)
{
    const ControlState &state = engine.state();
    const Replica *replica = engine.replica().replica();
    return { { "group", engine.configuration().group },
             { "member", std::get<ControlSettings>(engine.configuration().role).member },
             { "term", replica == nullptr ? 0 : replica->term() },
             { "commit_index", replica == nullptr ? 0 : replica->commitIndex() },
             { "revision", state.revision() },
             { "placement_revision", state.placementRevision() },
             { "members", membersJson(engine) },
             { "entry_hosts", entryHostsJson(engine) },
             { "upstreams", upstreamsJson(engine) },
             { "releasing", state.routing().releasing().size() },
             { "active_plans", state.plans().active() },
             { "overrides", state.routing().overrides() },
             { "ledger_records", state.ledger().size() } };
}

} // namespace cassiaroad

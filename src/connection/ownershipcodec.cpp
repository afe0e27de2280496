#include "connection/ownershipcodec.h"

#include "connection/rpccodec.h"

namespace cassiaroad {

namespace {

std::string text(capnp::Data::Reader data)
{
    return { data.asChars().begin(), data.size() };
}

capnp::Data::Reader data(const std::string &text)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte *>(text.data()), text.size());
}

unsigned listSize(const auto &container)
{
    return static_cast<unsigned>(container.size());
}

StoredAnswer decode(rpc::StoredAnswer::Reader reader)
{
    return { reader.getStatus(), reader.getContentType(), text(reader.getBody()),
             reader.getTruncated() };
}

/** Visitor that writes a grant into the list of shards or the list of keys, by its subject. */
struct GrantWriter
{
    void operator()(const ShardRef &subject)
    {
        rpc::ShardRoute::Builder builder = this->shards[this->shardCount++];
        builder.setService(subject.service);
        builder.setShard(subject.shard);
        encodeRoute(builder.initRoute());
    }

    void operator()(const KeyRef &subject)
    {
        rpc::KeyRoute::Builder builder = this->keys[this->keyCount++];
        builder.setService(subject.service);
        builder.setKey(subject.key);
        encodeRoute(builder.initRoute());
    }

    void encodeRoute(rpc::Route::Builder builder) const
    {
        builder.setEpoch(this->grant->epoch);
        builder.setState(this->grant->releasing ? rpc::RouteState::RELEASING
                                                : rpc::RouteState::OWNED);
    }

    capnp::List<rpc::ShardRoute>::Builder shards;
    capnp::List<rpc::KeyRoute>::Builder keys;
    const Grant *grant = nullptr;
    unsigned shardCount = 0;
    unsigned keyCount = 0;
};

void encode(const GrantSet &grants, rpc::Grants::Builder builder)
{
    builder.setVersion(grants.version);
    unsigned shards = 0;
    for (const Grant &grant : grants.grants) {
        shards += std::holds_alternative<ShardRef>(grant.subject) ? 1 : 0;
    }
    GrantWriter writer { builder.initShards(shards),
                         builder.initKeys(listSize(grants.grants) - shards) };
    for (const Grant &grant : grants.grants) {
        writer.grant = &grant;
        std::visit(writer, grant.subject);
    }
    auto movedAway = builder.initMovedAway(listSize(grants.movedAway));
    for (unsigned i = 0; i < movedAway.size(); ++i) {
        movedAway[i].setService(grants.movedAway[i].service);
        movedAway[i].setKey(grants.movedAway[i].key);
    }
}

/** Visitor that writes the result of a begin call into the reply. */
struct BeginResultWriter
{
    void operator()(const LedgerStarted &result) { this->builder.setStarted(result.ticket); }
    void operator()(const LedgerInProgress &) { this->builder.setInProgress(); }
    void operator()(const LedgerUnknown &) { this->builder.setUnknown(); }
    void operator()(const LedgerMismatch &) { this->builder.setMismatch(); }
    void operator()(const LedgerFull &) { this->builder.setFull(); }
    void operator()(const StoredAnswer &result)
    {
        auto finished = this->builder.initFinished();
        finished.setStatus(result.status);
        finished.setContentType(result.contentType);
        finished.setBody(data(result.body));
        finished.setTruncated(result.truncated);
    }

    rpc::BeginReply::Builder builder;
};

/** Decodes what the entry host saw of upstreams, shards and keys since its previous watch call. */
void decodeHealth(rpc::WatchRequest::Reader reader, WatchRequested &event)
{
    for (const auto health : reader.getHealth()) {
        event.health.push_back({ { health.getService(), health.getName() },
                                 health.getRequests(),
                                 health.getFailures(),
                                 health.getShed() });
    }
    for (const auto load : reader.getShardLoad()) {
        event.shardLoad.push_back({ { load.getService(), load.getShard() }, load.getRequests() });
    }
    for (const auto load : reader.getKeyLoad()) {
        event.keyLoad.push_back({ { load.getService(), load.getKey() }, load.getRequests() });
    }
}

} // namespace

WatchRequested decode(rpc::WatchRequest::Reader reader)
{
    WatchRequested event;
    event.host = { reader.getEntryHost(), reader.getInstance() };
    event.zone = reader.getZone();
    event.seenRevision = reader.getSeenRevision();
    event.drainedRevision = reader.getDrainedRevision();
    event.stopping = reader.getStopping();
    decodeHealth(reader, event);
    return event;
}

AnnounceRequested decode(rpc::AnnounceRequest::Reader reader)
{
    AnnounceRequested event;
    event.upstream = decode(reader.getUpstream());
    event.heldGrants = reader.getHeldGrants();
    event.load = reader.getLoad();
    for (const auto shard : reader.getReleased()) {
        event.released.push_back(
                { ShardRef { shard.getService(), shard.getShard() }, shard.getRoute().getEpoch() });
    }
    for (const auto key : reader.getReleasedKeys()) {
        event.released.push_back(
                { KeyRef { key.getService(), key.getKey() }, key.getRoute().getEpoch() });
    }
    return event;
}

BeginRequested decode(rpc::BeginRequest::Reader reader)
{
    BeginRequested event;
    event.request.key = { reader.getService(), reader.getKey(), reader.getIdempotencyKey() };
    event.request.digest = reader.getDigest();
    event.request.host = { reader.getEntryHost(), reader.getEntryInstance() };
    event.request.run = reader.getRun();
    return event;
}

FinishRequested decode(rpc::FinishRequest::Reader reader)
{
    FinishRequested event;
    event.request.key = { reader.getService(), reader.getKey(), reader.getIdempotencyKey() };
    event.request.ticket = reader.getTicket();
    switch (reader.which()) {
    case rpc::FinishRequest::ANSWER:
        event.request.outcome = decode(reader.getAnswer());
        break;
    case rpc::FinishRequest::UNKNOWN:
        event.request.outcome = LedgerUnknown {};
        break;
    case rpc::FinishRequest::NOT_RUN:
        event.request.outcome = LedgerNotRun {};
        break;
    }
    return event;
}

void encode(const ReplyWatch &reply, const std::string &group, rpc::WatchReply::Builder builder)
{
    auto update = builder.initUpdate();
    encode(reply.delta, update.initDelta());
    update.setLeaseMs(static_cast<std::uint32_t>(reply.lease.count));
    update.setEntryHosts(reply.entryHosts);
    update.setGroup(group);
}

void encode(const ReplyAnnounce &reply, rpc::AnnounceReply::Builder builder)
{
    if (!reply.refused.empty()) {
        builder.setRefused(reply.refused);
        return;
    }
    auto accepted = builder.initAccepted();
    accepted.setLeaseMs(static_cast<std::uint32_t>(reply.lease.count));
    accepted.setUnchanged(reply.unchanged);
    encode(reply.grants, accepted.initGrants());
}

void encode(const ReplyBegin &reply, rpc::BeginReply::Builder builder)
{
    std::visit(BeginResultWriter { builder }, reply.result);
}

void encode(const ReplyFinish &reply, rpc::FinishReply::Builder builder)
{
    if (reply.result == LedgerFinishResult::Done) {
        builder.setDone();
    } else {
        builder.setSuperseded();
    }
}

} // namespace cassiaroad

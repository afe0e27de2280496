#pragma once

#include "connection/rpccodec.h"
#include "connection/rpcdelay.h"
#include "connection/rpcserver.h"
#include "version/requestledger.h"

#include <optional>
#include <vector>

namespace cassiaroad {

/**
 * State of a fake control group, which a test changes while the entry host runs, and what it
 * received.
 */
struct FakeGroup
{
    RouteDelta table; // a complete table, sent in each reply
    Milliseconds lease { 1000 };
    std::uint32_t entryHosts = 1;
    bool repliesToWatch = true;
    bool repliesToLedgerCalls = true;
    bool dropsNextBeginReply = false; // executes the call but does not reply
    RequestLedger ledger;

    Revision seen = 0; // of the last watch call
    Revision drained = 0; // of the last watch call
    std::uint32_t failures = 0; // reported so far
    bool stopping = false;
    std::vector<std::string> announced; // names of upstreams
    int begins = 0;
    int finishes = 0;

    void assign(const std::string &service, std::uint32_t shards, const Upstream &upstream,
                Epoch epoch)
    {
        this->setRoutes(service, shards, { RouteState::Owned, upstream.id.name, epoch });
        std::erase_if(this->table.upstreams,
                      [&](const Upstream &other) { return other.id == upstream.id; });
        this->table.upstreams.push_back(upstream);
    }

    void setRoutes(const std::string &service, std::uint32_t shards, const Route &route)
    {
        std::erase_if(this->table.shards,
                      [&](const auto &entry) { return entry.first.service == service; });
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            this->table.shards.push_back({ { service, shard }, route });
        }
        ++this->table.toRevision;
    }
};

/** RPC service of the leader of a FakeGroup. */
class FakeControl final : public rpc::Member::Server
{
public:
    FakeControl(EventLoop &loop, FakeGroup &group)
        : loop(loop)
        , group(group)
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        const auto request = context.getParams().getRequest();
        this->group.seen = request.getSeenRevision();
        this->group.drained = request.getDrainedRevision();
        this->group.stopping = this->group.stopping || request.getStopping();
        for (const auto health : request.getHealth()) {
            this->group.failures += health.getFailures();
        }
        if (!this->group.repliesToWatch) {
            return kj::NEVER_DONE;
        }
        return rpcDelay(this->loop, { 5 }).then([this, context]() mutable {
            auto update = context.getResults().initReply().initUpdate();
            encode(this->group.table, update.initDelta());
            update.setLeaseMs(static_cast<std::uint32_t>(this->group.lease.count));
            update.setEntryHosts(this->group.entryHosts);
        });
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        const Upstream upstream = decode(context.getParams().getRequest().getUpstream());
        this->group.announced.push_back(upstream.id.name);
        auto accepted = context.getResults().initReply().initAccepted();
        accepted.setLeaseMs(1000);
        accepted.setUnchanged(true);
        return kj::READY_NOW;
    }

    kj::Promise<void> begin(BeginContext context) override
    {
        if (!this->group.repliesToLedgerCalls) {
            return kj::NEVER_DONE;
        }
        ++this->group.begins;
        const auto request = context.getParams().getRequest();
        const LedgerBeginResult result = this->group.ledger.begin(
                { request.getService(), request.getKey(), request.getIdempotencyKey() },
                request.getDigest(), { request.getEntryHost(), request.getEntryInstance() }, 0, 100,
                request.getRun());
        if (std::exchange(this->group.dropsNextBeginReply, false)) {
            return kj::NEVER_DONE;
        }
        auto reply = context.getResults().initReply();
        if (const auto *started = std::get_if<LedgerStarted>(&result)) {
            reply.setStarted(started->ticket);
        } else if (const auto *answer = std::get_if<StoredAnswer>(&result)) {
            auto finished = reply.initFinished();
            finished.setStatus(answer->status);
            finished.setContentType(answer->contentType);
            finished.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte *>(answer->body.data()),
                                          answer->body.size()));
            finished.setTruncated(answer->truncated);
        } else if (std::holds_alternative<LedgerUnknown>(result)) {
            reply.setUnknown();
        } else if (std::holds_alternative<LedgerMismatch>(result)) {
            reply.setMismatch();
        } else if (std::holds_alternative<LedgerFull>(result)) {
            reply.setFull();
        } else {
            reply.setInProgress();
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> finish(FinishContext context) override
    {
        if (!this->group.repliesToLedgerCalls) {
            return kj::NEVER_DONE;
        }
        ++this->group.finishes;
        const auto request = context.getParams().getRequest();
        LedgerOutcome outcome = LedgerUnknown {};
        if (request.isNotRun()) {
            outcome = LedgerNotRun {};
        } else if (request.isAnswer()) {
            const auto answer = request.getAnswer();
            const auto body = answer.getBody().asChars();
            outcome = StoredAnswer { answer.getStatus(), answer.getContentType(),
                                     std::string(body.begin(), body.size()),
                                     answer.getTruncated() };
        }
        this->group.ledger.finish(
                { request.getService(), request.getKey(), request.getIdempotencyKey() },
                request.getTicket(), outcome);
        context.getResults().initReply().setDone();
        return kj::READY_NOW;
    }

private:
    EventLoop &loop;
    FakeGroup &group;
};

} // namespace cassiaroad

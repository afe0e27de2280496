#include "process/replicacodec.h"

#include "process/capnpbytes.h"
#include "process/logcodec.h"

namespace cassiaroad {

namespace {

using Body = wire::ReplicaMessage::Body;

/** Writes the body of a message. */
struct BodyEncoder
{
    Body::Builder body;

    void operator()(const VoteRequest &request);
    void operator()(const VoteReply &reply);
    void operator()(const AppendRequest &request);
    void operator()(const AppendReply &reply);
    void operator()(const SnapshotChunk &chunk);
    void operator()(const SnapshotReply &reply);
    void operator()(const TransferRequest &request);
    void operator()(const StartReport &report);
    void operator()(const StartReply &reply);
};

void BodyEncoder::operator()(const VoteRequest &request)
{
    auto builder = this->body.initVoteRequest();
    builder.setTerm(request.term);
    builder.setLastIndex(request.lastIndex);
    builder.setLastTerm(request.lastTerm);
    builder.setPreVote(request.preVote);
    builder.setTransfer(request.transfer);
}

void BodyEncoder::operator()(const VoteReply &reply)
{
    auto builder = this->body.initVoteReply();
    builder.setTerm(reply.term);
    builder.setGranted(reply.granted);
    builder.setPreVote(reply.preVote);
}

void BodyEncoder::operator()(const AppendRequest &request)
{
    auto builder = this->body.initAppendRequest();
    builder.setTerm(request.term);
    builder.setPrevIndex(request.prevIndex);
    builder.setPrevTerm(request.prevTerm);
    builder.setCommitIndex(request.commitIndex);
    builder.setSentAt(request.sentAt.sinceOrigin);
    encode(request.runs, builder.initRuns(static_cast<unsigned>(request.runs.size())));
    auto entries = builder.initEntries(static_cast<unsigned>(request.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
        entries[i].setIndex(request.entries[i].index);
        entries[i].setTerm(request.entries[i].term);
        encode(request.entries[i].payload, entries[i].initPayload());
    }
}

void BodyEncoder::operator()(const AppendReply &reply)
{
    auto builder = this->body.initAppendReply();
    builder.setTerm(reply.term);
    builder.setSuccess(reply.success);
    builder.setMatchIndex(reply.matchIndex);
    builder.setRejectedIndex(reply.rejectedIndex);
    builder.setHintIndex(reply.hintIndex);
    builder.setHintTerm(reply.hintTerm);
    builder.setSentAt(reply.sentAt.sinceOrigin);
}

void BodyEncoder::operator()(const SnapshotChunk &chunk)
{
    auto builder = this->body.initSnapshotChunk();
    builder.setTerm(chunk.term);
    encode(chunk.meta, builder.initMeta());
    builder.setOffset(chunk.offset);
    builder.setTotal(chunk.total);
    builder.setData({ reinterpret_cast<const kj::byte *>(chunk.data.data()), chunk.data.size() });
    builder.setSentAt(chunk.sentAt.sinceOrigin);
}

void BodyEncoder::operator()(const SnapshotReply &reply)
{
    auto builder = this->body.initSnapshotReply();
    builder.setTerm(reply.term);
    builder.setIndex(reply.index);
    builder.setNextOffset(reply.nextOffset);
    builder.setSentAt(reply.sentAt.sinceOrigin);
}

void BodyEncoder::operator()(const TransferRequest &request)
{
    this->body.initTransferRequest().setTerm(request.term);
}

void BodyEncoder::operator()(const StartReport &report)
{
    auto builder = this->body.initStartReport();
    builder.setTerm(report.term);
    builder.setLastIndex(report.lastIndex);
    builder.setVoter(report.voter);
    encode(report.earlierRuns,
           builder.initEarlierRuns(static_cast<unsigned>(report.earlierRuns.size())));
}

void BodyEncoder::operator()(const StartReply &reply)
{
    auto builder = this->body.initStartReply();
    encode(reply.run, builder.initRun());
    builder.setVerdict(static_cast<wire::StartVerdict>(reply.verdict));
    builder.setTerm(reply.term);
    builder.setLeader(reply.leader);
    builder.setVoter(reply.voter);
    encode(reply.configuration, builder.initConfiguration());
}

VoteRequest readBody(wire::VoteRequest::Reader reader)
{
    return { reader.getTerm(), reader.getLastIndex(), reader.getLastTerm(), reader.getPreVote(),
             reader.getTransfer() };
}

VoteReply readBody(wire::VoteReply::Reader reader)
{
    return { reader.getTerm(), reader.getGranted(), reader.getPreVote() };
}

AppendRequest readBody(wire::AppendRequest::Reader reader)
{
    AppendRequest request { reader.getTerm(),
                            reader.getPrevIndex(),
                            reader.getPrevTerm(),
                            reader.getCommitIndex(),
                            { reader.getSentAt() },
                            decode(reader.getRuns()),
                            {} };
    for (const auto entry : reader.getEntries()) {
        request.entries.push_back(
                { entry.getIndex(), entry.getTerm(), decode(entry.getPayload()) });
    }
    return request;
}

AppendReply readBody(wire::AppendReply::Reader reader)
{
    return { reader.getTerm(),          reader.getSuccess(),   reader.getMatchIndex(),
             reader.getRejectedIndex(), reader.getHintIndex(), reader.getHintTerm(),
             { reader.getSentAt() } };
}

SnapshotChunk readBody(wire::SnapshotChunk::Reader reader)
{
    const auto data = reader.getData().asChars();
    return { reader.getTerm(),  decode(reader.getMeta()),      reader.getOffset(),
             reader.getTotal(), { data.begin(), data.size() }, { reader.getSentAt() } };
}

SnapshotReply readBody(wire::SnapshotReply::Reader reader)
{
    return { reader.getTerm(), reader.getIndex(), reader.getNextOffset(), { reader.getSentAt() } };
}

StartReport readBody(wire::StartReport::Reader reader)
{
    return { reader.getTerm(), reader.getLastIndex(), reader.getVoter(),
             decode(reader.getEarlierRuns()) };
}

StartReply readBody(wire::StartReply::Reader reader)
{
    return { decode(reader.getRun()), static_cast<StartVerdict>(reader.getVerdict()),
             reader.getTerm(),        reader.getLeader(),
             reader.getVoter(),       decode(reader.getConfiguration()) };
}

std::optional<MessageBody> readBody(Body::Reader body)
{
    switch (body.which()) {
    case Body::VOTE_REQUEST:
        return readBody(body.getVoteRequest());
    case Body::VOTE_REPLY:
        return readBody(body.getVoteReply());
    case Body::APPEND_REQUEST:
        return readBody(body.getAppendRequest());
    case Body::APPEND_REPLY:
        return readBody(body.getAppendReply());
    case Body::SNAPSHOT_CHUNK:
        return readBody(body.getSnapshotChunk());
    case Body::SNAPSHOT_REPLY:
        return readBody(body.getSnapshotReply());
    case Body::TRANSFER_REQUEST:
        return TransferRequest { body.getTransferRequest().getTerm() };
    case Body::START_REPORT:
        return readBody(body.getStartReport());
    case Body::START_REPLY:
        return readBody(body.getStartReply());
    }
    return std::nullopt;
}

} // namespace

std::string encodeReplicaMessage(const ReplicaMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::ReplicaMessage>();
    encode(message.from, root.initFrom());
    encode(message.to, root.initTo());
    std::visit(BodyEncoder { root.getBody() }, message.body);
    return toBytes(builder);
}

std::optional<ReplicaMessage> decodeReplicaMessage(std::string_view bytes)
{
    const auto message = fromBytes<wire::ReplicaMessage>(
            bytes, [](wire::ReplicaMessage::Reader reader) -> std::optional<ReplicaMessage> {
                std::optional<MessageBody> body = readBody(reader.getBody());
                if (!body) {
                    return std::nullopt;
                }
                return ReplicaMessage { decode(reader.getFrom()), decode(reader.getTo()),
                                        std::move(*body) };
            });
    return message.value_or(std::nullopt);
}

} // namespace cassiaroad

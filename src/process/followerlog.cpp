#include "process/followerlog.h"

#include <limits>

namespace cassiaroad {

namespace {

// Send time in a reply that belongs to no request. It must not renew the leader lease, because the
// leader may have changed since the last chunk.
constexpr TimePoint noSendTime { std::numeric_limits<std::int64_t>::min() };

} // namespace

bool FollowerLog::followSender(const MemberId &from, Term term, TimePoint sentAt)
{
    if (term < this->state.hard.term) {
        // Notifies a deposed leader of the higher term.
        AppendReply reply;
        reply.term = this->state.hard.term;
        reply.sentAt = sentAt;
        this->state.outbox.sendWhenSynced(from, reply);
        return false;
    }
    if (this->state.role == ReplicaRole::Leader && term == this->state.hard.term) {
        return false;
    }
    this->state.follow(term, from);
    this->state.leaderContactAt = this->state.now;
    this->state.resetElectionTimer();
    return true;
}

bool FollowerLog::onAppend(const MemberId &from, const AppendRequest &request)
{
    if (!this->followSender(from, request.term, request.sentAt)) {
        return false;
    }
    for (const MemberRun &run : request.runs) {
        this->state.recordRun(run);
    }
    this->state.outbox.sendWhenSynced(from, this->accept(request));
    return true;
}

AppendReply FollowerLog::accept(const AppendRequest &request)
{
    AppendReply reply;
    reply.term = this->state.hard.term;
    reply.sentAt = request.sentAt;
    reply.rejectedIndex = request.prevIndex;
    if (this->state.installing) {
        return reply;
    }
    if (request.prevIndex < this->state.commitIndex) {
        // Committed entries are the same in the log of every leader.
        reply.success = true;
        reply.matchIndex = this->state.commitIndex;
        return reply;
    }
    if (this->state.log.termAt(request.prevIndex) != request.prevTerm) {
        reply.hintIndex
                = this->state.log.lastIndexWithTermUpTo(request.prevIndex, request.prevTerm);
        reply.hintTerm = this->state.log.termAt(reply.hintIndex).value_or(0);
        return reply;
    }
    this->store(request);
    reply.success = true;
    reply.matchIndex = request.prevIndex + request.entries.size();
    this->state.advanceCommit(std::min(request.commitIndex, reply.matchIndex));
    return reply;
}

void FollowerLog::store(const AppendRequest &request)
{
    for (const LogEntry &entry : request.entries) {
        if (this->state.log.termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= this->state.log.lastIndex()) {
            this->state.log.truncateFrom(entry.index);
        }
        this->state.log.append(entry);
        this->state.outbox.persistFrom(entry.index);
    }
    this->state.updateRole();
}

bool FollowerLog::onChunk(const MemberId &from, const SnapshotChunk &chunk)
{
    if (!this->followSender(from, chunk.term, chunk.sentAt)) {
        return false;
    }
    if (this->state.installing) {
        return true;
    }
    const SnapshotMeta &meta = chunk.meta;
    if (meta.index <= this->state.commitIndex || this->state.log.termAt(meta.index) == meta.term) {
        this->state.advanceCommit(meta.index);
        const LogIndex match = std::max(meta.index, this->state.commitIndex);
        this->state.outbox.sendWhenSynced(
                from, AppendReply { this->state.hard.term, true, match, 0, 0, 0, chunk.sentAt });
        return true;
    }
    if (this->received.meta != meta || this->received.total != chunk.total
        || this->received.term != chunk.term) {
        this->received = chunk;
        this->received.data.clear();
    }
    if (chunk.offset == this->received.data.size()) {
        this->received.data += chunk.data;
    }
    this->received.sentAt = chunk.sentAt;
    this->state.outbox.sendWhenSynced(from,
                                      SnapshotReply { this->state.hard.term, meta.index,
                                                      this->received.data.size(), chunk.sentAt });
    if (this->received.data.size() == chunk.total) {
        this->finishSnapshot();
    }
    return true;
}

void FollowerLog::finishSnapshot()
{
    this->state.installing = true;
    const auto data = std::make_shared<const std::string>(std::move(this->received.data));
    this->state.snapshot = Snapshot { this->received.meta, data };
    this->state.outbox.actions.install = this->state.snapshot;
    this->received = {};
}

void FollowerLog::onInstalled(LogIndex index)
{
    if (!this->state.installing || index != this->state.snapshot->meta.index) {
        return;
    }
    this->state.installing = false;
    this->state.log.resetTo(this->state.snapshot->meta);
    this->state.outbox.onLogReplaced(index);
    this->state.commitIndex = index;
    this->state.lastApplied = index;
    this->state.updateRole();
    if (this->state.leader) {
        AppendReply reply;
        reply.term = this->state.hard.term;
        reply.success = true;
        reply.matchIndex = index;
        reply.sentAt = noSendTime;
        this->state.outbox.sendWhenSynced(*this->state.leader, reply);
    }
}

} // namespace cassiaroad

#include "process/progress.h"

namespace cassiaroad {

namespace {

// Time-out of a snapshot chunk, in heartbeat intervals. A chunk of 128 KiB takes 35 ms on the slow
// link, plus a round-trip time of 40 ms.
constexpr std::int64_t heartbeatsUntilChunkResend = 4;

// The latest runs are sent again at this interval, in case the message with a change was lost.
constexpr Milliseconds runsResendInterval { 1000 };

} // namespace

Progress::Progress(const MemberId &id, LogIndex lastIndex)
    : id(id)
    , nextIndex(lastIndex + 1)
{ }

void Progress::sendHeartbeat(ReplicaState &state)
{
    if (this->needsSnapshot(state)) {
        const Milliseconds resendTimeout
                = state.options.heartbeatInterval * heartbeatsUntilChunkResend;
        if (state.now - this->chunkSentAt >= resendTimeout) {
            this->sendChunk(state);
        } else {
            this->sendPing(state);
        }
        return;
    }
    this->sendAppend(state, this->canTakeEntries(state));
}

bool Progress::canTakeEntries(const ReplicaState &state) const
{
    return this->mode == Mode::Probe ? !this->probeSent
                                     : this->inFlight.size() < state.options.maxBatchesInFlight;
}

void Progress::sendEntries(ReplicaState &state)
{
    if (this->needsSnapshot(state)) {
        if (!this->snapshot) {
            this->sendChunk(state);
        }
        return;
    }
    while (this->nextIndex <= state.log.lastIndex() && this->canTakeEntries(state)) {
        this->sendAppend(state, true);
    }
}

bool Progress::needsSnapshot(const ReplicaState &state) const
{
    return this->mode == Mode::Snapshot || !state.log.termAt(this->nextIndex - 1);
}

void Progress::sendAppend(ReplicaState &state, bool withEntries)
{
    AppendRequest request;
    request.term = state.hard.term;
    request.prevIndex = this->nextIndex - 1;
    request.prevTerm = *state.log.termAt(request.prevIndex);
    request.commitIndex = state.commitIndex;
    request.sentAt = state.now;
    this->addRuns(state, request);
    if (withEntries) {
        request.entries = state.log.slice(this->nextIndex, state.options.maxBatchBytes);
    }
    if (!request.entries.empty() && this->mode == Mode::Probe) {
        this->probeSent = true;
    } else if (!request.entries.empty()) {
        this->nextIndex = request.entries.back().index + 1;
        this->inFlight.push_back(request.entries.back().index);
    }
    state.outbox.send(this->id, std::move(request));
}

void Progress::addRuns(const ReplicaState &state, AppendRequest &request)
{
    // Runs change rarely. Repeating them in each heartbeat would double its size.
    const bool due = !this->runsSentAt || state.now - *this->runsSentAt >= runsResendInterval;
    if (due || this->runsSent != state.hard.runs) {
        request.runs = state.hard.runs;
        this->runsSent = state.hard.runs;
        this->runsSentAt = state.now;
    }
}

void Progress::sendPing(ReplicaState &state)
{
    AppendRequest request; // its prevIndex of 0 is consistent with every log
    request.term = state.hard.term;
    request.sentAt = state.now;
    this->addRuns(state, request);
    state.outbox.send(this->id, std::move(request));
}

void Progress::sendChunk(ReplicaState &state)
{
    if (!this->snapshot) {
        this->mode = Mode::Snapshot;
        this->snapshot = state.snapshot;
        this->offset = 0;
        this->inFlight.clear();
    }
    const std::string &data = *this->snapshot->data;
    SnapshotChunk chunk { state.hard.term,
                          this->snapshot->meta,
                          this->offset,
                          data.size(),
                          data.substr(this->offset, state.options.snapshotChunkBytes),
                          state.now };
    this->chunkSentAt = state.now;
    state.outbox.send(this->id, std::move(chunk));
}

void Progress::recordResponse(ReplicaState &state, TimePoint sentAt)
{
    this->probeSent = false;
    this->replyAt = state.now;
    this->acknowledgedSentAt = std::max(this->acknowledgedSentAt.value_or(sentAt), sentAt);
}

void Progress::updateRound(const ReplicaState &state)
{
    if (this->roundTarget && this->matchIndex < *this->roundTarget) {
        return;
    }
    if (this->roundTarget) {
        this->lastRound = state.now - this->roundSince;
    }
    this->roundTarget = state.log.lastIndex();
    this->roundSince = state.now;
}

bool Progress::keepsUp(const ReplicaState &state) const
{
    const Milliseconds limit = state.options.minElectionTimeout;
    return this->lastRound && *this->lastRound <= limit && state.now - this->roundSince <= limit;
}

bool Progress::onAppendReply(ReplicaState &state, const MemberRun &from, const AppendReply &reply)
{
    this->memberRun = from;
    this->recordResponse(state, reply.sentAt);
    if (!reply.success) {
        this->reject(state, reply);
        return false;
    }
    const bool matchAdvanced = reply.matchIndex > this->matchIndex;
    this->matchIndex = std::max(this->matchIndex, reply.matchIndex);
    this->nextIndex = std::max(this->nextIndex, this->matchIndex + 1);
    while (!this->inFlight.empty() && this->inFlight.front() <= this->matchIndex) {
        this->inFlight.pop_front();
    }
    if (this->mode == Mode::Snapshot) {
        if (reply.matchIndex < this->snapshot->meta.index) {
            return matchAdvanced;
        }
        this->snapshot.reset();
        this->nextIndex = this->matchIndex + 1;
    }
    this->mode = Mode::Replicate;
    this->updateRound(state);
    return matchAdvanced;
}

void Progress::reject(ReplicaState &state, const AppendReply &reply)
{
    // A reply to a request that was sent before the next index was last corrected says nothing new,
    // nor does a reply of a member that is installing a snapshot.
    const bool current
            = reply.rejectedIndex > this->matchIndex && reply.rejectedIndex < this->nextIndex;
    if (this->mode == Mode::Snapshot || !current) {
        return;
    }
    const LogIndex lastMatching = state.log.lastIndexWithTermUpTo(reply.hintIndex, reply.hintTerm);
    const LogIndex previous = std::min(lastMatching, reply.rejectedIndex - 1);
    // If the log is compacted beyond the last entry that may match, the member needs a snapshot.
    const bool compacted = reply.hintIndex < state.log.baseIndex();
    this->nextIndex = std::max(compacted ? reply.hintIndex : previous, this->matchIndex) + 1;
    this->mode = Mode::Probe;
    this->inFlight.clear();
    this->sendEntries(state);
}

void Progress::onSnapshotReply(ReplicaState &state, const SnapshotReply &reply)
{
    this->recordResponse(state, reply.sentAt);
    if (this->mode != Mode::Snapshot || reply.index != this->snapshot->meta.index
        || reply.nextOffset > this->snapshot->data->size() || reply.nextOffset == this->offset) {
        return;
    }
    this->offset = reply.nextOffset;
    if (this->offset < this->snapshot->data->size()) {
        this->sendChunk(state);
    }
}

void Progress::onRestarted(const MemberRun &newRun, LogIndex lastIndex)
{
    this->memberRun = newRun;
    this->mode = Mode::Probe;
    this->probeSent = false;
    this->nextIndex = std::max(this->matchIndex, lastIndex) + 1;
    this->inFlight.clear();
    this->snapshot.reset();
    this->roundTarget.reset();
    this->lastRound.reset();
}

} // namespace cassiaroad

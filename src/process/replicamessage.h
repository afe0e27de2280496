#pragma once

#include "process/clock.h"
#include "process/logentry.h"

namespace cassiaroad {

/** Asks for a vote, or (preVote) whether a vote would be given. */
struct VoteRequest
{
    Term term = 0; // of the election
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false;
    bool transfer = false; // the leader asked for this election

    bool operator==(const VoteRequest &) const = default;
};

struct VoteReply
{
    Term term = 0; // of the election if granted, else the term of the answering member
    bool granted = false;
    bool preVote = false;

    bool operator==(const VoteReply &) const = default;
};

/** Entries after (prevIndex, prevTerm); without entries a heartbeat. */
struct AppendRequest
{
    Term term = 0;
    LogIndex prevIndex = 0;
    Term prevTerm = 0;
    LogIndex commitIndex = 0;
    TimePoint sentAt; // clock of the leader; returned in the reply
    std::vector<MemberRun> runs; // latest runs known to the leader
    std::vector<LogEntry> entries;

    bool operator==(const AppendRequest &) const = default;
};

struct AppendReply
{
    Term term = 0;
    bool success = false;
    LogIndex matchIndex = 0; // if success: last index known to agree and synced
    LogIndex rejectedIndex = 0; // if not: prevIndex of the request
    LogIndex hintIndex = 0; // if not: last index that may agree
    Term hintTerm = 0; // if not: term of the entry at hintIndex
    TimePoint sentAt;

    bool operator==(const AppendReply &) const = default;
};

/** One part of a snapshot, for members behind the compacted log. */
struct SnapshotChunk
{
    Term term = 0;
    SnapshotMeta meta;
    std::uint64_t offset = 0; // in bytes
    std::uint64_t total = 0; // bytes of the whole snapshot
    std::string data;
    TimePoint sentAt;

    bool operator==(const SnapshotChunk &) const = default;
};

struct SnapshotReply
{
    Term term = 0;
    LogIndex index = 0; // of the snapshot
    std::uint64_t nextOffset = 0; // bytes received without a gap
    TimePoint sentAt;

    bool operator==(const SnapshotReply &) const = default;
};

/** The leader asks a follower to start an election at once. */
struct TransferRequest
{
    Term term = 0;

    bool operator==(const TransferRequest &) const = default;
};

/** Sent after each start until every peer has answered. */
struct StartReport
{
    Term term = 0;
    LogIndex lastIndex = 0;
    bool voter = false; // the own log says that this member is a voter
    std::vector<MemberRun> earlierRuns; // that the folder remembers: HardState::ownRuns

    bool operator==(const StartReport &) const = default;
};

enum class StartVerdict {
    Accepted,
    Old, // the folder is an old copy or was replaced
    AskLeader, // recorded, but another member leads and must decide
};

struct StartReply
{
    MemberRun run; // the run that reported
    StartVerdict verdict = StartVerdict::Accepted;
    Term term = 0;
    bool leader = false; // the answering member leads
    bool voter = false; // the answering member's log says that it is a voter

    bool operator==(const StartReply &) const = default;
};

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk,
                                 SnapshotReply, TransferRequest, StartReport, StartReply>;

/** A message between two members of one control group. */
struct ReplicaMessage
{
    MemberRun from;
    MemberId to;
    MessageBody body;

    bool operator==(const ReplicaMessage &) const = default;
};

} // namespace cassiaroad

#pragma once

#include "process/clock.h"
#include "process/logentry.h"

namespace cassiaroad {

/** Requests a vote or, if preVote is set, asks whether a vote would be granted. */
struct VoteRequest
{
    Term term = 0; // of the election
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false;
    bool transfer = false; // the leader requested this election to transfer its leadership

    bool operator==(const VoteRequest &) const = default;
};

struct VoteReply
{
    Term term = 0; // of the election if granted, else the term of the replying member
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
    LogIndex matchIndex = 0; // if success: last index that is known to match and is synced
    LogIndex rejectedIndex = 0; // if not: prevIndex of the request
    LogIndex hintIndex = 0; // if not: last index that may match
    Term hintTerm = 0; // if not: term of the entry at hintIndex
    TimePoint sentAt;

    bool operator==(const AppendReply &) const = default;
};

/** One part of a snapshot, for a member that lacks entries which the leader has compacted. */
struct SnapshotChunk
{
    Term term = 0;
    SnapshotMeta meta;
    std::uint64_t offset = 0; // in bytes
    std::uint64_t total = 0; // size of the complete snapshot, in bytes
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

/** Request of a leader that a follower starts an election at once (TimeoutNow in Raft). */
struct TransferRequest
{
    Term term = 0;

    bool operator==(const TransferRequest &) const = default;
};

/** Reports a start to the peers; repeated until every peer has replied. */
struct StartReport
{
    Term term = 0;
    LogIndex lastIndex = 0;
    bool voter = false; // the sender is a voter according to its own log
    std::vector<MemberRun> earlierRuns; // HardState::ownRuns as they were before this start

    bool operator==(const StartReport &) const = default;
};

/** Decision about a reported start. */
enum class StartVerdict {
    Accepted,
    Old, // the data folder is a stale copy, or its member was replaced
    AskLeader, // the run is recorded, but another member is leader and has to decide
};

struct StartReply
{
    MemberRun run; // the run that reported
    StartVerdict verdict = StartVerdict::Accepted;
    Term term = 0;
    bool leader = false; // the replying member is leader
    bool voter = false; // the replying member is a voter according to its own log
    SnapshotMeta configuration; // latest in the log of the replying member, and its position

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

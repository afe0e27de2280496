#pragma once

#include "process/member.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cassiaroad {

/** Entry that a new leader commits in order to learn which earlier entries are committed. */
struct NoOp
{
    bool operator==(const NoOp &) const = default;
};

/** Encoded command for the state machine; opaque to the replication. */
struct CommandBytes
{
    std::string bytes;

    bool operator==(const CommandBytes &) const = default;
};

using EntryPayload = std::variant<NoOp, CommandBytes, Configuration>;

/** One entry of the replicated log. */
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryPayload payload;

    bool operator==(const LogEntry &) const = default;
};

/** Position and configuration of a snapshot. */
struct SnapshotMeta
{
    LogIndex index = 0; // last entry that the snapshot contains
    Term term = 0; // of that entry
    Configuration configuration;

    bool operator==(const SnapshotMeta &) const = default;
};

/** Encoded state machine as of one log entry. The data is shared and immutable. */
struct Snapshot
{
    SnapshotMeta meta;
    std::shared_ptr<const std::string> data;

    bool operator==(const Snapshot &other) const
    {
        return this->meta == other.meta && *this->data == *other.data;
    }
};

/** State that a member must persist besides its log. */
struct HardState
{
    Term term = 0;
    std::optional<MemberId> vote; // in this term
    std::vector<MemberRun> runs; // latest known run of each peer, ascending
    std::vector<MemberRun> ownRuns; // the last own run that peers confirmed, and those since

    bool operator==(const HardState &) const = default;
};

} // namespace cassiaroad

#pragma once

#include "version/controlstate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Number that the driver gives to a call, so that it finds the caller of a reply. */
using CallId = std::uint64_t;

/** Number that the manager gives to a proposal. Never 0. */
using ProposalId = std::uint64_t;

/**
 * This member leads and has applied every command of earlier terms (the leader has committed and
 * applied an entry of its own term).
 */
struct LeadershipGained
{ };

struct LeadershipLost
{ };

/** Time passes. Expected at least every 20 ms. */
struct TimePassed
{
    WallTime wall = 0;
};

/** What one entry host saw of one upstream since its previous watch call. */
struct UpstreamHealth
{
    UpstreamId upstream;
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    std::uint32_t shed = 0;
};

struct ShardRequests
{
    ShardRef shard;
    std::uint32_t requests = 0;
};

struct KeyRequests
{
    KeyRef key;
    std::uint32_t requests = 0;
};

/** An entry host asks for changes and renews its lease. */
struct WatchRequested
{
    CallId call = 0;
    EntryHostId host;
    std::string zone;
    Revision seenRevision = 0;
    Revision drainedRevision = 0;
    std::vector<UpstreamHealth> health;
    std::vector<ShardRequests> shardLoad;
    std::vector<KeyRequests> keyLoad;
    bool stopping = false;
};

struct ReleasedSubject
{
    RouteSubject subject;
    Epoch epoch = 0;
};

/** An upstream announces itself. */
struct AnnounceRequested
{
    CallId call = 0;
    Upstream upstream;
    std::uint64_t heldGrants = 0;
    std::vector<ReleasedSubject> released; // shards and keys
    double load = 0.0;
};

struct BeginRequested
{
    CallId call = 0;
    LedgerBegin request;
};

struct FinishRequested
{
    CallId call = 0;
    LedgerFinish request;
};

struct PlanRequested
{
    CallId call = 0;
    std::string who;
    std::string why;
    Intent intent;
};

struct ConfirmRequested
{
    CallId call = 0;
    ConfirmationId id;
    PlanNumber plan = 0;
};

/**
 * A command was committed and applied to the state. To be sent after every apply, also for commands
 * of other leaders (proposal 0).
 */
struct CommandCommitted
{
    ProposalId proposal = 0;
    CommandResult result;
};

/** A proposal was not accepted by the log and will never be applied. */
struct ProposalFailed
{
    ProposalId proposal = 0;
};

using OwnershipEvent
        = std::variant<LeadershipGained, LeadershipLost, TimePassed, WatchRequested,
                       AnnounceRequested, BeginRequested, FinishRequested, PlanRequested,
                       ConfirmRequested, CommandCommitted, ProposalFailed>;

/** Append this command to the log. Answer with CommandCommitted or ProposalFailed. */
struct ProposeCommand
{
    ProposalId proposal = 0;
    Command command;
};

/** This member cannot answer the call: it does not lead or has no leader lease. */
struct ReplyNotLeader
{
    CallId call = 0;
};

/** The proposal for this call failed; nothing was changed by it. */
struct ReplyFailed
{
    CallId call = 0;
    std::string reason;
};

struct Grant
{
    RouteSubject subject;
    Epoch epoch = 0;
    bool releasing = false;

    bool operator==(const Grant &) const = default;
};

/** Everything an upstream may serve. */
struct GrantSet
{
    std::uint64_t version = 0;
    std::vector<Grant> grants; // shards first, then moved keys
    std::vector<KeyRef> movedAway; // keys of granted shards that another upstream owns

    bool operator==(const GrantSet &) const = default;
};

/** Answers an announcement. The lease counts from the moment the announcement was sent. */
struct ReplyAnnounce
{
    CallId call = 0;
    std::string refused; // empty: accepted
    Milliseconds lease;
    bool unchanged = false; // the held grants are current; `grants` is empty
    GrantSet grants;
};

/** Answers a watch call. The lease counts from the moment the call was sent. */
struct ReplyWatch
{
    CallId call = 0;
    RouteDelta delta;
    Milliseconds lease; // 0: the host ends its session
    std::uint32_t entryHosts = 0; // with a live lease
};

struct ReplyBegin
{
    CallId call = 0;
    LedgerBeginResult result;
};

struct ReplyFinish
{
    CallId call = 0;
    LedgerFinishResult result = LedgerFinishResult::Done;
};

/** Answers an intent with a kept plan, or with the reason why there is none. */
struct ReplyPlan
{
    CallId call = 0;
    std::string refused; // empty: planned
    Plan plan;
};

/** Answers a confirmation, once it is in force if it was accepted. */
struct ReplyConfirm
{
    CallId call = 0;
    Confirmation confirmation;
};

/** Leadership should go to a member outside @p zone. Repeated until it does. */
struct TransferLeadershipFromZone
{
    std::string zone;
};

using OwnershipAction = std::variant<ProposeCommand, ReplyNotLeader, ReplyFailed, ReplyAnnounce,
                                     ReplyWatch, ReplyBegin, ReplyFinish, ReplyPlan, ReplyConfirm,
                                     TransferLeadershipFromZone>;

} // namespace cassiaroad

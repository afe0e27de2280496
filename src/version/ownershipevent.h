#pragma once

#include "version/controlstate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Number that the driver assigns to a call in order to find the caller for a reply. */
using CallId = std::uint64_t;

/** Number that the manager assigns to a proposal. Never 0. */
using ProposalId = std::uint64_t;

/**
 * This member has become leader and has applied every command of earlier terms: it has committed
 * and applied an entry of its own term.
 */
struct LeadershipGained
{ };

/** This member is no longer leader. */
struct LeadershipLost
{ };

/** Lets the manager act on the time that has passed. The driver sends it at least every 20 ms. */
struct TimePassed
{
    WallTime wallTime = 0;
};

/** Results of the requests of one entry host to one upstream since its previous watch call. */
struct UpstreamHealth
{
    UpstreamId upstream;
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    std::uint32_t shed = 0; // refused by the upstream because of overload
};

/** Requests for one shard since the previous watch call. */
struct ShardRequests
{
    ShardRef shard;
    std::uint32_t requests = 0;
};

/** Requests for one key since the previous watch call. */
struct KeyRequests
{
    KeyRef key;
    std::uint32_t requests = 0;
};

/** An entry host calls watch to get changes and to renew its lease. */
struct WatchRequested
{
    CallId call = 0;
    EntryHostId host;
    std::string zone;
    Revision seenRevision = 0; // of its route table; 0: it has none
    Revision drainedRevision = 0; // no request is left on shards and keys released up to it
    std::vector<UpstreamHealth> health;
    std::vector<ShardRequests> shardLoad;
    std::vector<KeyRequests> keyLoad;
    bool stopping = false; // the entry host shuts down; its lease ends
};

/** A shard or key that its owner has released. */
struct ReleasedSubject
{
    RouteSubject subject;
    Epoch epoch = 0;
};

/** An upstream announces itself, renews its lease and reports released shards and keys. */
struct AnnounceRequested
{
    CallId call = 0;
    Upstream upstream;
    std::uint64_t heldGrants = 0; // version of the grants that it has; 0: none
    std::vector<ReleasedSubject> released;
    double load = 0.0;
};

/** An entry host starts a request with an Idempotency-Key in the ledger. */
struct BeginRequested
{
    CallId call = 0;
    LedgerBegin request;
};

/** An entry host records the outcome of such a request. */
struct FinishRequested
{
    CallId call = 0;
    LedgerFinish request;
};

/** An operator requests the plan of an intent. */
struct PlanRequested
{
    CallId call = 0;
    std::string who;
    std::string why;
    Intent intent;
};

/** An operator confirms a plan. */
struct ConfirmRequested
{
    CallId call = 0;
    ConfirmationId id;
    PlanNumber plan = 0;
};

/**
 * A command was committed and applied to the state. The driver must send this after every applied
 * command, also for commands that another leader proposed (proposal 0).
 */
struct CommandCommitted
{
    ProposalId proposal = 0;
    CommandResult result;
};

/** The log refused a proposal, which will never be applied. */
struct ProposalFailed
{
    ProposalId proposal = 0;
};

using OwnershipEvent
        = std::variant<LeadershipGained, LeadershipLost, TimePassed, WatchRequested,
                       AnnounceRequested, BeginRequested, FinishRequested, PlanRequested,
                       ConfirmRequested, CommandCommitted, ProposalFailed>;

/** Append this command to the log; CommandCommitted or ProposalFailed must follow. */
struct ProposeCommand
{
    ProposalId proposal = 0;
    Command command;
};

/** This member cannot answer the call, since it is not leader or has no leader lease. */
struct ReplyNotLeader
{
    CallId call = 0;
};

/** The call failed and changed nothing. */
struct ReplyFailed
{
    CallId call = 0;
    std::string reason;
};

/** Permission to serve one shard or key under a lease. */
struct Grant
{
    RouteSubject subject;
    Epoch epoch = 0;
    bool releasing = false; // finish requests in progress, start no new ones

    bool operator==(const Grant &) const = default;
};

/** All shards and keys that an upstream can serve. */
struct GrantSet
{
    std::uint64_t version = 0; // routing revision of their last change
    std::vector<Grant> grants; // shards first, then moved keys
    std::vector<KeyRef> movedAway; // keys of granted shards that another upstream owns

    bool operator==(const GrantSet &) const = default;
};

/** Reply to an announcement. The lease counts from the moment the announcement was sent. */
struct ReplyAnnounce
{
    CallId call = 0;
    std::string refused; // why the announcement is refused; empty: accepted
    Milliseconds lease;
    bool unchanged = false; // the upstream has the current grants; `grants` is empty
    GrantSet grants;
};

/** Reply to a watch call. The lease counts from the moment the call was sent. */
struct ReplyWatch
{
    CallId call = 0;
    RouteDelta delta;
    Milliseconds lease; // 0: the entry host is shutting down and gets none
    std::uint32_t entryHosts = 0; // number of entry hosts with a live lease
};

/** Reply to BeginRequested. */
struct ReplyBegin
{
    CallId call = 0;
    LedgerBeginResult result;
};

/** Reply to FinishRequested. */
struct ReplyFinish
{
    CallId call = 0;
    LedgerFinishResult result = LedgerFinishResult::Done;
};

/** Reply to an intent: the stored plan, or the reason why there is none. */
struct ReplyPlan
{
    CallId call = 0;
    std::string refused; // why there is no plan; empty: there is one
    Plan plan;
};

/** Reply to a confirmation. If it was accepted, it is sent when the plan is in force. */
struct ReplyConfirm
{
    CallId call = 0;
    Confirmation confirmation;
};

/** Transfer leadership to a member outside the zone. Repeated until this member loses it. */
struct TransferLeadershipFromZone
{
    std::string zone;
};

using OwnershipAction = std::variant<ProposeCommand, ReplyNotLeader, ReplyFailed, ReplyAnnounce,
                                     ReplyWatch, ReplyBegin, ReplyFinish, ReplyPlan, ReplyConfirm,
                                     TransferLeadershipFromZone>;

} // namespace cassiaroad

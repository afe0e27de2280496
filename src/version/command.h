#pragma once

#include "version/plan.h"
#include "version/requestledger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Whether a registered upstream can own shards. */
enum class UpstreamState {
    Up,
    Suspected, // announces, but entry hosts report that it fails
    Lost // its lease has expired
};

/** Adds an upstream that announced itself for the first time. */
struct RegisterUpstream
{
    Upstream upstream;
    bool operator==(const RegisterUpstream &) const = default;
};

/**
 * Changes the announced data or the state of an upstream. All shards and keys of a former instance
 * become releasing for the reason Loss; the new instance does not take over its grants.
 */
struct ChangeUpstream
{
    Upstream upstream;
    UpstreamState state = UpstreamState::Up;
    bool operator==(const ChangeUpstream &) const = default;
};

/** Removes an upstream that owns nothing and is not the target of a move. */
struct RemoveUpstream
{
    UpstreamId upstream;
    bool operator==(const RemoveUpstream &) const = default;
};

/** First owner of one shard. */
struct ShardAssignment
{
    std::uint32_t shard = 0;
    std::string upstream;
    bool operator==(const ShardAssignment &) const = default;
};

/** Assigns first owners to shards that have none. */
struct AssignShards
{
    std::string service;
    std::vector<ShardAssignment> shards;
    bool operator==(const AssignShards &) const = default;
};

/** A shard or key whose release starts. */
struct ReleaseStart
{
    RouteSubject subject;
    Epoch epoch = 0; // epoch of the owner; for a key without a route: 0
    std::string to; // new owner; empty: chosen at completion
    std::uint32_t shard = 0; // of a key without a route: the shard that it hashes to
    bool operator==(const ReleaseStart &) const = default;
};

/**
 * First step of a change of owner: the present owner starts to release shards and keys. Those whose
 * owner or epoch differs are skipped.
 */
struct StartMove
{
    MoveReason reason = MoveReason::Planned;
    PlanNumber plan = 0; // plan that the moves belong to; 0: none
    std::vector<ReleaseStart> moves;
    bool operator==(const StartMove &) const = default;
};

/** A shard or key with its new owner. */
struct OwnerChange
{
    RouteSubject subject;
    Epoch epoch = 0; // epoch of the previous owner
    std::string to;
    bool operator==(const OwnerChange &) const = default;
};

/** Second step of a change of owner: the new owners take over. */
struct CompleteMove
{
    std::vector<OwnerChange> moves;
    bool operator==(const CompleteMove &) const = default;
};

/** Stores a plan. The state machine assigns its number, creation times and record entry. */
struct CreatePlan
{
    Plan plan;
    bool operator==(const CreatePlan &) const = default;
};

/** Confirms a plan on behalf of an operator. */
struct Confirm
{
    ConfirmationId id;
    PlanNumber plan = 0;
    bool operator==(const Confirm &) const = default;
};

/** Records on which entry hosts a confirmed plan is in force. */
struct MarkInForce
{
    PlanNumber plan = 0;
    InForceReport report;
    bool operator==(const MarkInForce &) const = default;
};

/** Records that every move of a confirmed plan is complete. */
struct MarkCompleted
{
    PlanNumber plan = 0;
    bool operator==(const MarkCompleted &) const = default;
};

/** Starts a request with an Idempotency-Key in the ledger. */
struct LedgerBegin
{
    LedgerKey key;
    std::uint64_t digest = 0;
    EntryHostId host;
    std::uint64_t run = 0; // number of the request within the instance of the entry host
    bool operator==(const LedgerBegin &) const = default;
};

/** Records the outcome of such a request. */
struct LedgerFinish
{
    LedgerKey key;
    std::uint64_t ticket = 0;
    LedgerOutcome outcome;
    bool operator==(const LedgerFinish &) const = default;
};

/** Sets the outcome of all requests in flight of an entry host without a lease to unknown. */
struct LedgerAbandon
{
    EntryHostId host;
    bool operator==(const LedgerAbandon &) const = default;
};

/** Removes ledger records, plans and confirmations that are older than their retention. */
struct ExpireRecords
{
    bool operator==(const ExpireRecords &) const = default;
};

using CommandBody
        = std::variant<RegisterUpstream, ChangeUpstream, RemoveUpstream, AssignShards, StartMove,
                       CompleteMove, CreatePlan, Confirm, MarkInForce, MarkCompleted, LedgerBegin,
                       LedgerFinish, LedgerAbandon, ExpireRecords>;

/** An entry of the replicated log of the control group. */
struct Command
{
    GroupTime time = 0; // at the leader that proposed it; never decreases among its commands
    WallTime wallTime = 0; // at the leader that proposed it
    CommandBody body;

    bool operator==(const Command &) const = default;
};

/** Encodes a command as CBOR. Thread-safe. */
std::string encodeCommand(const Command &command);

/** Decodes a command, or returns nothing if the bytes are not a command. Thread-safe. */
std::optional<Command> decodeCommand(const std::string &bytes);

} // namespace cassiaroad

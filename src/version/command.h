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
    Suspected, // announces, but entry hosts see it failing
    Lost // its lease ran out
};

/** Adds an upstream that announced itself for the first time. */
struct RegisterUpstream
{
    Upstream upstream;
    bool operator==(const RegisterUpstream &) const = default;
};

/**
 * Changes what is known of an upstream. A new instance loses all grants of the former one: they
 * become releasing for the reason Loss.
 */
struct ChangeUpstream
{
    Upstream upstream;
    UpstreamState state = UpstreamState::Up;
    bool operator==(const ChangeUpstream &) const = default;
};

/** Forgets an upstream that owns nothing. */
struct RemoveUpstream
{
    UpstreamId upstream;
    bool operator==(const RemoveUpstream &) const = default;
};

struct ShardAssignment
{
    std::uint32_t shard = 0;
    std::string upstream;
    bool operator==(const ShardAssignment &) const = default;
};

/** Gives unassigned shards their first owner. */
struct AssignShards
{
    std::string service;
    std::vector<ShardAssignment> shards;
    bool operator==(const AssignShards &) const = default;
};

/** One subject whose release starts. */
struct ReleaseStart
{
    RouteSubject subject;
    Epoch epoch = 0; // epoch of the owner; for a key without a route: 0
    std::string to; // empty: chosen at completion
    std::uint32_t shard = 0; // of a key without a route: the shard it belongs to by its hash
    bool operator==(const ReleaseStart &) const = default;
};

/** First step of a change of owner. Subjects whose owner or epoch differ are left alone. */
struct StartMove
{
    MoveReason reason = MoveReason::Planned;
    PlanNumber plan = 0; // 0: none
    std::vector<ReleaseStart> moves;
    bool operator==(const StartMove &) const = default;
};

/** One subject that gets its new owner. */
struct OwnerChange
{
    RouteSubject subject;
    Epoch epoch = 0; // epoch of the owner that releases
    std::string to;
    bool operator==(const OwnerChange &) const = default;
};

/** Second step of a change of owner. */
struct CompleteMove
{
    std::vector<OwnerChange> moves;
    bool operator==(const CompleteMove &) const = default;
};

/** Keeps a plan; its number, creation times and record entry are given by the state machine. */
struct CreatePlan
{
    Plan plan;
    bool operator==(const CreatePlan &) const = default;
};

/** Accepts a plan on behalf of an operator. */
struct Confirm
{
    ConfirmationId id;
    PlanNumber plan = 0;
    bool operator==(const Confirm &) const = default;
};

/** Records where a confirmed plan is in force. */
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

/** Starts a keyed request. */
struct LedgerBegin
{
    LedgerKey key;
    std::uint64_t digest = 0;
    EntryHostId host;
    std::uint64_t run = 0; // number of the request within the instance of the entry host
    bool operator==(const LedgerBegin &) const = default;
};

/** Ends a keyed request. */
struct LedgerFinish
{
    LedgerKey key;
    std::uint64_t ticket = 0;
    LedgerOutcome outcome;
    bool operator==(const LedgerFinish &) const = default;
};

/** Resolves the requests in flight of a lost entry host to unknown. */
struct LedgerAbandon
{
    EntryHostId host;
    bool operator==(const LedgerAbandon &) const = default;
};

/** Drops ledger records, plans and confirmations that are older than their retention. */
struct ExpireRecords
{
    bool operator==(const ExpireRecords &) const = default;
};

using CommandBody
        = std::variant<RegisterUpstream, ChangeUpstream, RemoveUpstream, AssignShards, StartMove,
                       CompleteMove, CreatePlan, Confirm, MarkInForce, MarkCompleted, LedgerBegin,
                       LedgerFinish, LedgerAbandon, ExpireRecords>;

/** One entry of the replicated log. */
struct Command
{
    GroupTime time = 0; // of the leader that proposed it; never goes back in the log of one leader
    WallTime wall = 0;
    CommandBody body;

    bool operator==(const Command &) const = default;
};

/** Encodes a command as CBOR. Thread-safe. */
std::string encodeCommand(const Command &command);

/** Decodes a command, or returns nothing if the bytes are not a command. Thread-safe. */
std::optional<Command> decodeCommand(const std::string &bytes);

} // namespace cassiaroad

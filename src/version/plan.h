#pragma once

#include "process/clock.h"
#include "version/routesubject.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Time of the control group in milliseconds: starts at 0 with the group and never decreases. */
using GroupTime = std::int64_t;

/** Wall-clock time in milliseconds since 1970. It is shown to people and decides nothing. */
using WallTime = std::int64_t;

using PlanNumber = std::uint64_t;

/** Takes an upstream out of service. */
struct DrainUpstream
{
    UpstreamId upstream;
    bool operator==(const DrainUpstream &) const = default;
};

/** Returns a drained upstream to service. */
struct ReturnUpstream
{
    UpstreamId upstream;
    bool operator==(const ReturnUpstream &) const = default;
};

/** Moves one key to an owner of its own, apart from its shard. */
struct MoveKey
{
    KeyRef key;
    std::string to;
    bool operator==(const MoveKey &) const = default;
};

/** Takes an availability zone out of service. */
struct ZoneOut
{
    std::string zone;
    bool operator==(const ZoneOut &) const = default;
};

/** Returns an availability zone to service. */
struct ZoneIn
{
    std::string zone;
    bool operator==(const ZoneIn &) const = default;
};

/** Overrides a setting in the whole group. */
struct SetSetting
{
    std::string name;
    std::string value;
    bool operator==(const SetSetting &) const = default;
};

/** Balances the load of a service among its upstreams. */
struct Rebalance
{
    std::string service;
    bool operator==(const Rebalance &) const = default;
};

using Intent = std::variant<DrainUpstream, ReturnUpstream, MoveKey, ZoneOut, ZoneIn, SetSetting,
                            Rebalance>;

/** Returns the intent as the operator command writes it, for example "drain orders/orders-1". */
std::string toString(const Intent &intent);

/** Change of owner of one shard or key in a plan. */
struct PlannedMove
{
    RouteSubject subject;
    std::string from; // owner when the plan was made; empty: none
    std::string to; // empty: no upstream can own it
    std::string reason;

    bool operator==(const PlannedMove &) const = default;
};

/** Number of keys that change owner by a plan. */
struct KeyCount
{
    std::uint64_t keys = 0;
    bool exact = false;
    std::string basis; // how the number was determined, for the operator

    bool operator==(const KeyCount &) const = default;
};

/** Shards or keys that cannot be reached while a plan is carried out, and for how long. */
struct UnreachablePeriod
{
    std::string what; // for the operator
    Milliseconds expected; // valid unless untilReturn
    bool untilReturn = false; // unreachable until this or another upstream is in service

    bool operator==(const UnreachablePeriod &) const = default;
};

/** Effects of an intent, computed from one placement revision. */
struct Plan
{
    PlanNumber number = 0; // assigned by the state machine
    Revision basis = 0; // placement revision that the plan was computed from
    std::string who;
    std::string why;
    Intent intent;
    std::vector<PlannedMove> moves;
    KeyCount keysMoved;
    std::vector<UnreachablePeriod> unreachable;
    GroupTime createdAt = 0;
    WallTime createdWallTime = 0;

    bool operator==(const Plan &) const = default;
};

/** Identifies a confirmation: the operator and a number chosen by the operator. */
struct ConfirmationId
{
    std::string who;
    std::uint64_t number = 0;

    auto operator<=>(const ConfirmationId &) const = default;
};

enum class ConfirmStatus {
    Accepted,
    // The placement has changed since the plan was made, or the plan was already confirmed;
    // `winner` names the confirmation that was accepted instead, if there is one.
    Conflict,
    NumberReused, // the pair (operator, number) has confirmed another plan, named in `plan`
    UnknownPlan,
    TooMany // the limit of stored results is reached; nothing was changed
};

/** The entry hosts on which a confirmed plan is in force. */
struct InForceReport
{
    Revision revision = 0; // routing revision; 0: not yet in force
    std::uint32_t hosts = 0;
    std::uint32_t totalHosts = 0;
    std::vector<std::string> missing; // hosts without a reply, whose leases have expired

    bool operator==(const InForceReport &) const = default;
};

/** Result of a confirmation. It is stored, so that a repeated confirmation gets it again. */
struct Confirmation
{
    ConfirmationId id;
    PlanNumber plan = 0;
    ConfirmStatus status = ConfirmStatus::UnknownPlan;
    ConfirmationId winner; // valid for Conflict; `who` is empty if no confirmation caused it
    std::string detail; // text for the operator
    GroupTime confirmedAt = 0;
    WallTime confirmedWallTime = 0;
    InForceReport inForce;

    bool operator==(const Confirmation &) const = default;
};

/** Entry of the record of plans. A time is 0 until the plan reaches that state. */
struct RecordEntry
{
    PlanNumber plan = 0;
    std::string who;
    std::string why;
    std::string intent;
    ConfirmationId confirmation; // `who` is empty while not confirmed
    GroupTime createdAt = 0;
    WallTime createdWallTime = 0;
    GroupTime confirmedAt = 0;
    WallTime confirmedWallTime = 0;
    GroupTime inForceAt = 0;
    WallTime inForceWallTime = 0;
    GroupTime completedAt = 0;
    WallTime completedWallTime = 0;

    bool operator==(const RecordEntry &) const = default;
};

} // namespace cassiaroad

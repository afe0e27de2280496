#pragma once

#include "process/clock.h"
#include "version/routesubject.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Milliseconds of group time: starts at 0 with the group and never goes back. */
using GroupTime = std::int64_t;

/** Milliseconds of the wall clock since 1970; for readers only, never for decisions. */
using WallTime = std::int64_t;

using PlanNumber = std::uint64_t;

/** Takes an upstream out of service. */
struct DrainUpstream
{
    UpstreamId upstream;
    bool operator==(const DrainUpstream &) const = default;
};

/** Takes a drained upstream back into service. */
struct ReturnUpstream
{
    UpstreamId upstream;
    bool operator==(const ReturnUpstream &) const = default;
};

/** Gives one key an owner of its own. */
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

/** Takes an availability zone back into service. */
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

/** Spreads the load of a service anew. */
struct Rebalance
{
    std::string service;
    bool operator==(const Rebalance &) const = default;
};

using Intent = std::variant<DrainUpstream, ReturnUpstream, MoveKey, ZoneOut, ZoneIn, SetSetting,
                            Rebalance>;

/** Returns the intent as an operator writes it, for example "drain orders/orders-1". */
std::string toString(const Intent &intent);

/** One change of owner. */
struct PlannedMove
{
    RouteSubject subject;
    std::string from; // owner at the basis, empty: none
    std::string to; // empty: no upstream can take it
    std::string reason;

    bool operator==(const PlannedMove &) const = default;
};

/** Number of keys that change owner. */
struct KeyCount
{
    std::uint64_t keys = 0;
    bool exact = false;
    std::string basis; // how the number was found

    bool operator==(const KeyCount &) const = default;
};

/** What cannot be reached while a plan is carried out. */
struct UnreachablePeriod
{
    std::string what;
    Milliseconds expected; // valid unless untilReturn
    bool untilReturn = false; // until another upstream or this one is in service

    bool operator==(const UnreachablePeriod &) const = default;
};

/** What an intent would do, computed from one placement revision. */
struct Plan
{
    PlanNumber number = 0; // given by the state machine
    Revision basis = 0; // placement revision
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
    Conflict, // the basis changed; `winner` names the confirmation accepted instead, if any
    NumberReused, // the pair (operator, number) confirmed another plan, named in `plan`
    UnknownPlan,
    TooMany // the bound on kept results is reached; nothing was changed
};

/** On which entry hosts a change is in force. */
struct InForceReport
{
    Revision revision = 0; // 0: not yet in force
    std::uint32_t hosts = 0;
    std::uint32_t totalHosts = 0;
    std::vector<std::string> missing; // hosts that did not answer; their leases have expired

    bool operator==(const InForceReport &) const = default;
};

/** Result of a confirmation; kept, so that a resend returns it again. */
struct Confirmation
{
    ConfirmationId id;
    PlanNumber plan = 0;
    ConfirmStatus status = ConfirmStatus::UnknownPlan;
    ConfirmationId winner; // valid for Conflict; `who` is empty if no operator caused it
    std::string detail; // sentence for the operator
    GroupTime confirmedAt = 0;
    WallTime confirmedWallTime = 0;
    InForceReport inForce;

    bool operator==(const Confirmation &) const = default;
};

/** One entry of the kept record. Times are 0 until reached. */
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

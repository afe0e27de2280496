#pragma once

#include "version/controlstate.h"

#include <concepts>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Matches T and const T, so that one function serves reading and writing. */
template <typename T, typename Value>
concept Either = std::same_as<std::remove_const_t<T>, Value>;

/*
 * The fields of each value in the order in which they are encoded. A value is encoded as an array
 * of its fields; new fields go to the end.
 */
template <Either<UpstreamId> T>
auto fields(T &v)
{
    return std::tie(v.service, v.name);
}
template <Either<Upstream> T>
auto fields(T &v)
{
    return std::tie(v.id, v.zone, v.address, v.slots, v.connections, v.checksGrants, v.instance,
                    v.draining);
}
template <Either<ShardRef> T>
auto fields(T &v)
{
    return std::tie(v.service, v.shard);
}
template <Either<KeyRef> T>
auto fields(T &v)
{
    return std::tie(v.service, v.key);
}
template <Either<Route> T>
auto fields(T &v)
{
    return std::tie(v.state, v.upstream, v.epoch, v.reason);
}
template <Either<RouteEntry> T>
auto fields(T &v)
{
    return std::tie(v.route, v.to, v.plan, v.releaseRevision, v.shard);
}
template <Either<UpstreamEntry> T>
auto fields(T &v)
{
    return std::tie(v.upstream, v.state, v.drained, v.upSince, v.grantVersion, v.formerInstances);
}
template <Either<RegisterUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <Either<ChangeUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream, v.state);
}
template <Either<RemoveUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <Either<ShardAssignment> T>
auto fields(T &v)
{
    return std::tie(v.shard, v.upstream);
}
template <Either<AssignShards> T>
auto fields(T &v)
{
    return std::tie(v.service, v.shards);
}
template <Either<ReleaseStart> T>
auto fields(T &v)
{
    return std::tie(v.subject, v.epoch, v.to, v.shard);
}
template <Either<StartMove> T>
auto fields(T &v)
{
    return std::tie(v.reason, v.plan, v.moves);
}
template <Either<OwnerChange> T>
auto fields(T &v)
{
    return std::tie(v.subject, v.epoch, v.to);
}
template <Either<CompleteMove> T>
auto fields(T &v)
{
    return std::tie(v.moves);
}
template <Either<DrainUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <Either<ReturnUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <Either<MoveKey> T>
auto fields(T &v)
{
    return std::tie(v.key, v.to);
}
template <Either<ZoneOut> T>
auto fields(T &v)
{
    return std::tie(v.zone);
}
template <Either<ZoneIn> T>
auto fields(T &v)
{
    return std::tie(v.zone);
}
template <Either<SetSetting> T>
auto fields(T &v)
{
    return std::tie(v.name, v.value);
}
template <Either<Rebalance> T>
auto fields(T &v)
{
    return std::tie(v.service);
}
template <Either<PlannedMove> T>
auto fields(T &v)
{
    return std::tie(v.subject, v.from, v.to, v.reason);
}
template <Either<KeyCount> T>
auto fields(T &v)
{
    return std::tie(v.keys, v.exact, v.basis);
}
template <Either<UnreachablePeriod> T>
auto fields(T &v)
{
    return std::tie(v.what, v.expected.count, v.untilReturn);
}
template <Either<Plan> T>
auto fields(T &v)
{
    return std::tie(v.number, v.basis, v.who, v.why, v.intent, v.moves, v.keysMoved, v.unreachable,
                    v.createdAt, v.createdWallTime);
}
template <Either<ConfirmationId> T>
auto fields(T &v)
{
    return std::tie(v.who, v.number);
}
template <Either<InForceReport> T>
auto fields(T &v)
{
    return std::tie(v.revision, v.hosts, v.totalHosts, v.missing);
}
template <Either<Confirmation> T>
auto fields(T &v)
{
    return std::tie(v.id, v.plan, v.status, v.winner, v.detail, v.confirmedAt, v.confirmedWallTime,
                    v.inForce);
}
template <Either<RecordEntry> T>
auto fields(T &v)
{
    return std::tie(v.plan, v.who, v.why, v.intent, v.confirmation, v.createdAt, v.createdWallTime,
                    v.confirmedAt, v.confirmedWallTime, v.inForceAt, v.inForceWallTime,
                    v.completedAt, v.completedWallTime);
}
template <Either<PlanEntry> T>
auto fields(T &v)
{
    return std::tie(v.plan, v.state, v.confirmation, v.remaining, v.startedRevision);
}
template <Either<CreatePlan> T>
auto fields(T &v)
{
    return std::tie(v.plan);
}
template <Either<Confirm> T>
auto fields(T &v)
{
    return std::tie(v.id, v.plan);
}
template <Either<MarkInForce> T>
auto fields(T &v)
{
    return std::tie(v.plan, v.report);
}
template <Either<MarkCompleted> T>
auto fields(T &v)
{
    return std::tie(v.plan);
}
template <Either<LedgerKey> T>
auto fields(T &v)
{
    return std::tie(v.service, v.key, v.idempotencyKey);
}
template <Either<EntryHostId> T>
auto fields(T &v)
{
    return std::tie(v.name, v.instance);
}
template <Either<StoredAnswer> T>
auto fields(T &v)
{
    return std::tie(v.status, v.contentType, v.body, v.truncated);
}
template <typename T>
requires(Either<T, LedgerInProgress> || Either<T, LedgerUnknown> || Either<T, LedgerNotRun> || Either<T, ExpireRecords>) auto fields(
        T &)
{
    return std::tuple<>();
}
template <Either<LedgerRecord> T>
auto fields(T &v)
{
    return std::tie(v.digest, v.ticket, v.host, v.run, v.startedAt, v.state);
}
template <Either<LedgerBegin> T>
auto fields(T &v)
{
    return std::tie(v.key, v.digest, v.host, v.run);
}
template <Either<LedgerFinish> T>
auto fields(T &v)
{
    return std::tie(v.key, v.ticket, v.outcome);
}
template <Either<LedgerAbandon> T>
auto fields(T &v)
{
    return std::tie(v.host);
}
template <Either<Command> T>
auto fields(T &v)
{
    return std::tie(v.time, v.wall, v.body);
}

template <typename T>
concept HasFields = requires(T &v)
{
    fields(v);
};

} // namespace cassiaroad

namespace nlohmann {

/** Encodes a value with fields as an array. Decoding throws nlohmann::json::exception. */
template <cassiaroad::HasFields T>
struct adl_serializer<T, void>
{
    static void to_json(json &out, const T &value)
    {
        out = json::array();
        std::apply([&out](const auto &...field) { (out.push_back(json(field)), ...); },
                   cassiaroad::fields(value));
    }

    static void from_json(const json &in, T &value)
    {
        std::size_t index = 0;
        std::apply([&in, &index](auto &...field) { (in.at(index++).get_to(field), ...); },
                   cassiaroad::fields(value));
    }
};

/** Encodes a variant as an array of the index and the value. */
template <typename... Types>
struct adl_serializer<std::variant<Types...>, void>
{
    using Variant = std::variant<Types...>;

    static void to_json(json &out, const Variant &value)
    {
        json content;
        std::visit([&content](const auto &alternative) { content = alternative; }, value);
        out = json::array();
        out.push_back(value.index());
        out.push_back(std::move(content));
    }

    static void from_json(const json &in, Variant &value)
    {
        read(in.at(0).get<std::size_t>(), in.at(1), value, std::index_sequence_for<Types...> {});
    }

private:
    template <std::size_t... Indices>
    static void read(std::size_t index, const json &in, Variant &value,
                     std::index_sequence<Indices...>)
    {
        const bool known = ((index == Indices
                             && (value.template emplace<Indices>(
                                         in.get<std::variant_alternative_t<Indices, Variant>>()),
                                 true))
                            || ...);
        if (!known) {
            throw json::out_of_range::create(401, "unknown alternative", &in);
        }
    }
};

} // namespace nlohmann

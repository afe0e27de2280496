#pragma once

#include "version/controlstate.h"

#include <concepts>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Satisfied by Value and const Value, so that one fields() function serves both directions. */
template <typename T, typename Value>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Value>;

/*
 * The functions fields() return references to the fields of a value in the order of their encoding.
 * A value is encoded as an array of its fields, so new fields must be added at the end.
 */
template <MaybeConst<UpstreamId> T>
auto fields(T &v)
{
    return std::tie(v.service, v.name);
}
template <MaybeConst<Upstream> T>
auto fields(T &v)
{
    return std::tie(v.id, v.zone, v.address, v.slots, v.connections, v.checksGrants, v.instance,
                    v.draining);
}
template <MaybeConst<ShardRef> T>
auto fields(T &v)
{
    return std::tie(v.service, v.shard);
}
template <MaybeConst<KeyRef> T>
auto fields(T &v)
{
    return std::tie(v.service, v.key);
}
template <MaybeConst<Route> T>
auto fields(T &v)
{
    return std::tie(v.state, v.upstream, v.epoch, v.reason);
}
template <MaybeConst<RouteEntry> T>
auto fields(T &v)
{
    return std::tie(v.route, v.to, v.plan, v.releaseRevision, v.shard);
}
template <MaybeConst<UpstreamEntry> T>
auto fields(T &v)
{
    return std::tie(v.upstream, v.state, v.drained, v.upSince, v.grantVersion, v.formerInstances);
}
template <MaybeConst<RegisterUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <MaybeConst<ChangeUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream, v.state);
}
template <MaybeConst<RemoveUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <MaybeConst<ShardAssignment> T>
auto fields(T &v)
{
    return std::tie(v.shard, v.upstream);
}
template <MaybeConst<AssignShards> T>
auto fields(T &v)
{
    return std::tie(v.service, v.shards);
}
template <MaybeConst<ReleaseStart> T>
auto fields(T &v)
{
    return std::tie(v.subject, v.epoch, v.to, v.shard);
}
template <MaybeConst<StartMove> T>
auto fields(T &v)
{
    return std::tie(v.reason, v.plan, v.moves);
}
template <MaybeConst<OwnerChange> T>
auto fields(T &v)
{
    return std::tie(v.subject, v.epoch, v.to);
}
template <MaybeConst<CompleteMove> T>
auto fields(T &v)
{
    return std::tie(v.moves);
}
template <MaybeConst<DrainUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <MaybeConst<ReturnUpstream> T>
auto fields(T &v)
{
    return std::tie(v.upstream);
}
template <MaybeConst<MoveKey> T>
auto fields(T &v)
{
    return std::tie(v.key, v.to);
}
template <MaybeConst<ZoneOut> T>
auto fields(T &v)
{
    return std::tie(v.zone);
}
template <MaybeConst<ZoneIn> T>
auto fields(T &v)
{
    return std::tie(v.zone);
}
template <MaybeConst<SetSetting> T>
auto fields(T &v)
{
    return std::tie(v.name, v.value);
}
template <MaybeConst<Rebalance> T>
auto fields(T &v)
{
    return std::tie(v.service);
}
template <MaybeConst<PlannedMove> T>
auto fields(T &v)
{
    return std::tie(v.subject, v.from, v.to, v.reason);
}
template <MaybeConst<KeyCount> T>
auto fields(T &v)
{
    return std::tie(v.keys, v.exact, v.basis);
}
template <MaybeConst<UnreachablePeriod> T>
auto fields(T &v)
{
    return std::tie(v.what, v.expected.count, v.untilReturn);
}
template <MaybeConst<Plan> T>
auto fields(T &v)
{
    return std::tie(v.number, v.basis, v.who, v.why, v.intent, v.moves, v.keysMoved, v.unreachable,
                    v.createdAt, v.createdWallTime);
}
template <MaybeConst<ConfirmationId> T>
auto fields(T &v)
{
    return std::tie(v.who, v.number);
}
template <MaybeConst<InForceReport> T>
auto fields(T &v)
{
    return std::tie(v.revision, v.hosts, v.totalHosts, v.missing);
}
template <MaybeConst<Confirmation> T>
auto fields(T &v)
{
    return std::tie(v.id, v.plan, v.status, v.winner, v.detail, v.confirmedAt, v.confirmedWallTime,
                    v.inForce);
}
template <MaybeConst<RecordEntry> T>
auto fields(T &v)
{
    return std::tie(v.plan, v.who, v.why, v.intent, v.confirmation, v.createdAt, v.createdWallTime,
                    v.confirmedAt, v.confirmedWallTime, v.inForceAt, v.inForceWallTime,
                    v.completedAt, v.completedWallTime);
}
template <MaybeConst<PlanEntry> T>
auto fields(T &v)
{
    return std::tie(v.plan, v.state, v.confirmation, v.remaining, v.startedRevision);
}
template <MaybeConst<CreatePlan> T>
auto fields(T &v)
{
    return std::tie(v.plan);
}
template <MaybeConst<Confirm> T>
auto fields(T &v)
{
    return std::tie(v.id, v.plan);
}
template <MaybeConst<MarkInForce> T>
auto fields(T &v)
{
    return std::tie(v.plan, v.report);
}
template <MaybeConst<MarkCompleted> T>
auto fields(T &v)
{
    return std::tie(v.plan);
}
template <MaybeConst<LedgerKey> T>
auto fields(T &v)
{
    return std::tie(v.service, v.key, v.idempotencyKey);
}
template <MaybeConst<EntryHostId> T>
auto fields(T &v)
{
    return std::tie(v.name, v.instance);
}
template <MaybeConst<StoredAnswer> T>
auto fields(T &v)
{
    return std::tie(v.status, v.contentType, v.body, v.truncated);
}
template <typename T>
requires(MaybeConst<T, LedgerInProgress> || MaybeConst<T, LedgerUnknown> || MaybeConst<T, LedgerNotRun> || MaybeConst<T, ExpireRecords>) auto fields(
        T &)
{
    return std::tuple<>();
}
template <MaybeConst<LedgerRecord> T>
auto fields(T &v)
{
    return std::tie(v.digest, v.ticket, v.host, v.run, v.startedAt, v.state);
}
template <MaybeConst<LedgerBegin> T>
auto fields(T &v)
{
    return std::tie(v.key, v.digest, v.host, v.run);
}
template <MaybeConst<LedgerFinish> T>
auto fields(T &v)
{
    return std::tie(v.key, v.ticket, v.outcome);
}
template <MaybeConst<LedgerAbandon> T>
auto fields(T &v)
{
    return std::tie(v.host);
}
template <MaybeConst<Command> T>
auto fields(T &v)
{
    return std::tie(v.time, v.wallTime, v.body);
}

/** Satisfied by types with a function fields(). */
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

/**
 * Encodes a variant as an array of the index of its alternative and the value. Decoding throws
 * nlohmann::json::exception.
 */
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
            throw json::out_of_range::create(401, "unknown variant alternative", &in);
        }
    }
};

} // namespace nlohmann

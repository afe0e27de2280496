#include "version/controlstatecodec.h"

#include "version/valuecodec.h"

namespace cassiaroad {

namespace {

constexpr int snapshotFormat = 1; // version of the encoding; decode() refuses others

template <typename... Fields>
nlohmann::json encodeFields(const Fields &...values)
{
    nlohmann::json out = nlohmann::json::array();
    (out.push_back(nlohmann::json(values)), ...);
    return out;
}

template <typename... Fields>
void decodeFields(const nlohmann::json &in, Fields &...values)
{
    std::size_t index = 0;
    (in.at(index++).get_to(values), ...);
}

} // namespace

std::string ControlStateCodec::encode(const ControlState &state)
{
    const RoutingState &routing = state.routingPart;
    const PlanStore &plans = state.planPart;
    const nlohmann::json out = nlohmann::json::array(
            { snapshotFormat, state.time,
              encodeFields(routing.currentRevision, routing.upstreamMap, routing.shardMap,
                           routing.keyMap, routing.settingMap, routing.keyEpochFloor),
              encodeFields(plans.placement, plans.lastCause, plans.lastWinner, plans.lastPlan,
                           plans.lastWinnerPlacement, plans.planCounter, plans.plans, plans.results,
                           plans.record),
              encodeFields(state.ledgerPart.all(), state.ledgerPart.lastTicket()) });
    std::string bytes;
    nlohmann::json::to_cbor(out, bytes);
    return bytes;
}

std::optional<ControlState> ControlStateCodec::decode(const std::string &bytes,
                                                      ControlLimits limits)
{
    try {
        const nlohmann::json in = nlohmann::json::from_cbor(bytes);
        if (in.at(0).get<int>() != snapshotFormat) {
            return std::nullopt;
        }
        ControlState state(limits);
        in.at(1).get_to(state.time);
        RoutingState &routing = state.routingPart;
        decodeFields(in.at(2), routing.currentRevision, routing.upstreamMap, routing.shardMap,
                     routing.keyMap, routing.settingMap, routing.keyEpochFloor);
        PlanStore &plans = state.planPart;
        decodeFields(in.at(3), plans.placement, plans.lastCause, plans.lastWinner, plans.lastPlan,
                     plans.lastWinnerPlacement, plans.planCounter, plans.plans, plans.results,
                     plans.record);
        std::map<LedgerKey, LedgerRecord> records;
        std::uint64_t ticket = 0;
        decodeFields(in.at(4), records, ticket);
        state.ledgerPart.restore(std::move(records), ticket);
        routing.collectReleasing();
        return state;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string ControlState::snapshot() const
{
    return ControlStateCodec::encode(*this);
}

std::optional<ControlState> ControlState::restore(const std::string &bytes, ControlLimits limits)
{
    return ControlStateCodec::decode(bytes, limits);
}

} // namespace cassiaroad

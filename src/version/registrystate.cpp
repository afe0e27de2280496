#include "version/registrystate.h"

#include "process/textpack.h"
#include "version/sitejson.h"

#include <xxhash.h>

namespace cassiaroad {

namespace {

using nlohmann::json;

template <typename Command>
RegistryCommand readCommand(const json &value)
{
    return value.get<Command>();
}

using CommandReader = RegistryCommand (*)(const json &);

// In the order of the alternatives of RegistryCommand. Their index is stored, so new commands are
// appended.
constexpr CommandReader commandReaders[] = {
    &readCommand<PutConfiguration>,     &readCommand<AssignSlot>,
    &readCommand<RegisterSiteUpstream>, &readCommand<SetUpstreamPhase>,
    &readCommand<RemoveSiteUpstream>,   &readCommand<TransferRanges>,
    &readCommand<OrderEvacuation>,
};
static_assert(std::size(commandReaders) == std::variant_size_v<RegistryCommand>);

json rangesToJson(const std::map<std::string, RangeTable> &tables)
{
    json value = json::object();
    for (const auto &[service, table] : tables) {
        value[service] = { { "owners", table.owners() }, { "fence", table.lastFence() } };
    }
    return value;
}

std::map<std::string, RangeTable> rangesFromJson(const json &value)
{
    std::map<std::string, RangeTable> tables;
    for (const auto &[service, table] : value.items()) {
        tables.emplace(service, RangeTable(table.at("owners").get<std::vector<RangeOwner>>(),
                                           table.at("fence").get<FencingToken>()));
    }
    return tables;
}

json evacuationsToJson(const ZoneEvacuations &evacuations)
{
    return { { "evacuated", evacuations.zones() }, { "withdrawn", evacuations.formerZones() } };
}

ZoneEvacuations evacuationsFromJson(const json &value)
{
    return { value.at("evacuated").get<std::set<std::string>>(),
             value.at("withdrawn").get<std::set<std::string>>() };
}

} // namespace

PutConfiguration makePutConfiguration(ConfigurationVersion version, ConfigurationVersion base,
                                      const std::string &text)
{
    return { version, base, packText(text), XXH3_64bits(text.data(), text.size()) };
}

std::string encodeCommand(const RegistryCommand &command)
{
    const json value
            = std::visit([](const auto &alternative) { return json(alternative); }, command);
    return toCborText(json::array({ command.index(), value }));
}

std::optional<RegistryCommand> decodeRegistryCommand(std::string_view bytes)
{
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        const auto index = value.at(0).get<std::size_t>();
        if (index >= std::size(commandReaders)) {
            return std::nullopt;
        }
        return commandReaders[index](value.at(1));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

PutOutcome RegistryState::outcomeOf(const PutConfiguration &put) const
{
    const auto accepted = this->digests.find(put.version);
    if (accepted != this->digests.end() && accepted->second == put.digest) {
        return PutOutcome::Repeated;
    }
    if (put.base != this->current || put.version <= this->current) {
        return PutOutcome::Conflict;
    }
    return PutOutcome::Accepted;
}

PutOutcome RegistryState::apply(const RegistryCommand &command)
{
    if (const auto *put = std::get_if<PutConfiguration>(&command)) {
        const PutOutcome outcome = this->outcomeOf(*put);
        if (outcome == PutOutcome::Accepted) {
            this->current = put->version;
            this->currentDocument = put->document;
            this->digests[put->version] = put->digest;
        }
        return outcome;
    }
    std::visit(
            [this](const auto &alternative) {
                using Command = std::decay_t<decltype(alternative)>;
                if constexpr (!std::is_same_v<Command, PutConfiguration>) {
                    this->applyCommand(alternative);
                }
            },
            command);
    return PutOutcome::Accepted;
}

void RegistryState::applyCommand(const AssignSlot &command)
{
    // The same slot may have been offered to two hosts; the first command is applied.
    std::string &ip = this->memberList.ips[command.slot];
    if (ip == command.replaces) {
        ip = command.ip;
        ++this->memberList.revision;
    }
}

void RegistryState::applyCommand(const RegisterSiteUpstream &command)
{
    const UpstreamIncarnation &incarnation = command.upstream.incarnation;
    const auto known = this->upstreamMap.find(incarnation.id);
    if (known != this->upstreamMap.end() && known->second.incarnation.born > incarnation.born) {
        return;
    }
    this->upstreamMap[incarnation.id] = command.upstream;
}

void RegistryState::applyCommand(const SetUpstreamPhase &command)
{
    const auto known = this->upstreamMap.find(command.incarnation.id);
    if (known != this->upstreamMap.end() && known->second.incarnation == command.incarnation) {
        // A late report that it drains does not bring back an upstream that has deregistered.
        const bool isLate = known->second.phase == UpstreamPhase::Gone
                            && command.phase == UpstreamPhase::Draining;
        known->second.phase = isLate ? UpstreamPhase::Gone : command.phase;
    }
}

void RegistryState::applyCommand(const RemoveSiteUpstream &command)
{
    const auto known = this->upstreamMap.find(command.incarnation.id);
    if (known != this->upstreamMap.end() && known->second.incarnation == command.incarnation) {
        this->upstreamMap.erase(known);
    }
}

void RegistryState::applyCommand(const TransferRanges &command)
{
    this->rangeTables[command.service].transfer(command.transfers);
}

void RegistryState::applyCommand(const OrderEvacuation &command)
{
    this->zoneEvacuations.apply(command.order);
}

const SiteUpstream *RegistryState::find(const UpstreamIncarnation &incarnation) const
{
    const auto known = this->upstreamMap.find(incarnation.id);
    return known != this->upstreamMap.end() && known->second.incarnation == incarnation
                   ? &known->second
                   : nullptr;
}

std::string RegistryState::encode() const
{
    json digestList = json::array();
    for (const auto &[version, digest] : this->digests) {
        digestList.push_back({ version, digest });
    }
    json memberList = json::array();
    for (const auto &[slot, ip] : this->memberList.ips) {
        memberList.push_back({ slot, ip });
    }
    json upstreamList = json::array();
    for (const auto &[id, upstream] : this->upstreamMap) {
        upstreamList.push_back(upstream);
    }
    return toCborText({ { "version", this->current },
                        { "document", toBinary(this->currentDocument) },
                        { "digests", digestList },
                        { "members", memberList },
                        { "membersRevision", this->memberList.revision },
                        { "upstreams", upstreamList },
                        { "ranges", rangesToJson(this->rangeTables) },
                        { "evacuations", evacuationsToJson(this->zoneEvacuations) } });
}

std::optional<RegistryState> RegistryState::decode(std::string_view bytes)
{
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        RegistryState state;
        state.current = value.at("version").get<ConfigurationVersion>();
        state.currentDocument = fromBinary(value.at("document"));
        for (const json &entry : value.at("digests")) {
            state.digests[entry.at(0).get<ConfigurationVersion>()] = entry.at(1);
        }
        for (const json &entry : value.at("members")) {
            state.memberList.ips[entry.at(0).get<std::uint32_t>()] = entry.at(1);
        }
        // Snapshots did not have a revision at first; each slot was assigned at least once.
        state.memberList.revision
                = value.value("membersRevision", std::uint64_t(state.memberList.ips.size()));
        for (const json &entry : value.at("upstreams")) {
            auto upstream = entry.get<SiteUpstream>();
            state.upstreamMap[upstream.incarnation.id] = upstream;
        }
        state.rangeTables = rangesFromJson(value.at("ranges"));
        // Snapshots of versions without evacuations do not have them.
        if (value.contains("evacuations")) {
            state.zoneEvacuations = evacuationsFromJson(value.at("evacuations"));
        }
        return state;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace cassiaroad

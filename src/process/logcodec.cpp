#include "process/logcodec.h"

#include "process/capnpbytes.h"

namespace cassiaroad {

namespace {

capnp::Data::Reader toData(const std::string &bytes)
{
    return { reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size() };
}

} // namespace

void encode(const MemberId &id, wire::MemberId::Builder builder)
{
    builder.setNumber(id.number);
    builder.setIncarnation(id.incarnation);
}

MemberId decode(wire::MemberId::Reader reader)
{
    return { reader.getNumber(), reader.getIncarnation() };
}

void encode(const MemberRun &run, wire::MemberRun::Builder builder)
{
    encode(run.member, builder.initMember());
    builder.setStartCounter(run.startCounter);
    builder.setNonce(run.nonce);
}

MemberRun decode(wire::MemberRun::Reader reader)
{
    return { decode(reader.getMember()), reader.getStartCounter(), reader.getNonce() };
}

void encode(const std::vector<MemberRun> &runs, capnp::List<wire::MemberRun>::Builder builder)
{
    for (unsigned i = 0; i < builder.size(); ++i) {
        encode(runs[i], builder[i]);
    }
}

std::vector<MemberRun> decode(capnp::List<wire::MemberRun>::Reader reader)
{
    std::vector<MemberRun> runs;
    for (const auto run : reader) {
        runs.push_back(decode(run));
    }
    return runs;
}

void encode(const Configuration &configuration, wire::Configuration::Builder builder)
{
    auto voters = builder.initVoters(static_cast<unsigned>(configuration.voters.size()));
    for (unsigned i = 0; i < voters.size(); ++i) {
        encode(configuration.voters[i], voters[i]);
    }
}

Configuration decode(wire::Configuration::Reader reader)
{
    Configuration configuration;
    for (const auto voter : reader.getVoters()) {
        configuration.voters.push_back(decode(voter));
    }
    return configuration;
}

void encode(const EntryPayload &payload, wire::EntryPayload::Builder builder)
{
    if (const auto *command = std::get_if<CommandBytes>(&payload)) {
        builder.setCommand(toData(command->bytes));
    } else if (const auto *configuration = std::get_if<Configuration>(&payload)) {
        encode(*configuration, builder.initConfiguration());
    } else {
        builder.setNoOp();
    }
}

EntryPayload decode(wire::EntryPayload::Reader reader)
{
    if (reader.isCommand()) {
        const auto bytes = reader.getCommand().asChars();
        return CommandBytes { { bytes.begin(), bytes.size() } };
    }
    if (reader.isConfiguration()) {
        return decode(reader.getConfiguration());
    }
    return NoOp {};
}

void encode(const SnapshotMeta &meta, wire::SnapshotMeta::Builder builder)
{
    builder.setIndex(meta.index);
    builder.setTerm(meta.term);
    encode(meta.configuration, builder.initConfiguration());
}

SnapshotMeta decode(wire::SnapshotMeta::Reader reader)
{
    return { reader.getIndex(), reader.getTerm(), decode(reader.getConfiguration()) };
}

namespace {

HardState readHardState(wire::HardState::Reader reader)
{
    HardState state;
    state.term = reader.getTerm();
    if (reader.getVoted()) {
        state.vote = decode(reader.getVote());
    }
    state.runs = decode(reader.getRuns());
    state.ownRuns = decode(reader.getOwnRuns());
    return state;
}

} // namespace

std::string encodePayload(const EntryPayload &payload)
{
    capnp::MallocMessageBuilder message;
    encode(payload, message.initRoot<wire::EntryPayload>());
    return toBytes(message);
}

std::optional<EntryPayload> decodePayload(std::string_view bytes)
{
    return fromBytes<wire::EntryPayload>(
            bytes, [](wire::EntryPayload::Reader reader) { return decode(reader); });
}

std::string encodeHardState(const HardState &state)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::HardState>();
    builder.setTerm(state.term);
    if (state.vote) {
        builder.setVoted(true);
        encode(*state.vote, builder.initVote());
    }
    encode(state.runs, builder.initRuns(static_cast<unsigned>(state.runs.size())));
    encode(state.ownRuns, builder.initOwnRuns(static_cast<unsigned>(state.ownRuns.size())));
    return toBytes(message);
}

std::optional<HardState> decodeHardState(std::string_view bytes)
{
    return fromBytes<wire::HardState>(bytes, readHardState);
}

std::string encodeSnapshotMeta(const SnapshotMeta &meta)
{
    capnp::MallocMessageBuilder message;
    encode(meta, message.initRoot<wire::SnapshotMeta>());
    return toBytes(message);
}

std::optional<SnapshotMeta> decodeSnapshotMeta(std::string_view bytes)
{
    return fromBytes<wire::SnapshotMeta>(
            bytes, [](wire::SnapshotMeta::Reader reader) { return decode(reader); });
}

} // namespace cassiaroad

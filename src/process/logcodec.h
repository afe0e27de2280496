#pragma once

#include "process/logentry.h"
#include "schema/replica.capnp.h"

#include <string_view>

namespace cassiaroad {

void encode(const MemberId &id, wire::MemberId::Builder builder);
MemberId decode(wire::MemberId::Reader reader);

void encode(const MemberRun &run, wire::MemberRun::Builder builder);
MemberRun decode(wire::MemberRun::Reader reader);

void encode(const std::vector<MemberRun> &runs, capnp::List<wire::MemberRun>::Builder builder);
std::vector<MemberRun> decode(capnp::List<wire::MemberRun>::Reader reader);

void encode(const Configuration &configuration, wire::Configuration::Builder builder);
Configuration decode(wire::Configuration::Reader reader);

void encode(const EntryPayload &payload, wire::EntryPayload::Builder builder);
EntryPayload decode(wire::EntryPayload::Reader reader);

void encode(const SnapshotMeta &meta, wire::SnapshotMeta::Builder builder);
SnapshotMeta decode(wire::SnapshotMeta::Reader reader);

/** Parts of log records and snapshot files. Decoding invalid bytes returns nothing. */
std::string encodePayload(const EntryPayload &payload);
std::optional<EntryPayload> decodePayload(std::string_view bytes);
std::string encodeHardState(const HardState &state);
std::optional<HardState> decodeHardState(std::string_view bytes);
std::string encodeSnapshotMeta(const SnapshotMeta &meta);
std::optional<SnapshotMeta> decodeSnapshotMeta(std::string_view bytes);

} // namespace cassiaroad

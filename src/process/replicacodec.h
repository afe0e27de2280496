#pragma once

#include "process/replicamessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace cassiaroad {

/** Encodes a message with Cap'n Proto. Thread-safe. */
std::string encodeReplicaMessage(const ReplicaMessage &message);

/** Decodes a message, or returns nothing if the bytes are not one. Thread-safe. */
std::optional<ReplicaMessage> decodeReplicaMessage(std::string_view bytes);

} // namespace cassiaroad

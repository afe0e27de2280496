#pragma once

#include "version/controlstate.h"

#include <optional>
#include <string>

namespace cassiaroad {

/** Encodes a whole control state as CBOR and back. Stateless; thread-safe. */
class ControlStateCodec
{
public:
    static std::string encode(const ControlState &state);
    static std::optional<ControlState> decode(const std::string &bytes, ControlLimits limits);
};

} // namespace cassiaroad

#pragma once

#include "version/controlstate.h"

#include <optional>
#include <string>

namespace cassiaroad {

/** Encodes and decodes a complete control state as CBOR. Stateless; thread-safe. */
class ControlStateCodec
{
public:
    static std::string encode(const ControlState &state);

    /** Returns the state, or nothing if the bytes are not a state in the present format. */
    static std::optional<ControlState> decode(const std::string &bytes, ControlLimits limits);
};

} // namespace cassiaroad
